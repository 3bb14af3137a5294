"""Callers of the soak: how long they wait, and how long they keep a connection."""

import asyncio
import contextlib
from types import SimpleNamespace

import aiohttp
import pytest
from aiohttp import web

from scalebend.core.gateway.silences import compute_caller_patience
from scalebend.models.ids import RoutingVersion
from scalebend.platform.headers import REQUEST_ID, build_response_headers
from scalebend.soak import documents
from scalebend.soak.callers import SHAPES, Caller
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import Observations, RequestKind
from scalebend.soak.responses import build_event

FRONT = ProcessName("front-0")


@contextlib.asynccontextmanager
async def run_front(handle):
    """Run a front whose requests ``handle`` serves; yield a caller of it."""
    runner = web.ServerRunner(web.Server(handle))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    address = "{}:{}".format(*runner.addresses[0])
    deployment = SimpleNamespace(
        starts={FRONT: 1}, get_call_address=lambda front: address
    )
    observations = Observations()
    caller = Caller("1", deployment, observations, 5)
    # No request is cancelled on purpose.
    caller._chooser = SimpleNamespace(
        random=lambda: 1.0, randint=lambda low, high: high, expovariate=lambda rate: 0.0
    )
    try:
        yield caller, observations
    finally:
        await runner.cleanup()


async def send_events(request, silences):
    """Send a stream; before event ``number`` it is silent for ``silences[number]``."""
    request_id = request.headers[REQUEST_ID]
    response = web.StreamResponse(
        headers=build_response_headers(request_id, f"i-1/{request_id}")
    )
    await response.prepare(request)
    for number in range(1, SHAPES[RequestKind.QUICK_STREAM].events + 1):
        await asyncio.sleep(silences.get(number, 0.0))
        await response.write(build_event(request_id, number))
    await response.write_eof()
    return response


@pytest.mark.parametrize("kind", [RequestKind.QUICK_STREAM, RequestKind.ONCE_STREAM])
def test_streams_are_given_up_as_late_as_on_the_platform(kind):
    routing = documents.build_routing(RoutingVersion(1), ())
    for shape in SHAPES.values():
        name = shape.route.prefix.strip("/")
        (route,) = [one for one in routing.routes if one.name == name]
        if shape.events:
            assert shape.patience_s == compute_caller_patience(route)
        else:
            assert shape.patience_s is None
    assert SHAPES[kind].patience_s == 2.0


@pytest.mark.parametrize(
    ("silences", "is_whole"),
    [({1: 1.8, 5: 1.8}, True), ({1: 2.2}, False), ({5: 2.2}, False)],
)
async def test_caller_waits_two_seconds_for_each_event(silences, is_whole):
    async def handle(request):
        return await send_events(request, silences)

    async with run_front(handle) as (caller, _), aiohttp.ClientSession() as session:
        call = await caller.call(session, FRONT, RequestKind.QUICK_STREAM)
    assert (call.status == 200 and not call.mismatch) == is_whole
    assert call.has_given_up != is_whole
    if not is_whole:
        assert call.ended_at - (call.data_at or call.sent_at) >= 2.0


async def test_request_that_outlasts_its_timeout_is_told_from_a_lost_connection():
    async def handle(request):
        await asyncio.sleep(0.3)
        return web.Response(status=503)

    async with run_front(handle) as (caller, _), aiohttp.ClientSession() as session:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("scalebend.soak.callers.RESPONSE_MARGIN_S", -2.9)
            call = await caller.call(session, FRONT, RequestKind.IDEMPOTENT)
    assert call.has_timed_out


async def test_refused_caller_keeps_its_connection():
    connections = []

    async def handle(request):
        connections.append(request.transport)
        await request.read()
        return web.Response(status=503)

    async with run_front(handle) as (caller, _):
        balancer = SimpleNamespace(choose=lambda: FRONT)
        caller._chooser.choices = lambda kinds, weights: [RequestKind.IDEMPOTENT]
        calling = asyncio.create_task(caller.call_forever(balancer))
        while len(connections) < 10:
            await asyncio.sleep(0.01)
        calling.cancel()
        await asyncio.gather(calling, return_exceptions=True)
    # Until it is cancelled, the caller may have opened the next connection.
    assert len(set(connections[:10])) == 1
