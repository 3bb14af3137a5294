"""Exchange of usage and open requests with the customers' home instances."""

from __future__ import annotations

from scalebend.core.admission import AdmissionControl
from scalebend.core.control_member import ToInstance
from scalebend.core.messages import OpenRequestCount, UsageReply, UsageReport
from scalebend.core.rendezvous import ResponsibleTable
from scalebend.core.shares import ShareLedger, UsageHome
from scalebend.models.ids import CustomerId, InstanceId

MAX_HOMES_PER_INTERVAL = 4
"""Homes that receive a report per interval, in rotation."""


class UsageExchange:
    """Sends reports to home instances and is itself the home of some customers."""

    def __init__(
        self, me: InstanceId, shares: ShareLedger, admission: AdmissionControl
    ) -> None:
        self._shares = shares
        self._admission = admission
        self._home = UsageHome()
        self._homes = ResponsibleTable([me])
        self._live: set[InstanceId] = {me}
        self._open: dict[CustomerId, dict[InstanceId, int]] = {}
        self._next_home = 0

    def set_instances(self, instances: list[InstanceId]) -> None:
        """Replace the list of instances."""
        self._homes.set_instances(instances)
        self._live = set(instances)

    def build_reports(self, now: float) -> list[ToInstance]:
        """Build reports of local usage and open requests for the next homes."""
        self._home.drop_expired(now)
        usages = {usage.customer: usage for usage in self._shares.read_local(now)}
        opens = self._admission.count_open_by_customer()
        reports: dict[InstanceId, UsageReport] = {}
        for customer in sorted(usages.keys() | opens.keys()):
            home = self._homes.find(customer)
            if home is None:
                continue
            report = reports.setdefault(home, UsageReport([], []))
            if customer in usages:
                report.usages.append(usages[customer])
            if customer in opens:
                report.open.append(OpenRequestCount(customer, opens[customer]))
        # Homes rotate, so that the cost per interval does not grow with customers.
        ordered = sorted(reports)
        start = self._next_home % max(1, len(ordered))
        chosen = (ordered[start:] + ordered[:start])[:MAX_HOMES_PER_INTERVAL]
        self._next_home = start + len(chosen)
        return [ToInstance(home, reports[home]) for home in chosen]

    def receive_report(
        self, sender: InstanceId, report: UsageReport, now: float
    ) -> ToInstance:
        """As a home, store a report; reply with the totals of all other instances."""
        usages = self._home.report(sender, report.usages, now)
        opens = []
        for item in report.open:
            open_counts = self._open.setdefault(item.customer, {})
            open_counts[sender] = item.open
            others = sum(
                count
                for instance, count in open_counts.items()
                if instance != sender and instance in self._live
            )
            opens.append(OpenRequestCount(item.customer, others))
        return ToInstance(sender, UsageReply(usages, opens))

    def receive_reply(self, reply: UsageReply, now: float) -> None:
        """Apply the totals of the other instances."""
        self._shares.set_remote(reply.usages, now)
        for item in reply.open:
            self._admission.set_open_elsewhere(item.customer, item.open)
