"""HTTP sessions to upstreams that reject unsolicited and truncated responses.

aiohttp pools connections. A faulty upstream may send a second response after a complete
one; in a pooled connection it would be taken for the response to the next request.
Also, a response without a length ends with its connection, and a reset must not count
as its end. Both are handled here, in the protocol class of the connector.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
import socket
from collections.abc import AsyncIterator
from types import SimpleNamespace

import aiohttp
from aiohttp.client_proto import ResponseHandler

from scalebend.edges.gateway.socket_statistics import SocketCounts

CONNECT_TIMEOUT_S = 0.1
"""Many round trips between the availability zones of a region, but short enough for
another replica to respond within a short latency target. The kernel resends a lost SYN
only after a second."""

CONNECT_SHARE = 0.9
"""Share of the remaining time that a connection may take: its timeout comes before the
deadline, which leaves time to try another replica or to refuse the request."""

IDLE_TIMEOUT_S = 4.0
"""Shorter than the idle timeout of the upstreams."""

UNACKED_TIMEOUT_MS = 3000
"""Time after which the kernel closes a connection with unacknowledged data."""


class StrictResponseHandler(ResponseHandler):
    """The client protocol of aiohttp with the two checks of this module."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._previous_payload: object = None
        self.counts = SocketCounts()
        """Segments of this connection that were evaluated; see ``path_watch.py``."""

    def set_response_params(self, **params: object) -> None:
        """Begin a new request (called by aiohttp)."""
        self._previous_payload = self._payload
        super().set_response_params(**params)  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Abort on data after a complete response (called by asyncio)."""
        payload = self._payload
        is_current_payload = payload is not self._previous_payload
        if data and is_current_payload and payload is not None and payload.is_eof():
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return
        super().data_received(data)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail a response without a length after a reset (called by asyncio)."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc}"))
        super().connection_lost(exc)


class _StrictConnector(aiohttp.TCPConnector):
    def __init__(self, *, force_close: bool) -> None:
        keepalive = None if force_close else IDLE_TIMEOUT_S
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
    """A session with pooled connections, and one with a connection per request.

    Non-idempotent requests get a new connection: if the upstream closed a pooled one
    meanwhile, nobody could tell whether the request had run. So do retries after a
    broken or unresponsive connection: many pooled ones may be dead at once.
    """

    def __init__(
        self, pooled: aiohttp.ClientSession, single: aiohttp.ClientSession
    ) -> None:
        self.pooled = pooled
        self._single = single

    def choose(self, *, may_pool: bool) -> aiohttp.ClientSession:
        """Return the session for a request."""
        return self.pooled if may_pool else self._single


def build_timeout(
    remaining: float, total: float | None = None
) -> aiohttp.ClientTimeout:
    """Return the timeouts of a request whose deadline is in ``remaining`` seconds.

    Without ``total``, in seconds, only the connection has a timeout, and the caller of
    this function has to limit the wait for the response.
    """
    connect = min(CONNECT_TIMEOUT_S, max(0.001, CONNECT_SHARE * remaining))
    return aiohttp.ClientTimeout(total=total, sock_connect=connect)


async def _report_connection(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: object
) -> None:
    on_connection = context.trace_request_ctx
    if on_connection is not None:
        on_connection()


def _build_trace() -> aiohttp.TraceConfig:
    """Call the ``trace_request_ctx`` of a request, if any, once it has a connection.

    The library does so before it writes: what had no connection was never sent.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(_report_connection)
    trace.on_connection_reuseconn.append(_report_connection)
    return trace


def _build_session(*, force_close: bool) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=_StrictConnector(force_close=force_close),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=build_timeout(math.inf),
        max_line_size=32 * 1024,
        max_field_size=32 * 1024,
        trace_configs=[_build_trace()],
    )
    # The route and the retry budget decide on retries, never the library.
    session._retry_connection = False
    return session


@contextlib.asynccontextmanager
async def open_upstream_sessions() -> AsyncIterator[UpstreamSessions]:
    """Open both sessions until the block ends."""
    async with (
        _build_session(force_close=False) as pooled,
        _build_session(force_close=True) as single,
    ):
        yield UpstreamSessions(pooled, single)
