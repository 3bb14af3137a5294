"""Fronts that reach no replica while callers, other fronts and control reach them.

Guards against callers of such a front being refused although every replica is up, and
against its failures making replicas unusable for others.
"""

import asyncio
import contextlib
import signal
import time

import pytest

from tests.lib.gateway_load import keep_registered
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.partitions import (
    COMPLETE_STREAM,
    KINDS_AT_MOST_ONCE,
    KINDS_QUICK,
    LONG_PROMPT,
    Callers,
    OpenConnections,
    ProxiedReplica,
    Shape,
    list_failed,
    partition,
)
from tests.lib.platform_replicas import build_document

DETECTION_S = 3.0
"""Seconds after the start of a partition from which the promise holds."""

PARTITION_S = 9.0
MAX_FAILED_SHARE = 1 / 50

SHAPES = {
    "refused": Shape(True, OpenConnections.RESET),
    "refused-open-live": Shape(True, OpenConnections.LIVE),
    "silent": Shape(False, OpenConnections.SILENT),
    "silent-open-reset": Shape(False, OpenConnections.RESET),
}


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, 4, ProxiedReplica) as system:
        engines = build_document(2, [SERVICE], engines=[SERVICE])
        assert await system.put(engines) == 200
        async with keep_registered(system):
            yield system


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
async def test_callers_of_a_partitioned_front_are_served(system, shape):
    cut_off, other = Callers(system, 0), Callers(system, 1)
    async with asyncio.TaskGroup() as group:
        for callers in (cut_off, other):
            group.create_task(callers.run(2.0 + PARTITION_S))
        await asyncio.sleep(2.0)
        began = time.monotonic()
        with partition(system, 0, shape):
            await asyncio.sleep(PARTITION_S)
    attempts = cut_off.list_since(began + DETECTION_S)
    failed = list_failed(attempts)
    assert len(failed) <= MAX_FAILED_SHARE * len(attempts), failed
    assert not list_failed(other.list_since(began))


async def run_callers(callers, seconds):
    async with asyncio.TaskGroup() as group:
        for one in callers:
            group.create_task(one.run(seconds))


async def count_direct_and_tunnelled(system, seconds):
    """Return how many requests of front 0 came directly, and through a peer."""
    before = len(system.processes.read_log("front-0"))
    await Callers(system, 0).run(seconds)
    lines = system.processes.read_log("front-0")[before:]
    answered = [line for line in lines if line["event"] == "request answered"]
    tunnelled = sum(line["peer"] is not None for line in answered)
    return len(answered) - tunnelled, tunnelled


async def test_front_returns_to_the_direct_way_soon_after_a_partition(system):
    with partition(system, 0, SHAPES["refused"]):
        await Callers(system, 0).run(2.0)
        direct, tunnelled = await count_direct_and_tunnelled(system, 1.0)
        assert direct == 0
        assert tunnelled > 10
    await Callers(system, 0).run(2.0)
    direct, tunnelled = await count_direct_and_tunnelled(system, 1.0)
    assert tunnelled == 0
    assert direct > 10


async def test_callers_of_isolated_fronts_are_refused_at_once_while_all_are(system):
    callers = [Callers(system, 0), Callers(system, 1)]
    shape = SHAPES["silent-open-reset"]
    with partition(system, 0, shape), partition(system, 1, shape):
        await run_callers(callers, 3.0)
        began = time.monotonic()
        await run_callers(callers, 3.0)
        for front in (0, 1):
            await system.wait_ready(is_ready=False, front=front, seconds=2.0)
        attempts = [one for each in callers for one in each.list_since(began)]
        assert {one.status for one in attempts} == {503}
        assert max(one.elapsed for one in attempts) < 0.5
    # Both try directly again without any healthy peer.
    await run_callers(callers, 2.0)
    began = time.monotonic()
    await run_callers(callers, 1.0)
    for one in callers:
        assert not list_failed(one.list_since(began))
    for front in (0, 1):
        await system.wait_ready(front=front, seconds=2.0)


