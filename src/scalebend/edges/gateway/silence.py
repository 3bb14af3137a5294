"""Waits for bytes of an upstream, and tells its silence from a pause of this process.

A process that stood still for a while finds its timers due and the bytes unread in its
sockets. Timers run first; so one that is found due much too late says nothing yet.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Iterator
from typing import Any

import aiohttp

LARGEST_ANSWER = 16 * 1024 * 1024
"""Bytes of an answer that is held whole before it is passed on."""

PAUSE = 0.2
"""Seconds by which a timer is late when this process stood still: far more than a busy
event loop takes for one turn."""

AFTER_PAUSE = 0.3
"""Seconds for which an upstream is listened to again after that: what came meanwhile is
read within a turn of the loop or two."""


class SilentError(Exception):
    """Nothing came from the upstream in the time that a sound one takes."""


@contextlib.contextmanager
def own_answer(
    sending: Awaitable[aiohttp.ClientResponse],
) -> Iterator[asyncio.Future[aiohttp.ClientResponse]]:
    """Send a request; if the block fails, end it whether its answer is there or not.

    A caller may leave in the moment in which the answer's head comes: an answer that
    nobody took would keep its connection, and the upstream would go on with the work.
    """
    task = asyncio.ensure_future(sending)
    try:
        yield task
    except BaseException:
        task.add_done_callback(_close_answer)
        task.cancel()
        raise


def _close_answer(task: asyncio.Future[aiohttp.ClientResponse]) -> None:
    if not task.cancelled() and task.exception() is None:
        task.result().close()


async def wait_for_task(task: asyncio.Future[Any], patience: float | None) -> bool:
    """Wait for a task to end; return whether it did within ``patience`` seconds."""
    loop = asyncio.get_running_loop()
    while True:
        began = loop.time()
        done, _ = await asyncio.wait({task}, timeout=patience)
        if done:
            return True
        if patience is None or loop.time() - began - patience < PAUSE:
            return False
        patience = AFTER_PAUSE


async def read_available(
    content: aiohttp.StreamReader, patience: float | None
) -> bytes:
    """The bytes that are there, or the next; raise when none come in ``patience``."""
    loop = asyncio.get_running_loop()
    while True:
        timer = asyncio.timeout(patience)
        try:
            async with timer:
                return await content.readany()
        except TimeoutError:
            due = timer.when()
            if not timer.expired() or due is None:
                raise
            if loop.time() - due < PAUSE:
                raise SilentError from None
            patience = AFTER_PAUSE


async def read_whole(answer: aiohttp.ClientResponse, patience: float | None) -> bytes:
    """The whole body; raise when nothing comes for ``patience`` seconds."""
    parts: list[bytes] = []
    size = 0
    while data := await read_available(answer.content, patience):
        parts.append(data)
        size += len(data)
        if size > LARGEST_ANSWER:
            raise aiohttp.ClientPayloadError("the answer is too large")
    return b"".join(parts)
