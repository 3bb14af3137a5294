"""Runs a control instance of the gateway: log, links and HTTP listener."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

import structlog

from scalebend.core.consensus.messages import Recovered
from scalebend.core.gateway.founding import plan_founding
from scalebend.edges.gateway.control_runtime import TICK_INTERVAL_S, ControlRuntime
from scalebend.edges.gateway.http_loading import load_http
from scalebend.edges.gateway.links import run_links
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.models.founding import Founding, StoredFounding
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import InstanceId
from scalebend.storage.founding_file import read_founding, store_founding
from scalebend.storage.journal import open_journal
from scalebend.utils.stop_signal import StopSignal, compute_stop_end

logger = structlog.get_logger(__name__)

REOPEN_DELAY_S = 0.3
"""Seconds before the log is reopened after a disk error."""


async def serve_control(
    settings: GatewaySettings, stopped: StopSignal, watch: SettingsWatch
) -> None:
    """Run a control instance until ``stopped`` is set.

    A disk error stops the member, not the process: the member is restarted from the
    stored state until the disk accepts writes again.
    """
    metrics = GatewayMetrics()
    while not stopped.is_set():
        try:
            await _serve_member(settings, metrics, stopped, watch)
        except OSError as error:
            logger.error("control member failed", error=str(error))
        if not stopped.is_set():
            await asyncio.sleep(REOPEN_DELAY_S)


async def _serve_member(
    settings: GatewaySettings,
    metrics: GatewayMetrics,
    stopped: StopSignal,
    watch: SettingsWatch,
) -> None:
    assert settings.data_folder is not None
    folder = Path(settings.data_folder)
    if settings.is_first_start:
        store_founding(folder, StoredFounding(_list_seeds(settings), time.time()))
    with open_journal(folder) as (journal, recovered):
        founding = _plan_founding(settings, folder, recovered, time.time())
        runtime = ControlRuntime(
            settings, folder, founding, journal, recovered, metrics
        )
        async with contextlib.AsyncExitStack() as stack:
            address = settings.link_listen or settings.link_address
            links = run_links(address, runtime.server, runtime.dialer, runtime.run())
            await stack.enter_async_context(links)
            await stack.enter_async_context(watch.watch_seeds(runtime.set_seeds))
            # The member takes part in elections while the HTTP libraries load.
            calls = await load_http(
                "scalebend.edges.gateway.control_calls",
                lambda: runtime.instance.member.leader is not None,
            )
            await stack.enter_async_context(calls.serve_calls(settings, runtime))
            logger.info("control listens", instance=settings.name)
            stopping = asyncio.ensure_future(_wait_until_set(stopped))
            ends: set[asyncio.Future[None]] = {stopping, runtime.failure}
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
            stopping.cancel()
            if stopped.came_at is not None:
                grace = settings.bounds.drain_grace
                await _leave_group(runtime, compute_stop_end(stopped.came_at, grace))


def _plan_founding(
    settings: GatewaySettings, folder: Path, recovered: Recovered, now: float
) -> Founding | None:
    founding = plan_founding(
        _list_seeds(settings),
        read_founding(folder),
        is_first_start=settings.is_first_start,
        now=now,
    )
    has_group = recovered.snapshot is not None or bool(recovered.entries)
    if founding is not None and not has_group and not settings.is_first_start:
        logger.info(
            "founding resumed",
            founders=founding.founders,
            needs_all=founding.needs_all,
        )
    return founding


def _list_seeds(settings: GatewaySettings) -> list[InstanceId]:
    return [InstanceId(seed) for seed in settings.seeds]


async def _wait_until_set(event: asyncio.Event) -> None:
    await event.wait()


HANDOVER_DELAY_S = 0.5
"""Seconds for another member to become leader before this process ends."""


async def _leave_group(runtime: ControlRuntime, end: float) -> None:
    """Pass on this member's vote and leadership; ``end`` is the latest time to stop.

    The process may be gone for good: a vote that stays with it is as good as lost.
    """
    member = runtime.instance.member
    has_led = runtime.instance.is_leader
    member.leave()
    while not runtime.failure.done() and not member.may_stop(runtime.now()):
        if runtime.now() >= end:
            logger.warning("control member stops before its vote is taken over")
            break
        await asyncio.sleep(TICK_INTERVAL_S)
    if runtime.failure.done():
        return
    logger.info(
        "control member leaves",
        votes=member.has_settled_vote,
        voters=member.list_voters(),
    )
    if runtime.instance.is_leader:
        has_led = True
        member.stop_leading(runtime.now())
    if has_led:
        logger.info("leadership handed over")
        runtime.schedule_pump()
        await asyncio.sleep(HANDOVER_DELAY_S)
