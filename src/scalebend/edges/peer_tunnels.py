"""Tunnels between instances: a gRPC stream carries the bytes of one connection.

The stream uses the port and the certificates of the other messages between instances.
Its status tells how the upstream's data ended: OK at a regular end, ABORTED after a
reset; any other status means that the tunnel itself was lost.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any

import grpc
import msgspec
import structlog
from grpc import aio

from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.edges.tunnel_errors import TunnelLostError
from scalebend.models.tunnels import OpenTunnel, TunnelPeer, TunnelReply
from scalebend.utils.addresses import parse_address

if TYPE_CHECKING:
    from scalebend.edges.gateway.upstream_client import StrictResponseHandler

logger = structlog.get_logger(__name__)

TUNNEL_METHOD = "Tunnel"

CONNECT_TIMEOUT_S = 0.3
"""Time for a connection of a peer to an upstream, within a region."""

REPLY_TIMEOUT_S = 0.6
"""Time for the reply of a peer, which connects to the upstream meanwhile."""

READ_BYTES = 64 * 1024
"""Maximum size of one message."""

MAX_TUNNELS = 256
"""Tunnels that one instance carries at once; each needs two descriptors."""

_CALL_ERRORS = (
    grpc.RpcError,
    aio.UsageError,
    asyncio.InvalidStateError,
    OSError,
    TimeoutError,
    ValueError,
)
"""Errors of a call whose stream, channel or socket has ended, or of its reply."""

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(OpenTunnel)


class TunnelCarrier:
    """Opens tunnels for other instances."""

    def __init__(
        self,
        reach: UpstreamReach,
        knows_address: Callable[[str], bool],
        now: Callable[[], float],
    ) -> None:
        self._reach = reach
        self._knows_address = knows_address
        self._now = now
        self._open = 0

    async def carry(
        self, requests: AsyncIterator[bytes], context: Any
    ) -> AsyncIterator[bytes]:
        """Carry one tunnel: the first message opens it, the others are its bytes."""
        try:
            opening = _DECODER.decode(await anext(requests))
        except (StopAsyncIteration, msgspec.MsgspecError):
            await context.abort(
                grpc.StatusCode.INVALID_ARGUMENT, "not an opening message"
            )
            raise
        refusal = self._check(opening)
        if refusal is not None:
            self._log(opening, refusal)
            yield refusal.value.encode()
            return
        self._open += 1
        try:
            async for data in self._carry_open(opening, requests, context):
                yield data
        finally:
            self._open -= 1

    async def _carry_open(
        self, opening: OpenTunnel, requests: AsyncIterator[bytes], context: Any
    ) -> AsyncIterator[bytes]:
        target = parse_address(opening.address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(target.host, target.port)
        except (OSError, TimeoutError):
            now = self._now()
            self._reach.record_failure(opening.address, FailureKind.CONNECT, now)
            self._log(opening, TunnelReply.UNREACHABLE)
            yield TunnelReply.UNREACHABLE.value.encode()
            return
        self._log(opening, TunnelReply.OPENED)
        yield TunnelReply.OPENED.value.encode()
        sending = asyncio.create_task(_send(requests, writer))
        try:
            while data := await reader.read(READ_BYTES):
                yield data
        except ConnectionError:
            await context.abort(grpc.StatusCode.ABORTED, "reset by the upstream")
        finally:
            sending.cancel()
            writer.transport.abort()

    def _check(self, opening: OpenTunnel) -> TunnelReply | None:
        if self._open >= MAX_TUNNELS:
            return TunnelReply.BUSY
        if not self._knows_address(opening.address):
            return TunnelReply.UNKNOWN
        return self._reach.check_for_peer(opening.address, self._now())

    def _log(self, opening: OpenTunnel, reply: TunnelReply) -> None:
        logger.info(
            "tunnel requested",
            address=opening.address,
            reply=reply.value,
            open=self._open,
        )


async def _send(requests: AsyncIterator[bytes], writer: asyncio.StreamWriter) -> None:
    with contextlib.suppress(ConnectionError):
        async for data in requests:
            writer.write(data)
            await writer.drain()


class TunnelOpener:
    """Opens tunnels through other instances."""

    def __init__(
        self,
        method: str,
        open_channel: Callable[[str], aio.Channel],
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        context: ssl.SSLContext | None,
    ) -> None:
        """``method`` is the full name of the gRPC method; ``context`` for upstreams."""
        self._method = method
        self._open_channel = open_channel
        self._spawn = spawn
        self._context = context
        self._channels: dict[str, aio.Channel] = {}

    async def open(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        """Connect ``handler`` through a peer; ``None`` if the peer did not reply."""
        call = self._get_channel(peer.tunnel_address).stream_stream(
            self._method, request_serializer=bytes, response_deserializer=bytes
        )()
        reply = None
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                await call.write(_ENCODER.encode(OpenTunnel(address)))
                reply = _read_reply(await call.read())
            if reply is TunnelReply.OPENED:
                await self._attach(call, address, handler)
        except _CALL_ERRORS as error:
            logger.info("peer not reached", peer=peer.instance, error=str(error))
            reply = None
        finally:
            if reply is not TunnelReply.OPENED:
                call.cancel()
        return reply

    async def _attach(
        self, call: Any, address: str, handler: StrictResponseHandler
    ) -> None:
        """Connect ``handler`` to the stream by a socket, so that TLS works as usual."""
        near, far = socket.socketpair()
        far.setblocking(False)
        self._spawn(_carry(call, far, handler))
        host = parse_address(address).host
        await asyncio.get_running_loop().create_connection(
            lambda: handler,
            sock=near,
            ssl=self._context,
            server_hostname=host if self._context is not None else None,
        )

    def _get_channel(self, address: str) -> aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = self._channels[address] = self._open_channel(address)
        return channel

    async def close(self) -> None:
        """Close all channels."""
        closing: list[Awaitable[object]] = [
            channel.close() for channel in self._channels.values()
        ]
        await asyncio.gather(*closing)


def _read_reply(data: Any) -> TunnelReply | None:
    return TunnelReply(data.decode()) if data is not aio.EOF else None


async def _carry(call: Any, far: socket.socket, handler: StrictResponseHandler) -> None:
    """Copy bytes between the stream of a tunnel and the socket of its handler."""
    sending = asyncio.create_task(_send_up(call, far))
    try:
        error = await _receive_down(call, far)
        if error is not None:
            handler.lose_tunnel(error)
        else:
            far.shutdown(socket.SHUT_WR)
            await sending
    except OSError as error:
        logger.debug("tunnel closed here", error=str(error))
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        call.cancel()
        far.close()


async def _send_up(call: Any, far: socket.socket) -> None:
    loop = asyncio.get_running_loop()
    with contextlib.suppress(*_CALL_ERRORS):
        while data := await loop.sock_recv(far, READ_BYTES):
            await call.write(data)
    # The handler closed its connection, so the upstream's has to end, too.
    call.cancel()


async def _receive_down(call: Any, far: socket.socket) -> Exception | None:
    """Copy the upstream's bytes; return why they ended, ``None`` at a regular end."""
    loop = asyncio.get_running_loop()
    try:
        while (data := await call.read()) is not aio.EOF:
            await loop.sock_sendall(far, data)
        code = await call.code()
    except aio.AioRpcError as error:
        code = error.code()
    except (aio.UsageError, asyncio.InvalidStateError) as error:
        return TunnelLostError(str(error))
    except asyncio.CancelledError:
        if not call.cancelled():
            raise
        return TunnelLostError("the call was cancelled")
    match code:
        case grpc.StatusCode.OK:
            return None
        case grpc.StatusCode.ABORTED:
            return ConnectionResetError("reset by the upstream")
    return TunnelLostError(f"the tunnel was lost: {code}")
