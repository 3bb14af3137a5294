"""Opens connections to upstreams, directly or through peers, and collects evidence."""

from __future__ import annotations

import errno
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

import aiohttp
import structlog

from scalebend.core.upstream_reach import Direct, FailureKind, Tunnel, UpstreamReach
from scalebend.models.ids import AvailabilityZone
from scalebend.models.tunnels import TunnelPeer, TunnelReply

if TYPE_CHECKING:
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


class DialerHost(Protocol):
    """What a process provides for its dialer."""

    reach: UpstreamReach

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def spawn(self, work: Coroutine[Any, Any, object]) -> object:
        """Run ``work`` as a background task."""

    def find_zone(self, address: str) -> AvailabilityZone | None:
        """Return the zone of the upstream at an address, if known."""

    def record_direct_failure(self, address: str, kind: FailureKind) -> None:
        """Record that a direct connection failed."""

    def count_reply(self, reply: TunnelReply | None) -> None:
        """Count the reply of a peer; ``None`` if there was none."""

    async def open_tunnel(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        """Connect ``handler`` through a peer; ``None`` if it did not reply."""


class UpstreamDialer:
    """Opens the upstream connections of one process."""

    def __init__(self, host: DialerHost) -> None:
        self._host = host
        self._reach = host.reach

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
        plan = self._reach.plan(address, self._host.now(), may_repeat=may_repeat)
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
            if self._reach.asks_peers_now(address, self._host.now()):
                handler = await self._connect_through_peers(address, build_handler)
                if handler is not None:
                    return handler
            elif self._reach.is_check_due(address, self._host.now()):
                self._host.spawn(self._check(address, build_handler))
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
        opened_at = self._host.now()
        try:
            handler = await connect_directly(timeout_s)
        except (aiohttp.ClientConnectorError, TimeoutError) as error:
            if not _is_local(error):
                self._host.record_direct_failure(address, FailureKind.CONNECT)
            raise
        handler.watch(self, address, opened_at, None)
        return handler

    async def _connect_through_peers(
        self, address: str, build_handler: BuildHandler
    ) -> StrictResponseHandler | None:
        """Ask peers one after the other; ``None`` if none of them gets through."""
        started_at = self._host.now()
        zone = self._host.find_zone(address)
        for peer in self._reach.list_peers(zone, started_at):
            handler = build_handler()
            reply = await self._ask(peer, address, handler)
            now = self._host.now()
            if reply is TunnelReply.OPENED:
                handler.watch(self, address, now, peer.instance)
                return handler
            if not self._reach.needs_more_replies(address, now):
                break
            if now - started_at >= PEERS_TIMEOUT_S:
                break
        return None

    async def _ask(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        reply = await self._host.open_tunnel(peer, address, handler)
        self._reach.record_reply(address, peer.instance, reply, self._host.now())
        self._host.count_reply(reply)
        return reply

    async def _check(self, address: str, build_handler: BuildHandler) -> None:
        """Find out whether an upstream is alive that was not reached directly."""
        handler = await self._connect_through_peers(address, build_handler)
        if handler is not None:
            handler.close()

    # Evidence of open connections

    def may_reuse(self, address: str, opened_at: float, *, is_tunnel: bool) -> bool:
        """Whether an idle connection may be reused."""
        now = self._host.now()
        return self._reach.may_reuse(address, opened_at, now, is_tunnel=is_tunnel)

    def record_data(self, address: str, opened_at: float) -> None:
        """Record the first data on a direct connection."""
        self._reach.record_data(address, opened_at, self._host.now())

    def record_early_loss(self, address: str) -> None:
        """Record that a direct connection was lost before the response began."""
        self._host.record_direct_failure(address, FailureKind.EARLY_LOSS)


def _is_local(error: Exception) -> bool:
    if not isinstance(error, aiohttp.ClientConnectorError):
        return False
    return error.os_error.errno in LOCAL_ERRORS
