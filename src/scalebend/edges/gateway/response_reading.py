"""Reads responses with timeouts that tolerate a stall of this process.

After a stall (a suspended process, a blocked event loop), expired timers run before the
data that waits in the sockets is read. So a timer that runs much too late does not show
that the upstream is unresponsive, and the read gets a short second timeout.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterator
from typing import Any

import aiohttp

from scalebend.edges.stalls import MIN_STALL_S

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a response body that is buffered before it is forwarded."""

MAX_REJECTION_BYTES = 64 * 1024
"""Maximum size of the body of a rejection that is read to keep its connection."""

REJECTION_BODY_TIMEOUT_S = 0.1
"""Time for the body of a rejection, which most often comes with its head."""

EXTRA_READ_TIMEOUT_S = 0.3
"""Second timeout after a stall: pending data is read within an iteration or two."""


_FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")


class UnresponsiveError(Exception):
    """The upstream sent no bytes within the timeout."""


class OversizedResponseError(aiohttp.ClientError):
    """The upstream sends more bytes than a response of its kind may have.

    No error of the connection: a crashed upstream sends nothing.
    """


@contextlib.contextmanager
def cancel_on_failure(
    sending: Awaitable[aiohttp.ClientResponse],
) -> Iterator[asyncio.Future[aiohttp.ClientResponse]]:
    """Send a request; if the block fails, cancel it and close its response.

    A caller may disconnect just as the response head arrives: a response without an
    owner would keep its connection, and the upstream would continue the work.
    """
    task = asyncio.ensure_future(sending)
    try:
        yield task
    except BaseException:
        task.add_done_callback(_close_response)
        task.cancel()
        raise


def _close_response(task: asyncio.Future[aiohttp.ClientResponse]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


async def wait_for_task(task: asyncio.Future[Any], timeout: float | None) -> bool:
    """Wait for a task to end; return whether it did within ``timeout`` seconds."""
    loop = asyncio.get_running_loop()
    while True:
        began = loop.time()
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if done:
            return True
        if timeout is None or loop.time() - began - timeout < MIN_STALL_S:
            return False
        timeout = EXTRA_READ_TIMEOUT_S


async def read_available(content: aiohttp.StreamReader, timeout: float | None) -> bytes:
    """Return the next bytes; raise if none come within ``timeout`` seconds."""
    loop = asyncio.get_running_loop()
    while True:
        timer = asyncio.timeout(timeout)
        try:
            async with timer:
                return await content.readany()
        except TimeoutError:
            due = timer.when()
            if not timer.expired() or due is None:
                raise
            if loop.time() - due < MIN_STALL_S:
                raise UnresponsiveError from None
            timeout = EXTRA_READ_TIMEOUT_S


def is_framed(response: aiohttp.ClientResponse) -> bool:
    """Whether the end of a response does not depend on that of its connection."""
    return any(name in response.headers for name in _FRAMING_HEADERS)


async def read_whole(read: Callable[[], Awaitable[bytes]], limit: int) -> bytes:
    """Return a whole body; ``read`` returns the next bytes, and none at the end.

    Raises :class:`OversizedResponseError` for one of more than ``limit`` bytes.
    """
    parts: list[bytes] = []
    size = 0
    while data := await read():
        parts.append(data)
        size += len(data)
        if size > limit:
            raise OversizedResponseError(f"a body of more than {limit} bytes")
    return b"".join(parts)


async def skip_rejection_body(response: aiohttp.ClientResponse) -> None:
    """Read the body of a rejection, so that its connection may be used again.

    The head alone says that the request has not run; the rest may fail or not come.
    """
    with contextlib.suppress(aiohttp.ClientError, OSError):
        async with asyncio.timeout(REJECTION_BODY_TIMEOUT_S):
            await read_whole(response.content.readany, MAX_REJECTION_BYTES)
