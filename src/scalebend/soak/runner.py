"""One run: starts everything, lets a schedule happen, and checks the promises."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec
import structlog

from scalebend.soak.callers import run_callers
from scalebend.soak.deployment import HEARTBEAT, run_deployment
from scalebend.soak.documents import ENGINES, PLAIN
from scalebend.soak.faults import build_schedule
from scalebend.soak.injector import Injector
from scalebend.soak.layout import Layout, ProcessName
from scalebend.soak.observations import Observations
from scalebend.soak.operator import CALL_TIMEOUT, Operator
from scalebend.soak.promises import Violation, check_promises
from scalebend.soak.replicas import Fleet, run_replica

logger = structlog.get_logger(__name__)

START_TIMEOUT = 30.0
"""Seconds for the first document to be taken, on a busy machine."""

SETTLE_START = 3.0
"""Seconds before the load: replicas register, and retries may be spent."""

RECOVERY = 12.0
"""Seconds after the last fault in which service must be back, as on the platform."""

LAST_LOAD = 4.0
"""Seconds of load after that, in calm."""


class SoakOptions(msgspec.Struct, frozen=True):
    """What one run does; ``length`` is the load's, in seconds."""

    seed: int
    length: float
    layout: Layout
    callers: int
    folder: Path


class SoakReport(msgspec.Struct, frozen=True):
    """What one run showed."""

    seed: int
    violations: list[Violation]
    requests: int
    served: int
    runs: int
    changes: int
    faults: int


async def run_soak(options: SoakOptions) -> SoakReport:
    """Run one seed."""
    seen = Observations()
    schedule = build_schedule(options.seed, options.length, options.layout)
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            run_deployment(options.folder, options.layout, seen)
        )
        session = await stack.enter_async_context(_open_session())
        controls = {
            name: deployment.get_calls(name) for name in options.layout.controls
        }
        operator = Operator(controls, seen, options.seed)
        async with asyncio.timeout(START_TIMEOUT):
            await operator.change(session)
        fleet = await stack.enter_async_context(
            _run_fleet(options, seen, controls, session)
        )
        await asyncio.sleep(SETTLE_START)
        injector = Injector(deployment, fleet, operator, seen, options.seed)
        reading = asyncio.create_task(operator.read_for_ever(session))
        async with run_callers(options.callers, deployment, seen, options.seed):
            await injector.follow(schedule, session)
            seen.load_ended_at = asyncio.get_running_loop().time()
            await asyncio.sleep(RECOVERY)
            await operator.change(session)
            await asyncio.sleep(LAST_LOAD)
        reading.cancel()
        await operator.read(session)
        seen.ended_at = asyncio.get_running_loop().time()
    violations = check_promises(seen)
    violations += [Violation("taken_changes", detail) for detail in operator.refused]
    return _report(options, seen, violations, len(schedule.faults))


def _report(
    options: SoakOptions, seen: Observations, violations: list[Violation], faults: int
) -> SoakReport:
    return SoakReport(
        options.seed,
        violations,
        len(seen.asked),
        sum(asked.status == 200 for asked in seen.asked.values()),
        len(seen.ran),
        len(seen.accepted),
        faults,
    )


@contextlib.asynccontextmanager
async def _open_session() -> AsyncIterator[aiohttp.ClientSession]:
    connector = aiohttp.TCPConnector(force_close=True)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield session


@contextlib.asynccontextmanager
async def _run_fleet(
    options: SoakOptions,
    seen: Observations,
    controls: dict[ProcessName, str],
    session: aiohttp.ClientSession,
) -> AsyncIterator[Fleet]:
    fleet = Fleet(seen, controls, options.seed)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(options.layout.replicas):
            service = PLAIN if number in options.layout.plain_replicas else ENGINES
            await stack.enter_async_context(
                run_replica(fleet, service, session, HEARTBEAT)
            )
        yield fleet
