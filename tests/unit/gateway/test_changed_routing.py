"""A routing document without what a request needs leaves those under way alone.

Its route, service and key are gone, and bodies may have one byte. Guards against
requests that get neither a response nor a refusal beside a change of the configuration.
"""

import asyncio
import contextlib

import msgspec
import pytest
from aiohttp import web

from scalebend.core.gateway.route_table import RouteTable
from scalebend.models.routing import ListenerLimits, RouteKind
from tests.lib.front import run_front, serve, wait_for
from tests.lib.gateway_builders import (
    PROFILE,
    build_customer,
    build_route,
    build_routing,
    build_service,
)

EVENTS = b"".join(b"id: %d\ndata: x\n\n" % number for number in (1, 2, 3))


class Upstream:
    """Answers when its gate opens; the first of its runs may break before."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.runs = 0
        self.breaks = False

    async def handle(self, request):
        await request.read()
        self.runs += 1
        run = self.runs
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Server-Seal": "s",
        }
        is_stream = "stream" in request.path
        if is_stream:
            response = web.StreamResponse(headers=headers)
            response.content_type = "text/event-stream"
            await response.prepare(request)
            await response.write(b"id: 1\ndata: x\n\n")
        await self.gate.wait()
        if self.breaks and run == 1:
            request.transport.abort()
            return web.Response()
        if not is_stream:
            return web.Response(headers=headers, body=b"done")
        last = int(request.headers.get("Last-Event-Id", "0"))
        events = EVENTS.split(b"\n\n")
        for event in events[max(1, last) : 3]:
            await response.write(event + b"\n\n")
        await response.write_eof()
        return response


@contextlib.asynccontextmanager
async def run_upstreams(engine=None):
    routes = [
        build_route(name="plain", path_prefix="/plain/", target_latency=2.0),
        build_route(
            name="stream",
            path_prefix="/stream/",
            kind=RouteKind.STREAMING,
            is_resumable=True,
            event_gap=0.2,
        ),
    ]
    customers = [build_customer("crew", "key-1")]
    routing = build_routing(1, routes, [build_service(engine=engine)], customers)
    upstream = Upstream()
    async with (
        run_front(routing) as front,
        serve(upstream.handle) as one,
        serve(upstream.handle) as other,
    ):
        front.endpoints = [front.add(1, one), front.add(2, other)]
        front.session.headers["Authorization"] = "Bearer key-1"
        yield front, upstream


def change_routing(front):
    """Apply a document that allows nothing of what callers ask for."""
    changed = build_routing(
        2,
        [build_route(name="other", host="other.example")],
        [build_service("other")],
        [build_customer("others", "key-2")],
    )
    limits = ListenerLimits(body_bytes=1)
    front.runtime.instance.table = RouteTable(
        msgspec.structs.replace(changed, limits=limits)
    )


async def read(front, path, **options):
    async with front.call(path, **options) as response:
        return response.status, await response.read()


@pytest.mark.parametrize("breaks", [False, True], ids=["one run", "first run breaks"])
@pytest.mark.parametrize(
    ("path", "expected"),
    [("/plain/", b"done"), ("/stream/", EVENTS)],
    ids=["plain", "stream"],
)
@pytest.mark.parametrize("engine", [None, PROFILE], ids=["service", "engine"])
async def test_request_that_was_sent_is_completed(path, expected, breaks, engine):
    async with run_upstreams(engine) as (front, upstream):
        upstream.breaks = breaks
        prompt = 1_000 if engine is not None else None
        calling = asyncio.create_task(read(front, path, prompt=prompt))
        await wait_for(lambda: upstream.runs)
        await asyncio.sleep(0.05)
        change_routing(front)
        upstream.gate.set()
        assert await calling == (200, expected)
        assert upstream.runs == 1 + breaks
        assert (await read(front, path))[0] == 404


async def test_request_whose_body_arrives_over_the_change_is_served():
    async with run_upstreams() as (front, upstream):
        upstream.gate.set()

        async def send():
            yield b"first"
            await wait_for(lambda: front.runtime.open_requests)
            change_routing(front)
            yield b"last"

        assert await read(front, "/plain/", body=send()) == (200, b"done")


async def test_request_that_waits_for_an_upstream_is_served():
    async with run_upstreams() as (front, upstream):
        upstream.gate.set()
        for endpoint in front.endpoints:
            front.runtime.record_backoff(endpoint.upstream, 0.5)
        calling = asyncio.create_task(read(front, "/plain/"))
        await wait_for(lambda: front.runtime.open_requests)
        await asyncio.sleep(0.05)
        change_routing(front)
        assert await calling == (200, b"done")
