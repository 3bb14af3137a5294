"""Silence of an upstream, and pauses of this process that look like it."""

import asyncio
import time

import aiohttp
import pytest

from scalebend.edges.gateway.response_reading import (
    MIN_STALL_S,
    UnresponsiveError,
    cancel_on_failure,
    read_available,
    wait_for_task,
)

PATIENCE = 0.05


class Protocol(asyncio.Protocol):
    """What aiohttp's reader wants of a protocol."""

    connected = True
    _reading_paused = False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def build_content():
    loop = asyncio.get_running_loop()
    return aiohttp.StreamReader(Protocol(), limit=2**16, loop=loop)


async def test_silence_is_seen():
    with pytest.raises(UnresponsiveError):
        await read_available(build_content(), PATIENCE)


async def test_silence_of_a_task_is_seen():
    task = asyncio.ensure_future(asyncio.sleep(10.0))
    assert not await wait_for_task(task, PATIENCE)
    task.cancel()


async def stand_still(writer):
    """The other end writes, then this process does not run for a while."""
    writer.write(b"there")
    await asyncio.sleep(0)
    time.sleep(PATIENCE + 2 * MIN_STALL_S)


async def test_bytes_that_came_while_the_process_stood_still_are_read():
    content = build_content()

    async def serve(reader, writer):
        content.feed_data(await reader.read(100))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    await asyncio.sleep(0.01)
    reading = asyncio.create_task(read_available(content, PATIENCE))
    await stand_still(writer)
    assert await reading == b"there"
    writer.close()
    server.close()


async def test_task_that_could_not_end_while_the_process_stood_still_counts():
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    task = asyncio.ensure_future(reader.read(1))
    waiting = asyncio.create_task(wait_for_task(task, PATIENCE))
    await stand_still(writer)
    assert await waiting
    writer.close()
    server.close()


async def test_silence_after_a_pause_is_seen_soon():
    content = build_content()
    reading = asyncio.create_task(read_available(content, PATIENCE))
    await asyncio.sleep(0)
    time.sleep(PATIENCE + 2 * MIN_STALL_S)
    began = time.monotonic()
    with pytest.raises(UnresponsiveError):
        await reading
    assert time.monotonic() - began < 1.0


class Answer:
    """An answer's head, with a connection that somebody must close."""

    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


async def take(sending):
    with cancel_on_failure(sending) as task:
        await wait_for_task(task, None)
        return task.result()


@pytest.mark.parametrize("ticks_before", [0, 1, 2, 3])
async def test_answer_that_comes_as_its_caller_leaves_is_closed(ticks_before):
    answer = Answer()
    head = asyncio.Event()

    async def send():
        await head.wait()
        return answer

    caller = asyncio.create_task(take(send()))
    await asyncio.sleep(0.01)
    head.set()
    for _ in range(ticks_before):
        await asyncio.sleep(0)
    if caller.done():
        # It was handed over: whoever has it closes it.
        assert await caller is answer
        return
    caller.cancel()
    with pytest.raises(asyncio.CancelledError):
        await caller
    await asyncio.sleep(0.01)
    assert answer.is_closed


async def test_answer_that_is_taken_stays_open():
    answer = Answer()

    async def send():
        return answer

    assert await take(send()) is answer
    assert not answer.is_closed


async def test_silent_request_is_cancelled():
    cancelled = []

    async def send():
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    with pytest.raises(UnresponsiveError), cancel_on_failure(send()) as task:
        if not await wait_for_task(task, PATIENCE):
            raise UnresponsiveError
    await asyncio.sleep(0.01)
    assert cancelled
