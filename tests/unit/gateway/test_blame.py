"""A request is not blamed for what its caller did."""

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
    answer = web.StreamResponse(headers=headers)
    answer.content_type = "text/event-stream"
    await answer.prepare(request)
    for number in range(1, EVENTS):
        await answer.write(b"id: %d\ndata: %s\n\n" % (number, b"x" * 2000))
        await asyncio.sleep(0)
    await answer.write_eof()
    return answer


async def test_caller_that_breaks_off_its_stream_again_and_again_is_no_cause():
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
                answer = await front.call()
                await answer.content.read(100 + 997 * number)
                answer.connection.transport.abort()
        await asyncio.sleep(0.2)
        assert front.runtime.instance.crashes.list_records() == []
