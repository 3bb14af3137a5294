"""Second attempts beside silent ones, over HTTP.

Guards against ending an attempt because of a silence, and against responses joined of
two runs.
"""

import asyncio
import contextlib

import aiohttp
import pytest
from aiohttp import web

from scalebend.core.gateway import silences
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, run_front, serve, wait_for
from tests.lib.gateway_builders import build_route, build_routing

EVENTS = 4
SILENT_AFTER = 2
"""Event after which a silent upstream sends nothing more until its gate opens."""

LIMITS = silences.SilenceLimits(suspect_after=0.1, second_after=0.2)


@pytest.fixture(autouse=True)
def shorten_limits(monkeypatch):
    def build_limits(*_):
        return LIMITS

    monkeypatch.setattr(silences, "_build_limits", build_limits)


class Upstream:
    """Streams events; falls silent before one of them until its gate opens."""

    def __init__(self, name, silent_before=None):
        self.name = name
        self.silent_before = silent_before
        self.gate = asyncio.Event()
        self.runs = []
        self.cancelled = 0
        self.breaks = False

    async def handle(self, request):
        await request.read()
        last = request.headers.get("Last-Event-Id")
        self.runs.append(last)
        try:
            return await self.stream(request, int(last or "0") + 1)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise

    async def stream(self, request, first):
        response = web.StreamResponse(
            headers={
                "X-Request-Id": request.headers["X-Request-Id"],
                "X-Server-Seal": self.name,
            }
        )
        response.content_type = "text/event-stream"
        await response.prepare(request)
        for number in range(first, EVENTS + 1):
            if number == self.silent_before:
                await self.gate.wait()
            if self.breaks:
                request.transport.abort()
                return response
            await response.write(f"id: {number}\ndata: {self.name}\n\n".encode())
            await asyncio.sleep(0.01)
        await response.write_eof()
        return response


@contextlib.asynccontextmanager
async def run_upstreams(*upstreams, **changes):
    values = {
        "kind": RouteKind.STREAMING,
        "is_resumable": True,
        "event_gap": 0.2,
        "max_attempts": 2,
        **changes,
    }
    async with contextlib.AsyncExitStack() as stack:
        front = await stack.enter_async_context(
            run_front(build_routing(1, [build_route(**values)]))
        )
        # The first one is chosen: a load that is reported keeps the others back.
        for number, upstream in enumerate(upstreams, 1):
            address = await stack.enter_async_context(serve(upstream.handle))
            endpoint = front.add(number, address)
            for _ in range(number - 1):
                front.runtime.instance.balancer.record_sent(endpoint.upstream)
        yield front


async def read(front, **options):
    async with front.call(**options) as response:
        body = await response.read()
        return response, body


def build_body(*names):
    return b"".join(
        f"id: {number}\ndata: {name}\n\n".encode()
        for number, name in enumerate(names, 1)
    )


async def test_silent_stream_goes_on_at_another_upstream():
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent, other) as front:
        response, body = await read(front)
        assert response.status == 200
        # The head and its seal are those of the upstream that began.
        assert response.headers["X-Server-Seal"] == "silent"
        assert body == build_body("silent", "silent", "other", "other")
        assert other.runs == ["2"]
        await wait_for(lambda: silent.cancelled)


async def test_first_attempt_that_goes_on_wins_over_a_second_one():
    silent, other = Upstream("silent", 3), Upstream("other", 3)
    async with run_upstreams(silent, other) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: other.runs)
        silent.gate.set()
        _, body = await reading
        assert body == build_body(*["silent"] * EVENTS)
        await wait_for(lambda: other.cancelled)


async def test_second_attempt_that_breaks_leaves_the_first_one():
    silent, other = Upstream("silent", 3), Upstream("other")
    other.breaks = True
    async with run_upstreams(silent, other) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: other.runs)
        await asyncio.sleep(0.1)
        silent.gate.set()
        _, body = await reading
        assert body == build_body(*["silent"] * EVENTS)


async def test_first_attempt_that_breaks_leaves_the_second_one():
    silent, other = Upstream("silent", 3), Upstream("other", 3)
    async with run_upstreams(silent, other) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: other.runs)
        silent.breaks = True
        silent.gate.set()
        await asyncio.sleep(0.1)
        other.gate.set()
        _, body = await reading
        assert body == build_body("silent", "silent", "other", "other")


async def test_silence_before_the_first_event_gets_a_second_attempt():
    silent, other = Upstream("silent", 1), Upstream("other")
    async with run_upstreams(silent, other) as front:
        response, body = await read(front)
        assert response.headers["X-Server-Seal"] == "other"
        assert body == build_body(*["other"] * EVENTS)


