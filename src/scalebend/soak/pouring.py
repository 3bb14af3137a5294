"""Responses of stand-in replicas that never end and are no answer.

Both rate and time are bounded, since all replicas share the process of the soak.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
from aiohttp import web

_INTERVAL_S = 0.01
_COMMENTS = b": ping\n\n" * 8192
"""Far more than comes between two events of a sound stream."""

_BODY = b"m" * 65_536


async def pour(
    request: web.BaseRequest,
    headers: aiohttp.typedefs.LooseHeaders,
    is_pouring: Callable[[], bool],
) -> web.StreamResponse:
    """Send comments in a stream, else a body without a length; then reset.

    Ends with ``is_pouring``, or when the front closes the connection.
    """
    response = web.StreamResponse(headers=headers)
    block = _BODY
    if "events" in request.query:
        block = _COMMENTS
        response.content_type = "text/event-stream"
    with contextlib.suppress(ConnectionError):
        await response.prepare(request)
        while is_pouring():
            await response.write(block)
            await asyncio.sleep(_INTERVAL_S)
    if request.transport is not None:
        request.transport.abort()
    return response
