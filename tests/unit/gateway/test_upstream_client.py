"""Unsolicited and truncated responses on upstream connections."""

import asyncio
import contextlib
import socket
import struct

import aiohttp
import pytest

from scalebend.edges.gateway.upstream_client import open_upstream_sessions

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
SECOND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"


@contextlib.asynccontextmanager
async def run_server(respond):
    """A server whose connections are handled by ``respond(reader, writer, number)``."""
    connections = []

    async def handle(reader, writer):
        connections.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await respond(reader, writer, len(connections))
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"http://127.0.0.1:{port}/", connections
    finally:
        server.close()


async def fetch(sessions, url, *, may_pool=True):
    session = sessions.choose(may_pool=may_pool)
    async with session.get(url) as response:
        return await response.read()


async def test_late_second_response_is_not_used_for_the_next_request():
    async def respond(reader, writer, number):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE)
            await asyncio.sleep(0.05)
            if number == 1:
                writer.write(SECOND)
                await asyncio.sleep(0.05)

    async with run_server(respond) as (url, connections):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"ok"
            await asyncio.sleep(0.2)
            assert await fetch(sessions, url) == b"ok"
            assert len(connections) == 2


async def test_second_response_in_the_same_segment_is_dropped():
    async def respond(reader, writer, number):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE + (SECOND if number == 1 else b""))

    async with run_server(respond) as (url, connections):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"ok"
            assert await fetch(sessions, url) == b"ok"
            assert len(connections) == 2


async def test_late_response_after_empty_ones_is_not_used_for_the_next_request():
    async def respond(reader, writer, number):
        for _ in range(2):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        await asyncio.sleep(0.05)
        writer.write(SECOND)
        await asyncio.sleep(30.0)

    async with run_server(respond) as (url, connections):
        async with open_upstream_sessions() as sessions:
            for _ in range(2):
                assert await fetch(sessions, url) == b""
            assert len(connections) == 1
            await asyncio.sleep(0.2)
            assert await fetch(sessions, url) == b""
            assert len(connections) == 2


async def test_reset_response_without_length_is_incomplete():
    async def respond(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf")
        await writer.drain()
        await asyncio.sleep(0.05)
        # With a linger time of 0, closing sends a reset instead of a FIN.
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()

    async with run_server(respond) as (url, _):
        async with open_upstream_sessions() as sessions:
            with pytest.raises(aiohttp.ClientError):
                await fetch(sessions, url)


async def test_closed_response_without_length_is_complete():
    async def respond(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\nwhole")
        await writer.drain()

    async with run_server(respond) as (url, _):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"whole"


async def test_unpooled_request_gets_its_own_connection():
    async def respond(reader, writer, number):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(COMPLETE)

    async with run_server(respond) as (url, connections):
        async with open_upstream_sessions() as sessions:
            for _ in range(3):
                assert await fetch(sessions, url, may_pool=False) == b"ok"
            assert len(connections) == 3


async def test_http_library_does_not_retry():
    seen = []

    async def respond(reader, writer, number):
        await reader.readuntil(b"\r\n\r\n")
        seen.append(number)
        if number == 1:
            writer.write(COMPLETE)
            await reader.readuntil(b"\r\n\r\n")
            seen.append(number)

    async with run_server(respond) as (url, _):
        async with open_upstream_sessions() as sessions:
            assert await fetch(sessions, url) == b"ok"
            with pytest.raises(aiohttp.ClientError):
                await fetch(sessions, url)
            assert seen == [1, 1]