async def test_replica_of_a_caller_that_leaves_stops_through_a_tunnel(system):
    for replica in system.replicas:
        replica.event_interval_s = 0.5
    with partition(system, 0, SHAPES["refused"]):
        await Callers(system, 0).run(2.0)
        for replica in system.replicas:
            replica.ran.clear()
            replica.cancelled_at.clear()
        calling = asyncio.create_task(system.call("stream", front=0))
        await asyncio.sleep(0.7)
        calling.cancel()
        left_at = time.monotonic()
        async with asyncio.timeout(2.0):
            while not any(replica.cancelled_at for replica in system.replicas):
                await asyncio.sleep(0.01)
        (cancelled_at,) = [at for one in system.replicas for at in one.cancelled_at]
        assert cancelled_at - left_at < 0.5


async def test_no_call_runs_twice_and_none_that_ran_is_reported_as_not_run(system):
    """Peers are killed while they carry calls that may run at most once."""
    callers = Callers(system, 0, KINDS_AT_MOST_ONCE)
    async with asyncio.TaskGroup() as group:
        group.create_task(callers.run(8.0))
        await asyncio.sleep(1.0)
        with partition(system, 0, SHAPES["refused"]):
            for _ in range(2):
                await asyncio.sleep(2.0)
                system.processes.kill("front-1")
                system.processes.start("front-1")
            await asyncio.sleep(2.0)
    ran = [request.headers["X-Request-Id"] for request in list_requests(system)]
    assert len(ran) == len(set(ran))
    refused = {one.request for one in callers.answered if one.status == 503}
    assert not refused & set(ran)


async def test_planned_stop_of_a_peer_cuts_nothing_off(system):
    callers = Callers(system, 0)
    with partition(system, 0, SHAPES["refused"]):
        await callers.run(2.0)
        began = time.monotonic()
        async with asyncio.TaskGroup() as group:
            group.create_task(callers.run(1.0))
            await asyncio.sleep(0.5)
            # The only peer stops: what it carries goes on to its end.
            system.processes.signal("front-1", signal.SIGTERM)
        failed = {
            one.status
            for one in callers.list_since(began)
            if one.status != 200 or not one.is_complete
        }
    assert failed <= {503}


def list_requests(system):
    return [request for replica in system.replicas for request, _ in replica.ran]


LONG_TIMEOUT_MS = 12_000
"""Time for a long prompt: several times its prefill, so that a retry can be served."""


def call_with_long_prompt(system, number, front=0):
    """Send a prompt of its own: equal ones count as the same request again."""
    headers = {**LONG_PROMPT, "X-Deadline-Ms": str(LONG_TIMEOUT_MS)}
    return system.call("stream", front=front, body=b"long %d" % number, **headers)


async def open_connections_to_all(system):
    """Have front 0 send a long prompt to each engine, over a connection it keeps."""
    for first in (100, 200):
        calls = [
            call_with_long_prompt(system, first + number)
            for number in range(len(system.replicas))
        ]
        assert {status for status, _, _ in await asyncio.gather(*calls)} == {200}


@contextlib.asynccontextmanager
async def hang_long_prompts(system):
    """Send long prompts over connections that fall silent; yield their calls.

    Other callers of the front go on meanwhile, so it notices the partition.
    """
    document = build_document(
        3, [SERVICE], engines=[SERVICE], TimeoutMs=LONG_TIMEOUT_MS
    )
    assert await system.put(document) == 200
    await open_connections_to_all(system)
    with partition(system, 0, SHAPES["silent"]):
        async with asyncio.TaskGroup() as group:
            calls = [
                group.create_task(call_with_long_prompt(system, number))
                for number in range(len(system.replicas))
            ]
            await asyncio.sleep(0.1)
            group.create_task(Callers(system, 0, KINDS_QUICK).run(DETECTION_S))
            yield calls


async def test_long_prompts_sent_as_a_partition_begins_are_served(system):
    """Guards against waiting on dead connections until the deadline."""
    async with hang_long_prompts(system) as calls:
        async with asyncio.timeout(DETECTION_S):
            results = await asyncio.gather(*calls)
    assert {(status, body) for status, body, _ in results} == {(200, COMPLETE_STREAM)}


async def test_hung_prompts_of_a_partitioned_front_leave_room_for_others(system):
    """Guards against prompts on dead connections holding engines that others need."""
    async with hang_long_prompts(system):
        await asyncio.sleep(1.0)
        status, body, _ = await call_with_long_prompt(system, 99, front=1)
    assert (status, body) == (200, COMPLETE_STREAM)
