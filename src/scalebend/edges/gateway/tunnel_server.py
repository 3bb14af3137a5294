"""Opens tunnels for other fronts: copies bytes between them and upstreams."""

from __future__ import annotations

import asyncio
import contextlib
import hmac
from collections.abc import AsyncIterator, Callable
from typing import cast

import structlog

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.upstream_reach import FailureKind
from scalebend.edges.connection_checks import is_own_fault
from scalebend.edges.essential_tasks import start_essential_task
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.tunnel_frames import (
    FrameError,
    FrameKind,
    build_frame,
    read_opening,
)
from scalebend.edges.gateway.upstream_sockets import CONNECT_TIMEOUT_S, set_options
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.tunnels import OpenTunnel, TunnelKey, TunnelReply
from scalebend.utils.addresses import parse_address
from scalebend.utils.resets import reset_connection

logger = structlog.get_logger(__name__)

OPENING_TIMEOUT_S = 1.0
"""Time in which a front must send its opening message."""

IDLE_TIMEOUT_S = 60.0
"""Time without bytes after which a tunnel is closed: longer than any deadline of a
caller, so only a front that vanished without a reset is meant."""

SWEEP_INTERVAL_S = 5.0
"""Interval of checks for idle tunnels."""

MAX_DESCRIPTOR_SHARE = 0.25
DESCRIPTORS_PER_TUNNEL = 2
"""Share of the file descriptors that tunnels may use; own callers need the others."""


class TunnelServer:
    """All tunnels that one front opened for others."""

    def __init__(
        self,
        settings: GatewaySettings,
        instance: FrontInstance,
        key: TunnelKey,
        metrics: GatewayMetrics,
    ) -> None:
        self._instance = instance
        self._key = key
        self._metrics = metrics
        self._max_open = int(
            MAX_DESCRIPTOR_SHARE * settings.max_open_files / DESCRIPTORS_PER_TUNNEL
        )
        self._tunnels: set[_FrontSide] = set()
        self.is_leaving = False
        """Whether this process stops."""

    @property
    def open(self) -> int:
        """Number of connections from other fronts."""
        return len(self._tunnels)

    def build_protocol(self) -> _FrontSide:
        """Return the protocol for a new connection."""
        return _FrontSide(self)

    def add(self, tunnel: _FrontSide) -> None:
        """Add a connection."""
        self._tunnels.add(tunnel)
        self._metrics.set_open_tunnels(self.open)

    def remove(self, tunnel: _FrontSide) -> None:
        """Remove a connection that ended."""
        self._tunnels.discard(tunnel)
        self._metrics.set_open_tunnels(self.open)

    def check(self, opening: OpenTunnel, now: float) -> TunnelReply | None:
        """Return why a tunnel may not be opened; ``None`` if it may."""
        if not hmac.compare_digest(opening.key.encode(), self._key.encode()):
            return TunnelReply.DENIED
        if self.is_leaving or self.open > self._max_open:
            return TunnelReply.BUSY
        if self._instance.directory.find_at(opening.address) is None:
            return TunnelReply.UNKNOWN
        return self._instance.reach.check_for_peer(opening.address, now)

    def record_failure(self, address: str, now: float) -> None:
        """Record that a connection to an upstream did not come about."""
        self._instance.record_direct_failure(address, FailureKind.CONNECT, now)

    def record_data(self, address: str, opened_at: float, now: float) -> None:
        """Record that an upstream sent data over a connection opened for a front."""
        self._instance.reach.record_data(address, opened_at, now)

    def record(self, opening: OpenTunnel, front: str, reply: TunnelReply) -> None:
        """Log and count the reply to an opening message."""
        self._metrics.count_tunnel_served(reply)
        logger.info(
            "tunnel requested",
            front=front,
            address=opening.address,
            reply=reply.value,
            open=self.open,
        )

    def begin_leaving(self) -> None:
        """Open no more tunnels; fronts end theirs after the current responses."""
        self.is_leaving = True
        for tunnel in self._tunnels:
            tunnel.announce_leaving()

    def close_idle(self, now: float) -> None:
        """Close tunnels without bytes for longer than the timeout."""
        for tunnel in list(self._tunnels):
            tunnel.close_if_idle(now)

    def close(self) -> None:
        """Close all tunnels."""
        for tunnel in list(self._tunnels):
            tunnel.close()


