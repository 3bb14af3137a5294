"""Transport of messages between instances: one gRPC stream in each direction.

A stream carries frames of several messages, encoded with MessagePack. Delivery is
best effort: the core retransmits where needed, so a frame that is lost with its
stream is not sent again here.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import grpc
import msgspec
import structlog
from grpc import aio

from scalebend.core.messages import Envelope, PeerMessage
from scalebend.edges.essential_tasks import start_essential_task
from scalebend.edges.peer_tunnels import TUNNEL_METHOD, TunnelCarrier
from scalebend.models.ids import InstanceId
from scalebend.models.settings import Tls

logger = structlog.get_logger(__name__)

SERVICE = "scalebend.Peers"
METHOD = "Exchange"
MAX_QUEUED_MESSAGES = 20_000
MAX_FRAME_MESSAGES = 512
RECONNECT_DELAY_S = 0.1
CONNECT_TIMEOUT_S = 1.0
MAX_FRAME_BYTES = 64 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Envelope])

Receiver = Callable[[InstanceId, PeerMessage], None]

_OPTIONS = [
    ("grpc.max_receive_message_length", MAX_FRAME_BYTES),
    ("grpc.max_send_message_length", MAX_FRAME_BYTES),
    ("grpc.keepalive_time_ms", 2_000),
    ("grpc.keepalive_timeout_ms", 1_500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.http2.min_ping_interval_without_data_ms", 1_000),
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.http2.max_ping_strikes", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 500),
    ("grpc.enable_retries", 0),
    ("grpc.so_reuseport", 0),
]


def _identity(data: bytes) -> bytes:
    return data


class _Link:
    """Outgoing stream to one instance; reconnects after a failure."""

    def __init__(self, me: InstanceId, address: str, tls: Tls | None) -> None:
        self.address = address
        self._me = me
        self._tls = tls
        self._queue: asyncio.Queue[PeerMessage] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self.task = start_essential_task(f"link to {address}", self._run())

    def send(self, message: PeerMessage) -> None:
        if self._queue.full():
            self._queue.get_nowait()
        self._queue.put_nowait(message)

    async def _run(self) -> None:
        while True:
            # Only connection failures are retried; any other error ends the task.
            with contextlib.suppress(grpc.RpcError, TimeoutError):
                async with _open_channel(self.address, self._tls) as channel:
                    await asyncio.wait_for(channel.channel_ready(), CONNECT_TIMEOUT_S)
                    call = channel.stream_unary(
                        f"/{SERVICE}/{METHOD}",
                        request_serializer=_identity,
                        response_deserializer=_identity,
                    )
                    await call(self._generate_frames())
            await asyncio.sleep(RECONNECT_DELAY_S)

    async def _generate_frames(self) -> AsyncIterator[bytes]:
        while True:
            messages = [await self._queue.get()]
            while not self._queue.empty() and len(messages) < MAX_FRAME_MESSAGES:
                messages.append(self._queue.get_nowait())
            frame = _ENCODER.encode([Envelope(self._me, m) for m in messages])
            yield frame


def build_channel(address: str, tls: Tls | None) -> aio.Channel:
    """Return a channel to another instance; the caller closes it."""
    if tls is None:
        return aio.insecure_channel(address, options=_OPTIONS)
    return aio.secure_channel(address, _load_client_credentials(tls), options=_OPTIONS)


@contextlib.asynccontextmanager
async def _open_channel(address: str, tls: Tls | None) -> AsyncIterator[aio.Channel]:
    channel = build_channel(address, tls)
    try:
        yield channel
    finally:
        await channel.close()


def _load_client_credentials(tls: Tls) -> grpc.ChannelCredentials:
    authority = Path(tls.authority).read_bytes() if tls.authority else None
    key = Path(tls.key).read_bytes()
    return grpc.ssl_channel_credentials(
        authority, key, Path(tls.certificate).read_bytes()
    )


def _load_server_credentials(tls: Tls) -> grpc.ServerCredentials:
    pair = (Path(tls.key).read_bytes(), Path(tls.certificate).read_bytes())
    authority = Path(tls.authority).read_bytes() if tls.authority else None
    return grpc.ssl_server_credentials([pair], authority, authority is not None)


class PeerTransport:
    """Outgoing links to other instances, opened on first use."""

    def __init__(self, me: InstanceId, tls: Tls | None) -> None:
        self._me = me
        self._tls = tls
        self._links: dict[InstanceId, _Link] = {}

    def send(self, instance: InstanceId, address: str, message: PeerMessage) -> None:
        """Queue a message; a full queue drops its oldest message."""
        link = self._links.get(instance)
        if link is not None and link.address != address:
            link.task.cancel()
            link = None
        if link is None:
            link = self._links[instance] = _Link(self._me, address, self._tls)
        link.send(message)

    async def close(self) -> None:
        """Close all links."""
        tasks = [link.task for link in self._links.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _build_handler(
    receive: Receiver, carrier: TunnelCarrier | None
) -> grpc.GenericRpcHandler:
    async def receive_frames(frames: AsyncIterator[bytes], context: Any) -> bytes:
        async for frame in frames:
            try:
                envelopes = _DECODER.decode(frame)
            except msgspec.MsgspecError as error:
                logger.warning("frame refused", error=str(error))
                await context.abort(
                    grpc.StatusCode.INVALID_ARGUMENT, "the frame cannot be decoded"
                )
                raise
            for envelope in envelopes:
                receive(envelope.sender, envelope.message)
        return b""

    method = grpc.stream_unary_rpc_method_handler(
        receive_frames,
        request_deserializer=_identity,
        response_serializer=_identity,
    )
    methods = {METHOD: method}
    if carrier is not None:
        methods[TUNNEL_METHOD] = grpc.stream_stream_rpc_method_handler(
            carrier.carry, request_deserializer=bytes, response_serializer=bytes
        )
    return grpc.method_handlers_generic_handler(SERVICE, methods)


@contextlib.asynccontextmanager
async def serve_peers(
    me: InstanceId,
    address: str,
    tls: Tls | None,
    receive: Receiver,
    carrier: TunnelCarrier | None = None,
) -> AsyncIterator[PeerTransport]:
    """Accept messages of other instances; yield the transport to send to them.

    With a ``carrier``, accept tunnels as well.
    """
    server = aio.server(options=_OPTIONS)
    server.add_generic_rpc_handlers((_build_handler(receive, carrier),))
    if tls is None:
        bound = server.add_insecure_port(address)
    else:
        bound = server.add_secure_port(address, _load_server_credentials(tls))
    if not bound:
        raise OSError(f"cannot listen on {address}")
    await server.start()
    transport = PeerTransport(me, tls)
    try:
        yield transport
    finally:
        await transport.close()
        await server.stop(grace=0.2)
