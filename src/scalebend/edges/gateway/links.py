"""Links between processes: MessagePack frames over TCP.

Every engine request crosses a link twice, and a frame over plain TCP has lower latency
and processor cost than a message on a gRPC stream, which cluster instances use
(docs/design/platform.md).

A frame is a length of four bytes, whose highest bit marks a compressed body, and one
:data:`LinkMessage`. The first frame of the dialling process is its introduction. A link
that receives nothing within the timeout is closed and dialled again.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import zlib
from collections import deque
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, cast

import msgspec
import structlog

from scalebend.core.gateway.link_history import LinkHistory
from scalebend.core.gateway.messages import Introduce, LinkMessage
from scalebend.edges.essential_tasks import start_essential_task
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.ids import InstanceId
from scalebend.utils.addresses import parse_address

logger = structlog.get_logger(__name__)

MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Maximum frame size; snapshot chunks and full routing documents are far smaller."""

MAX_UNSENT_BYTES = 8 * 1024 * 1024
"""Unsent bytes to a slow peer beyond which its link is closed."""

HEARTBEAT_INTERVAL_S = 0.5
"""Seconds between two heartbeats in each direction of a link."""

LINK_TIMEOUT_S = 1.6
"""Seconds without received bytes before a link is closed: three heartbeats."""

CONNECT_TIMEOUT_S = 0.3
"""Seconds for a connection attempt, far above the round trip within a region. A SYN to
a host that is still starting is lost, and the kernel resends it only after a second,
during which callers wait at a front that has no lease."""

FIRST_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 0.2
"""Seconds between two connection attempts, doubling up to the maximum. Short, since a
refused attempt is cheap and the delay adds to the recovery after a full restart."""

UNACKED_TIMEOUT_MS = 2000
"""Time after which the kernel closes a connection with unacknowledged bytes."""

MIN_COMPRESSED_BYTES = 512
"""Minimum size of a compressed message: lists of upstreams and of their load compress
well, since names repeat; requests and replies are far shorter."""

COMPRESSION_LEVEL = 1
"""Level of zlib, the fastest."""

MAX_CACHED_FRAMES = 4
"""Recent messages whose frames are cached, to encode a broadcast once."""

_LENGTH = struct.Struct(">I")
_COMPRESSED = 1 << 31
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LinkMessage)


def _build_frame(message: LinkMessage) -> bytes:
    data = _ENCODER.encode(message)
    flag = 0
    if len(data) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(data, COMPRESSION_LEVEL)
        if len(compressed) < len(data):
            data, flag = compressed, _COMPRESSED
    return _LENGTH.pack(len(data) | flag) + data


def _decompress(data: bytes) -> bytes:
    """Decompress ``data``; raise :class:`zlib.error` if damaged or too large."""
    stream = zlib.decompressobj()
    decompressed = stream.decompress(data, MAX_FRAME_BYTES)
    if not stream.eof:
        raise zlib.error("incomplete or too large")
    return decompressed


def read_introduction(data: bytes) -> InstanceId | None:
    """Return the process that dialled, from the first bytes of its link."""
    if len(data) < _LENGTH.size:
        return None
    end = _LENGTH.size + _LENGTH.unpack_from(data)[0]
    try:
        message = _DECODER.decode(data[_LENGTH.size : end])
    except msgspec.MsgspecError:
        return None
    return message.instance if isinstance(message, Introduce) else None


