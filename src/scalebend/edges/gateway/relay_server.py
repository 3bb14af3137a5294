"""Runs a relay: links to control instances, links of other processes, redirects."""

from __future__ import annotations

import asyncio
import contextlib
import time

import structlog
from aiohttp import web

from scalebend.core.gateway.messages import (
    Heartbeat,
    Introduce,
    KnownInstances,
    LinkMessage,
)
from scalebend.core.gateway.relay_instance import RelayInstance
from scalebend.core.messages import Hello
from scalebend.edges.gateway.http_listener import listen, serve_metrics
from scalebend.edges.gateway.links import (
    HEARTBEAT_INTERVAL_S,
    Dialer,
    LinkServer,
    run_links,
)
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.redirects import redirect_to
from scalebend.edges.gateway.settings_watch import SettingsWatch
from scalebend.edges.gateway.sockets import Listeners
from scalebend.edges.problems import build_response
from scalebend.edges.stalls import StallGuard
from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.gateway_settings import GatewayRole, GatewaySettings
from scalebend.models.ids import InstanceId

logger = structlog.get_logger(__name__)

TICK_INTERVAL_S = 0.1
"""Seconds between two checks of the links; a relay has no shorter timers."""


class RelayRuntime:
    """One running relay."""

    def __init__(self, settings: GatewaySettings, metrics: GatewayMetrics) -> None:
        self._settings = settings
        self._metrics = metrics
        self._next_heartbeat_at = 0.0
        own_id = settings.instance
        seeds = [InstanceId(seed) for seed in settings.seeds]
        self.instance = RelayInstance(
            own_id, seeds, is_first_start=settings.is_first_start
        )
        introduction = Introduce(own_id, time.time_ns(), settings.role)
        self.dialer = Dialer(
            introduction,
            self.instance.handle,
            self.instance.add_link,
            self.instance.remove_link,
            metrics,
        )
        self.server = LinkServer(
            self._receive, self._handle_link_up, lambda _: None, metrics
        )

    async def run(self) -> None:
        """Run the timers until cancelled."""
        loop = asyncio.get_running_loop()
        guard = StallGuard(TICK_INTERVAL_S, loop.time(), self._metrics.count_stall)
        while True:
            if guard.may_run(loop.time()):
                self._tick(loop.time())
            await asyncio.sleep(TICK_INTERVAL_S)

    def _tick(self, now: float) -> None:
        self.dialer.set_targets(self.instance.instances)
        self.dialer.close_unresponsive(now)
        self.server.close_unresponsive(now)
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            self.dialer.send_to_all(Heartbeat())
            self.server.send_to_all(self._build_known_instances())

    def _build_known_instances(self) -> KnownInstances:
        return KnownInstances(self.instance.list_members())

    def _handle_link_up(self, peer: Introduce) -> None:
        if peer.role is GatewayRole.CONTROL:
            self.instance.record_member(peer.instance)
        self.server.send(peer.instance, self._build_known_instances())

    def _receive(self, peer: Introduce, message: LinkMessage) -> None:
        if isinstance(message, Hello):
            reply = self.instance.reply_to_hello(peer.instance, message)
            self.server.send(peer.instance, reply)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Redirect a request to a member of the control group."""
        if request.method == "GET" and request.path == "/metrics":
            return await serve_metrics(self._metrics, request)
        target = self.instance.choose_target()
        if target is None:
            error = RefusedError("no member is known", kind=ErrorKind.NO_QUORUM)
            return build_response(error)
        return redirect_to(target, self._settings, request)


async def serve_relay(
    settings: GatewaySettings, stopped: asyncio.Event, watch: SettingsWatch
) -> None:
    """Run a relay until ``stopped`` is set."""
    assert settings.control_address is not None
    runtime = RelayRuntime(settings, GatewayMetrics())
    async with contextlib.AsyncExitStack() as stack:
        address = settings.link_listen or settings.link_address
        links = run_links(address, runtime.server, runtime.dialer, runtime.run())
        await stack.enter_async_context(links)
        await stack.enter_async_context(watch.watch_seeds(runtime.instance.set_seeds))
        sock = Listeners().pop(settings.control_address)
        await stack.enter_async_context(listen(sock, runtime.handle))
        logger.info("relay listens", instance=settings.name)
        await stopped.wait()
