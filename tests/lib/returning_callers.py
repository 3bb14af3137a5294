"""A leader that books returns, and placement runs with callers that abuse retries."""

from collections import Counter

import msgspec

from scalebend.core.gateway.route_table import RouteTable
from scalebend.measuring.placement_cells import SERVICE
from scalebend.measuring.placement_results import Decider
from scalebend.measuring.placement_run import PlacementRun
from scalebend.models.placement import Declined, Placement
from tests.lib.gateway_builders import build_customer, build_routing, build_service
from tests.lib.queued_run import QueuedRun

ABUSER_RETRIES = 3
ABUSER_RETRY_S = 0.02


class Directory:
    """Endpoints that are all usable."""

    def __init__(self, endpoints):
        self.endpoints = endpoints

    def list_usable(self, service):
        return self.endpoints


def build_table(profile, service=SERVICE, *, is_ranked=True):
    """A document with two customers; it ranks them where the leader is to queue."""
    customers = [build_customer(f"crew-{number}") for number in range(2)]
    if is_ranked:
        customers = [
            msgspec.structs.replace(customer, priority=0) for customer in customers
        ]
    services = [build_service(service, profile)]
    return RouteTable(build_routing(services=services, customers=customers))


class _AbusedRun(PlacementRun):
    """Every third caller returns at once; the others heed `Retry-After`."""

    def _reject(self, result, retry_after, remaining):
        if result.arrival.number % 3:
            super()._reject(result, retry_after, remaining)
            return
        result.rejections += 1
        if result.rejections <= ABUSER_RETRIES:
            self._call_at(self._now + ABUSER_RETRY_S, lambda: self._arrive(result))


class ReturnRun(_AbusedRun, QueuedRun):
    """The leader queues, refuses and books."""


class StandingRun(_AbusedRun):
    """The scheduler alone decides, and who waits asks it again."""

    def __init__(self, scenario, seed):
        super().__init__(scenario, Decider.LEADER, seed)


def count_lost(results):
    return Counter(r.arrival.kind.name for r in results if not r.is_complete)


def count_late(results):
    return Counter(
        r.arrival.kind.name for r in results if r.is_complete and not r.is_on_time
    )


def ask(leader, table, endpoints, work, now, *, may_wait=True):
    """Return the leader's reply to one piece of work."""
    return leader.place(
        work, table, Directory(endpoints), now, may_grant=True, may_wait=may_wait
    )


def release(leader, table, endpoints, now):
    """Return the replies to queued work that follow, by job."""
    replies = leader.release(table, Directory(endpoints), now, may_grant=True)
    return {one.job: one for one in replies}


def is_placed(reply):
    """Whether the reply lets the work start."""
    return isinstance(reply.placement, Placement) and not reply.is_queued


def is_refused(reply):
    return isinstance(reply.declined, Declined)
