"""Links between processes: MessagePack frames over TCP.

gRPC serves the instances of a cluster that know each other by name; here every engine
request crosses a link twice, and a frame over plain TCP costs half as much processor
time and wait as a message on a gRPC stream (docs/design/platform.md).

Frames are a length of four bytes, whose highest bit says that what follows is
compressed, and one :data:`LinkMessage`. Who dials introduces itself first. A link on
which nothing arrives for a while is closed and dialled anew.
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
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.ids import InstanceId
from scalebend.utils.addresses import parse_address

logger = structlog.get_logger(__name__)

LARGEST_FRAME = 32 * 1024 * 1024
"""Bytes; a snapshot chunk or a full routing document stays far below."""

MOST_UNSENT = 8 * 1024 * 1024
"""Bytes that may wait for a slow peer before its link is closed."""

HEARTBEAT = 0.5
"""Seconds between two heartbeats in each direction of a link."""

SILENCE = 1.6
"""Seconds without a frame after which a link counts as lost: three heartbeats."""

CONNECT_TIMEOUT = 0.3
"""Seconds until a connection must stand: a hundred times the way within a region. A
first packet to a machine that is still starting is lost, and sent again by the kernel
only after a second, in which callers would wait at a front that has no lease."""

FIRST_REDIAL = 0.1
LONGEST_REDIAL = 0.2
"""Seconds between two attempts to dial, doubling from the first to the longest. A try
at a port where nobody listens yet costs a packet each way; when all processes start
again, the last to be linked is late by one such pause."""

UNACKED_TIMEOUT_MS = 2000
"""Milliseconds after which the kernel gives up on bytes that were not acknowledged."""

COMPRESSED_FROM = 512
"""Bytes from which a message is compressed: lists of upstreams and of their load, whose
names repeat themselves, shrink to a third; questions and answers are far shorter."""

COMPRESSION = 1
"""Level of zlib: 0.1 ms for all upstreams of a large deployment."""

KEPT_FRAMES = 4
"""Messages whose frames are kept, to encode what goes to all processes once."""

_LENGTH = struct.Struct(">I")
_COMPRESSED = 1 << 31
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(LinkMessage)


def _build_frame(message: LinkMessage) -> bytes:
    data = _ENCODER.encode(message)
    flag = 0
    if len(data) >= COMPRESSED_FROM:
        smaller = zlib.compress(data, COMPRESSION)
        if len(smaller) < len(data):
            data, flag = smaller, _COMPRESSED
    return _LENGTH.pack(len(data) | flag) + data


def _decompress(data: bytes) -> bytes:
    """Raise :class:`zlib.error` for what is damaged or too large."""
    stream = zlib.decompressobj()
    whole = stream.decompress(data, LARGEST_FRAME)
    if not stream.eof:
        raise zlib.error("incomplete or too large")
    return whole


def read_introduction(data: bytes) -> InstanceId | None:
    """The process that dialled, from the first bytes of its link."""
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
        on_lost: Callable[[Link], None],
    ) -> None:
        self._on_message = on_message
        self._on_lost = on_lost
        self._transport: asyncio.Transport | None = None
        self._buffer = bytearray()
        self.peer: Introduce | None = None
        self.heard_at = asyncio.get_running_loop().time()
        self.lost = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport (called by asyncio)."""
        self._transport = cast(asyncio.Transport, transport)
        sock = transport.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection ended (called by asyncio)."""
        self._transport = None
        if not self.lost.done():
            self.lost.set_result(None)
        self._on_lost(self)

    def data_received(self, data: bytes) -> None:
        """Take bytes and hand on whole frames (called by asyncio)."""
        self.heard_at = asyncio.get_running_loop().time()
        self._buffer += data
        while (frame := self._take_frame()) is not None:
            try:
                message = _DECODER.decode(frame.read())
            except (msgspec.MsgspecError, zlib.error) as error:
                logger.warning("frame not understood", error=str(error))
                self.close()
                return
            self._on_message(self, message)

    def _take_frame(self) -> _Frame | None:
        if len(self._buffer) < _LENGTH.size:
            return None
        head = _LENGTH.unpack_from(self._buffer)[0]
        size = head & ~_COMPRESSED
        if size > LARGEST_FRAME:
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
        """Send a message, at most once; a peer that does not read loses its link."""
        self.send_frame(_build_frame(message))

    def send_frame(self, frame: bytes) -> None:
        """Send a message that is encoded already."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if transport.get_write_buffer_size() > MOST_UNSENT:
            logger.warning("link overfull", unsent=transport.get_write_buffer_size())
            self.close()
            return
        transport.write(frame)

    def close(self) -> None:
        """End the connection at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_if_silent(self, now: float) -> None:
        """End the connection if nothing was heard for too long."""
        if now - self.heard_at > SILENCE:
            self.close()


class _Frame(msgspec.Struct, frozen=True):
    """One message as it came over a link."""

    data: bytes
    is_compressed: bool

    def read(self) -> bytes:
        return _decompress(self.data) if self.is_compressed else self.data


class _FrameCache:
    """Frames of the last messages: what goes to all processes is encoded once."""

    def __init__(self) -> None:
        self._kept: deque[tuple[LinkMessage, bytes]] = deque(maxlen=KEPT_FRAMES)

    def build(self, message: LinkMessage) -> bytes:
        """Return the frame of a message."""
        for kept, frame in self._kept:
            # Messages are frozen, so the same object is the same frame.
            if kept is message:
                return frame
        frame = _build_frame(message)
        if len(frame) >= COMPRESSED_FROM:
            self._kept.append((message, frame))
        return frame


class _LinkCounter:
    """Counts the starts of links, and says which peers' links do not last."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._history = LinkHistory()

    def note_start(self, peer: InstanceId) -> None:
        """A link is up."""
        self._metrics.count_link_start()
        if self._history.record_start(peer, asyncio.get_running_loop().time()):
            logger.warning("link unstable", instance=peer)
            self._metrics.count_unstable_link()


