"""Requests with a part in quarantine that already wait, or already run.

Guards against replicas that crash under attempts sent before the verdict, and against
callers who wait until their deadline for a refusal that is certain.
"""

import asyncio
import contextlib
import time

import pytest
from aiohttp import web

from scalebend.core.gateway.messages import CrashUpdates
from scalebend.models.crashes import PartCrash, PartRecord
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import build_response_headers
from tests.lib.front import run_front, serve, wait_for
from tests.lib.gateway_builders import build_route, build_routing

CAUSE, OTHER = "badc0de5", "91bd3f06"
SOON_S = 1.0


def run_front_of(kind, **changes):
    return run_front(build_routing(1, [build_route(kind=kind, **changes)]))


def hold(front):
    """Let control report enough crashes under the part."""
    crashes = tuple(PartCrash(f"i-{number}", number) for number in range(1, 6))
    record = PartRecord(f"/{CAUSE}", crashes, (), False, False, 1, 0)
    runtime = front.runtime
    runtime._receive("control", CrashUpdates([], [], [record]))


class Endless:
    """A replica that responds to nothing, and counts whom it still works for."""

    def __init__(self):
        self.running = 0

    async def handle(self, request):
        await request.read()
        self.running += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.running -= 1


@pytest.mark.parametrize("kind", RouteKind)
async def test_attempt_that_runs_when_the_quarantine_begins_is_ended(kind):
    replica = Endless()
    async with run_front_of(kind) as front, serve(replica.handle) as address:
        front.add(1, address)
        guilty = asyncio.create_task(read(front.call(parts=(CAUSE,))))
        sound = asyncio.create_task(read(front.call(parts=(OTHER,))))
        await wait_for(lambda: replica.running == 2)
        hold(front)
        status, body, elapsed = await guilty
        assert status == 502
        assert b'"ran":"unknown"' in body
        assert elapsed < SOON_S
        await wait_for(lambda: replica.running == 1)
        sound.cancel()


async def test_request_that_waits_when_the_quarantine_begins_is_refused_at_once():
    kind = RouteKind.NON_IDEMPOTENT
    replica = Endless()
    async with (
        run_front_of(kind, target_latency=8.0) as front,
        serve(replica.handle) as address,
    ):
        endpoint = front.add(1, address)
        front.runtime.instance.backoffs.record(
            endpoint.upstream, 2.0, front.runtime.now()
        )
        guilty = asyncio.create_task(read(front.call(parts=(CAUSE,))))
        await asyncio.sleep(0.1)
        assert not guilty.done()
        hold(front)
        status, body, elapsed = await guilty
        assert status == 503
        assert b'"ran":"no"' in body
        assert elapsed < SOON_S


async def test_stream_that_has_begun_goes_on_when_the_quarantine_begins():
    gate = asyncio.Event()

    async def stream(request):
        response = web.StreamResponse(
            headers=build_response_headers(request.headers["X-Request-Id"], "s")
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        await response.write(b"id: 1\ndata: 1\n\n")
        await gate.wait()
        await response.write(b"id: 2\ndata: 2\n\n")
        return response

    async with run_front_of(RouteKind.STREAMING) as front, serve(stream) as address:
        front.add(1, address)
        async with front.call(parts=(CAUSE,)) as response:
            assert await response.content.readuntil(b"\n\n")
            hold(front)
            await asyncio.sleep(0.1)
            gate.set()
            assert await response.read() == b"id: 2\ndata: 2\n\n"


async def test_trial_is_not_ended_by_later_reports():
    replica = Endless()
    async with (
        run_front_of(RouteKind.STREAMING) as front,
        serve(replica.handle) as address,
    ):
        front.add(1, address)
        hold(front)
        record = front.runtime.instance.parts._records[f"/{CAUSE}"]
        record.quarantined_until = front.runtime.now() - 60.0
        trial = asyncio.create_task(read(front.call(parts=(CAUSE,))))
        await wait_for(lambda: replica.running == 1)
        hold(front)
        await asyncio.sleep(0.1)
        assert replica.running == 1
        status, _, elapsed = await read(front.call(parts=(CAUSE,)))
        assert (status, replica.running) == (503, 1)
        assert elapsed < SOON_S
        trial.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await trial


async def read(call):
    began = time.monotonic()
    async with call as response:
        return response.status, await response.read(), time.monotonic() - began
