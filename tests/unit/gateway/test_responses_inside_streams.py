"""Responses that are no stream, of attempts that go on with a stream that has begun."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from scalebend.core.gateway import silences
from tests.lib.front import HOST, wait_for
from tests.unit.gateway.test_silent_attempts import (
    EVENTS,
    LIMITS,
    Upstream,
    build_body,
    read,
    run_upstreams,
)


@pytest.fixture(autouse=True)
def shorten_limits(monkeypatch):
    monkeypatch.setattr(silences, "_build_limits", lambda *_: LIMITS)


class Unable(Upstream):
    """Answers every request with a client error."""

    async def handle(self, request):
        await request.read()
        self.runs.append(request.headers.get("Last-Event-Id"))
        headers = {
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
            "X-Server-Seal": self.name,
        }
        return web.Response(status=404, headers=headers, text="unknown")


async def test_silent_stream_goes_on_after_an_error_beside_it():
    """Guards against a stream that a second attempt's error response breaks."""
    silent, unable = Upstream("silent", 3), Unable("unable")
    async with run_upstreams(silent, unable) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: unable.runs)
        await asyncio.sleep(0.1)
        silent.gate.set()
        async with asyncio.timeout(5.0):
            _, body = await reading
        assert body == build_body(*["silent"] * EVENTS)


async def test_broken_stream_gets_no_bytes_of_an_error_response():
    """Guards against the head of a second response inside a stream."""
    broken, unable = Upstream("broken", 3), Unable("unable")
    async with run_upstreams(broken, unable) as front:
        host, port = front.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"GET / HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: r\r\n\r\n".encode()
        )
        received = await reader.readuntil(b"id: 2\ndata: broken\n\n")
        broken.breaks = True
        broken.gate.set()
        async with asyncio.timeout(5.0):
            with contextlib.suppress(ConnectionError):
                while data := await reader.read(2**16):
                    received += data
        writer.close()
        assert unable.runs == ["2"]
        assert received.count(b"HTTP/1.1") == 1
        assert not received.endswith(b"0\r\n\r\n")
