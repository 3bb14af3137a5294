"""Bytes that belong to no request, and answers that end too early."""

import asyncio
import contextlib
import socket
import struct

import aiohttp
import pytest

from scalebend.edges.gateway.upstream_client import open_upstream_sessions

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


@contextlib.asynccontextmanager
async def run_server(answer):
    """A server whose connections are handled by ``answer(reader, writer, number)``."""
    connections = []

    async def handle(reader, writer):
        connections.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await answer(reader, writer, len(connections))
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}/", connections
    finally:
        server.close()


async def fetch(sessions, url, *, may_pool=True):
    session = sessions.choose(may_pool=may_pool)
    async with session.get(url) as answer:
        return await answer.read()


async def test_late_second_answer_is_not_the_next_request_s():
    async def answer(reader, writer, number):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE)
            await asyncio.sleep(0.05)
            if number == 1:
                writer.write(SECOND)
                await asyncio.sleep(0.05)

    async with run_server(answer) as (url, connections):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"ok"
            await asyncio.sleep(0.2)
            assert await fetch(sessions, url) == b"ok"
            assert len(connections) == 2


async def test_second_answer_in_the_same_segment_is_dropped():
    async def answer(reader, writer, number):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE + (SECOND if number == 1 else b""))

    async with run_server(answer) as (url, connections):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"ok"
            assert await fetch(sessions, url) == b"ok"
            assert len(connections) == 2


async def test_answer_without_length_that_is_reset_is_not_whole():
    async def answer(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await writer.drain()
        await asyncio.sleep(0.05)
        # Without lingering, closing sends a reset instead of an end.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with run_server(answer) as (url, _):
        async with open_upstream_sessions() as sessions:
            with pytest.raises(aiohttp.ClientError):
                await fetch(sessions, url)


async def test_answer_without_length_that_is_closed_is_whole():
    async def answer(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        await writer.drain()

    async with run_server(answer) as (url, _):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"whole"


async def test_request_not_to_be_repeated_never_shares_a_connection():
    async def answer(reader, writer, number):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(WHOLE)

    async with run_server(answer) as (url, connections):
        async with open_upstream_sessions() as sessions:
            for _ in range(3):
                assert await fetch(sessions, url, may_pool=False) == b"ok"
            assert len(connections) == 3


async def test_library_repeats_nothing_by_itself():
    seen = []

    async def answer(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        seen.append(number)
        if number == 1:
            writer.write(WHOLE)
            await reader.readuntil(b"\r\n\r\n")
            seen.append(number)

    async with run_server(answer) as (url, _):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"ok"
            with pytest.raises(aiohttp.ClientError):
                await fetch(sessions, url)
            assert seen == [1, 1]
