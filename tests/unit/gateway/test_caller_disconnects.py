"""A disconnected caller does not make its request suspect."""

import asyncio

import aiohttp
from aiohttp import web

from scalebend.models.routing import RouteKind
from tests.lib.front import run_front, serve
from tests.lib.gateway_builders import build_route, build_routing

EVENTS = 1000


async def stream(request):
    await request.read()
    headers = {"X-Request-Id": request.headers["X-Request-Id"], "X-Server-Seal": "s"}
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for number in range(1, EVENTS):
        await response.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * 2000))
        await asyncio.sleep(0)
    await response.write_eof()
    return response


async def test_repeated_disconnects_of_a_caller_are_no_crashes():
    route = build_route(kind=RouteKind.STREAMING, is_resumable=True, event_gap=1.0)
    async with (
        run_front(build_routing(1, [route])) as front,
        serve(stream) as one,
        serve(stream) as other,
    ):
        front.add(1, one)
        front.add(2, other)
        for number in range(20):
            async with aiohttp.ClientSession() as session:
                front.session = session
                response = await front.call()
                await response.content.read(100 + 997 * number)
                response.connection.transport.abort()
        await asyncio.sleep(0.2)
        assert front.runtime.instance.crashes.list_records() == []
