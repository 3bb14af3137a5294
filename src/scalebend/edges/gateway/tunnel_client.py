"""Opens connections to upstreams through peers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import structlog

from scalebend.edges.gateway.tunnel_frames import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    build_opening,
)
from scalebend.edges.gateway.upstream_sockets import CONNECT_TIMEOUT_S, set_options
from scalebend.edges.tunnel_errors import TunnelLostError
from scalebend.models.tunnels import OpenTunnel, TunnelPeer, TunnelReply
from scalebend.utils.addresses import parse_address

if TYPE_CHECKING:
    from scalebend.edges.gateway.upstream_client import StrictResponseHandler

logger = structlog.get_logger(__name__)

REPLY_TIMEOUT_S = 0.2
"""Time for the reply of a peer: it connects to the upstream meanwhile."""


class TunnelClient(asyncio.Protocol):
    """Unpacks the frames of a tunnel for the protocol of a direct connection."""

    def __init__(self, handler: StrictResponseHandler, opening: OpenTunnel) -> None:
        self.reply: asyncio.Future[TunnelReply | None]
        self.reply = asyncio.get_running_loop().create_future()
        """Reply of the peer; ``None`` if the connection ended without one."""

        self._handler = handler
        self._opening = opening
        self._reader = FrameReader()
        self._transport: asyncio.Transport | None = None
        self._is_open = False
        self._end: Exception | None = TunnelLostError("the tunnel was lost")
        """What the handler is told when the connection ends."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask the peer to connect to the upstream (called by asyncio)."""
        self._transport = cast(asyncio.Transport, transport)
        set_options(transport)
        self._transport.write(build_opening(self._opening))

    def data_received(self, data: bytes) -> None:
        """Pass on what the peer sends (called by asyncio)."""
        try:
            for frame in self._reader.feed(data):
                self._apply(frame)
        except (FrameError, ValueError) as error:
            logger.warning("tunnel frame could not be read", error=str(error))
            self.close()

    def _apply(self, frame: Frame) -> None:
        assert self._transport is not None
        match frame.kind:
            case FrameKind.REPLY:
                self._set_reply(TunnelReply(frame.payload.decode()))
            case FrameKind.DATA:
                self._handler.data_received(frame.payload)
            case FrameKind.END:
                self._end = None
                self._handler.eof_received()
                self._transport.close()
            case FrameKind.RESET:
                self._end = ConnectionResetError("reset by the upstream")
                self._transport.abort()
            case FrameKind.LEAVING:
                self._handler.end_after_response()

    def _set_reply(self, reply: TunnelReply) -> None:
        assert self._transport is not None
        if self.reply.done():
            return
        if reply is TunnelReply.OPENED:
            self._is_open = True
            self._handler.connection_made(self._transport)
        self.reply.set_result(reply)

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the handler how the upstream's data ended (called by asyncio)."""
        if not self.reply.done():
            self.reply.set_result(None)
        if self._is_open:
            self._handler.connection_lost(self._end)

    def pause_writing(self) -> None:
        """Pass on that the peer reads slowly (called by asyncio)."""
        if self._is_open:
            self._handler.pause_writing()

    def resume_writing(self) -> None:
        """Pass on that the peer reads again (called by asyncio)."""
        if self._is_open:
            self._handler.resume_writing()

    def close(self) -> None:
        """Close the tunnel."""
        if self._transport is not None:
            self._transport.abort()


async def open_tunnel(
    peer: TunnelPeer, address: str, handler: StrictResponseHandler
) -> TunnelReply | None:
    """Connect ``handler`` to the upstream at ``address`` through a peer.

    Return the reply of the peer, or ``None`` without one. Unless it is ``OPENED``,
    nothing is connected.
    """
    loop = asyncio.get_running_loop()
    target = parse_address(peer.tunnel_address)
    client = TunnelClient(handler, OpenTunnel(address, peer.tunnel_key))
    reply = None
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await loop.create_connection(lambda: client, target.host, target.port)
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            reply = await asyncio.shield(client.reply)
    except (OSError, TimeoutError) as error:
        logger.info("peer not reached", peer=peer.instance, error=str(error))
    finally:
        if reply is not TunnelReply.OPENED:
            client.close()
    return reply
