"""HTTP sessions to upstreams that reject invalid, truncated and endless responses.

aiohttp pools connections. A faulty upstream may send a second response after a complete
one; in a pooled connection it would be taken for the response to the next request.
Also, a response without a length ends with its connection, and a reset must not count
as its end. And the parser drops chunk extensions, trailers and interim responses,
however many come, unseen by the reader of the body. And it accepts heads that are not
valid. All four are handled here, in the protocol class of the connector.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import math
import socket
import ssl
from collections.abc import AsyncIterator, Callable, Iterator
from contextvars import ContextVar
from types import SimpleNamespace
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler

from scalebend.edges.gateway.response_heads import HeadChecker, InvalidHeadError
from scalebend.edges.gateway.response_reading import OversizedResponseError
from scalebend.edges.gateway.socket_statistics import SocketCounts
from scalebend.edges.gateway.upstream_sockets import (
    CONNECT_TIMEOUT_S,
    UNACKED_TIMEOUT_MS,
)
from scalebend.edges.tunnel_errors import PathLostError
from scalebend.edges.upstream_dialer import NewConnection, UpstreamDialer
from scalebend.models.ids import InstanceId
from scalebend.utils.resets import reset_connection

CONNECT_SHARE = 0.9
"""Share of the remaining time that a connection may take: its timeout comes before the
deadline, which leaves time to try another replica or to refuse the request."""

PROBE_AFTER_S = 5
"""Silence of a connection after which the kernel probes it; ``UNACKED_TIMEOUT_MS`` has
passed by then, so that a second without a reply ends the connection."""

PROBE_INTERVAL_S = 1

IDLE_TIMEOUT_S = 4.0
"""Shorter than the idle timeout of the upstreams."""

MAX_FRAMING_BYTES = 256 * 1024
"""Bytes of a response beside its body: heads, chunk sizes and extensions, trailers."""

FRAMING_FACTOR = 8
"""Bytes received for each byte of the body that are framing of small chunks."""

_may_repeat: ContextVar[bool] = ContextVar("may_repeat", default=False)
"""Whether the request that is being sent may be sent again if its path is lost."""


@contextlib.contextmanager
def allow_repetition(*, is_allowed: bool) -> Iterator[None]:
    """Send requests in the block that may, or may not, be sent again."""
    token = _may_repeat.set(is_allowed)
    try:
        yield
    finally:
        _may_repeat.reset(token)


class StrictResponseHandler(ResponseHandler):
    """The client protocol of aiohttp with the checks of this module."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._heads = HeadChecker()
        """Checks the heads of the current response."""

        self.counts = SocketCounts()
        """Segments of this connection that were evaluated; see ``path_watch.py``."""

        self.peer: InstanceId | None = None
        """The peer through which the connection was opened; ``None`` if direct."""

        self._dialer: UpstreamDialer | None = None
        self.address = ""
        self.opened_at = 0.0
        self._has_data = False
        self._awaits_data = False
        """Whether no data arrived since a request was sent."""

        self._may_repeat = False
        """Whether the current request may be sent again."""

        self._received_bytes = 0
        """Bytes received since the last request was sent."""

        self._loss: aiohttp.ClientError | None = None
        """Why this process ended the connection, if it did."""

    def watch(
        self,
        dialer: UpstreamDialer,
        address: str,
        opened_at: float,
        peer: InstanceId | None,
    ) -> None:
        """Report to ``dialer`` what the connection shows of its way."""
        self._dialer = dialer
        self.address = address
        self.opened_at = opened_at
        self.peer = peer

    def is_connected(self) -> bool:
        """Whether the connection may be used for a request (called by the pool)."""
        if not super().is_connected():
            return False
        return self._dialer is None or self._dialer.may_reuse(
            self.address, self.opened_at, is_tunnel=self.peer is not None
        )

    def set_response_params(self, **params: object) -> None:
        """Begin a new request (called by aiohttp)."""
        self._heads = HeadChecker()
        self._received_bytes = 0
        self._awaits_data = True
        self._may_repeat = _may_repeat.get()
        super().set_response_params(**params)  # type: ignore[arg-type]

    def close(self) -> None:
        """Close the connection, which then says nothing of its way."""
        self._awaits_data = False
        super().close()

    def abort(self) -> None:
        """Close the connection at once."""
        self._awaits_data = False
        super().abort()

    def lose_tunnel(self, error: Exception) -> None:
        """End the connection, whose own socket shows nothing of the error."""
        transport = self.transport
        self.connection_lost(error)
        if transport is not None:
            transport.abort()

    def end_after_response(self) -> None:
        """Close the connection once no response is awaited any more."""
        self.force_close()
        if not self._is_busy():
            self.close()

    def _is_busy(self) -> bool:
        """Whether a response is awaited or incomplete."""
        is_incomplete = self._payload is not None and not self._payload.is_eof()
        return self._awaits_data or is_incomplete

    def may_abandon(self) -> bool:
        """Whether the current request, if any, may be sent again elsewhere."""
        return self._may_repeat and self._is_busy()

    def abandon(self) -> None:
        """End the connection because its path is lost.

        The reset keeps the kernel from delivering the request once the path is back.
        """
        self._loss = PathLostError("the path to the upstream was lost")
        self._awaits_data = False
        if self.transport is not None:
            reset_connection(self.transport)

    def data_received(self, data: bytes) -> None:
        """Abort on data that is no response (called by asyncio)."""
        if data:
            self._record_data()
        payload = self._current_payload
        if data and payload is not None and payload.is_eof():
            self.force_close()
            if self.transport is not None:
                self.transport.abort()
            return
        # Without a parser, the library keeps the data and delivers it again.
        if self._parser is not None and not self._has_valid_heads(data):
            return
        super().data_received(data)
        self._received_bytes += len(data)
        if self._is_framing_excessive():
            detail = f"{self._received_bytes} bytes, hardly any body"
            self._reject_response(OversizedResponseError(detail))

    def _has_valid_heads(self, data: bytes) -> bool:
        """Check the heads in ``data``; fail the request if one is not valid."""
        if self._heads.is_done:
            return True
        try:
            self._heads.feed(data)
        except InvalidHeadError as error:
            self._loss = error
            self._reject_response(error)
            return False
        return True

    @property
    def _current_payload(self) -> aiohttp.StreamReader | None:
        """The body of the current response; ``None`` before its final head."""
        return self._payload if self._heads.is_done else None

    def _is_framing_excessive(self) -> bool:
        """Whether too little of what was received is a part of a body."""
        payload = self._current_payload
        body_bytes = payload.total_bytes if payload is not None else 0
        framing = self._received_bytes - FRAMING_FACTOR * body_bytes
        return framing > MAX_FRAMING_BYTES

    def _reject_response(self, error: aiohttp.ClientError) -> None:
        """End the connection and fail its request."""
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:  # type: ignore[override]
        """Fail a response without a length after a reset (called by asyncio)."""
        if self._dialer is not None:
            self._dialer.remove(self)
        exc = self._loss or exc
        payload = self._payload
        is_incomplete = payload is not None and not payload.is_eof()
        if self._awaits_data and self._dialer is not None and self.peer is None:
            self._dialer.record_early_loss(self.address)
        failure: Exception | None = None
        if exc is not None and is_incomplete:
            # The library would take the end of a response without a length for regular.
            is_path_lost = isinstance(exc, PathLostError)
            failure = (
                exc if is_path_lost else aiohttp.ClientPayloadError(f"reset: {exc}")
            )
        if payload is not None and failure is not None:
            payload.set_exception(failure)
        super().connection_lost(exc)
        if payload is not None and failure is not None:
            # The library replaces the error of a response with a length by its own.
            payload.set_exception(failure)

    def _record_data(self) -> None:
        self._awaits_data = False
        if self._dialer is None or self.peer is not None:
            return
        self._dialer.record_activity()
        if not self._has_data:
            self._has_data = True
            self._dialer.record_data(self.address, self.opened_at)


