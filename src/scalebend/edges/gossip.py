"""UDP transport of the gossip protocol."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import hmac
from collections.abc import AsyncIterator, Callable
from typing import cast

import msgspec
import structlog

from scalebend.core.messages import Datagram
from scalebend.utils.addresses import parse_address

logger = structlog.get_logger(__name__)

SIGNATURE_BYTES = 16

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Datagram)

Receiver = Callable[[Datagram], None]


class GossipSocket(asyncio.DatagramProtocol):
    """One UDP socket; datagrams are signed when a key is set."""

    def __init__(self, receive: Receiver, key: bytes | None) -> None:
        self._receive = receive
        self._key = key
        self._transport: asyncio.DatagramTransport | None = None
        self.bytes_sent = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (called by asyncio)."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Decode a datagram (called by asyncio); an invalid one is dropped."""
        if self._key is not None:
            signature, data = data[:SIGNATURE_BYTES], data[SIGNATURE_BYTES:]
            if not hmac.compare_digest(signature, _sign(self._key, data)):
                logger.warning("datagram refused", source=str(addr))
                return
        try:
            datagram = _DECODER.decode(data)
        except msgspec.MsgspecError:
            logger.warning("datagram could not be decoded", source=str(addr))
            return
        self._receive(datagram)

    def error_received(self, exc: Exception) -> None:
        """Ignore network errors: failures are detected by missed heartbeats."""

    def send(self, address: str, datagram: Datagram) -> None:
        """Send a datagram; delivery is not guaranteed."""
        if self._transport is None or self._transport.is_closing():
            return
        data = _ENCODER.encode(datagram)
        if self._key is not None:
            data = _sign(self._key, data) + data
        self.bytes_sent += len(data)
        self._transport.sendto(data, parse_address(address))


def _sign(key: bytes, data: bytes) -> bytes:
    return hmac.new(key, data, hashlib.sha256).digest()[:SIGNATURE_BYTES]


@contextlib.asynccontextmanager
async def open_gossip(
    address: str, receive: Receiver, key: bytes | None
) -> AsyncIterator[GossipSocket]:
    """Open a gossip socket bound to ``address``."""
    loop = asyncio.get_running_loop()
    transport, socket = await loop.create_datagram_endpoint(
        lambda: GossipSocket(receive, key), local_addr=parse_address(address)
    )
    try:
        yield socket
    finally:
        transport.close()
