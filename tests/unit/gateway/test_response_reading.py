"""Timeouts of upstreams, and stalls of this process that look like them."""

import asyncio
import time

import aiohttp
import pytest

from scalebend.edges.gateway.response_reading import (
    UnresponsiveError,
    cancel_on_failure,
    read_available,
    wait_for_task,
)
from scalebend.edges.stalls import MIN_STALL_S

TIMEOUT_S = 0.05


class Protocol(asyncio.Protocol):
    """The part of a protocol that the stream reader of aiohttp uses."""

    connected = True
    _reading_paused = False

    def pause_reading(self):
        pass

    def resume_reading(self):
        pass


def build_content():
    loop = asyncio.get_running_loop()
    return aiohttp.StreamReader(Protocol(), limit=2**16, loop=loop)


async def test_timeout_without_bytes_raises():
    with pytest.raises(UnresponsiveError):
        await read_available(build_content(), TIMEOUT_S)


async def test_unfinished_task_times_out():
    task = asyncio.ensure_future(asyncio.sleep(10.0))
    assert not await wait_for_task(task, TIMEOUT_S)
    task.cancel()


async def stall_after_write(writer):
    """Write at the other end, then block this process for a while."""
    writer.write(b"there")
    await asyncio.sleep(0)
    time.sleep(TIMEOUT_S + 2 * MIN_STALL_S)


async def test_bytes_received_during_a_stall_are_read():
    content = build_content()

    async def serve(reader, writer):
        content.feed_data(await reader.read(100))
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    _, writer = await asyncio.open_connection("127.0.0.1", port)
    await asyncio.sleep(0.01)
    reading = asyncio.create_task(read_available(content, TIMEOUT_S))
    await stall_after_write(writer)
    assert await reading == b"there"
    writer.close()
    server.close()


async def test_task_that_ends_after_a_stall_counts():
    server = await asyncio.start_server(lambda r, w: w.close(), "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    task = asyncio.ensure_future(reader.read(1))
    waiting = asyncio.create_task(wait_for_task(task, TIMEOUT_S))
    await stall_after_write(writer)
    assert await waiting
    writer.close()
    server.close()


async def test_timeout_after_a_stall_comes_soon():
    content = build_content()
    reading = asyncio.create_task(read_available(content, TIMEOUT_S))
    await asyncio.sleep(0)
    time.sleep(TIMEOUT_S + 2 * MIN_STALL_S)
    began = time.monotonic()
    with pytest.raises(UnresponsiveError):
        await reading
    assert time.monotonic() - began < 1.0


class FakeResponse:
    """A response whose connection must be closed."""

    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True


async def fetch(sending):
    with cancel_on_failure(sending) as task:
        await wait_for_task(task, None)
        return task.result()


@pytest.mark.parametrize("ticks_before", [0, 1, 2, 3])
async def test_response_at_the_moment_of_a_disconnect_is_closed(ticks_before):
    response = FakeResponse()
    head = asyncio.Event()

    async def send():
        await head.wait()
        return response

    request = asyncio.create_task(fetch(send()))
    await asyncio.sleep(0.01)
    head.set()
    for _ in range(ticks_before):
        await asyncio.sleep(0)
    if request.done():
        # It was returned, and its new owner closes it.
        assert await request is response
        return
    request.cancel()
    with pytest.raises(asyncio.CancelledError):
        await request
    await asyncio.sleep(0.01)
    assert response.is_closed


async def test_returned_response_stays_open():
    response = FakeResponse()

    async def send():
        return response

    assert await fetch(send()) is response
    assert not response.is_closed


async def test_request_without_a_response_is_cancelled():
    cancelled = []

    async def send():
        try:
            await asyncio.sleep(10.0)
        except asyncio.CancelledError:
            cancelled.append(True)
            raise

    with pytest.raises(UnresponsiveError), cancel_on_failure(send()) as task:
        if not await wait_for_task(task, TIMEOUT_S):
            raise UnresponsiveError
    await asyncio.sleep(0.01)
    assert cancelled
