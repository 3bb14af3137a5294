"""Decisions on silences of upstreams.

Guards against taking a pause for a lost connection, and against waiting for a lost
connection longer than callers do.
"""

import pytest

from scalebend.core.gateway.silences import (
    CHECK_TIME_S,
    MAX_PAUSE_S,
    PAUSE_MARGIN_S,
    CheckUpstream,
    KeepWaiting,
    Reachability,
    SilenceLimits,
    SilenceState,
    StartSecond,
    compute_caller_patience,
    compute_event_limits,
    compute_first_byte_limits,
    decide,
)
from scalebend.models.calls import Call, CallerHeaders
from scalebend.models.routing import RouteKind
from tests.lib.gateway_builders import build_route

LIMITS = SilenceLimits(suspect_after=1.0, second_after=1.5)


def build_call(deadline=10.0, **changes):
    route = build_route(**changes)
    headers = CallerHeaders("r-1", None, None, None, None)
    return Call(headers, route, "s", None, "POST", "/", 0.0, deadline)


def build_stream_call(deadline=10.0, **changes):
    values = {
        "kind": RouteKind.STREAMING,
        "is_resumable": True,
        "event_gap": 0.2,
        "target_latency": 0.3,
        **changes,
    }
    return build_call(deadline, **values)


def checked(lasted, reachability=Reachability.REACHED, **values):
    return SilenceState(lasted, reachability, is_checked=True, **values)


def test_upstream_is_checked_before_its_silence_is_suspicious():
    assert decide(LIMITS, SilenceState(0.0)) == KeepWaiting(1.0 - CHECK_TIME_S)
    assert decide(LIMITS, SilenceState(1.0 - CHECK_TIME_S)) == CheckUpstream()


def test_unreachable_upstream_gets_a_second_attempt_once_suspicious():
    unreached = Reachability.UNREACHED
    assert decide(LIMITS, checked(0.7, unreached)) == KeepWaiting(pytest.approx(0.3))
    assert decide(LIMITS, checked(1.0, unreached)) == StartSecond()


@pytest.mark.parametrize("reachability", [Reachability.REACHED, Reachability.UNKNOWN])
def test_reachable_upstream_is_waited_for_as_long_as_callers_bear(reachability):
    assert decide(LIMITS, checked(1.0, reachability)) == KeepWaiting(0.5)
    assert decide(LIMITS, checked(1.5, reachability)) == StartSecond()


def test_known_pause_is_waited_for():
    paused = checked(1.5, pause_left=0.8)
    assert decide(LIMITS, paused) == KeepWaiting(0.8 + PAUSE_MARGIN_S)


def test_known_pause_that_callers_do_not_bear_gets_a_second_attempt():
    limits = SilenceLimits(suspect_after=1.0, second_after=1.5, patience=2.0)
    assert decide(limits, checked(1.5, pause_left=0.6)) == StartSecond()
    assert decide(limits, checked(1.5, pause_left=0.4)) == KeepWaiting(
        pytest.approx(0.4 + PAUSE_MARGIN_S)
    )


def test_pause_that_begins_during_a_silence_does_not_explain_it():
    """Guards against waiting for a prefill placed at a replica that is silent."""
    state = checked(0.6)
    state.record_pause(LIMITS, 0.0)
    state.lasted = 1.5
    state.record_pause(LIMITS, 0.8)
    assert decide(LIMITS, state) == StartSecond()


def test_pauses_one_after_the_other_explain_a_silence():
    state = checked(0.6)
    state.record_pause(LIMITS, 0.5)
    state.lasted = 1.5
    state.record_pause(LIMITS, 0.8)
    assert decide(LIMITS, state) == KeepWaiting(0.8 + PAUSE_MARGIN_S)


def test_known_pause_says_nothing_of_an_unreachable_upstream():
    paused = checked(1.5, Reachability.UNREACHED, pause_left=0.8)
    assert decide(LIMITS, paused) == StartSecond()


def test_nothing_follows_a_second_attempt():
    assert decide(LIMITS, checked(3.0, is_acted_on=True)) == KeepWaiting(None)


def test_process_that_stood_still_checks_before_it_concludes():
    assert decide(LIMITS, SilenceState(5.0)) == CheckUpstream()


@pytest.mark.parametrize("predicted", [None, 0.05, 0.2])
def test_second_attempt_of_a_quick_stream_comes_before_its_caller_leaves(predicted):
    call = build_stream_call()
    patience = compute_caller_patience(call.route)
    needed = predicted or call.route.target_latency
    for limits in (
        compute_event_limits(call, predicted, 0.0),
        compute_first_byte_limits(call, predicted, 0.0),
    ):
        assert 1.3 < limits.second_after < patience - needed + 1e-6
        assert limits.suspect_after <= limits.second_after


def test_second_attempt_comes_before_the_deadline():
    limits = compute_first_byte_limits(build_call(4.0, target_latency=0.4), None, 0.0)
    assert limits.second_after == MAX_PAUSE_S
    limits = compute_first_byte_limits(build_call(4.0, target_latency=0.4), None, 1.5)
    assert limits.suspect_after <= limits.second_after < 4.0 - 1.5 - 0.4


def test_second_attempt_that_would_come_too_late_does_not_come_early():
    limits = compute_event_limits(build_stream_call(), 2.7, 0.0)
    assert limits.second_after == MAX_PAUSE_S


def test_slow_streams_are_suspected_no_later_than_before():
    call = build_stream_call(15.0, target_latency=3.0, event_gap=0.8)
    limits = compute_event_limits(call, 1.0, 0.0)
    assert limits.second_after == limits.suspect_after == pytest.approx(3.2)
