"""HTTP sessions to upstreams, strict about bytes that belong to no request.

aiohttp pools connections. An upstream in trouble may send a second answer after a
whole one; in a pooled connection it would be taken for the next request's. Also, an
answer without a length ends with its connection, and a reset must not count as that
end. Both are decided here, in the protocol that the connector makes.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
import socket
from collections.abc import AsyncIterator

import aiohttp
from aiohttp.client_proto import ResponseHandler

CONNECT_TIMEOUT = 0.1
"""Seconds until a connection must stand: many round trips between the availability
zones of a region, and a third of the target for a quick question, so that another
replica can still answer in time. A lost packet is sent again only after a second."""

CONNECT_PART = 0.9
"""Part of the time left that a connection may take: it ends before the deadline does,
so that a request that was not sent is never taken for one that may have run."""

IDLE_TIME = 4.0
"""Seconds for which an idle connection is kept; upstreams forget theirs later."""

UNACKED_TIMEOUT_MS = 3000
"""Milliseconds after which the kernel gives up on bytes that were not acknowledged."""


class StrictResponseHandler(ResponseHandler):
    """aiohttp's client protocol, with the two checks of this module."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._answered_before: object = None

    def set_response_params(self, **params: object) -> None:
        """A new request begins (called by aiohttp)."""
        self._answered_before = self._payload
        super().set_response_params(**params)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Refuse bytes after a whole answer (called by asyncio)."""
        payload = self._payload
        is_new = payload is not self._answered_before
        if data and is_new and payload is not None and payload.is_eof():
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """A reset leaves an answer without a length incomplete (called by asyncio)."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class _StrictConnector(aiohttp.TCPConnector):
    def __init__(self, *, force_close: bool) -> None:
        keepalive = None if force_close else IDLE_TIME
        options = {} if force_close else {"keepalive_timeout": keepalive}
        super().__init__(
            limit=0,
            force_close=force_close,
            use_dns_cache=False,
            socket_factory=_build_socket,
            **options,  # type: ignore[arg-type]
        )
        loop = asyncio.get_running_loop()
        self._factory = functools.partial(  # type: ignore[assignment]
            StrictResponseHandler, loop=loop
        )


def _build_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock


class UpstreamSessions:
    """Sessions with pooled connections, and with one for each request.

    A request that must not run twice gets a connection of its own: on a pooled one
    that the upstream closes meanwhile, nobody could say whether it had run. So does one
    whose last attempt broke or fell silent: connections may fall silent many at once.
    """

    def __init__(
        self, pooled: aiohttp.ClientSession, single: aiohttp.ClientSession
    ) -> None:
        self.pooled = pooled
        self._single = single

    def choose(self, *, may_pool: bool) -> aiohttp.ClientSession:
        """The session for a request."""
        return self.pooled if may_pool else self._single


def build_timeout(
    remaining: float, total: float | None = None
) -> aiohttp.ClientTimeout:
    """Time limits of a request whose deadline is in ``remaining`` seconds.

    That of the connection, and of the whole where ``total`` is given in seconds: else
    the rest is for whoever waits for the answer.
    """
    connect = min(CONNECT_TIMEOUT, max(0.001, CONNECT_PART * remaining))
    return aiohttp.ClientTimeout(total=total, sock_connect=connect)


def _build_session(*, force_close: bool) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=_StrictConnector(force_close=force_close),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=build_timeout(math.inf),
        max_line_size=32 * 1024,
        max_field_size=32 * 1024,
    )
    # Repeating is decided by the route and the retry budget, never by the library.
    session._retry_connection = False
    return session


@contextlib.asynccontextmanager
async def open_upstream_sessions() -> AsyncIterator[UpstreamSessions]:
    """Open both sessions and close them afterwards."""
    async with (
        _build_session(force_close=False) as pooled,
        _build_session(force_close=True) as single,
    ):
        yield UpstreamSessions(pooled, single)
