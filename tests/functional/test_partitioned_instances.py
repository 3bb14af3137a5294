"""An instance of the cluster's own API that reaches no upstream, while others do.

Guards against its callers being refused although every engine is up.
"""

import asyncio
import contextlib

import pytest

from scalebend.soak.misbehaving import Partition
from scalebend.standins.proxy import Direction, Rule
from tests.lib.cluster import run_cluster

CUT_OFF, OTHER = "instance-0", "instance-1"
CALLS = 20
MAX_FAILED = 1
"""The users' bound of 1 in 50, with one for small counts."""

CUT_OFF_HOST = "127.0.0.9"
"""Address from which the partitioned instance connects, by which proxies know it."""

DETECTION_S = 3.0
"""Seconds after the start of a partition from which callers are served."""

LONG_TOKENS = 200
"""Output of a response that is under way when the partition begins."""


@pytest.fixture
async def cluster(tmp_path):
    hosts = {CUT_OFF: CUT_OFF_HOST}
    async with run_cluster(
        tmp_path, count=3, control=3, engines=3, hosts=hosts, has_proxies=True
    ) as cluster:
        assert (await cluster.apply(OTHER, 0, "first"))[0] == 200
        await cluster.wait_version(1)
        yield cluster


async def complete(cluster, name, number, **options):
    async with cluster.complete(name, f"prompt {number}", **options) as response:
        body = await response.read()
    return response.status, body


async def call_all(cluster, name):
    """Send completions one after another; return the statuses of those that failed."""
    failed = []
    for number in range(CALLS):
        status, body = await complete(cluster, name, number)
        if status != 200 or b"[DONE]" not in body:
            failed.append(status)
    return failed


async def order_all(cluster, name):
    """Send orders that may run at most once; return the statuses of failed ones."""
    statuses = [await cluster.order(name, f"{name}-{n}") for n in range(CALLS)]
    return [status for status in statuses if status != 200]


def partition(cluster, name, *, is_refused):
    upstreams = [*cluster.engines, cluster.service]
    ports = tuple(int(one.address.rpartition(":")[2]) for one in upstreams)
    cluster.set_faults(name, partition=Partition("127.0.0.1", is_refused, ports))


@pytest.mark.parametrize("is_refused", [True, False], ids=["refused", "silent"])
async def test_callers_of_a_partitioned_instance_are_served(cluster, is_refused):
    assert not await call_all(cluster, CUT_OFF)
    partition(cluster, CUT_OFF, is_refused=is_refused)
    await asyncio.sleep(3.0)
    failed = await call_all(cluster, CUT_OFF)
    failed += await order_all(cluster, CUT_OFF)
    assert not await call_all(cluster, OTHER)
    assert len(failed) <= MAX_FAILED, failed


async def test_responses_under_way_when_a_partition_begins_are_completed(cluster):
    """Guards against waiting on dead connections until the deadline."""
    assert not await call_all(cluster, CUT_OFF)
    async with asyncio.TaskGroup() as group:
        calls = [
            group.create_task(
                complete(cluster, CUT_OFF, number, max_tokens=LONG_TOKENS)
            )
            for number in range(6)
        ]
        await asyncio.sleep(0.3)
        assert not any(call.done() for call in calls)
        with contextlib.ExitStack() as stack:
            for proxy in cluster.proxies:
                rule = Rule(CUT_OFF_HOST, Direction.BOTH)
                stack.enter_context(proxy.apply(rule))
            partition(cluster, CUT_OFF, is_refused=False)
            # Others go on calling, so the instance notices the partition.
            await call_all(cluster, CUT_OFF)
            done, _ = await asyncio.wait(calls, timeout=2 * DETECTION_S)
            assert len(done) == len(calls)
    for call in calls:
        status, body = call.result()
        assert status == 200
        assert body.count(b"data: ") >= LONG_TOKENS and b"[DONE]" in body