class Link(asyncio.Protocol):
    """One connection to another process."""

    def __init__(
        self,
        on_message: Callable[[Link, LinkMessage], None],
        on_closed: Callable[[Link], None],
    ) -> None:
        self._on_message = on_message
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.peer: Introduce | None = None
        self.last_received_at = asyncio.get_running_loop().time()
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set socket options (called by asyncio)."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report that the connection ended (called by asyncio)."""
        self._transport = None
        if not self.closed.done():
            self.closed.set_result(None)
        self._on_closed(self)

    def data_received(self, data: bytes) -> None:
        """Buffer bytes and dispatch complete frames (called by asyncio)."""
        self.last_received_at = asyncio.get_running_loop().time()
        self._buffer += data
        while (frame := self._read_frame()) is not None:
            try:
                message = _DECODER.decode(frame.decompress())
            except (msgspec.MsgspecError, zlib.error) as error:
                logger.warning("frame could not be decoded", error=str(error))
                self.close()
                return
            self._on_message(self, message)

    def _read_frame(self) -> _Frame | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        head = _LENGTH.unpack_from(self._buffer)[0]
        size = head & ~_COMPRESSED
        if size > MAX_FRAME_BYTES:
            logger.warning("frame too large", size=size)
            self.close()
            return None
        end = _LENGTH.size + size
        if len(self._buffer) < end:
            return None
        data = bytes(self._buffer[_LENGTH.size : end])
        del self._buffer[:end]
        return _Frame(data, is_compressed=bool(head & _COMPRESSED))

    def send(self, message: LinkMessage) -> None:
        """Send a message at most once; a peer that does not read is disconnected."""
        self.send_frame(_build_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Send an encoded message."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            logger.warning(
                "link send buffer is full", unsent=transport.get_write_buffer_size()
            )
            self.close()
            return
        transport.write(frame)

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_unresponsive(self, now: float) -> None:
        """Abort the connection if nothing was received within the timeout."""
        if now - self.last_received_at > LINK_TIMEOUT_S:
            self.close()


class _Frame(msgspec.Struct, frozen=True):
    """One encoded message as received."""

    data: bytes
    is_compressed: bool

    def decompress(self) -> bytes:
        return _decompress(self.data) if self.is_compressed else self.data


class _FrameCache:
    """Caches the frames of recent messages, so that a broadcast is encoded once."""

    def __init__(self) -> None:
        self._cached: deque[tuple[LinkMessage, bytes]] = deque(maxlen=MAX_CACHED_FRAMES)

    def build(self, message: LinkMessage) -> bytes:
        """Return the frame of a message, encoded unless cached."""
        for cached, frame in self._cached:
            # Messages are immutable, so the same object has the same frame.
            if cached is message:
                return frame
        frame = _build_frame(message)
        if len(frame) >= MIN_COMPRESSED_BYTES:
            self._cached.append((message, frame))
        return frame


