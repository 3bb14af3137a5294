"""Upstreams that send bytes without end which are no response.

Guards against fronts that take any bytes for progress: callers of such an upstream wait
until their deadline, and reading and dropping what it sends leaves no time for others.
"""

import asyncio
import contextlib
import time

import aiohttp
import pytest

from scalebend.core.gateway import silences
from scalebend.edges.gateway import forwarder
from scalebend.edges.gateway.report_requests import NoReport, fetch_report
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, run_front, serve, wait_for
from tests.lib.gateway_builders import build_route, build_routing
from tests.lib.raw_upstream import run_upstream
from tests.unit.gateway.test_silent_attempts import Upstream

LIMITS = silences.SilenceLimits(suspect_after=0.1, second_after=0.2)

SOON_S = 1.5
"""Far below the deadline of 10 s of these calls."""

MAX_KEPT_BYTES = 1024 * 1024
"""Of the body of a rejection, of which only the head matters."""

STREAM = b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
UNFRAMED = b""


@pytest.fixture(autouse=True)
def shorten_limits(monkeypatch):
    monkeypatch.setattr(silences, "_build_limits", lambda *_: LIMITS)


def build_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class Pouring:
    """An upstream that sends a head, a beginning, and then a block without end."""

    def __init__(
        self,
        headers,
        block,
        begin=b"",
        *,
        interval_s=0.0,
        ending=b"",
        status=b"200 OK",
    ):
        self.headers = headers
        self.beginning = begin
        self.block = block
        self.interval_s = interval_s
        self.ending = ending
        """Sent once the gate opens, in place of more blocks."""

        self.status = status
        self.gate = asyncio.Event()
        self.requests = 0
        self.ended = 0

    async def respond(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        names = [
            line + b"\r\n"
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-request-id:")
        ]
        self.requests += 1
        writer.write(b"HTTP/1.1 %s\r\n" % self.status)
        writer.write(b"".join(names) + b"X-Server-Seal: pouring\r\n")
        writer.write(self.headers + b"\r\n" + self.beginning)
        try:
            while not self.gate.is_set():
                writer.write(self.block)
                await writer.drain()
                await asyncio.sleep(self.interval_s)
            writer.write(self.ending)
            await writer.drain()
            await reader.read()
        finally:
            self.ended += 1


COMMENTS = build_chunk(b": ping\n\n" * 1000)
SHAPES = {
    "comments": Pouring(STREAM, COMMENTS),
    "comments after an event": Pouring(
        STREAM, COMMENTS, build_chunk(b"id: 1\ndata: pouring\n\n")
    ),
    "repeated event": Pouring(STREAM, build_chunk(b"id: 1\ndata: pouring\n\n" * 1000)),
    "event without end": Pouring(STREAM, build_chunk(b"data: more\n" * 1000)),
    "number without end": Pouring(
        STREAM, build_chunk(b"5" * 4500 + b"\n\n"), build_chunk(b"id: ")
    ),
    "chunk extension": Pouring(STREAM, b"x" * 10_000, b"5;"),
    "chunk extension after an event": Pouring(
        STREAM, b"x" * 10_000, build_chunk(b"id: 1\ndata: pouring\n\n") + b"5;"
    ),
    "trailers": Pouring(STREAM, b"X-More: more\r\n" * 1000, b"0\r\n"),
}
SLOW_SHAPES = {
    "comments": Pouring(STREAM, build_chunk(b": ping\n\n"), interval_s=0.02),
    "comments after an event": Pouring(
        STREAM,
        build_chunk(b": ping\n\n"),
        build_chunk(b"id: 1\ndata: pouring\n\n"),
        interval_s=0.02,
    ),
    "event without end": Pouring(STREAM, build_chunk(b"data: x\n"), interval_s=0.02),
    "repeated event": Pouring(
        STREAM, build_chunk(b"id: 1\ndata: pouring\n\n"), interval_s=0.02
    ),
    "chunk extension": Pouring(STREAM, b"x", b"5;", interval_s=0.02),
}


@contextlib.asynccontextmanager
async def run_beside_sound(pouring, **changes):
    """Run a front that first chooses the pouring upstream, then a sound one."""
    values = {
        "kind": RouteKind.STREAMING,
        "is_resumable": True,
        "event_gap": 0.2,
        "max_attempts": 2,
        **changes,
    }
    sound = Upstream("sound")
    is_stream = values["kind"] is RouteKind.STREAMING
    async with (
        run_front(build_routing(1, [build_route(**values)])) as front,
        run_upstream(pouring.respond) as (address, _),
        serve(sound.handle if is_stream else answer_sealed) as sound_address,
    ):
        front.add(1, address)
        endpoint = front.add(2, sound_address)
        # A load that is reported keeps it back.
        front.runtime.instance.balancer.record_sent(endpoint.upstream)
        yield front


def build_pouring(shape):
    return Pouring(
        shape.headers, shape.block, shape.beginning, interval_s=shape.interval_s
    )


async def read_timed(front):
    began = time.monotonic()
    async with front.call() as response:
        body = await response.read()
    return response.status, body, time.monotonic() - began


async def read_elsewhere(front, pouring):
    """Return a stream that the sound upstream completes soon, after one attempt."""
    status, body, elapsed = await read_timed(front)
    assert (status, body.split(b"\n\n")[-2]) == (200, b"id: 4\ndata: sound")
    assert elapsed < SOON_S
    assert pouring.requests == 1
    return body


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
async def test_endless_stream_ends_its_attempt_and_is_served_elsewhere(shape):
    """Guards against a pour that is read and dropped until the deadline."""
    pouring = build_pouring(shape)
    async with run_beside_sound(pouring) as front:
        body = await read_elsewhere(front, pouring)
        assert b"ping" not in body
        await wait_for(lambda: pouring.ended == pouring.requests, SOON_S)


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
async def test_endless_stream_that_may_run_once_fails_soon(shape):
    """Guards against a pour that is read for as long as its caller waits."""
    pouring = build_pouring(shape)
    async with run_beside_sound(pouring, is_resumable=False) as front:
        began = time.monotonic()
        with contextlib.suppress(aiohttp.ClientPayloadError):
            status, body, _ = await read_timed(front)
            assert (status, pouring.requests) == (502, 1)
        assert time.monotonic() - began < SOON_S
        await wait_for(lambda: pouring.ended == 1, SOON_S)


@pytest.mark.parametrize("shape", SLOW_SHAPES.values(), ids=SLOW_SHAPES)
async def test_slow_bytes_that_are_no_event_are_a_silence(shape):
    """Guards against second attempts that never start because some bytes come."""
    pouring = build_pouring(shape)
    async with run_beside_sound(pouring) as front:
        await read_elsewhere(front, pouring)


async def test_keepalive_comments_end_no_stream_that_may_run_once():
    """Guards against taking the keepalives of a busy replica for bytes without end."""
    ending = build_chunk(b"id: 1\ndata: late\n\n") + build_chunk(b": end\n\n")
    ending += build_chunk(b"")
    pouring = Pouring(
        STREAM, build_chunk(b": ping\n\n"), interval_s=0.02, ending=ending
    )
    async with run_beside_sound(pouring, is_resumable=False) as front:
        reading = asyncio.create_task(read_timed(front))
        await asyncio.sleep(4 * LIMITS.second_after)
        assert not reading.done()
        pouring.gate.set()
        status, body, _ = await reading
        assert status == 200
        assert body.startswith(b": ping\n\n")
        assert body.endswith(b"id: 1\ndata: late\n\n: end\n\n")


@pytest.mark.parametrize("framing", [UNFRAMED, CHUNKED], ids=["unframed", "chunked"])
async def test_slow_body_without_end_is_a_silence(framing):
    """Guards against calls that wait for a trickle until their deadline."""
    block = build_chunk(b"more") if framing else b"more"
    pouring = Pouring(framing, block, interval_s=0.02)
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        assert (await read_timed(front))[:2] == (200, b"done")
        assert pouring.requests == 1


async def test_body_at_a_sound_rate_is_no_silence():
    """Guards against second attempts beside a large response that is on its way."""
    pouring = Pouring(b"", b"m" * 4096, interval_s=0.02)
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        reading = asyncio.create_task(read_timed(front))
        await asyncio.sleep(4 * LIMITS.second_after)
        assert not reading.done()
        assert pouring.requests == 1
        reading.cancel()


async def test_extension_without_end_in_a_body_ends_its_attempt():
    """Guards against calls that wait at their upstream until their deadline."""
    pouring = Pouring(CHUNKED, b"x" * 10_000, b"5;")
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        status, body, elapsed = await read_timed(front)
        assert (status, body) == (200, b"done")
        assert pouring.requests == 1
        assert elapsed < SOON_S
        await wait_for(lambda: pouring.ended == 1, SOON_S)


async def test_interim_responses_without_end_end_their_attempt():
    """Guards against heads that the parser drops, however many come."""
    interim = b"HTTP/1.1 102 Processing\r\n\r\n"
    pouring = Pouring(b"", interim * 1000, status=b"102 Processing")
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        status, body, elapsed = await read_timed(front)
        assert (status, body) == (200, b"done")
        assert pouring.requests == 1
        assert elapsed < SOON_S


async def test_body_in_small_chunks_is_passed_on():
    """Guards against taking the sizes of small chunks for bytes without a body."""
    chunks = build_chunk(b"m") * 100_000 + build_chunk(b"")
    pouring = Pouring(CHUNKED, b"", chunks, interval_s=0.02)
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        assert (await read_timed(front))[:2] == (200, b"m" * 100_000)


@pytest.mark.parametrize("framing", [UNFRAMED, CHUNKED], ids=["unframed", "chunked"])
async def test_body_without_end_is_no_crash(framing, monkeypatch):
    """Guards against suspecting a request because of an upstream that still runs."""
    block = b"m" * 65_536
    pouring = Pouring(framing, build_chunk(block) if framing else block)
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        recorded = []
        crashes = front.runtime.instance.crashes
        monkeypatch.setattr(crashes, "record_crash", lambda *a: recorded.append(a))
        assert (await read_timed(front))[:2] == (200, b"done")
        assert pouring.requests == 1
        assert recorded == []


async def test_rejection_without_end_keeps_little_in_memory(monkeypatch):
    """Guards against the body of a rejection that is kept as fast as it comes."""
    sizes = []
    skip = forwarder.skip_rejection_body

    async def observe(response):
        content = response.content
        await skip(response)
        sizes.append(content.total_bytes)

    monkeypatch.setattr(forwarder, "skip_rejection_body", observe)
    pouring = Pouring(b"X-Not-Executed: 1\r\n", b"m" * 65_536)
    pouring.status = b"503 Busy"
    async with run_beside_sound(pouring, kind=RouteKind.IDEMPOTENT) as front:
        assert (await read_timed(front))[:2] == (200, b"done")
        assert len(sizes) == 1
        assert sizes[0] < MAX_KEPT_BYTES


async def test_report_without_end_is_unreadable():
    """Guards against reports that are kept as fast as they come, until a timeout."""
    pouring = Pouring(b"", b"m" * 65_536)
    async with (
        run_upstream(pouring.respond) as (address, _),
        open_upstream_sessions() as sessions,
    ):
        assert await fetch_report(sessions, address) is NoReport.UNREADABLE
        await wait_for(lambda: pouring.ended == 1, SOON_S)


async def test_too_many_comments_behind_an_event_end_the_attempt_at_once():
    """Guards against waiting for more of a replica that has sent garbled bytes."""
    data = build_chunk(b"id: 1\ndata: pouring\n\n" + b": ping\n\n" * 10_000)
    pouring = Pouring(STREAM, b"", data)
    # Nothing more is sent, and the end of the connection is waited for.
    pouring.gate.set()
    async with run_beside_sound(pouring, is_resumable=False) as front:
        began = time.monotonic()
        with pytest.raises(aiohttp.ClientPayloadError):
            await read_timed(front)
        assert time.monotonic() - began < SOON_S
        await wait_for(lambda: pouring.ended == 1, SOON_S)