class _Side(asyncio.Protocol):
    """Connection at one end of a tunnel."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport (called by asyncio)."""
        self._transport = cast(asyncio.Transport, transport)
        set_options(transport)

    def pause_reading(self) -> None:
        """Stop reading, because the other end reads slowly."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        if self._transport is not None:
            self._transport.resume_reading()


class _FrontSide(_Side):
    """Connection from a front that wants a tunnel."""

    def __init__(self, server: TunnelServer) -> None:
        super().__init__()
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._front = ""
        self._opening: OpenTunnel | None = None
        self._received = bytearray()
        """Bytes of the opening message."""

        self._upstream: _UpstreamSide | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._opening_timer: asyncio.TimerHandle | None = None
        self._active_at = self._loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Wait for the opening message (called by asyncio)."""
        super().connection_made(transport)
        self._front = transport.get_extra_info("peername")[0]
        self._server.add(self)
        self._opening_timer = self._loop.call_later(OPENING_TIMEOUT_S, self.close)

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the upstream (called by asyncio)."""
        self.record_activity()
        if self._upstream is not None:
            self._upstream.write(data)
        elif self._opening is None:
            self._received += data
            self._read_opening()
        else:
            logger.warning("data before the reply of a tunnel", front=self._front)
            self.close()

    def _read_opening(self) -> None:
        try:
            self._opening = read_opening(self._received)
        except FrameError as error:
            logger.warning("tunnel not opened", front=self._front, error=str(error))
            self.close()
            return
        if self._opening is None:
            return
        if self._opening_timer is not None:
            self._opening_timer.cancel()
        refusal = self._server.check(self._opening, self._loop.time())
        if refusal is not None:
            self._reply(refusal)
            return
        self._connecting = self._loop.create_task(self._connect(self._opening.address))

    async def _connect(self, address: str) -> None:
        target = parse_address(address)
        opened_at = self._loop.time()
        upstream = _UpstreamSide(
            self,
            lambda: self._server.record_data(address, opened_at, self._loop.time()),
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(
                    lambda: upstream, target.host, target.port
                )
        except (OSError, TimeoutError) as error:
            waited = self._loop.time() - opened_at
            if is_own_fault(error, waited, CONNECT_TIMEOUT_S):
                self._reply(TunnelReply.BUSY)
                return
            self._server.record_failure(address, self._loop.time())
            self._reply(TunnelReply.UNREACHABLE)
            return
        if self._transport is None:
            upstream.close(is_reset=False)
            return
        if self._server.is_leaving:
            upstream.close(is_reset=False)
            self._reply(TunnelReply.BUSY)
            return
        self._upstream = upstream
        self._reply(TunnelReply.OPENED)

    def _reply(self, reply: TunnelReply) -> None:
        assert self._opening is not None
        self._server.record(self._opening, self._front, reply)
        self.send(FrameKind.REPLY, reply.value.encode())
        if reply is not TunnelReply.OPENED and self._transport is not None:
            self._transport.close()

    def send(self, kind: FrameKind, payload: bytes = b"") -> None:
        """Send a frame to the front."""
        self.record_activity()
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(build_frame(kind, payload))

    def end(self, kind: FrameKind) -> None:
        """Tell how the upstream ended, then close."""
        self.send(kind)
        if self._transport is not None:
            self._transport.close()

    def announce_leaving(self) -> None:
        """Tell the front that this process stops."""
        if self._upstream is not None:
            self.send(FrameKind.LEAVING)

    def eof_received(self) -> bool:
        """End the upstream's connection; a front never closes one direction alone."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """End the upstream's connection (called by asyncio)."""
        self._transport = None
        if self._opening_timer is not None:
            self._opening_timer.cancel()
        if self._connecting is not None:
            self._connecting.cancel()
        if self._upstream is not None:
            self._upstream.close(is_reset=exc is not None)
        self._server.remove(self)

    def pause_writing(self) -> None:
        """Stop reading from the upstream (called by asyncio)."""
        if self._upstream is not None:
            self._upstream.pause_reading()

    def resume_writing(self) -> None:
        """Read from the upstream again (called by asyncio)."""
        if self._upstream is not None:
            self._upstream.resume_reading()

    def record_activity(self) -> None:
        """Record that bytes passed."""
        self._active_at = self._loop.time()

    def close_if_idle(self, now: float) -> None:
        """Close the tunnel if no bytes passed for longer than the timeout."""
        if now - self._active_at >= IDLE_TIMEOUT_S:
            logger.info("idle tunnel closed", front=self._front)
            self.close()

    def close(self) -> None:
        """Close the tunnel; without an end frame, the front takes it for lost."""
        if self._transport is not None:
            self._transport.abort()


class _UpstreamSide(_Side):
    """Connection to the upstream of a tunnel."""

    def __init__(self, front: _FrontSide, on_first_data: Callable[[], None]) -> None:
        super().__init__()
        self._front = front
        self._on_first_data: Callable[[], None] | None = on_first_data
        self._has_ended = False

    def data_received(self, data: bytes) -> None:
        """Pass bytes on to the front (called by asyncio)."""
        if self._on_first_data is not None:
            self._on_first_data()
            self._on_first_data = None
        self._front.send(FrameKind.DATA, data)

    def eof_received(self) -> bool:
        """Pass on the regular end of the data (called by asyncio)."""
        self._has_ended = True
        self._front.end(FrameKind.END)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass on a reset (called by asyncio)."""
        self._transport = None
        if not self._has_ended:
            self._front.end(FrameKind.RESET)

    def pause_writing(self) -> None:
        """Stop reading from the front (called by asyncio)."""
        self._front.pause_reading()

    def resume_writing(self) -> None:
        """Read from the front again (called by asyncio)."""
        self._front.resume_reading()

    def write(self, data: bytes) -> None:
        """Send bytes to the upstream."""
        if self._transport is not None:
            self._transport.write(data)

    def close(self, *, is_reset: bool) -> None:
        """Close the connection at once: the upstream drops its request."""
        self._has_ended = True
        if self._transport is None:
            return
        if is_reset:
            reset_connection(self._transport)
        else:
            self._transport.abort()


@contextlib.asynccontextmanager
async def listen_for_tunnels(address: str, server: TunnelServer) -> AsyncIterator[None]:
    """Accept tunnels at ``address`` until the block ends."""
    loop = asyncio.get_running_loop()
    parsed = parse_address(address)
    listener = await loop.create_server(server.build_protocol, parsed.host, parsed.port)
    sweeping = start_essential_task("tunnel sweep", _sweep(server))
    try:
        yield
    finally:
        listener.close()
        sweeping.cancel()
        await asyncio.gather(sweeping, return_exceptions=True)
        server.close()


async def _sweep(server: TunnelServer) -> None:
    loop = asyncio.get_running_loop()
    while True:
        await asyncio.sleep(SWEEP_INTERVAL_S)
        server.close_idle(loop.time())
