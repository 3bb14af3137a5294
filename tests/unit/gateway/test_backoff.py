"""Backoff of upstreams (``Retry-After``) on each path by which a front sends."""

import asyncio
import time

import msgspec
import pytest
from aiohttp import web
from structlog.testing import capture_logs

from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.upstream_backoff import MAX_BACKOFF_S, UpstreamBackoffs
from scalebend.edges.gateway.upstream_choice import RETRY_AFTER_SPREAD_S
from scalebend.models.endpoints import EndpointUpdate, build_upstream_id
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import build_response_headers
from tests.lib.front import answer_sealed, run_front, serve
from tests.lib.gateway_builders import (
    PROFILE,
    build_quick,
    build_route,
    build_routing,
    build_service,
    build_work,
)
from tests.lib.gateway_group import LEADER, build_deployment

ONE = UpstreamId("i-1")
OTHER = UpstreamId("i-2")


def test_backoff_ends_by_time_only():
    backoffs = UpstreamBackoffs()
    backoffs.record(ONE, 3.0, 10.0)
    assert not backoffs.may_send(ONE, 12.9)
    assert backoffs.may_send(OTHER, 12.9)
    assert backoffs.list_in_backoff(12.9) == [ONE]
    assert backoffs.may_send(ONE, 13.0)
    assert backoffs.list_in_backoff(13.0) == []


def test_shorter_backoff_does_not_replace_a_longer_one():
    backoffs = UpstreamBackoffs()
    backoffs.record(ONE, 3.0, 10.0)
    backoffs.record(ONE, 0.5, 11.0)
    assert backoffs.compute_wait(ONE, 11.0) == 2.0
    backoffs.record(ONE, 3.0, 12.0)
    assert backoffs.compute_wait(ONE, 12.0) == 3.0


def test_shortest_wait_of_several_upstreams():
    backoffs = UpstreamBackoffs()
    backoffs.record(ONE, 3.0, 10.0)
    backoffs.record(OTHER, 1.0, 10.0)
    assert backoffs.compute_shortest_wait([ONE, OTHER], 10.0) == 1.0
    assert backoffs.compute_shortest_wait([ONE, UpstreamId("i-3")], 10.0) == 0.0


def test_excessive_backoff_is_bounded():
    backoffs = UpstreamBackoffs()
    backoffs.record(ONE, 999_999_999.0, 0.0)
    assert backoffs.may_send(ONE, MAX_BACKOFF_S)


def test_ended_backoffs_expire():
    backoffs = UpstreamBackoffs()
    backoffs.record(ONE, 3.0, 10.0)
    backoffs.record(OTHER, 9.0, 10.0)
    backoffs.expire(14.0)
    assert list(backoffs._backoffs) == [OTHER]


async def test_backoff_and_draining_are_logged():
    async def reject(request):
        name = request.headers["X-Request-Id"]
        headers = build_response_headers(
            name, "s", has_not_run=True, backoff=1.5, is_draining=True
        )
        return web.Response(status=503, headers=headers)

    async with run_front(build_routing()) as front, serve(reject) as address:
        upstream = front.add(1, address).upstream
        with capture_logs() as lines:
            await front.call()
    logged = [line for line in lines if line["event"] == "backoff heard"]
    assert [(one["upstream"], one["seconds"]) for one in logged] == [(upstream, 1.5)]
    assert "draining heard" in [line["event"] for line in lines]


class BackoffUpstream:
    """Rejects every request and asks for a backoff until a given time."""

    def __init__(self, seconds):
        self.until = time.monotonic() + seconds
        self.arrived = []

    async def answer(self, request):
        now = time.monotonic()
        self.arrived.append(now)
        if now >= self.until:
            return await answer_sealed(request)
        name = request.headers["X-Request-Id"]
        left = self.until - now
        headers = build_response_headers(name, None, has_not_run=True, backoff=left)
        return web.Response(status=503, headers=headers)


def build_stream(**changes):
    return build_route(
        kind=RouteKind.STREAMING,
        target_latency=2.0,
        event_gap=0.2,
        is_resumable=True,
        **changes,
    )


async def test_request_waits_for_a_short_backoff():
    rejecting = BackoffUpstream(0.1)
    async with run_front(build_routing()) as front, serve(rejecting.answer) as address:
        front.add(1, address)
        first = await front.call()
        second = await front.call()
    # The first was rejected by the only upstream; the second waited for its backoff.
    assert (first.status, second.status) == (503, 200)
    assert len(rejecting.arrived) == 2


async def test_request_during_a_long_backoff_is_refused_at_once():
    rejecting = BackoffUpstream(5.0)
    async with run_front(build_routing()) as front, serve(rejecting.answer) as address:
        front.add(1, address)
        first = await front.call()
        began = time.monotonic()
        second = await front.call()
        assert time.monotonic() - began < 0.1
    assert len(rejecting.arrived) == 1
    for answer in (first, second):
        assert answer.status == 503
        assert 4.0 < float(answer.headers["Retry-After"]) <= 5.0 + RETRY_AFTER_SPREAD_S


async def test_retry_after_of_refused_callers_is_spread():
    rejecting = BackoffUpstream(5.0)
    async with run_front(build_routing()) as front, serve(rejecting.answer) as address:
        front.add(1, address)
        await front.call()
        responses = [await front.call() for _ in range(30)]
    retry_afters = [float(answer.headers["Retry-After"]) for answer in responses]
    # None before the backoff ends, and not all at once.
    assert min(retry_afters) > rejecting.until - time.monotonic()
    assert max(retry_afters) - min(retry_afters) > RETRY_AFTER_SPREAD_S / 2


