"""A loopback TCP proxy whose connections can be delayed, blocked or reset.

Blocked bytes are delivered once the rule is removed, as after a network partition
shorter than the TCP timeout. A connection that one end closes is closed at the other.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Iterator
from enum import Enum

import msgspec
import structlog

from scalebend.utils.addresses import parse_address
from scalebend.utils.resets import reset_connection

logger = structlog.get_logger(__name__)

READ_BYTES = 64 * 1024
"""Maximum size of one read."""

CONNECT_TIMEOUT_S = 2.0
"""Timeout of a connection attempt to the target."""


class Direction(Enum):
    """Direction of the blocked bytes of a connection, as seen from its client."""

    BOTH = "both"
    REQUESTS = "requests"
    RESPONSES = "answers"


class Rule(msgspec.Struct, frozen=True):
    """An impairment of some or all connections."""

    client: str | None
    """Client whose connections match, by its :data:`Identify` name, or by the host it
    connects from if the proxy has no such function; ``None``: all."""

    blocked: Direction | None = None
    """Direction whose bytes are blocked."""

    delay: float = 0.0
    """Delay in seconds of the bytes in each direction."""


Identify = Callable[[bytes], str | None]
"""Returns the client's name from the first bytes of a connection, if known yet."""


class _Connection:
    def __init__(
        self, client_writer: asyncio.StreamWriter, target_writer: asyncio.StreamWriter
    ) -> None:
        self.writers = (client_writer, target_writer)
        self.client: str | None = None

    def reset(self) -> None:
        for writer in self.writers:
            reset_connection(writer.transport)


class Proxy:
    """Forwards connections to a target address."""

    def __init__(self, target: str, identify: Identify | None = None) -> None:
        self.target = target
        self._identify = identify
        self._rules: list[Rule] = []
        self._changed = asyncio.Event()
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    @contextlib.contextmanager
    def apply(self, rule: Rule) -> Iterator[None]:
        """Apply ``rule`` until the block ends."""
        self._rules.append(rule)
        try:
            yield
        finally:
            self._rules.remove(rule)
            self._changed.set()
            self._changed = asyncio.Event()

    def reset_all(self, client: str | None = None) -> None:
        """Reset all open connections, or those of one client."""
        for connection in list(self._connections):
            if client is None or client == connection.client:
                connection.reset()

    def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection in a task; the callback of the asyncio server."""
        task = asyncio.create_task(self._forward(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        address = parse_address(self.target)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                far_reader, far_writer = await asyncio.open_connection(
                    address.host, address.port
                )
        except (OSError, TimeoutError):
            # The client must see a reset, as if nothing listened, not a regular close.
            reset_connection(writer.transport)
            return
        connection = _Connection(writer, far_writer)
        if self._identify is None:
            connection.client = writer.get_extra_info("peername")[0]
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, far_writer, Direction.REQUESTS),
                self._pump(connection, far_reader, writer, Direction.RESPONSES),
            )
        except OSError:
            connection.reset()
        finally:
            self._connections.discard(connection)
            for open_writer in connection.writers:
                open_writer.close()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while data := await reader.read(READ_BYTES):
            if connection.client is None and self._identify is not None:
                if direction is Direction.REQUESTS:
                    connection.client = self._identify(data)
            await self._wait_until_unblocked(connection, direction)
            # Bytes that are held up are lost if their sender resets the connection.
            if (error := reader.exception()) is not None:
                raise error
            writer.write(data)
            await writer.drain()
        await self._wait_until_unblocked(connection, direction)
        writer.write_eof()

    async def _wait_until_unblocked(
        self, connection: _Connection, direction: Direction
    ) -> None:
        delay = max((rule.delay for rule in self._match(connection)), default=0.0)
        if delay:
            await asyncio.sleep(delay)
        while any(
            rule.blocked in (direction, Direction.BOTH)
            for rule in self._match(connection)
        ):
            await self._changed.wait()

    def _match(self, connection: _Connection) -> list[Rule]:
        return [
            rule
            for rule in self._rules
            if rule.client is None or rule.client == connection.client
        ]


@contextlib.asynccontextmanager
async def run_proxy(
    address: str, target: str, identify: Identify | None = None
) -> AsyncIterator[Proxy]:
    """Forward connections from ``address`` to ``target`` until the block ends."""
    proxy = Proxy(target, identify)
    parsed = parse_address(address)
    server = await asyncio.start_server(
        proxy.serve_connection, parsed.host, parsed.port
    )
    try:
        yield proxy
    finally:
        server.close()
        await proxy.close()
