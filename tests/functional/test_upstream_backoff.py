"""Replicas that reject requests and ask for a backoff, or that are draining.

Guards against fronts and leaders that ignore these headers: a replica that rejects all
requests is empty, so it would be the first choice for the next one.
"""

import asyncio
import json
import time

import msgspec
import pytest
from aiohttp import web

from scalebend.platform.headers import build_response_headers
from tests.lib.gateway_load import FRONT, Load, keep_registered
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.platform_replicas import Replica, build_document

BACKOFF_S = 3.0
"""Backoff that a replica asks for."""

IN_FLIGHT_S = 0.5
"""Time after a rejection in which requests in flight may still arrive."""

MAX_REQUESTS = 2
"""Tolerated requests of one front within the rest of the backoff."""

DRAIN_S = 2.0
"""Time after a draining response by which its front must send nothing there."""

CALLERS = 60
WORK_S = 0.4
"""Time that a call takes: with so many callers, many requests are open."""

ENGINE = {
    "Slots": 8,
    "KvCapacity": 450_000,
    "Stride": 46,
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
}


class Arrival(msgspec.Struct, frozen=True):
    """One request received from a front."""

    front: str
    at: float


class RejectingReplica(Replica):
    """Rejects every request, or reports draining, while the test says so."""

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.backoff_s = None
        self.is_draining = False
        self.arrived = []
        self.rejections = []

    async def handle(self, request):
        name = request.headers.get("X-Request-Id")
        if name is None:
            return await super().handle(request)
        front = request.headers.get(FRONT, "")
        self.arrived.append(Arrival(front, time.monotonic()))
        if self.backoff_s is not None:
            await request.read()
            self.rejections.append(Arrival(front, time.monotonic()))
            headers = build_response_headers(
                name, None, has_not_run=True, backoff=self.backoff_s
            )
            return web.Response(status=503, headers=headers)
        if self.is_draining and "stream" not in request.path:
            answer = await super().handle(request)
            answer.headers["Server-Leaving"] = "1"
            return answer
        if "stream" not in request.path:
            await asyncio.sleep(WORK_S)
        return await super().handle(request)

    def count_most_in_backoff(self):
        """Return the most requests of one front within a backoff it was asked for."""
        return max((self._count(one) for one in self.rejections), default=0)

    def _count(self, rejection):
        since, until = rejection.at + IN_FLIGHT_S, rejection.at + BACKOFF_S
        return sum(
            one.front == rejection.front and since < one.at < until
            for one in self.arrived
        )


def build_load(system, kind, **headers):
    return Load(system, kind, CALLERS, rest=0.05, most_pause=0.3, **headers)


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, 4, RejectingReplica) as system:
        async with keep_registered(system):
            yield system


async def use_engines(system):
    """Turn the replicas into engines, to which the leader places requests."""
    document = json.loads(build_document(2, [SERVICE]))
    document["Services"][0]["Engine"] = ENGINE
    assert await system.put(json.dumps(document).encode()) == 200
    await asyncio.sleep(0.5)


async def wait_for_backoffs(system):
    """Wait until the backoff of the last rejection has ended, and a little longer.

    On a busy host rejections spread over more than their usual tenth of a second.
    """
    last = max(one.at for replica in system.replicas for one in replica.rejections)
    await asyncio.sleep(max(0.0, last + BACKOFF_S - time.monotonic()) + IN_FLIGHT_S)


QUICK_PROMPT = {"X-Token-Counts": "5000,100", "X-Model": "m"}


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
async def test_backoff_of_a_replica_is_respected(system, kind):
    system.replicas[0].backoff_s = BACKOFF_S
    load = build_load(system, kind)
    await load.run(BACKOFF_S + 0.5)
    assert system.replicas[0].rejections
    assert system.replicas[0].count_most_in_backoff() <= MAX_REQUESTS
    assert set(load.statuses) == {200}


async def test_backoff_of_an_engine_is_respected(system):
    await use_engines(system)
    for replica in system.replicas[:2]:
        replica.backoff_s = BACKOFF_S
    load = build_load(system, "stream", **QUICK_PROMPT)
    await load.run(BACKOFF_S + 0.5)
    assert any(replica.rejections for replica in system.replicas)
    for replica in system.replicas:
        assert replica.count_most_in_backoff() <= MAX_REQUESTS
    assert set(load.statuses) == {200}


@pytest.mark.parametrize("has_engines", [False, True])
async def test_backoff_of_all_replicas_is_respected_and_reported_to_callers(
    system, has_engines
):
    headers = {}
    if has_engines:
        await use_engines(system)
        headers = QUICK_PROMPT
    for replica in system.replicas:
        replica.backoff_s = BACKOFF_S
    load = build_load(system, "stream", **headers)
    await load.run(BACKOFF_S - 0.5)
    for replica in system.replicas:
        assert replica.rejections
        assert replica.count_most_in_backoff() <= MAX_REQUESTS
    # Refused requests were not sent, and callers learn when to retry.
    assert set(load.statuses) == {503}
    assert all(b'"ran":"no"' in body for body in load.refusals)
    assert max(load.retry_afters) > 1.0
    for replica in system.replicas:
        replica.backoff_s = None
    await wait_for_backoffs(system)
    after = build_load(system, "stream", **headers)
    await after.run(1.0)
    assert set(after.statuses) == {200}


async def test_backoff_is_respected_over_a_change_of_leader_and_without_one(system):
    await use_engines(system)
    for replica in system.replicas[:2]:
        replica.backoff_s = BACKOFF_S
    load = build_load(system, "stream", **QUICK_PROMPT)
    running = asyncio.create_task(load.run(2 * BACKOFF_S))
    await asyncio.sleep(1.0)
    # The next leader does not know of the rejections.
    system.processes.kill(system.processes.find_leader())
    await asyncio.sleep(2.0)
    # With two of three gone there is no leader: fronts place uncoordinated.
    system.processes.kill(system.processes.find_leader())
    await running
    for replica in system.replicas:
        assert replica.count_most_in_backoff() <= MAX_REQUESTS
    assert 200 in load.statuses


async def test_retries_respect_the_backoff(system):
    rejecting, *others = system.replicas
    rejecting.backoff_s = BACKOFF_S
    await build_load(system, "idempotent").run(0.5)
    for replica in others:
        replica.mode = "fail"
    await build_load(system, "idempotent").run(BACKOFF_S - 1.0)
    assert rejecting.count_most_in_backoff() <= MAX_REQUESTS


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent"])
async def test_replica_draining_by_its_responses_gets_no_more_requests(system, kind):
    """Its registrations still say that it is ready."""
    draining = system.replicas[0]
    load = build_load(system, kind)
    await load.run(0.5)
    draining.is_draining = True
    began = time.monotonic()
    await load.run(DRAIN_S + 2.0)
    # Soon every front has forwarded a response that says draining.
    since = began + DRAIN_S + 0.5
    assert not [one for one in draining.arrived if one.at > since]
    assert set(load.statuses) == {200}
