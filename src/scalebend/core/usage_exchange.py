"""Customers' use and open requests, added up at the customers' home instances."""

from __future__ import annotations

from scalebend.core.admission import AdmissionControl
from scalebend.core.control_member import ToInstance
from scalebend.core.messages import OpenRequestCount, UsageReply, UsageReport
from scalebend.core.rendezvous import ResponsibleTable
from scalebend.core.shares import ShareLedger, UsageHome
from scalebend.models.ids import CustomerId, InstanceId

MOST_REPORTS = 4
"""Homes that get this instance's use in one period; the others take turns."""


class UsageExchange:
    """Reports to homes, and the home of the customers this instance answers for."""

    def __init__(
        self, me: InstanceId, shares: ShareLedger, admission: AdmissionControl
    ) -> None:
        self._shares = shares
        self._admission = admission
        self._home = UsageHome()
        self._homes = ResponsibleTable([me])
        self._live: set[InstanceId] = {me}
        self._open: dict[CustomerId, dict[InstanceId, int]] = {}
        self._turn = 0

    def set_instances(self, instances: list[InstanceId]) -> None:
        """Follow a newer instance list."""
        self._homes.set_instances(instances)
        self._live = set(instances)

    def build_reports(self, now: float) -> list[ToInstance]:
        """Tell the next few homes what this instance used and has open."""
        self._home.forget_faded(now)
        usages = {usage.customer: usage for usage in self._shares.read_local(now)}
        opens = self._admission.read_open()
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
        # Homes take turns, so that the cost does not grow with the customers.
        ordered = sorted(reports)
        turn = self._turn % max(1, len(ordered))
        chosen = (ordered[turn:] + ordered[:turn])[:MOST_REPORTS]
        self._turn = turn + len(chosen)
        return [ToInstance(home, reports[home]) for home in chosen]

    def take_report(
        self, sender: InstanceId, report: UsageReport, now: float
    ) -> ToInstance:
        """As a home, take an instance's report; answer with what all others have."""
        usages = self._home.report(sender, report.usages, now)
        opens = []
        for item in report.open:
            known = self._open.setdefault(item.customer, {})
            known[sender] = item.open
            others = sum(
                count
                for instance, count in known.items()
                if instance != sender and instance in self._live
            )
            opens.append(OpenRequestCount(item.customer, others))
        return ToInstance(sender, UsageReply(usages, opens))

    def take_answer(self, answer: UsageReply, now: float) -> None:
        """Take what the others used and have open."""
        self._shares.set_remote(answer.usages, now)
        for item in answer.open:
            self._admission.set_fleet_open(item.customer, item.open)
