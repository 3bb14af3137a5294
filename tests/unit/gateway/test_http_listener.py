"""A listener that stops serves the connections that were made before."""

import asyncio
import contextlib
import socket

from aiohttp import web

from scalebend.edges.gateway.http_listener import listen
from scalebend.edges.gateway.sockets import Listeners

CONNECTIONS = 40
REQUEST = b"GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n"


async def answer(request):
    return web.Response(body=b"done")


def open_socket():
    sock = Listeners().pop("127.0.0.1:0")
    return sock, sock.getsockname()


async def read_all(connection):
    reader, writer = await asyncio.open_connection(sock=connection)
    with contextlib.closing(writer):
        return await reader.read()


async def test_connections_in_the_accept_queue_are_served_when_a_listener_stops():
    """They were reset with the queue: closed unanswered although made in time."""
    sock, address = open_socket()
    async with listen(sock, answer) as listener, asyncio.timeout(5.0):
        # Nothing is accepted meanwhile: the event loop doesn't run.
        connections = [socket.create_connection(address) for _ in range(CONNECTIONS)]
        for connection in connections:
            connection.sendall(REQUEST)
        await listener.stop()
        responses = await asyncio.gather(*map(read_all, connections))
    assert all(response.endswith(b"\r\n\r\ndone") for response in responses)


async def test_listener_refuses_connections_after_it_stopped():
    sock, address = open_socket()
    async with listen(sock, answer) as listener:
        await listener.stop()
        with contextlib.closing(socket.socket()) as connection:
            assert connection.connect_ex(address) != 0
