"""A front from its start to its end: links first, then HTTP, then an orderly stop."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime, run_front
from scalebend.edges.gateway.http_loading import load_http
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.edges.gateway.sockets import Listeners
from scalebend.models.gateway_settings import GatewaySettings

if TYPE_CHECKING:
    from aiohttp import web

logger = structlog.get_logger(__name__)

STOP_TAKING = 4.5
"""Seconds after the stop signal for which connections are still taken, so that who
comes late is told to go elsewhere."""

STOP_MARGIN = 1.0
"""Seconds before the kill at which open requests are left, so that closing them ends
before it."""

POLL = 0.05
"""Seconds between two looks at what is still open while stopping."""


async def serve_front(
    settings: GatewaySettings,
    listeners: Listeners,
    stopped: asyncio.Event,
    watch: SettingsWatch,
) -> None:
    """Run a front until ``stopped`` is set, then finish what is open."""
    metrics = GatewayMetrics()
    async with contextlib.AsyncExitStack() as stack:
        runtime = await stack.enter_async_context(run_front(settings, metrics))
        await stack.enter_async_context(watch.watch_seeds(runtime.instance.set_seeds))
        # Links come up and the routing document arrives meanwhile.
        calls = await load_http(
            "scalebend.edges.gateway.front_calls",
            lambda: runtime.instance.may_admit(runtime.now()),
        )
        site = await stack.enter_async_context(
            calls.serve_calls(settings, listeners, runtime)
        )
        logger.info("front listens", instance=settings.name)
        await stopped.wait()
        await _drain(runtime, site)


async def _drain(runtime: FrontRuntime, site: web.SockSite) -> None:
    started = runtime.now()
    runtime.drain_began = started
    runtime.instance.is_draining = True
    logger.info("drain begins", open=runtime.open_requests)
    end = started + runtime.settings.bounds.drain_grace - STOP_MARGIN
    await asyncio.sleep(min(STOP_TAKING, end - started))
    await site.stop()
    while runtime.open_requests and runtime.now() < end:
        await asyncio.sleep(POLL)
    logger.info("drain ends", open=runtime.open_requests)
