"""An upstream that writes raw bytes, for tests of connections."""

import asyncio
import contextlib
import socket
import struct

COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nhalf"


@contextlib.asynccontextmanager
async def run_upstream(respond, context=None):
    """Run ``respond(reader, writer)`` on connections; yield address and writers."""
    writers = []

    async def handle(reader, writer):
        writers.append(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            await respond(reader, writer)
        writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0, ssl=context)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}", writers
    finally:
        server.close()


async def respond_always(reader, writer):
    while True:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(COMPLETE)


async def respond_without_length(reader, writer):
    await reader.readuntil(b"\r\n\r\n")
    writer.write(WITHOUT_LENGTH)


def hang_after(sent, on_sent):
    """Return a handler that sends ``sent``, calls ``on_sent``, then sends nothing."""

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(sent)
        on_sent()
        await asyncio.sleep(30.0)

    return respond


async def respond_and_reset(reader, writer):
    """Send a part of a response without a length, then reset the connection."""
    await respond_without_length(reader, writer)
    await writer.drain()
    await asyncio.sleep(0.05)
    sock = writer.get_extra_info("socket")
    # With a linger time of 0, closing sends a reset instead of a FIN.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
