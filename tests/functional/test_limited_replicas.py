"""Rate limits that replicas name in responses, with processes and two fronts.

Guards against fronts that ignore the limit, or that each send up to the limit: it is
for the requests of all fronts together.
"""

import asyncio
import time

import pytest

from tests.lib.gateway_load import Load, keep_registered
from tests.lib.gateway_system import run_system
from tests.lib.platform_replicas import Replica

WINDOW_S = 4.0
LEARNING_S = 1.0
"""Time after a replica first named its limit in which fronts learn of it."""

CALLERS = 24
"""Each calls again after each response: far more load than any limit here."""


class LimitedReplica(Replica):
    """Names a limit while the test sets one, and records the times of requests."""

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.limit = None
        self.arrived = []

    async def handle(self, request):
        is_request = "X-Request-Id" in request.headers
        if is_request:
            self.arrived.append(time.monotonic())
        answer = await super().handle(request)
        if is_request:
            await asyncio.sleep(0.05)
            if self.limit is not None and not answer.prepared:
                answer.headers["Server-Limit"] = str(self.limit)
        return answer

    def count_most(self, since):
        """Return the most requests in one window that begins after ``since``."""
        times = [at for at in self.arrived if at >= since]
        return max(
            (sum(at <= one < at + WINDOW_S for one in times) for at in times), default=0
        )


def build_load(system):
    return Load(system, "idempotent", CALLERS, most_pause=0.5)


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, 3, LimitedReplica) as system:
        async with keep_registered(system):
            yield system


def compute_allowed(limit):
    """Return the tolerated number of requests in one window."""
    return 1.5 * limit * WINDOW_S + 5


@pytest.mark.parametrize("limit", [1.0, 4.0])
async def test_all_fronts_together_respect_a_rate_limit(system, limit):
    limited, *others = system.replicas
    load = build_load(system)
    await load.run(0.5)
    limited.limit = limit
    began = time.monotonic()
    await load.run(8.0)
    assert limited.count_most(began + LEARNING_S) <= compute_allowed(limit)
    # It stays in use, and no caller is refused while other replicas are free.
    assert len([at for at in limited.arrived if at >= began + LEARNING_S]) >= 3
    assert set(load.statuses) == {200}
    assert all(len(other.arrived) > 100 for other in others)


async def test_replica_is_used_again_at_once_after_its_limit_ends(system):
    limited = system.replicas[0]
    load = build_load(system)
    limited.limit = 2.0
    await load.run(3.0)
    limited.limit = None
    await load.run(2.0)
    before = len(limited.arrived)
    await load.run(2.0)
    assert len(limited.arrived) - before > 20


async def test_load_above_the_limits_of_all_replicas_uses_them_up(system):
    limit = 5.0
    for replica in system.replicas:
        replica.limit = limit
    began = time.monotonic()
    load = build_load(system)
    await load.run(9.0)
    since = began + LEARNING_S
    for replica in system.replicas:
        assert replica.count_most(since) <= compute_allowed(limit)
    served = sum(at >= since for r in system.replicas for at in r.arrived)
    assert served >= 0.9 * 3 * limit * (time.monotonic() - since - 0.5)
    assert set(load.statuses) == {200, 503}
    # Refused requests were not sent, and callers learn when to retry.
    assert all(b'"ran":"no"' in body for body in load.refusals)
    assert all(0.0 < pause <= 5.0 for pause in load.retry_afters)


async def test_limit_is_respected_over_restarts_of_leader_and_front(system):
    limited = system.replicas[0]
    load = build_load(system)
    limited.limit = 1.0
    began = time.monotonic()
    await load.run(2.0)

    async def restart(name):
        system.processes.kill(name)
        system.processes.start(name)

    # Callers stay at the other front while the first one restarts.
    await restart(system.processes.find_leader())
    await load.run(4.0)
    await restart("front-0")
    await system.wait_ready(front=0, seconds=20.0)
    await load.run(4.0)
    assert limited.count_most(began + LEARNING_S) <= compute_allowed(1.0)
    assert not {502, 504} & set(load.statuses)


def test_count_most_in_a_window():
    replica = LimitedReplica(1, "svc", [])
    replica.arrived = [0.0, 1.0, 3.9, 4.0, 8.5]
    assert replica.count_most(0.0) == 3
    assert replica.count_most(4.5) == 1
