"""Runs one seed: starts all processes, injects its faults and checks the promises."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec
import structlog

from scalebend.edges.stalls import StallGuard
from scalebend.soak.callers import run_callers
from scalebend.soak.deployment import HEARTBEAT_INTERVAL_S, run_deployment
from scalebend.soak.documents import ENGINES, PLAIN
from scalebend.soak.evidence import SETTLE_S
from scalebend.soak.faults import Evacuate
from scalebend.soak.injector import Injector
from scalebend.soak.layout import Layout, ProcessName
from scalebend.soak.observations import Observations
from scalebend.soak.operator import CALL_TIMEOUT_S, Operator
from scalebend.soak.promises import Violation, check_promises
from scalebend.soak.replicas import Fleet, run_replica
from scalebend.soak.schedules import (
    build_schedule,
    build_silent_series,
    draw_guilty_prompts,
    draw_partition,
)

logger = structlog.get_logger(__name__)

START_TIMEOUT_S = 30.0
"""Seconds for the first document to be acknowledged, also on a busy host."""

START_SETTLE_S = 3.0
"""Seconds before the load: replicas register, and retry budgets become usable."""

RECOVERY_S = 12.0
"""Seconds after the last fault within which service must recover."""

CALM_PARTITION_S = 8.0
"""Seconds for which one front is partitioned from replicas after the recovery."""

CALM_GUILTY_S = 11.0
"""Seconds for which prompts that crash replicas are sent after the recovery."""

CALM_EVACUATION_S = 5.0
"""Seconds for which a zone is evacuated after the recovery."""

SILENT_SERIES_CALLERS = 2
"""Further callers per caller in the series of silences: more requests meet one."""

FINAL_LOAD_S = 4.0
"""Seconds of load after the recovery."""


STALL_CHECK_INTERVAL_S = 0.05
"""Seconds between two checks whether this process itself was held up."""


class SoakOptions(msgspec.Struct, frozen=True):
    """Options of one run; ``length`` is the approximate load in seconds."""

    seed: int
    length: float
    layout: Layout
    callers: int
    folder: Path


class SoakReport(msgspec.Struct, frozen=True):
    """Result of one run."""

    seed: int
    violations: list[Violation]
    requests: int
    served: int
    runs: int
    changes: int
    faults: int


async def run_soak(options: SoakOptions) -> SoakReport:
    """Run one seed and return its result."""
    observations = Observations()
    schedule = build_schedule(options.seed, options.length, options.layout)
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            run_deployment(options.folder, options.layout, observations)
        )
        session = await stack.enter_async_context(_open_session())
        controls = {
            name: deployment.get_call_address(name) for name in options.layout.controls
        }
        operator = Operator(controls, observations, options.seed)
        async with asyncio.timeout(START_TIMEOUT_S):
            await operator.change(session)
        fleet = await stack.enter_async_context(
            _run_fleet(options, observations, controls, session)
        )
        await asyncio.sleep(START_SETTLE_S)
        injector = Injector(deployment, fleet, operator, observations, options.seed)
        reading = asyncio.create_task(operator.read_forever(session))
        await stack.enter_async_context(_log_stalls())
        async with run_callers(options.callers, deployment, observations, options.seed):
            await injector.follow(schedule, session)
            observations.load_ended_at = asyncio.get_running_loop().time()
            await asyncio.sleep(RECOVERY_S)
            if len(options.layout.fronts) > 1:
                chooser = random.Random(f"{options.seed}/calm partition")
                partition = draw_partition(chooser, options.layout, CALM_PARTITION_S)
                await injector.inject(partition, session)
                await asyncio.sleep(SETTLE_S)
            chooser = random.Random(f"{options.seed}/calm guilty")
            prompts = draw_guilty_prompts(chooser, CALM_GUILTY_S)
            await injector.inject(prompts, session)
            await asyncio.sleep(SETTLE_S)
            # Without any fault, the strictest bound holds.
            evacuation = Evacuate(options.layout.replica_zones[0], CALM_EVACUATION_S)
            await injector.inject(evacuation, session)
            await asyncio.sleep(SETTLE_S)
            await operator.change(session)
            await asyncio.sleep(FINAL_LOAD_S)
            # Last, so that the checks of calm periods need no further time.
            async with run_callers(
                SILENT_SERIES_CALLERS * options.callers,
                deployment,
                observations,
                options.seed,
                "more-",
            ):
                silences = build_silent_series(options.seed, options.layout)
                await injector.follow(silences, session)
        reading.cancel()
        await operator.read(session)
        await operator.read_evacuated(session, ())
        observations.ended_at = asyncio.get_running_loop().time()
    violations = check_promises(observations)
    violations += [
        Violation("taken_changes", detail) for detail in operator.failed_changes
    ]
    return _report(options, observations, violations, len(schedule.faults))


def _report(
    options: SoakOptions,
    observations: Observations,
    violations: list[Violation],
    faults: int,
) -> SoakReport:
    return SoakReport(
        options.seed,
        violations,
        len(observations.caller_requests),
        sum(request.status == 200 for request in observations.caller_requests.values()),
        len(observations.executions),
        len(observations.accepted),
        faults,
    )


@contextlib.asynccontextmanager
async def _log_stalls() -> AsyncIterator[None]:
    """Log stalls of this process, which callers see as silences of all replicas."""
    checking = asyncio.create_task(_check_stalls_forever())
    try:
        yield
    finally:
        checking.cancel()
        await asyncio.gather(checking, return_exceptions=True)


async def _check_stalls_forever() -> None:
    loop = asyncio.get_running_loop()
    guard = StallGuard(STALL_CHECK_INTERVAL_S, loop.time())
    while True:
        guard.may_run(loop.time())
        await asyncio.sleep(STALL_CHECK_INTERVAL_S)


@contextlib.asynccontextmanager
async def _open_session() -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(force_close=True)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield session


@contextlib.asynccontextmanager
async def _run_fleet(
    options: SoakOptions,
    observations: Observations,
    controls: dict[ProcessName, str],
    session: aiohttp.ClientSession,
) -> AsyncIterator[Fleet]:
    fleet = Fleet(observations, controls, options.seed)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(options.layout.replicas):
            service = PLAIN if number in options.layout.plain_replicas else ENGINES
            await stack.enter_async_context(
                run_replica(fleet, service, session, HEARTBEAT_INTERVAL_S)
            )
        yield fleet