@pytest.mark.parametrize("has_engines", [False, True])
async def test_resumed_stream_respects_the_backoff(has_engines):
    rejecting = BackoffUpstream(5.0)
    resumed = []

    async def disconnect(request):
        resumed.append(request.headers.get("Last-Event-Id"))
        name = request.headers["X-Request-Id"]
        answer = web.StreamResponse(headers=build_response_headers(name, "s"))
        answer.content_type = "text/event-stream"
        await answer.prepare(request)
        await answer.write(b"id: 1\ndata: 1\n\n")
        await asyncio.sleep(0.05)
        request.transport.abort()
        return answer

    engine = PROFILE if has_engines else None
    routing = build_routing(
        routes=[build_stream()], services=[build_service(engine=engine)]
    )
    prompt = 5_000 if has_engines else None
    async with (
        run_front(routing) as front,
        serve(rejecting.answer) as address,
        serve(disconnect) as other,
    ):
        front.add(1, address)
        while not rejecting.arrived:
            await front.call(prompt=prompt)
        front.add(2, other)
        with pytest.raises(Exception, match="payload|Payload"):
            async with front.call(prompt=prompt) as answer:
                await answer.read()
    assert len(rejecting.arrived) == 1
    assert resumed


def test_backoff_applies_only_to_the_rejected_front():
    deployment = build_deployment(2, 18, has_engines=True)
    rejected, other = deployment.fronts
    in_backoff = deployment.endpoints[0].upstream
    rejected.backoffs.record(in_backoff, 3.0, deployment.now)
    for number in range(200):
        placed = deployment.place(rejected, build_quick(number))
        assert in_backoff not in placed.upstreams
    # The prefill group has up to seventeen of the eighteen replicas.
    placed = deployment.place(rejected, build_work(900, 300_000))
    assert len(placed.upstreams) > 10
    assert in_backoff not in placed.upstreams
    placed = deployment.place(other, build_work(901, 300_000))
    assert in_backoff in placed.upstreams
    deployment.run(3.1)
    work = build_quick(902)
    assert rejected.exclude_in_backoff(work, deployment.now) == work


def test_uncoordinated_front_respects_the_backoff():
    deployment = build_deployment(1, 3, has_engines=True)
    (front,) = deployment.fronts
    deployment.lose_leader()
    one, another, _ = (endpoint.upstream for endpoint in deployment.endpoints)
    for in_backoff in (one, another):
        front.backoffs.record(in_backoff, 3.0, deployment.now)
    for number in range(20):
        placed = deployment.place(front, build_quick(number))
        assert not {one, another} & set(placed.upstreams)


def test_waiting_placement_drops_helpers_in_backoff():
    deployment = build_deployment(1, 18, has_engines=True)
    (front,) = deployment.fronts
    placed = deployment.place(front, build_work(1, 300_000))
    assert front.list_unusable(placed, deployment.now) == set()
    helper = placed.helpers[0].upstream
    front.backoffs.record(helper, 3.0, deployment.now)
    assert front.list_unusable(placed, deployment.now) == {helper}


def test_backoff_ends_with_the_incarnation():
    deployment = build_deployment(1, 1, has_engines=True)
    (front,) = deployment.fronts
    in_backoff = deployment.endpoints[0].upstream
    front.backoffs.record(in_backoff, 3.0, deployment.now)
    assert isinstance(deployment.place(front, build_quick(1)), Declined)
    assert front.compute_backoff(build_quick(1).service, (), deployment.now) == 3.0
    assert front.backoffs.may_send(UpstreamId(f"{in_backoff}/2"), deployment.now)


# Rejections of a new incarnation that came before its registration were kept for the
# one before, and requests followed during the backoff.
@pytest.mark.parametrize(
    ("requested", "registered_at", "expected"),
    [
        ([(10.0, 3.0)], 10.5, 2.5),
        # Requested too long before, or over already.
        ([(10.0, 3.0)], 11.0, 0.0),
        ([(10.0, 0.2)], 10.5, 0.0),
        # The one before requested a long one, and the new one a short one.
        ([(10.0, 9.0), (12.0, 2.0)], 12.5, 1.5),
        # Either may have requested the first one.
        ([(10.0, 9.0), (10.8, 2.0)], 11.0, 8.0),
    ],
)
def test_backoff_just_requested_applies_to_the_new_incarnation(
    requested, registered_at, expected
):
    backoffs = UpstreamBackoffs()
    for at, seconds in requested:
        backoffs.record(ONE, seconds, at)
    backoffs.apply_to_successor(ONE, OTHER, registered_at)
    assert backoffs.compute_wait(OTHER, registered_at) == expected


@pytest.mark.parametrize(("at_same_address", "expected"), [(True, 1.88), (False, 0.0)])
def test_front_applies_a_backoff_to_the_new_incarnation(at_same_address, expected):
    deployment = build_deployment(1, 1, has_engines=True)
    (front,) = deployment.fronts
    ended = deployment.endpoints[0]
    front.backoffs.record(ended.upstream, 2.1, deployment.now)
    new = msgspec.structs.replace(
        ended,
        upstream=build_upstream_id(ended.name, 2),
        address=ended.address if at_same_address else "10.1.64.99:8000",
    )
    changes = EndpointChanges([EndpointUpdate(new, is_gone=False)])
    front.handle(LEADER, changes, deployment.now + 0.22)
    waited = front.backoffs.compute_wait(new.upstream, deployment.now + 0.22)
    assert waited == pytest.approx(expected)
