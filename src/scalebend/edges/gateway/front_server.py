"""Runs a front from start to stop: links first, then HTTP, then draining."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import structlog

from scalebend.core.gateway.drain import Drain
from scalebend.edges.gateway.front_runtime import FrontRuntime, run_front
from scalebend.edges.gateway.http_loading import load_http
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.edges.gateway.sockets import Listeners
from scalebend.models.gateway_settings import GatewaySettings

if TYPE_CHECKING:
    from scalebend.edges.gateway.front_calls import Calls
    from scalebend.utils.stop_signal import StopSignal

logger = structlog.get_logger(__name__)

ACCEPT_AFTER_STOP_S = 4.5
"""Time after the stop signal for which connections are still accepted, so that late
callers are redirected by a response instead of a refused connection."""

LAST_REQUEST_WAIT_S = 0.3
"""Time after the last connection was accepted for its request to arrive and to be
answered: some round trips of a caller, and a stall of this process."""

POLL_INTERVAL_S = 0.05
"""Interval of the checks of open requests while draining."""


async def serve_front(
    settings: GatewaySettings,
    listeners: Listeners,
    stopped: StopSignal,
    watch: SettingsWatch,
) -> None:
    """Run a front until ``stopped`` is set, then drain it."""
    metrics = GatewayMetrics()
    async with contextlib.AsyncExitStack() as stack:
        runtime = await stack.enter_async_context(run_front(settings, metrics))
        await stack.enter_async_context(watch.watch_seeds(runtime.instance.set_seeds))
        # Meanwhile, links come up and the routing document arrives.
        front_calls = await load_http(
            "scalebend.edges.gateway.front_calls",
            lambda: runtime.instance.may_admit(runtime.now()),
        )
        calls = await stack.enter_async_context(
            front_calls.serve_calls(settings, listeners, runtime)
        )
        logger.info("front listens", instance=settings.name)
        await stopped.wait()
        assert stopped.came_at is not None
        await drain(runtime, calls, stopped.came_at)


async def drain(runtime: FrontRuntime, calls: Calls, began: float) -> None:
    """Complete what can be completed until shortly before the process is killed.

    ``began`` is the time of the stop signal, which may have come before callers were
    served.
    """
    planned = Drain(began, runtime.settings.bounds.drain_grace)
    runtime.drain = planned
    runtime.instance.is_draining = True
    runtime.tunnels.begin_leaving()
    logger.info("drain begins", open=runtime.open_requests)
    async with asyncio.TaskGroup() as group:
        ending = group.create_task(_end_waiting(runtime, calls, planned))
        accept_until = min(began + ACCEPT_AFTER_STOP_S, planned.end)
        await asyncio.sleep(max(0.0, accept_until - runtime.now()))
        await calls.listener.stop()
        last_request = min(runtime.now() + LAST_REQUEST_WAIT_S, planned.end)
        await asyncio.sleep(max(0.0, last_request - runtime.now()))
        while _has_work(runtime) and runtime.now() < planned.end:
            await asyncio.sleep(POLL_INTERVAL_S)
        ending.cancel()
    logger.info("drain ends", open=runtime.open_requests, tunnels=runtime.tunnels.open)


async def _end_waiting(runtime: FrontRuntime, calls: Calls, planned: Drain) -> None:
    """Keep ending the requests that no replica runs and that can't be completed."""
    while True:
        calls.requests.end_waiting(planned, runtime.now())
        await asyncio.sleep(POLL_INTERVAL_S)


def _has_work(runtime: FrontRuntime) -> bool:
    return bool(runtime.open_requests or runtime.tunnels.open)
