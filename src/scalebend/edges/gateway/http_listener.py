"""HTTP server on a listening socket, for fronts, control instances and relays."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

from aiohttp import web

from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.sockets import BACKLOG

MAX_HEADER_LINE_BYTES = 16 * 1024
"""Maximum size of one header line; the platform's limit for all headers."""

MAX_BODY_BYTES = 64 * 1024 * 1024
"""Upper limit of the library; the routing document sets the effective one."""

KEEPALIVE_TIMEOUT_S = 75.0
"""Idle time before a connection is closed; longer than callers reuse one."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def _build_request(*parts):  # type: ignore[no-untyped-def]
    """Build the library's request object with the maximum body size."""
    loop = asyncio.get_running_loop()
    return web.BaseRequest(  # type: ignore[misc]
        *parts,
        loop,  # type: ignore[arg-type]
        client_max_size=MAX_BODY_BYTES,
    )


class Listener:
    """A server that accepts connections until it is stopped."""

    def __init__(
        self, server: web.Server, site: web.SockSite, sock: socket.socket
    ) -> None:
        self._server = server
        self._site = site
        self._sock = sock

    async def stop(self) -> None:
        """Stop accepting; connections that were made before are still served."""
        # Closing the socket resets the connections in its accept queue.
        queued = _accept_queued(self._sock)
        await self._site.stop()
        loop = asyncio.get_running_loop()
        for connection in queued:
            with contextlib.suppress(OSError):
                await loop.connect_accepted_socket(self._server, connection)


def _accept_queued(sock: socket.socket) -> list[socket.socket]:
    """Accept the connections that wait in the accept queue of a socket."""
    queued: list[socket.socket] = []
    with contextlib.suppress(OSError):
        while len(queued) <= BACKLOG:
            queued.append(sock.accept()[0])
    for connection in queued:
        connection.setblocking(False)
    return queued


@contextlib.asynccontextmanager
async def listen(
    sock: socket.socket, handler: Handler, *, decodes_bodies: bool = True
) -> AsyncIterator[Listener]:
    """Serve ``handler`` on a listening socket until the block ends.

    ``decodes_bodies``: whether ``Content-Encoding`` is undone. A proxy must not.
    """
    server = web.Server(
        handler,
        request_factory=_build_request,
        handler_cancellation=True,
        access_log=None,
        auto_decompress=decodes_bodies,
        keepalive_timeout=KEEPALIVE_TIMEOUT_S,
        max_line_size=MAX_HEADER_LINE_BYTES,
        max_field_size=MAX_HEADER_LINE_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.2)
    await runner.setup()
    site = web.SockSite(runner, sock, backlog=BACKLOG)
    await site.start()
    try:
        yield Listener(server, site, sock)
    finally:
        await runner.cleanup()


async def serve_metrics(
    metrics: GatewayMetrics, request: web.BaseRequest
) -> web.StreamResponse:
    """Respond with the metrics of this process."""
    return web.Response(body=metrics.render(), content_type="text/plain")
