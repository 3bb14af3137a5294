"""A front without a leader sends to replicas with ceilings only what it may."""

import asyncio

import pytest

from scalebend.core.gateway.messages import FrontNumber, PlacementReply, SendPermitReply
from scalebend.core.gateway.slow_start import CEILING_PERMIT_LIFETIME_S
from scalebend.models.placement import Declined, Helper, Placement
from scalebend.models.slow_start import SlowStart
from tests.lib.front import answer_sealed, run_front, serve
from tests.lib.gateway_builders import (
    PROFILE,
    build_quick,
    build_route,
    build_routing,
    build_service,
)

SLOW_START = SlowStart(cold_s=3.0, rate=5.0)


def build_documents(engine=None):
    service = build_service(engine=engine, slow_start=SLOW_START)
    return build_routing(routes=[build_route(is_public=True)], services=[service])


def assign_all(front, routing):
    """Assign all replicas to the front, as the leader of a single one does."""
    limits = front.runtime.instance.limits
    limits.starts.apply(routing)
    limits.record_position(FrontNumber(1, 0, 1, 0))
    limits.confirm_slot(front.runtime.now())


async def fetch_status(front):
    async with front.call(wait=2.0) as response:
        await response.read()
        return response.status, response.headers.get("Retry-After")


async def test_plain_calls_stay_within_the_part_of_a_front():
    routing = build_documents()
    async with serve(answer_sealed) as address, run_front(routing) as front:
        front.add(1, address)
        assign_all(front, routing)
        replies = await asyncio.gather(*(fetch_status(front) for _ in range(6)))
    statuses = sorted(status for status, _ in replies)
    assert statuses == [200, 503, 503, 503, 503, 503]
    assert all(after is not None for status, after in replies if status == 503)


async def test_warm_replica_of_a_plain_service_comes_first():
    got = []

    def name(replica):
        async def answer(request):
            got.append(replica)
            return await answer_sealed(request)

        return answer

    routing = build_documents()
    async with (
        serve(name("cold")) as cold,
        serve(name("warm")) as warm,
        run_front(routing) as front,
    ):
        front.add(1, cold, cold_s=3.0)
        front.add(2, warm)
        assign_all(front, routing)
        assert [(await fetch_status(front))[0] for _ in range(2)] == [200, 200]
        metrics = front.runtime.metrics.render()
    assert got == ["warm", "cold"]
    assert b"scalebend_cold_attempts_total 1.0" in metrics


@pytest.mark.parametrize("delay", [0.0, CEILING_PERMIT_LIFETIME_S + 0.1])
async def test_prompt_that_is_sent_late_needs_another_permit(delay):
    routing = build_documents(PROFILE)
    async with run_front(routing) as front:
        endpoint = front.add(1, "127.0.0.1:9")
        assign_all(front, routing)
        runtime = front.runtime
        work = build_quick(1)
        placed = (await runtime.placements.place(work)).placed
        assert isinstance(placed, Placement)
        await asyncio.sleep(delay)
        # The only permit of this interval is that of the placement.
        is_sent = await runtime.renew_send_permit(work, [endpoint.upstream])
        assert is_sent == (delay == 0.0)
        runtime.record_job_end(work.job)


@pytest.mark.parametrize("is_helper_used", [False, True])
async def test_late_prompt_needs_a_permit_of_each_replica_that_reads_it(
    is_helper_used,
):
    routing = build_documents(PROFILE)
    async with run_front(routing) as front:
        lead, helper = front.add(1, "127.0.0.1:9"), front.add(2, "127.0.0.1:10")
        assign_all(front, routing)
        runtime = front.runtime
        budget = runtime.instance.limits.budget
        if is_helper_used:
            budget.ceilings.spend(helper.upstream, runtime.now())
        helpers = (Helper(helper.upstream, helper.address),)
        placement = Placement(lead.upstream, lead.address, helpers, 0.2)
        work = build_quick(1)
        is_sent = await runtime.renew_send_permit(work, placement.upstreams)
        assert is_sent == (not is_helper_used)
        for upstream in placement.upstreams:
            assert budget.compute_wait(upstream, runtime.now()) > 0.0
        # What was permitted once isn't asked for again.
        assert await runtime.renew_send_permit(work, placement.upstreams) == is_sent
        runtime.record_job_end(work.job)


@pytest.mark.parametrize("has_new_leader", [False, True])
async def test_prompt_waits_shortly_for_a_leader_that_does_not_grant_yet(
    has_new_leader, monkeypatch
):
    routing = build_documents(PROFILE)
    async with run_front(routing) as front:
        endpoint = front.add(1, "127.0.0.1:9")
        front.runtime.instance.limits.starts.apply(routing)
        work = build_quick(1)
        placement = Placement(endpoint.upstream, endpoint.address, (), 0.2)
        granted = PlacementReply(work.job, placement if has_new_leader else None)
        replies = [PlacementReply(work.job), PlacementReply(work.job), granted]

        async def place(_leader, _work):
            return replies.pop(0) if len(replies) > 1 else replies[0]

        monkeypatch.setattr(front.runtime.leader_calls, "place", place)
        async with asyncio.timeout(1.0):
            placed = (await front.runtime.placements.place(work)).placed
        if has_new_leader:
            assert placed == placement
        else:
            assert isinstance(placed, Declined)
            assert 0.0 < placed.retry_after < 1.0
        front.runtime.record_job_end(work.job)


@pytest.mark.parametrize("is_undecided", [False, True])
async def test_plain_call_uses_the_part_of_a_front_while_a_leader_may_not_grant(
    is_undecided, monkeypatch
):
    routing = build_documents()
    async with serve(answer_sealed) as address, run_front(routing) as front:
        front.add(1, address)
        assign_all(front, routing)

        async def refuse(_leader, request):
            return SendPermitReply(request.request_id, None, 0.4, is_undecided)

        calls = front.runtime.leader_calls
        monkeypatch.setattr(calls, "request_send_permit", refuse)
        status, _ = await fetch_status(front)
    assert status == (200 if is_undecided else 503)
