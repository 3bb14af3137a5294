"""Serves HTTP at a listening socket; shared by fronts, control instances and relays."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Awaitable, Callable

from aiohttp import web

from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.sockets import BACKLOG

HEADER_LINE_BYTES = 16 * 1024
"""Bytes of one header line; the platform's limit for all headers together."""

LARGEST_BODY = 64 * 1024 * 1024
"""Bytes that the library may hold; the routing document sets the real limit."""

KEEPALIVE_TIME = 75.0
"""Seconds for which an idle connection is kept, longer than callers reuse one."""

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


def _build_request(*parts):  # type: ignore[no-untyped-def]
    """Make the library's request, with room for the largest body."""
    loop = asyncio.get_running_loop()
    return web.BaseRequest(  # type: ignore[misc]
        *parts,
        loop,  # type: ignore[arg-type]
        client_max_size=LARGEST_BODY,
    )


@contextlib.asynccontextmanager
async def listen(sock: socket.socket, handler: Handler) -> AsyncIterator[web.SockSite]:
    """Serve ``handler`` at a socket that listens."""
    server = web.Server(
        handler,
        request_factory=_build_request,
        handler_cancellation=True,
        access_log=None,
        keepalive_timeout=KEEPALIVE_TIME,
        max_line_size=HEADER_LINE_BYTES,
        max_field_size=HEADER_LINE_BYTES,
    )
    runner = web.ServerRunner(server, shutdown_timeout=0.2)
    await runner.setup()
    site = web.SockSite(runner, sock, backlog=BACKLOG)
    await site.start()
    try:
        yield site
    finally:
        await runner.cleanup()


async def answer_metrics(
    metrics: GatewayMetrics, request: web.BaseRequest
) -> web.StreamResponse:
    """Answer with the figures of this process."""
    return web.Response(body=metrics.render(), content_type="text/plain")