class _LinkCounter:
    """Counts link starts and reports peers whose links are unstable."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._history = LinkHistory()

    def record_start(self, peer: InstanceId) -> None:
        """Record that a link came up."""
        self._metrics.count_link_start()
        if self._history.record_start(peer, asyncio.get_running_loop().time()):
            logger.warning("link unstable", instance=peer)
            self._metrics.count_unstable_link()


class Dialer:
    """Maintains a link to each of a set of instances."""

    def __init__(
        self,
        introduction: Introduce,
        on_message: Callable[[InstanceId, LinkMessage], None],
        on_up: Callable[[InstanceId], None],
        on_down: Callable[[InstanceId], None],
        metrics: GatewayMetrics,
    ) -> None:
        self._counter = _LinkCounter(metrics)
        self._introduction = introduction
        self._on_message = on_message
        self._on_up = on_up
        self._on_down = on_down
        self._links: dict[InstanceId, Link] = {}
        self._tasks: dict[InstanceId, asyncio.Task[None]] = {}
        self._wake_events: dict[InstanceId, asyncio.Event] = {}

    def dial(self, instance: InstanceId) -> None:
        """Maintain a link to ``instance``, whose id is its address, from now on."""
        if instance not in self._tasks and instance != self._introduction.instance:
            self._tasks[instance] = start_essential_task(
                f"link to {instance}", self._maintain_link(instance)
            )

    def set_targets(self, instances: set[InstanceId]) -> None:
        """Maintain links to these instances; stop dialling others without a link."""
        for instance in instances:
            self.dial(instance)
        for instance in set(self._tasks) - instances - set(self._links):
            self._tasks.pop(instance).cancel()
            self._wake_events.pop(instance, None)
            logger.info("instance not dialled any more", instance=instance)

    def dial_now(self, instance: InstanceId) -> None:
        """Skip the delay before the next attempt if no link is up."""
        if instance in self._links or instance == self._introduction.instance:
            return
        self.dial(instance)
        self._wake_events.setdefault(instance, asyncio.Event()).set()

    def send_to_all(self, message: LinkMessage) -> None:
        """Send a message over every link that is up."""
        for link in self._links.values():
            link.send(message)

    def send(self, instance: InstanceId, message: LinkMessage) -> bool:
        """Send a message if the link is up; return whether it was."""
        link = self._links.get(instance)
        if link is None:
            self.dial(instance)
            return False
        link.send(message)
        return True

    def close_unresponsive(self, now: float) -> None:
        """Close links that received nothing within the timeout."""
        for link in list(self._links.values()):
            link.close_if_unresponsive(now)

    async def _maintain_link(self, instance: InstanceId) -> None:
        delay = FIRST_REDIAL_DELAY_S
        while True:
            link = await self._connect(instance)
            if link is not None:
                delay = FIRST_REDIAL_DELAY_S
                link.send(self._introduction)
                self._links[instance] = link
                logger.info("link up", instance=instance)
                self._counter.record_start(instance)
                self._on_up(instance)
                try:
                    await link.closed
                finally:
                    link.close()
                    del self._links[instance]
                    logger.info("link down", instance=instance)
                    self._on_down(instance)
            await self._wait_to_redial(instance, delay)
            delay = min(MAX_REDIAL_DELAY_S, delay * 2.0)

    async def _wait_to_redial(self, instance: InstanceId, delay: float) -> None:
        wake = self._wake_events.setdefault(instance, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await wake.wait()
        wake.clear()

    async def _connect(self, instance: InstanceId) -> Link | None:
        address = parse_address(instance)
        loop = asyncio.get_running_loop()

        def receive(link: Link, message: LinkMessage) -> None:
            self._on_message(instance, message)

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, link = await loop.create_connection(
                    lambda: Link(receive, lambda _: None), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            logger.debug("link not established", instance=instance, error=str(error))
            return None
        return link

    async def close(self) -> None:
        """Close all links."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class LinkServer:
    """Accepts links; a new link of a process replaces its older one."""

    def __init__(
        self,
        on_message: Callable[[Introduce, LinkMessage], None],
        on_up: Callable[[Introduce], None],
        on_down: Callable[[Introduce], None],
        metrics: GatewayMetrics,
    ) -> None:
        self._counter = _LinkCounter(metrics)
        self._on_message = on_message
        self._on_up = on_up
        self._on_down = on_down
        self._links: dict[InstanceId, Link] = {}
        self._accepted: set[Link] = set()
        self._frames = _FrameCache()

    def build_link(self) -> Link:
        """Return the protocol for a new connection."""
        link = Link(self._receive, self._remove)
        self._accepted.add(link)
        return link

    def send(self, instance: InstanceId, message: LinkMessage) -> None:
        """Send a message to a process if it has a link to this one."""
        link = self._links.get(instance)
        if link is not None:
            link.send_frame(self._frames.build(message))

    def send_to_all(self, message: LinkMessage) -> None:
        """Send a message over every link that is up."""
        for link in self._links.values():
            link.send(message)

    def close_unresponsive(self, now: float) -> None:
        """Close links that received nothing within the timeout."""
        for link in list(self._accepted):
            link.close_if_unresponsive(now)

    def close(self) -> None:
        """Close all links."""
        for link in list(self._accepted):
            link.close()

    def _receive(self, link: Link, message: LinkMessage) -> None:
        if link.peer is not None:
            self._on_message(link.peer, message)
        elif isinstance(message, Introduce):
            older = self._links.get(message.instance)
            link.peer = message
            self._links[message.instance] = link
            if older is not None:
                older.close()
            self._counter.record_start(message.instance)
            self._on_up(message)
        else:
            logger.warning("first frame of a link is not an introduction")
            link.close()

    def _remove(self, link: Link) -> None:
        self._accepted.discard(link)
        peer = link.peer
        if peer is not None and self._links.get(peer.instance) is link:
            del self._links[peer.instance]
            self._on_down(peer)


@contextlib.asynccontextmanager
async def listen_for_links(address: str, server: LinkServer) -> AsyncIterator[None]:
    """Accept links at ``address`` until the block ends."""
    parsed = parse_address(address)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.build_link, parsed.host, parsed.port)
    try:
        yield
    finally:
        listener.close()
        server.close()


@contextlib.asynccontextmanager
async def run_links(
    address: str, server: LinkServer, dialer: Dialer, timers: Coroutine[Any, Any, None]
) -> AsyncIterator[None]:
    """Accept links at ``address`` and run ``timers`` until the block ends."""
    async with listen_for_links(address, server):
        task = start_essential_task("timers", timers)
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await dialer.close()
