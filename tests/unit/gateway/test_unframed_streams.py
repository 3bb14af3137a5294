"""Streams with neither a length nor chunks, which end with their connection.

Guards against a replica that crashes before its first event, but passes for one that
responded with an empty stream, and against incomplete events that reach a caller.
"""

import pytest
from aiohttp import web

from scalebend.models.routing import RouteKind
from scalebend.platform.headers import build_response_headers
from tests.lib.front import run_front, serve
from tests.lib.gateway_builders import build_route, build_routing
from tests.lib.raw_upstream import run_upstream

EVENTS = [b"id: %d\ndata: %d\n\n" % (number, number) for number in range(1, 6)]
GUILTY = "badc0de5"


def write_unframed(*pieces):
    """Return a handler that writes these bytes of a stream and disconnects."""

    async def respond(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        request = next(
            line.partition(b": ")[2]
            for line in head.split(b"\r\n")
            if line.lower().startswith(b"x-request-id")
        )
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Server-Seal: s\r\nX-Request-Id: " + request + b"\r\n\r\n"
        )
        for piece in pieces:
            writer.write(piece)
            await writer.drain()

    return respond


def run_stream_front(**changes):
    values = {"kind": RouteKind.STREAMING, "is_resumable": True, **changes}
    return run_front(build_routing(1, [build_route(**values)]))


async def respond_from_last_event(request):
    """Respond as a replica that resumes a stream."""
    first = int(request.headers.get("Last-Event-Id", "0"))
    headers = build_response_headers(request.headers["X-Request-Id"], "s")
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for event in EVENTS[first:]:
        await response.write(event)
    return response


async def test_stream_that_ends_between_events_is_complete():
    async with (
        run_stream_front() as front,
        run_upstream(write_unframed(*EVENTS)) as (address, _),
    ):
        front.add(1, address)
        async with front.call() as response:
            assert response.status == 200
            assert await response.read() == b"".join(EVENTS)


@pytest.mark.parametrize("pieces", [[], [b"id: 1\nda"], [*EVENTS[:2], b"id: 3\nd"]])
async def test_stream_that_ends_early_is_resumed_at_another_replica(pieces):
    async with (
        run_stream_front() as front,
        run_upstream(write_unframed(*pieces)) as (address, _),
        serve(respond_from_last_event) as healthy,
    ):
        front.add(1, address)
        front.add(2, healthy)
        # The order in which replicas are chosen is drawn.
        for _ in range(4):
            async with front.call() as response:
                assert response.status == 200
                assert await response.read() == b"".join(EVENTS)


async def test_replicas_that_crash_before_the_first_event_count_against_the_parts():
    async with (
        run_stream_front(max_attempts=1) as front,
        run_upstream(write_unframed()) as (address, _),
    ):
        statuses = []
        for number in range(1, 7):
            front.add(number, address)
            async with front.call(parts=(GUILTY,), body=b"%d" % number) as response:
                statuses.append(response.status)
                await response.read()
            front.runtime.instance.directory.remove(f"i-{number}", front.runtime.now())
        assert statuses == [502] * 5 + [503]
