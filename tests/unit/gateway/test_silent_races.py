"""Attempts beside silent ones that fall silent or fail themselves."""

import asyncio
import contextlib

import aiohttp
import msgspec
import pytest
from aiohttp import web

from scalebend.core.gateway import silences
from scalebend.edges.gateway import attempt_race, reservations
from scalebend.edges.gateway.upstream_client import StrictResponseHandler
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Helper
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, find_closed_port, serve, wait_for
from tests.unit.gateway.test_hedged_forwarder import (
    NEVER_S,
    Engine,
    Leader,
    run_engines,
)
from tests.unit.gateway.test_silent_attempts import (
    LIMITS,
    Upstream,
    build_body,
    read,
    run_upstreams,
)

FIRST = UpstreamId("i-1")


@pytest.fixture(autouse=True)
def shorten_limits(monkeypatch):
    monkeypatch.setattr(silences, "_build_limits", lambda *_: LIMITS)


class Full(Upstream):
    """Rejects every request."""

    async def handle(self, request):
        await request.read()
        self.runs.append(None)
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Not-Executed": "1",
        }
        return web.Response(status=503, headers=headers)


async def test_third_attempt_avoids_both_silent_upstreams():
    """Guards against a third attempt at the upstream that fell silent first."""
    upstreams = [Upstream("one", 3), Upstream("two", 3), Upstream("three")]
    async with run_upstreams(*upstreams, max_attempts=3) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: sum(len(one.runs) for one in upstreams) == 3)
        assert [len(one.runs) for one in upstreams] == [1, 1, 1]
        _, body = await reading
        assert body == build_body("one", "one", "three", "three")


async def test_stream_goes_on_after_the_last_event_of_a_broken_second_attempt():
    """Guards against events that are sent twice: the winner had fallen silent."""
    one, two, three = Upstream("one", 2), Upstream("two", 4), Upstream("three")
    async with run_upstreams(one, two, max_attempts=3) as front:
        retries = front.runtime.instance.retries
        reading = asyncio.create_task(read(front, wait=3.0))
        await wait_for(lambda: two.runs)
        # It forwards events 2 and 3, and falls silent while the budget is used up.
        spend, retries.spend = retries.spend, lambda service, now: False
        await asyncio.sleep(0.1 + 2 * LIMITS.second_after)
        async with serve(three.handle) as address:
            front.add(3, address)
            retries.spend = spend
            two.breaks = True
            two.gate.set()
            _, body = await reading
        assert body == build_body("one", "two", "two", "three")
        assert three.runs == ["3"]


async def test_runs_before_a_silent_winner_count():
    """Guards against more runs than the route allows."""
    one, two, three = Upstream("one", 2), Upstream("two", 4), Upstream("three", 4)
    spare = Upstream("spare")
    async with run_upstreams(one, two, three, max_attempts=3) as front:
        reading = asyncio.create_task(read(front, wait=3.0))
        await wait_for(lambda: one.runs)
        for _ in range(9):
            front.runtime.instance.balancer.record_sent(FIRST)
        await wait_for(lambda: three.runs)
        async with serve(spare.handle) as address:
            front.add(4, address)
            for broken in (two, three):
                broken.breaks = True
                broken.gate.set()
            with contextlib.suppress(aiohttp.ClientError):
                await reading
        assert [len(each.runs) for each in (one, two, three, spare)] == [1, 1, 1, 0]


async def test_last_attempt_may_not_be_abandoned(monkeypatch):
    """Guards against the loss of the last run to a suspicion about its path."""
    allowed = []
    set_params = StrictResponseHandler.set_response_params

    def record(handler, **params):
        set_params(handler, **params)
        allowed.append(handler._may_repeat)

    monkeypatch.setattr(StrictResponseHandler, "set_response_params", record)
    async with run_upstreams(Upstream("silent", 3), Upstream("other")) as front:
        await read(front)
    assert allowed == [True, False]


async def test_silent_attempt_that_was_cancelled_frees_its_slot():
    """Guards against memory that is held for a request that another one outlived."""
    silent, other = Upstream("silent", 3), Upstream("other", 4)
    async with run_upstreams(silent, other, max_attempts=2) as front:
        reading = asyncio.create_task(read(front))
        await wait_for(lambda: silent.cancelled)
        await asyncio.sleep(0.1)
        assert front.runtime.instance.balancer._get(FIRST).open == 0
        other.gate.set()
        _, body = await reading
        assert body == build_body("silent", "silent", "other", "other")


async def test_second_attempt_that_was_not_sent_is_replaced():
    """Guards against a caller kept at a silent upstream while another one has room."""
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent) as front, serve(other.handle) as address:
        balancer = front.runtime.instance.balancer
        balancer.record_sent(front.add(2, find_closed_port()).upstream)
        last = front.add(3, address).upstream
        balancer.record_sent(last)
        balancer.record_sent(last)
        _, body = await read(front, wait=3.0)
        assert body == build_body("silent", "silent", "other", "other")


