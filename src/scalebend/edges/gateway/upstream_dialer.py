"""Opens connections to upstreams, directly or through peers, and collects evidence."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import aiohttp
import structlog

from scalebend.core.gateway.upstream_reach import Direct, FailureKind, Tunnel
from scalebend.edges.gateway.tunnel_client import open_tunnel
from scalebend.models.tunnels import FrontPeer, TunnelReply

if TYPE_CHECKING:
    from scalebend.edges.gateway.front_runtime import FrontRuntime
    from scalebend.edges.gateway.upstream_client import StrictResponseHandler

logger = structlog.get_logger(__name__)

TRIAL_TIMEOUT_S = 0.02
"""Time for the direct trial of an upstream behind tunnels: some round trips within a
region, and little of the target latency of a quick prompt."""

PEERS_TIMEOUT_S = 0.3
"""Time after which no further peer is asked for a request."""

LOCAL_ERRORS = (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
"""Errors of this process, which say nothing about a way."""

ConnectDirectly = Callable[[float | None], Awaitable["StrictResponseHandler"]]
"""Connects to the upstream within a timeout in seconds, ``None`` for the usual one.

Raises :class:`aiohttp.ClientConnectorError` or :class:`TimeoutError`."""

BuildHandler = Callable[[], "StrictResponseHandler"]
"""Builds the protocol of a connection that is not open yet."""


class UpstreamDialer:
    """Opens the upstream connections of one front."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self._runtime = runtime
        self._reach = runtime.instance.reach

    async def connect(
        self,
        address: str,
        connect_directly: ConnectDirectly,
        build_handler: BuildHandler,
        *,
        may_repeat: bool,
    ) -> StrictResponseHandler:
        """Connect to the upstream at ``address``; raise the error of the direct way.

        ``may_repeat``: whether the request of the connection may be repeated.
        """
        plan = self._reach.plan(address, self._runtime.now(), may_repeat=may_repeat)
        match plan:
            case Direct():
                return await self._connect_direct_first(
                    address, connect_directly, build_handler
                )
            case Tunnel(is_trial):
                return await self._connect_tunnel_first(
                    address, connect_directly, build_handler, is_trial=is_trial
                )

    async def _connect_direct_first(
        self,
        address: str,
        connect_directly: ConnectDirectly,
        build_handler: BuildHandler,
    ) -> StrictResponseHandler:
        try:
            return await self._connect_directly(address, connect_directly, None)
        except (aiohttp.ClientConnectorError, TimeoutError):
            if self._reach.asks_peers_now(address, self._runtime.now()):
                handler = await self._connect_through_peers(address, build_handler)
                if handler is not None:
                    return handler
            elif self._reach.is_check_due(address, self._runtime.now()):
                self._runtime.spawn(self._check(address, build_handler))
            raise

    async def _connect_tunnel_first(
        self,
        address: str,
        connect_directly: ConnectDirectly,
        build_handler: BuildHandler,
        *,
        is_trial: bool,
    ) -> StrictResponseHandler:
        error: Exception | None = None
        if is_trial:
            try:
                return await self._connect_directly(
                    address, connect_directly, TRIAL_TIMEOUT_S
                )
            except (aiohttp.ClientConnectorError, TimeoutError) as failure:
                error = failure
        handler = await self._connect_through_peers(address, build_handler)
        if handler is not None:
            return handler
        if error is not None:
            raise error
        return await self._connect_directly(address, connect_directly, TRIAL_TIMEOUT_S)

    async def _connect_directly(
        self, address: str, connect_directly: ConnectDirectly, timeout_s: float | None
    ) -> StrictResponseHandler:
        opened_at = self._runtime.now()
        try:
            handler = await connect_directly(timeout_s)
        except (aiohttp.ClientConnectorError, TimeoutError) as error:
            if not _is_local(error):
                self._runtime.instance.record_direct_failure(
                    address, FailureKind.CONNECT, self._runtime.now()
                )
            raise
        handler.watch(self, address, opened_at, None)
        return handler

    async def _connect_through_peers(
        self, address: str, build_handler: BuildHandler
    ) -> StrictResponseHandler | None:
        """Ask peers one after the other; ``None`` if none of them gets through."""
        started_at = self._runtime.now()
        zone = self._runtime.instance.directory.find_zone(address)
        for peer in self._reach.list_peers(zone, started_at):
            handler = build_handler()
            reply = await self._ask(peer, address, handler)
            now = self._runtime.now()
            if reply is TunnelReply.OPENED:
                handler.watch(self, address, now, peer.instance)
                return handler
            if not self._reach.needs_more_replies(address, now):
                break
            if now - started_at >= PEERS_TIMEOUT_S:
                break
        return None

    async def _ask(
        self, peer: FrontPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        reply = await open_tunnel(peer, address, handler)
        self._reach.record_reply(address, peer.instance, reply, self._runtime.now())
        self._runtime.metrics.count_tunnel_used(reply)
        return reply

    async def _check(self, address: str, build_handler: BuildHandler) -> None:
        """Find out whether an upstream is alive that was not reached directly."""
        handler = await self._connect_through_peers(address, build_handler)
        if handler is not None:
            handler.close()

    # Evidence of open connections

    def may_reuse(self, address: str, opened_at: float, *, is_tunnel: bool) -> bool:
        """Whether an idle connection may be reused."""
        now = self._runtime.now()
        return self._reach.may_reuse(address, opened_at, now, is_tunnel=is_tunnel)

    def record_data(self, address: str, opened_at: float) -> None:
        """Record the first data on a direct connection."""
        self._reach.record_data(address, opened_at, self._runtime.now())

    def record_early_loss(self, address: str) -> None:
        """Record that a direct connection was lost before the response began."""
        self._runtime.instance.record_direct_failure(
            address, FailureKind.EARLY_LOSS, self._runtime.now()
        )


def _is_local(error: Exception) -> bool:
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return error.os_error.errno in LOCAL_ERRORS
