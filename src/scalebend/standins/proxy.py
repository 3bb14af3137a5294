"""A loopback proxy whose connections can be delayed, held back or reset.

Bytes that are held back arrive once the rule is lifted, as after a cut that TCP
outlasted; a connection that either end gives up meanwhile ends at the other, too.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable, Iterator
from enum import Enum

import msgspec
import structlog

from scalebend.utils.addresses import parse_address

logger = structlog.get_logger(__name__)

CHUNK = 64 * 1024
"""Bytes read at a time."""

OPEN_TIMEOUT = 2.0
"""Seconds until the connection to the target must stand."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Option that makes a close a reset: linger for no time."""


class Direction(Enum):
    """Which bytes of a connection are held back, seen from who dialled."""

    BOTH = "both"
    REQUESTS = "requests"
    ERROR_RESPONSES = "answers"


class Rule(msgspec.Struct, frozen=True):
    """What happens to the bytes of some connections."""

    dialler: str | None
    """Whose connections, as :data:`Identify` names them; ``None`` for all."""

    holds: Direction | None = None
    delay: float = 0.0
    """Seconds by which bytes come late, both ways."""


Identify = Callable[[bytes], str | None]
"""Tells from the first bytes of a connection who dialled; ``None``: not known yet."""


class _Connection:
    def __init__(self, near: asyncio.StreamWriter, far: asyncio.StreamWriter) -> None:
        self.writers = (near, far)
        self.dialler: str | None = None

    def reset(self) -> None:
        for writer in self.writers:
            _reset(writer)


class Proxy:
    """Passes connections on from one address to another."""

    def __init__(self, target: str, identify: Identify | None = None) -> None:
        self.target = target
        self._identify = identify
        self._rules: list[Rule] = []
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.contextmanager
    def apply(self, rule: Rule) -> Iterator[None]:
        """Let ``rule`` be in force until the block ends."""
        self._rules.append(rule)
        try:
            yield
        finally:
            self._rules.remove(rule)
            self._changed.set()
            self._changed = asyncio.Event()

    def reset_all(self) -> None:
        """Reset every connection that is open."""
        for connection in list(self._connections):
            connection.reset()

    def take(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection (called by asyncio)."""
        task = asyncio.create_task(self._pass(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """End every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        address = parse_address(self.target)
        try:
            async with asyncio.timeout(OPEN_TIMEOUT):
                far_reader, far_writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except (OSError, TimeoutError):
            # Nobody listens: the dialler is to see a reset, not a planned end.
            _reset(writer)
            return
        connection = _Connection(writer, far_writer)
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, far_writer, Direction.REQUESTS),
                self._pump(connection, far_reader, writer, Direction.ERROR_RESPONSES),
            )
        except OSError:
            connection.reset()
        finally:
            self._connections.discard(connection)
            for one in connection.writers:
                one.close()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(CHUNK):
            if connection.dialler is None and self._identify is not None:
                if direction is Direction.REQUESTS:
                    connection.dialler = self._identify(data)
            await self._wait_until_passing(connection, direction)
            writer.write(data)
            await writer.drain()
        await self._wait_until_passing(connection, direction)
        writer.write_eof()

    async def _wait_until_passing(
        self, connection: _Connection, direction: Direction
    ) -> None:
        delay = max((rule.delay for rule in self._match(connection)), default=0.0)
        if delay:
            await asyncio.sleep(delay)
        while any(
            rule.holds in (direction, Direction.BOTH)
            for rule in self._match(connection)
        ):
            await self._changed.wait()

    def _match(self, connection: _Connection) -> list[Rule]:
        return [
            rule
            for rule in self._rules
            if rule.dialler is None or rule.dialler == connection.dialler
        ]


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    writer.transport.abort()


@contextlib.asynccontextmanager
async def run_proxy(
    address: str, target: str, identify: Identify | None = None
) -> AsyncIterator[Proxy]:
    """Pass connections to ``address`` on to ``target`` until the block ends."""
    proxy = Proxy(target, identify)
    parsed = parse_address(address)
    server = await asyncio.start_server(proxy.take, parsed.host, parsed.port)
    try:
        yield proxy
    finally:
        server.close()
        await proxy.close()
