"""What the end of an attempt without its response says of its upstream.

Guards against sound upstreams being passed over because they paused, or because their
callers left.
"""

import asyncio
import contextlib

import pytest
from aiohttp import web

from scalebend.core.gateway import silences
from scalebend.edges.gateway import upstream_choice
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, run_front, serve, wait_for
from tests.lib.gateway_builders import build_route, build_routing

LIMITS = silences.SilenceLimits(suspect_after=0.1, second_after=0.2)


@pytest.fixture(autouse=True)
def shorten_limits(monkeypatch):
    monkeypatch.setattr(silences, "_build_limits", lambda *_: LIMITS)


class HangingUpstream:
    """Takes requests, and sends nothing."""

    def __init__(self):
        self.requests = 0

    async def handle(self, request):
        self.requests += 1
        await asyncio.Event().wait()


@contextlib.asynccontextmanager
async def run_silent(*others):
    """Run a front whose first choice is an upstream that sends nothing."""
    route = build_route(kind=RouteKind.IDEMPOTENT, max_attempts=2)
    upstream = HangingUpstream()
    async with contextlib.AsyncExitStack() as stack:
        front = await stack.enter_async_context(
            run_front(build_routing(1, [route])),
        )
        handlers = (upstream.handle, *others)
        for number, handler in enumerate(handlers, 1):
            address = await stack.enter_async_context(serve(handler))
            endpoint = front.add(number, address)
            for _ in range(number - 1):
                front.runtime.instance.balancer.record_sent(endpoint.upstream)
        yield front, upstream


def list_passed_over(front):
    """List the upstreams with failures."""
    records = front.runtime.instance.balancer._records
    return [upstream for upstream, one in records.items() if one.failure_rate > 0.0]


async def call_beside(front):
    async with front.call() as response:
        assert (response.status, await response.read()) == (200, b"done")
    balancer = front.runtime.instance.balancer
    # The other one has a further request that does not exist.
    await wait_for(lambda: sum(one.open for one in balancer._records.values()) == 1)


async def test_pause_that_another_attempt_outlived_counts_against_nobody():
    async with run_silent(answer_sealed) as (front, upstream):
        await call_beside(front)
        assert upstream.requests == 1
        assert list_passed_over(front) == []


async def test_silence_for_longer_than_a_pause_counts_against_its_upstream(monkeypatch):
    monkeypatch.setattr(upstream_choice, "MAX_PAUSE_S", LIMITS.second_after)
    async with run_silent(answer_sealed) as (front, _):
        await call_beside(front)
        assert list_passed_over(front) == ["i-1"]


async def test_caller_who_leaves_counts_against_nobody():
    async with run_silent() as (front, upstream):
        calling = asyncio.create_task(front.call().__aenter__())
        await wait_for(lambda: upstream.requests)
        calling.cancel()
        await asyncio.wait([calling])
        record = front.runtime.instance.balancer._get("i-1")
        await wait_for(lambda: not record.open)
        assert list_passed_over(front) == []


async def test_complete_stream_counts_against_nobody():
    async def stream(request):
        await request.read()
        return web.Response(
            headers={
                "X-Request-Id": request.headers["X-Request-Id"],
                "X-Server-Seal": "seal",
            },
            content_type="text/event-stream",
            body=b"id: 1\ndata: 1\n\n",
        )

    route = build_route(kind=RouteKind.STREAMING, is_resumable=True, event_gap=0.2)
    async with run_front(build_routing(1, [route])) as front, serve(stream) as address:
        front.add(1, address)
        async with front.call() as response:
            assert response.status == 200
            await response.read()
        record = front.runtime.instance.balancer._get("i-1")
        await wait_for(lambda: not record.open)
        assert list_passed_over(front) == []
