"""Requests at a front whose upstreams are in evacuated availability zones."""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web

from scalebend.core.evacuations import apply_order
from scalebend.core.gateway.messages import ControlStatus, SendPermitReply
from scalebend.models.evacuations import EvacuationOrder
from scalebend.models.ids import AvailabilityZone, SendPermitId
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, run_front, serve, wait_for
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_route,
    build_routing,
    build_service,
)

NEAR, FAR = AvailabilityZone("near"), AvailabilityZone("far")
PLAIN = build_routing(1, [build_route()])
ENGINES = build_routing(
    1,
    [build_route(kind=RouteKind.STREAMING, is_resumable=True, event_gap=0.5)],
    [build_service(engine=PROFILE)],
)


def order(front, zone, *, is_withdrawn=False):
    instance = front.runtime.instance
    one = EvacuationOrder(zone, is_withdrawn)
    newer = apply_order(instance.evacuations.newest, one, time.time())
    status = ControlStatus(["control"], None, 1, 1, evacuations=newer)
    front.runtime._receive("control", status)


class Upstream:
    """Streams events one by one as the test allows, and counts requests."""

    def __init__(self, breaks_after=None):
        self.allowed = asyncio.Semaphore(0)
        self.requests = []
        self.breaks_after = breaks_after

    async def handle(self, request):
        await request.read()
        if request.path == "/report":
            return web.json_response({"pace": 1.0, "Waiting": 0, "Running": 0})
        self.requests.append(request)
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Server-Seal": "s",
        }
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, 4):
            await self.allowed.acquire()
            await response.write(b"id: %d\ndata: x\n\n" % number)
            if number == self.breaks_after:
                request.transport.abort()
                return response
        await response.write_eof()
        return response

    def allow_all(self):
        for _ in range(9):
            self.allowed.release()


@contextlib.asynccontextmanager
async def run_engines(**options):
    """Run a front with one engine in the evacuated zone and one elsewhere."""
    far, near = Upstream(**options), Upstream()
    async with (
        run_front(ENGINES) as front,
        serve(far.handle) as far_address,
        serve(near.handle) as near_address,
    ):
        front.add(1, far_address, availability_zone=FAR)
        front.near = lambda: front.add(2, near_address, availability_zone=NEAR)
        yield front, far, near


@pytest.mark.parametrize("routing", [PLAIN, ENGINES])
async def test_request_without_any_upstream_left_is_refused_at_once(routing):
    upstream = Upstream()
    async with run_front(routing) as front, serve(upstream.handle) as address:
        front.add(1, address, availability_zone=FAR)
        order(front, FAR)
        began = time.monotonic()
        async with front.call(prompt=5_000) as response:
            document = await response.json(content_type=None)
        assert time.monotonic() - began < 0.2
        assert (response.status, document["ran"]) == (503, "no")
        assert 1.0 <= float(response.headers["Retry-After"]) <= 1.5
        assert not upstream.requests
        assert b"scalebend_evacuation_refusals_total 1.0" in (
            front.runtime.metrics.render()
        )


async def test_zone_is_used_again_once_withdrawn():
    async with run_front(PLAIN) as front, serve(answer_sealed) as address:
        front.add(1, address, availability_zone=FAR)
        order(front, FAR)
        assert (await front.call()).status == 503
        assert b"scalebend_evacuated_zones 1.0" in front.runtime.metrics.render()
        order(front, FAR, is_withdrawn=True)
        assert (await front.call()).status == 200
        rendered = front.runtime.metrics.render()
        assert b"scalebend_evacuated_zones 0.0" in rendered
        assert b"scalebend_evacuation_revision 2.0" in rendered


async def test_stream_that_runs_there_ends_undisturbed():
    async with run_engines() as (front, far, near):
        far.allowed.release()
        response = await front.call(prompt=5_000)
        assert await response.content.readline() == b"id: 1\n"
        order(front, FAR)
        front.near()
        far.allow_all()
        body = await response.read()
        assert body.endswith(b"id: 3\ndata: x\n\n")
        assert (len(far.requests), len(near.requests)) == (1, 0)
        instance = front.runtime.instance
        await wait_for(lambda: not instance.scheduler.open_jobs)
        assert not instance.crashes.list_records()


async def test_broken_stream_is_resumed_in_another_zone():
    async with run_engines(breaks_after=2) as (front, far, near):
        far.allowed.release()
        response = await front.call(prompt=5_000)
        await response.content.readline()
        order(front, FAR)
        front.near()
        near.allow_all()
        far.allow_all()
        body = await response.read()
        assert body.endswith(b"id: 2\ndata: x\n\nid: 3\ndata: x\n\n")
        assert (len(far.requests), len(near.requests)) == (1, 1)
        assert near.requests[0].headers["Last-Event-Id"] == "2"


async def test_queued_prompt_is_not_sent_there():
    async with run_engines() as (front, far, near):
        # A prompt that waits for its start is checked right before it is sent.
        runtime = front.runtime
        started = asyncio.Event()
        placed = asyncio.Event()

        async def wait_for_start(work, placement):
            placed.set()
            await started.wait()
            return placement

        runtime.placements.wait_for_start = wait_for_start
        near.allow_all()
        call = asyncio.create_task(front.call(prompt=5_000).__aenter__())
        await placed.wait()
        order(front, FAR)
        front.near()
        started.set()
        response = await call
        assert response.status == 200
        await response.read()
        assert (len(far.requests), len(near.requests)) == (0, 1)


@pytest.mark.parametrize("is_granted", [False, True])
async def test_request_that_waits_for_a_permit_is_refused_as_evacuated(is_granted):
    upstream = Upstream()
    async with run_front(PLAIN) as front, serve(upstream.handle) as address:
        front.add(1, address, availability_zone=FAR)
        runtime = front.runtime
        runtime.instance.limits.is_limited = lambda _: True
        (endpoint,) = runtime.instance.directory.list_usable(SERVICE)

        async def request_send_permit(upstreams, timeout_s):
            order(front, FAR)
            granted = endpoint.upstream if is_granted else None
            return SendPermitReply(SendPermitId(1), granted, wait=0.01)

        runtime.request_send_permit = request_send_permit
        async with front.call() as response:
            document = await response.json(content_type=None)
        assert (response.status, document["ran"]) == (503, "no")
        assert 1.0 <= float(response.headers["Retry-After"]) <= 1.5
        assert not upstream.requests
        rendered = runtime.metrics.render()
        assert b"scalebend_evacuation_refusals_total 1.0" in rendered
        assert b"scalebend_limit_refusals_total 0.0" in rendered
