"""When a first token is overdue, and when a second attempt may start."""

import msgspec
import pytest

from scalebend.core.gateway.hedging import (
    DEFAULT_RATIO,
    MAX_LOAD,
    MAX_SECOND_SHARE,
    MIN_DELAY_S,
    MIN_RATIO,
    MIN_RATIOS,
    RATIO_LIFETIME_S,
    SECOND_ALLOWANCE,
    SHARE_WINDOW_S,
    Hedging,
    Refusal,
    Room,
    is_fit,
)
from scalebend.core.gateway.retry_window import SETTLE_TIME_S, RetryWindow
from scalebend.models.placement import Helper, Placement
from scalebend.models.routing import RouteKind
from tests.lib.gateway_builders import (
    build_call,
    build_quick,
    build_route,
    build_routing,
)

NOW = 100.0
PREDICTED_S = 0.08


def build_stream(**changes):
    values = {
        "kind": RouteKind.STREAMING,
        "is_resumable": True,
        "event_gap": 0.2,
        **changes,
    }
    return build_route(**values)


def build_ranked_routing(route):
    other = build_stream(name="other", path_prefix="/long", priority=1)
    return build_routing(1, [route, other])


def check(hedging, route=None, runs=0, now=NOW, **facts):
    call = build_call(route or build_stream(), deadline=NOW + 10.0)
    facts = {"is_suspect": False, "is_queueing": False, **facts}
    return hedging.check(call, runs, now, **facts)


def build_retries(ratio=0.2, slack=0.0):
    retries = RetryWindow(ratio, slack, 10.0)
    retries.update_front_count(1, NOW - SETTLE_TIME_S)
    return retries


# The distribution


def test_default_ratio_holds_until_enough_tokens_were_seen():
    hedging = Hedging()
    for _ in range(MIN_RATIOS - 1):
        hedging.record_first_token(PREDICTED_S, 5 * PREDICTED_S, NOW)
    delay = hedging.compute_delay(PREDICTED_S, NOW)
    assert delay == pytest.approx(DEFAULT_RATIO * PREDICTED_S)


def test_token_is_overdue_later_than_almost_all():
    hedging = Hedging()
    for number in range(100):
        hedging.record_first_token(1.0, 1.5 + 0.01 * number, NOW)
    assert hedging.compute_delay(1.0, NOW) == pytest.approx(1.5 + 0.94)


def test_one_late_token_in_many_does_not_move_the_limit():
    hedging = Hedging()
    for number in range(100):
        observed = 50.0 if number == 40 else 1.5
        hedging.record_first_token(1.0, observed, NOW)
    assert hedging.compute_delay(1.0, NOW) == pytest.approx(1.5)


def test_early_tokens_do_not_make_punctual_ones_overdue():
    hedging = Hedging()
    for _ in range(100):
        hedging.record_first_token(1.0, 0.2, NOW)
    assert hedging.compute_delay(1.0, NOW) == pytest.approx(MIN_RATIO)


def test_old_tokens_are_forgotten():
    hedging = Hedging()
    for _ in range(100):
        hedging.record_first_token(1.0, 4.0, NOW)
    later = NOW + RATIO_LIFETIME_S + 1.0
    assert hedging.compute_delay(1.0, later) == pytest.approx(DEFAULT_RATIO)


def test_tiny_predictions_leave_time_for_the_round_trip():
    assert Hedging().compute_delay(0.0001, NOW) == MIN_DELAY_S


def test_tiny_predictions_do_not_move_the_limit_of_longer_ones():
    hedging = Hedging()
    for number in range(100):
        if number % 10:
            hedging.record_first_token(0.1, 0.1, NOW)
        else:
            hedging.record_first_token(0.01, 0.03, NOW)
    assert hedging.compute_delay(0.1, NOW) == pytest.approx(0.1 * MIN_RATIO)


# The document


def test_document_that_ranks_routes_calls_for_second_attempts():
    route = build_stream()
    hedging = Hedging()
    assert hedging.is_called_for(build_call(route), build_ranked_routing(route))


@pytest.mark.parametrize(
    "route",
    [
        build_stream(is_resumable=False),
        build_stream(max_attempts=1),
        build_route(kind=RouteKind.NON_IDEMPOTENT),
        build_route(kind=RouteKind.IDEMPOTENT),
        build_stream(priority=1),
    ],
    ids=["not-resumable", "one-attempt", "non-idempotent", "no-stream", "outranked"],
)
def test_document_does_not_call_for_them(route):
    routing = build_ranked_routing(route)
    assert not Hedging().is_called_for(build_call(route), routing)