class Dialer:
    """Keeps a link to each of a set of addresses."""

    def __init__(
        self,
        me: Introduce,
        on_message: Callable[[InstanceId, LinkMessage], None],
        on_up: Callable[[InstanceId], None],
        on_down: Callable[[InstanceId], None],
        metrics: GatewayMetrics,
    ) -> None:
        self._counter = _LinkCounter(metrics)
        self._me = me
        self._on_message = on_message
        self._on_up = on_up
        self._on_down = on_down
        self._links: dict[InstanceId, Link] = {}
        self._tasks: dict[InstanceId, asyncio.Task[None]] = {}
        self._wake: dict[InstanceId, asyncio.Event] = {}

    def dial(self, instance: InstanceId) -> None:
        """Keep a link to ``instance``, whose id is its address, from now on."""
        if instance not in self._tasks and instance != self._me.instance:
            self._tasks[instance] = asyncio.create_task(self._keep(instance))

    def keep_to(self, instances: set[InstanceId]) -> None:
        """Keep links to these instances, and dial no others any more."""
        for instance in instances:
            self.dial(instance)
        for instance in set(self._tasks) - instances - set(self._links):
            self._tasks.pop(instance).cancel()
            self._wake.pop(instance, None)
            logger.info("instance not dialled any more", instance=instance)

    def dial_now(self, instance: InstanceId) -> None:
        """Dial without waiting for the next attempt, if no link is up."""
        if instance in self._links or instance == self._me.instance:
            return
        self.dial(instance)
        self._wake.setdefault(instance, asyncio.Event()).set()

    def send_to_all(self, message: LinkMessage) -> None:
        """Send a message over every link that is up."""
        for link in self._links.values():
            link.send(message)

    def send(self, instance: InstanceId, message: LinkMessage) -> bool:
        """Send a message if the link is up; return whether it is."""
        link = self._links.get(instance)
        if link is None:
            self.dial(instance)
            return False
        link.send(message)
        return True

    def close_silent(self, now: float) -> None:
        """End links on which nothing is heard."""
        for link in list(self._links.values()):
            link.close_if_silent(now)

    async def _keep(self, instance: InstanceId) -> None:
        delay = FIRST_REDIAL
        while True:
            link = await self._connect(instance)
            if link is not None:
                delay = FIRST_REDIAL
                link.send(self._me)
                self._links[instance] = link
                logger.info("link up", instance=instance)
                self._counter.note_start(instance)
                self._on_up(instance)
                try:
                    await link.lost
                finally:
                    link.close()
                    del self._links[instance]
                    logger.info("link down", instance=instance)
                    self._on_down(instance)
            await self._pause(instance, delay)
            delay = min(LONGEST_REDIAL, delay * 2.0)

    async def _pause(self, instance: InstanceId, delay: float) -> None:
        wake = self._wake.setdefault(instance, asyncio.Event())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await wake.wait()
        wake.clear()

    async def _connect(self, instance: InstanceId) -> Link | None:
        address = parse_address(instance)
        loop = asyncio.get_running_loop()

        def take(link: Link, message: LinkMessage) -> None:
            self._on_message(instance, message)

        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                _, link = await loop.create_connection(
                    lambda: Link(take, lambda _: None), address.host, address.port
                )
        except (OSError, TimeoutError) as error:
            logger.debug("link refused", instance=instance, error=str(error))
            return None
        return link

    async def close(self) -> None:
        """End all links."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class LinkServer:
    """Accepts links; a process that dials again replaces its older link."""

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
        """Return the protocol of a new connection."""
        link = Link(self._take, self._lose)
        self._accepted.add(link)
        return link

    def send(self, instance: InstanceId, message: LinkMessage) -> None:
        """Send a message to a process that dialled, if its link is up."""
        link = self._links.get(instance)
        if link is not None:
            link.send_frame(self._frames.build(message))

    def send_to_all(self, message: LinkMessage) -> None:
        """Send a message over every link that is up."""
        for link in self._links.values():
            link.send(message)

    def close_silent(self, now: float) -> None:
        """End links on which nothing is heard."""
        for link in list(self._accepted):
            link.close_if_silent(now)

    def close(self) -> None:
        """End all links."""
        for link in list(self._accepted):
            link.close()

    def _take(self, link: Link, message: LinkMessage) -> None:
        if link.peer is not None:
            self._on_message(link.peer, message)
        elif isinstance(message, Introduce):
            older = self._links.get(message.instance)
            link.peer = message
            self._links[message.instance] = link
            if older is not None:
                older.close()
            self._counter.note_start(message.instance)
            self._on_up(message)
        else:
            logger.warning("link without introduction")
            link.close()

    def _lose(self, link: Link) -> None:
        self._accepted.discard(link)
        peer = link.peer
        if peer is not None and self._links.get(peer.instance) is link:
            del self._links[peer.instance]
            self._on_down(peer)


@contextlib.asynccontextmanager
async def listen_for_links(address: str, server: LinkServer) -> AsyncIterator[None]:
    """Accept links at ``address``."""
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
    """Accept links at ``address`` and run a process' timers until the block ends."""
    async with listen_for_links(address, server):
        task = asyncio.create_task(timers)
        try:
            yield
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            await dialer.close()