async def test_stream_that_may_not_run_again_is_waited_for():
    silent, other = Upstream("silent", 3), Upstream("other")
    changes = {"is_resumable": False, "max_attempts": 1}
    async with run_upstreams(silent, other, **changes) as front:
        reading = asyncio.create_task(read(front))
        await asyncio.sleep(5 * LIMITS.second_after)
        silent.gate.set()
        _, body = await reading
        assert body == build_body(*["silent"] * EVENTS)
        assert other.runs == []


async def test_last_attempt_is_waited_for():
    upstreams = [Upstream("one", 3), Upstream("two", 3), Upstream("three")]
    async with run_upstreams(*upstreams) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: upstreams[1].runs)
        await asyncio.sleep(5 * LIMITS.second_after)
        upstreams[1].gate.set()
        _, body = await reading
        assert body == build_body("one", "one", "two", "two")
        assert upstreams[2].runs == []


async def test_stream_without_budget_for_a_second_attempt_is_waited_for():
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent, other) as front:
        front.runtime.instance.retries.spend = lambda service, now: False
        reading = asyncio.create_task(read(front))
        await asyncio.sleep(5 * LIMITS.second_after)
        silent.gate.set()
        _, body = await reading
        assert body == build_body(*["silent"] * EVENTS)
        assert other.runs == []


async def test_stream_without_room_elsewhere_is_waited_for():
    silent = Upstream("silent", 3)
    async with run_upstreams(silent) as front:
        reading = asyncio.create_task(read(front))
        await asyncio.sleep(5 * LIMITS.second_after)
        silent.gate.set()
        _, body = await reading
        assert body == build_body(*["silent"] * EVENTS)


async def test_silent_stream_ends_at_its_deadline():
    silent = Upstream("silent", 3)
    async with run_upstreams(silent) as front:
        with pytest.raises(aiohttp.ClientError):
            await read(front, wait=0.5)
        await wait_for(lambda: silent.cancelled)


async def test_caller_who_leaves_ends_both_attempts():
    silent, other = Upstream("silent", 3), Upstream("other", 3)
    async with run_upstreams(silent, other) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: other.runs)
        reading.cancel()
        await asyncio.wait({reading})
        await wait_for(lambda: silent.cancelled and other.cancelled)


async def test_silence_accuses_neither_the_upstream_nor_the_way_to_it():
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent, other) as front:
        await read(front)
        instance = front.runtime.instance
        assert not instance.reach.is_isolated
        assert not instance.reach._records
        assert not instance._outcomes.has_any or all(
            not count.failed for count in instance._outcomes.pop_all()
        )


async def test_silent_plain_call_gets_a_second_attempt():
    gate = asyncio.Event()

    class Plain(Upstream):
        async def handle(self, request):
            self.runs.append(None)
            if self.silent_before:
                await gate.wait()
            return await answer_sealed(request)

    silent, other = Plain("silent", 1), Plain("other")
    changes = {"kind": RouteKind.IDEMPOTENT, "is_resumable": False}
    async with run_upstreams(silent, other, **changes) as front:
        response, body = await read(front)
        assert (response.status, body) == (200, b"done")
        assert len(silent.runs) == len(other.runs) == 1


async def test_second_attempt_takes_no_pooled_connection():
    """Guards against second attempts on connections that died with the first's."""
    muted = set()

    class Plain(Upstream):
        async def handle(self, request):
            if request.transport in muted:
                await asyncio.Event().wait()
            self.runs.append(request.transport)
            return await answer_sealed(request)

    upstreams = Plain("one"), Plain("two")
    changes = {"kind": RouteKind.IDEMPOTENT, "is_resumable": False}
    async with run_upstreams(*upstreams, **changes) as front:
        await wait_for_pooled(front, upstreams)
        muted.update(one for upstream in upstreams for one in upstream.runs)
        response, _ = await read(front, wait=2.0)
        assert response.status == 200


async def wait_for_pooled(front, upstreams):
    """Send calls until the front has a pooled connection to each upstream."""
    balancer = front.runtime.instance.balancer
    while not all(upstream.runs for upstream in upstreams):
        await read(front)
        # The next call goes to the other one.
        balancer.record_sent(front.runtime.instance.directory.list_ids()[0])


async def test_prefill_placed_at_a_silent_upstream_explains_no_silence():
    """Guards against callers who leave while their silent upstream gets more work."""
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent, other) as front:
        runtime = front.runtime

        def compute_pending_prefill(upstream):
            is_placed = runtime.now() - began > LIMITS.suspect_after + 0.05
            return 5.0 if is_placed else 0.0

        runtime.compute_pending_prefill = compute_pending_prefill
        began = runtime.now()
        _, body = await read(front, wait=3.0)
        assert body == build_body("silent", "silent", "other", "other")
        assert runtime.now() - began < 1.0