async def test_second_attempt_that_was_rejected_is_replaced():
    """Guards against a caller kept at a silent upstream while another one has room."""
    silent, full, other = Upstream("silent", 3), Full("full"), Upstream("other")
    async with run_upstreams(silent, full, other) as front:
        _, body = await read(front, wait=3.0)
        assert len(full.runs) == 1
        assert body == build_body("silent", "silent", "other", "other")


async def test_second_attempt_starts_once_there_is_room():
    """Guards against a caller kept at a silent upstream although another comes up."""
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent) as front, serve(other.handle) as address:
        reading = asyncio.create_task(read(front, wait=3.0))
        await asyncio.sleep(3 * LIMITS.second_after)
        front.add(2, address)
        _, body = await reading
        assert body == build_body("silent", "silent", "other", "other")


async def test_second_attempt_starts_once_there_is_budget():
    """Guards against a caller kept at a silent upstream after others got the budget."""
    silent, other = Upstream("silent", 3), Upstream("other")
    async with run_upstreams(silent, other) as front:
        retries = front.runtime.instance.retries
        allows, retries.allows = retries.allows, lambda service, now: False
        reading = asyncio.create_task(read(front, wait=3.0))
        await wait_for(lambda: silent.runs)
        await asyncio.sleep(3 * LIMITS.second_after)
        assert other.runs == []
        retries.allows = allows
        _, body = await reading
        assert body == build_body("silent", "silent", "other", "other")


async def test_overdue_attempt_counts_one_beside_a_silent_one():
    """Guards against more runs than the route allows."""
    engines = [Engine(name, delay=1.0) for name in ("one", "two", "three")]
    async with run_engines(*engines) as front:
        front.runtime.instance.hedging.compute_delay = lambda predicted, now: 0.6
        async with front.call(prompt=1_000) as response:
            await response.read()
        assert [len(engine.runs) for engine in engines] == [1, 1, 0]


class GroupLeader(Leader):
    """Places the first attempt with a prefill helper that holds memory."""

    helper: Helper | None = None

    async def place(self, leader, work, *, may_back_off=True):
        reply = await super().place(leader, work, may_back_off=may_back_off)
        if self.helper is None:
            return reply
        placement = msgspec.structs.replace(reply.placement, helpers=(self.helper,))
        self.helper = None
        return msgspec.structs.replace(reply, placement=placement)


async def test_memory_of_a_cancelled_silent_attempt_is_released(monkeypatch):
    """Guards against memory that is held while another attempt goes on."""
    monkeypatch.setattr(reservations, "RENEW_INTERVAL_S", 0.1)
    orders = []

    async def take_order(request):
        if request.method == "POST":
            orders.append((await request.json())["Op"])
        return web.json_response({"Available": 1})

    silent, other = Engine("silent", NEVER_S), Engine("other", interval=0.3)
    async with run_engines(silent, other) as front, serve(take_order) as address:
        helper = Helper(front.add(3, address).upstream, address, 50_000)
        front.leader = front.runtime.leader_calls = GroupLeader(front.leader.endpoints)
        front.leader.helper = helper
        async with front.call(prompt=1_000) as response:
            await response.content.readany()
            await wait_for(lambda: silent.cancelled)
            await asyncio.sleep(0.3)
            assert orders[-1] == "release"
            await response.read()


@pytest.mark.parametrize("seconds", [0.02, 30.0])
async def test_rejection_counts_without_its_body(seconds):
    """Guards against failures of requests that a replica said it had not run."""

    class Stalled(Full):
        async def handle(self, request):
            await request.read()
            response = web.StreamResponse(status=503, headers={"X-Not-Executed": "1"})
            response.content_length = 10
            await response.prepare(request)
            await asyncio.sleep(seconds)
            request.transport.abort()
            return response

    class Plain(Upstream):
        async def handle(self, request):
            return await answer_sealed(request)

    changes = {"kind": RouteKind.NON_IDEMPOTENT, "is_resumable": False}
    async with run_upstreams(Stalled("one"), Plain("two"), **changes) as front:
        response, body = await read(front, wait=2.0)
        assert (response.status, body) == (200, b"done")


class Runner:
    """A forwarder of an attempt, as far as a race counts it."""

    def __init__(self, send_count):
        self.send_count = send_count


async def test_attempts_that_wait_for_a_place_count_as_runs():
    """Guards against more runs than allowed, and against fewer where none was sent."""
    first, waiting = Runner(1), Runner(0)
    placing = asyncio.get_running_loop().create_future()
    race = attempt_race.Race(first)
    race.seconds.append(waiting)
    race.add(waiting, asyncio.ensure_future(placing))
    assert race.runs == 2
    placing.set_result(None)
    assert (await race.wait_for_next()).runner is waiting
    assert race.runs == 1