class StrictConnector(aiohttp.TCPConnector):
    """Opens connections with :class:`StrictResponseHandler`, also through peers."""

    def __init__(
        self,
        dialer: UpstreamDialer | None,
        *,
        force_close: bool,
        may_repeat: bool,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        is_probed: bool = False,
        context: ssl.SSLContext | None = None,
    ) -> None:
        """``may_repeat``: whether all requests over it may be repeated.

        ``is_probed``: whether the kernel probes silent connections, which finds those
        that died without a sign. A paused process still replies.
        ``context`` is that of TLS connections; ``None`` for the default.
        """
        self._dialer = dialer
        self._may_repeat = may_repeat
        keepalive = None if force_close else idle_timeout_s
        options = {} if force_close else {"keepalive_timeout": keepalive}
        super().__init__(
            limit=0,
            force_close=force_close,
            ssl=context or True,
            use_dns_cache=False,
            socket_factory=_build_probed_socket if is_probed else _build_socket,
            **options,  # type: ignore[arg-type]
        )
        loop = asyncio.get_running_loop()
        self._factory = functools.partial(  # type: ignore[assignment]
            StrictResponseHandler, loop=loop
        )

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Open a connection directly or through a peer (called by aiohttp)."""
        create = super()._create_connection

        if self._dialer is None or timeout.sock_connect is None:
            return await create(req, traces, timeout)

        async def connect_directly(timeout_s: float) -> StrictResponseHandler:
            limited = aiohttp.ClientTimeout(total=None, sock_connect=timeout_s)
            handler = await create(req, traces, limited)
            return cast(StrictResponseHandler, handler)

        needed = NewConnection(
            f"{req.url.raw_host}:{req.port}",
            connect_directly,
            cast(Callable[[], StrictResponseHandler], self._factory),
            timeout_s=timeout.sock_connect,
            may_repeat=self._may_repeat,
        )
        return await self._dialer.connect(needed)


def _build_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
    return sock


def _build_probed_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    sock = _build_socket(address)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
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


def find_peer(response: aiohttp.ClientResponse) -> InstanceId | None:
    """Return the peer through which a response comes; ``None`` if it comes directly."""
    # The connection itself may be in the pool again, but its protocol is still known.
    protocol = response._protocol
    return protocol.peer if isinstance(protocol, StrictResponseHandler) else None


def close_connection(response: aiohttp.ClientResponse) -> None:
    """Close the connection of a response, also if it is in the pool again."""
    response.close()
    protocol = response._protocol
    if protocol is not None and protocol.transport is not None:
        # Not by the protocol itself: a request that has just taken the connection from
        # the pool has to learn of it.
        protocol.transport.close()


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


def _build_session(
    dialer: UpstreamDialer | None, *, force_close: bool
) -> aiohttp.ClientSession:
    session = aiohttp.ClientSession(
        connector=StrictConnector(
            dialer, force_close=force_close, may_repeat=not force_close
        ),
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
async def open_upstream_sessions(
    dialer: UpstreamDialer | None = None,
) -> AsyncIterator[UpstreamSessions]:
    """Open both sessions until the block ends; without a dialer, connect directly."""
    async with (
        _build_session(dialer, force_close=False) as pooled,
        _build_session(dialer, force_close=True) as single,
    ):
        yield UpstreamSessions(pooled, single)