def test_earlier_documents_never_call_for_them():
    # All routes of a service have the same rank.
    routes = [
        build_stream(priority=1),
        build_stream(name="long", path_prefix="/long", priority=1),
    ]
    routing = build_routing(1, routes)
    hedging = Hedging()
    assert not any(hedging.is_called_for(build_call(one), routing) for one in routes)


def test_new_document_is_read():
    route = build_stream()
    hedging = Hedging()
    assert not hedging.is_called_for(build_call(route), build_routing(1, [route]))
    assert hedging.is_called_for(build_call(route), build_ranked_routing(route))


def test_rank_is_that_of_the_call():
    # A customer may rank lower than the route.
    route = build_stream()
    call = msgspec.structs.replace(build_call(route), priority=1)
    assert not Hedging().is_called_for(call, build_ranked_routing(route))


# Whether one may start


def test_first_overdue_token_may_have_a_second_attempt():
    assert check(Hedging()) is None


def test_request_that_may_run_only_once_never_runs_twice():
    route = build_stream(is_resumable=False, max_attempts=9)
    assert check(Hedging(), route) is Refusal.NO_ATTEMPTS


@pytest.mark.parametrize("max_attempts", [1, 2, 3])
def test_no_more_attempts_than_the_route_allows(max_attempts):
    route = build_stream(max_attempts=max_attempts)
    allowed = [runs for runs in range(4) if check(Hedging(), route, runs) is None]
    assert allowed == list(range(max_attempts - 1))


def test_none_at_the_deadline():
    assert check(Hedging(), now=NOW + 9.99) is Refusal.NO_TIME


def test_none_for_a_request_during_which_an_upstream_crashed():
    assert check(Hedging(), is_suspect=True) is Refusal.SUSPECT


def test_none_where_queued_requests_explain_the_delay():
    assert check(Hedging(), is_queueing=True) is Refusal.QUEUEING


def test_retry_budget_bounds_them():
    hedging, retries = Hedging(), build_retries(ratio=0.0)
    call = build_call()
    assert hedging.spend(call.service, retries, NOW) is Refusal.NO_BUDGET
    # What was not sent does not count.
    assert check(hedging) is None


def test_their_share_is_bounded_if_the_budget_would_allow_more():
    hedging, retries = Hedging(), build_retries(slack=10_000.0)
    service = build_call().service
    requests, sent = 200, 0
    for _ in range(requests):
        hedging.record_request(NOW)
    while check(hedging) is None:
        assert hedging.spend(service, retries, NOW) is None
        sent += 1
    assert sent == SECOND_ALLOWANCE + MAX_SECOND_SHARE * requests
    assert check(hedging) is Refusal.TOO_MANY
    call = build_call(build_stream(), deadline=NOW + 100.0)
    later = NOW + SHARE_WINDOW_S + 0.1
    assert hedging.check(call, 0, later, is_suspect=False, is_queueing=False) is None


def test_share_holds_for_second_attempts_that_are_placed_at_the_same_time():
    hedging, retries = Hedging(), build_retries(slack=10_000.0)
    service = build_call().service
    burst = 20
    assert [check(hedging) for _ in range(burst)] == [None] * burst
    refusals = [hedging.spend(service, retries, NOW) for _ in range(burst)]
    sent = int(SECOND_ALLOWANCE)
    assert refusals == [None] * sent + [Refusal.TOO_MANY] * (burst - sent)


def test_requests_are_forgotten_though_no_token_is_overdue():
    hedging = Hedging()
    for second in range(10_000):
        hedging.record_request(float(second))
    assert len(hedging._requests) <= SHARE_WINDOW_S + 1


# Where


def test_fit_placement_is_one_replica_that_is_on_time_now():
    work = build_quick(1, is_second=True)
    placement = Placement("i-1", "10.0.0.1:1", (), work.target)
    assert is_fit(work, placement)
    late = msgspec.structs.replace(placement, first_token_in=work.target + 0.01)
    waiting = msgspec.structs.replace(placement, start_in=0.01)
    group = msgspec.structs.replace(placement, helpers=(Helper("i-2", "10.0.0.2:1"),))
    assert not any(is_fit(work, one) for one in (late, waiting, group))


def test_room_is_idle_while_few_slots_are_used():
    slots = 80
    assert Room(int(MAX_LOAD * slots) - 1, slots).is_idle
    assert not Room(int(MAX_LOAD * slots), slots).is_idle
    assert not Room(0, 0).is_idle
