"""Fronts that reach no replica while callers, other fronts and control reach them.

Guards against callers of such a front being refused although every replica is up, and
against its failures making replicas unusable for others.
"""

import asyncio
import time

import pytest

from tests.lib.gateway_load import keep_registered
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.partitions import (
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
