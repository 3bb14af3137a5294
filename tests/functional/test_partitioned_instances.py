"""An instance of the cluster's own API that reaches no upstream, while others do.

Guards against its callers being refused although every engine is up.
"""

import asyncio

import pytest

from scalebend.soak.misbehaving import Partition
from tests.lib.cluster import run_cluster

CUT_OFF, OTHER = "instance-0", "instance-1"
CALLS = 20
MAX_FAILED = 1
"""The users' bound of 1 in 50, with one for small counts."""


@pytest.fixture
async def cluster(tmp_path):
    async with run_cluster(tmp_path, count=3, control=3, engines=3) as cluster:
        assert (await cluster.apply(OTHER, 0, "first"))[0] == 200
        await cluster.wait_version(1)
        yield cluster


async def complete(cluster, name, number):
    async with cluster.complete(name, f"prompt {number}") as response:
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
