"""A placement run whose leader books returns, with callers that abuse retries."""

from collections import Counter

import msgspec

from scalebend.core.gateway.leader_placement import LeaderPlacement
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.route_table import RouteTable
from scalebend.measuring.placement_cells import SERVICE
from scalebend.measuring.placement_results import Decider
from scalebend.measuring.placement_run import PlacementRun
from scalebend.models.ids import Fingerprint
from scalebend.models.placement import Placement
from tests.lib.gateway_builders import build_customer, build_routing, build_service

ABUSER_RETRIES = 3
ABUSER_RETRY_S = 0.02


class Directory:
    """Endpoints that are all usable."""

    def __init__(self, endpoints):
        self.endpoints = endpoints

    def list_usable(self, service):
        return self.endpoints


def build_table(profile, customers=2, service=SERVICE):
    named = [build_customer(f"crew-{number}") for number in range(customers)]
    services = [build_service(service, profile)]
    return RouteTable(build_routing(services=services, customers=named))


class ReturnRun(PlacementRun):
    """Every third caller returns at once; the others heed `Retry-After`."""

    def __init__(self, scenario, seed, *, customers):
        """With fewer than two ``customers``, the leader books no returns."""
        super().__init__(scenario, Decider.LEADER, seed)
        self.leader = LeaderPlacement(LimitExchange(), 0.0)
        (cell,) = self._cells
        cell.scheduler = self.leader.scheduler
        self._table = build_table(self._profile, customers)
        self._directory = Directory(tuple(cell.endpoints))
        self._asking = None
        self._held = set()

    def _place(self, result, cell):
        self._asking = result
        super()._place(result, cell)

    def _replan(self, number):
        self._asking = self._jobs[number].result
        super()._replan(number)

    def _decide(self, work, front, cell):
        fingerprint = Fingerprint(str(self._asking.arrival.number))
        work = msgspec.structs.replace(work, fingerprint=fingerprint)
        reply = self.leader.place(
            work, self._table, self._directory, self._now, may_grant=True
        )
        self._held.discard(work.job)
        if reply.placement and work.job not in self.leader.scheduler._jobs:
            self._held.add(work.job)
        return reply.placement or reply.declined

    def _report_open_job(self, job):
        # The leader knows what it placed; what it holds is not open yet.
        if job.work.job not in self._held:
            super()._report_open_job(job)

    def _reject(self, result, retry_after, remaining):
        if result.arrival.number % 3:
            super()._reject(result, retry_after, remaining)
            return
        result.rejections += 1
        if result.rejections <= ABUSER_RETRIES:
            self._call_at(self._now + ABUSER_RETRY_S, lambda: self._arrive(result))


def count_lost(results):
    return Counter(r.arrival.kind.name for r in results if not r.is_complete)


def count_late(results):
    return Counter(
        r.arrival.kind.name for r in results if r.is_complete and not r.is_on_time
    )


def place(leader, table, endpoints, work, now):
    """Return the placement or refusal of one piece of work."""
    reply = leader.place(work, table, Directory(endpoints), now, may_grant=True)
    return reply.placement or reply.declined


def is_held(leader, placed, work):
    """Whether the work was placed without taking any room."""
    return isinstance(placed, Placement) and work.job not in leader.scheduler._jobs
