import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.attempts import (
    FREE_UNSENT,
    MAX_UNSENT,
    UNSENT_SHARE,
    Attempts,
    GiveUp,
    TryAgain,
)
from scalebend.core.gateway.retry_window import RetryWindow
from scalebend.exceptions import ErrorKind, Ran
from scalebend.models.calls import Outcome
from scalebend.models.routing import RouteKind
from tests.lib.gateway_builders import build_call, build_route

MAY_HAVE_RUN = {
    Outcome.FAILED,
    Outcome.INTERRUPTED,
    Outcome.PATH_LOST,
    Outcome.UNRESPONSIVE,
    Outcome.TIMED_OUT,
}


def build_budget(allowance=1_000.0):
    window = RetryWindow(0.0, allowance, 10.0)
    window.update_front_count(1, -10.0)
    return window


def run_attempts(call, outcomes, budget=None):
    """Feed outcomes until the call ends; return the outcomes used and the end."""
    attempts = Attempts(call)
    used = []
    for number, outcome in enumerate(outcomes):
        used.append(outcome)
        decision = attempts.decide(
            outcome, f"i-{number}", budget or build_budget(), 0.0
        )
        if isinstance(decision, GiveUp):
            return used, decision
    return used, None


OUTCOMES = st.lists(
    st.sampled_from([o for o in Outcome if o is not Outcome.ANSWERED]),
    min_size=30,
    max_size=30,
)


@given(OUTCOMES)
def test_non_idempotent_request_runs_at_most_once(outcomes):
    call = build_call(build_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=3))
    used, end = run_attempts(call, outcomes)
    assert sum(outcome in MAY_HAVE_RUN for outcome in used) <= 1
    assert end is not None


@given(OUTCOMES, st.sampled_from(RouteKind), st.integers(1, 3))
def test_request_reported_as_not_run_never_ran(outcomes, kind, max_attempts):
    call = build_call(build_route(kind=kind, max_attempts=max_attempts))
    used, end = run_attempts(call, outcomes)
    if end is not None and end.ran is Ran.NO:
        assert not any(outcome in MAY_HAVE_RUN for outcome in used)
    if end is not None and end.kind in (ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM):
        assert end.ran is Ran.NO


@given(OUTCOMES, st.integers(1, 3))
def test_no_more_runs_than_the_route_allows(outcomes, max_attempts):
    call = build_call(build_route(max_attempts=max_attempts))
    used, _ = run_attempts(call, outcomes)
    assert sum(outcome in MAY_HAVE_RUN for outcome in used) <= max_attempts


def test_resumable_stream_is_retried():
    route = build_route(kind=RouteKind.STREAMING, is_resumable=True)
    _, end = run_attempts(build_call(route), [Outcome.INTERRUPTED])
    assert end is None
    route = build_route(kind=RouteKind.STREAMING, is_resumable=False)
    _, end = run_attempts(build_call(route), [Outcome.INTERRUPTED])
    assert end.ran is Ran.UNKNOWN


def test_error_response_of_last_attempt_is_passed_on():
    used, end = run_attempts(build_call(), [Outcome.FAILED, Outcome.FAILED])
    assert len(used) == 2
    assert end.passes_response


def test_empty_budget_ends_the_call():
    _, end = run_attempts(build_call(), [Outcome.INTERRUPTED], build_budget(0.0))
    assert end.kind is ErrorKind.UPSTREAM_FAILED


def test_unsent_attempt_uses_no_retry_budget():
    attempts = Attempts(build_call())
    decision = attempts.decide(Outcome.NOT_SENT, "i-1", build_budget(0.0), 0.0)
    assert decision == TryAgain()
    assert attempts.excluded == {"i-1"}


def test_no_attempt_starts_shortly_before_the_deadline():
    attempts = Attempts(build_call(deadline=1.0))
    decision = attempts.decide(Outcome.INTERRUPTED, "i-1", build_budget(), 0.99)
    assert isinstance(decision, GiveUp)


def test_replica_gone_before_the_send_uses_no_retry_budget():
    attempts = Attempts(build_call())
    decision = attempts.decide(Outcome.WITHDRAWN, "i-1", build_budget(0.0), 0.0)
    assert decision == TryAgain()
    assert not attempts.may_have_run


def count_unsent(outcome, interval, *, is_helper=False):
    """Number of attempts, ``interval`` seconds apart, until the call is refused."""
    attempts = Attempts(build_call(deadline=10.0))
    budget = build_budget()
    for number in range(200):
        decision = attempts.decide(
            outcome, f"i-{number}", budget, number * interval, is_helper=is_helper
        )
        if isinstance(decision, GiveUp):
            assert decision == GiveUp(ErrorKind.OVERLOADED, Ran.NO)
            return number + 1
    raise AssertionError("the call never ends")


UNSENT = [
    (Outcome.NOT_SENT, False),
    (Outcome.WITHDRAWN, False),
    (Outcome.REJECTED, True),
]


@pytest.mark.parametrize(("outcome", "is_helper"), UNSENT)
def test_crashed_replicas_that_are_found_quickly_do_not_use_up_a_call(
    outcome, is_helper
):
    # Each attempt draws one more replica of those that crashed together.
    assert count_unsent(outcome, 0.01, is_helper=is_helper) == MAX_UNSENT


@pytest.mark.parametrize(("outcome", "is_helper"), UNSENT)
def test_unsent_attempts_leave_time_for_the_retry_of_the_caller(outcome, is_helper):
    used = count_unsent(outcome, 0.5, is_helper=is_helper)
    assert FREE_UNSENT < used < MAX_UNSENT
    assert (used - 2) * 0.5 < UNSENT_SHARE * 10.0 <= (used - 1) * 0.5


@pytest.mark.parametrize(("outcome", "is_helper"), UNSENT)
def test_few_unsent_attempts_are_allowed_however_long_they_took(outcome, is_helper):
    assert count_unsent(outcome, 1.5, is_helper=is_helper) == FREE_UNSENT


def test_time_before_the_first_unsent_attempt_does_not_count():
    attempts = Attempts(build_call(deadline=10.0))
    for number in range(FREE_UNSENT + 1):
        now = 8.0 + 0.1 * number
        decision = attempts.decide(Outcome.NOT_SENT, f"i-{number}", build_budget(), now)
        assert decision == TryAgain()


def test_upstream_behind_a_lost_path_may_take_the_request_again():
    """Guards against a prompt being refused the room that its own attempt gave back."""
    call = build_call(build_route(max_attempts=3))
    attempts = Attempts(call)
    for outcome, excluded in (
        (Outcome.PATH_LOST, set()),
        (Outcome.INTERRUPTED, {"i-1"}),
    ):
        decision = attempts.decide(outcome, "i-1", build_budget(), 0.0)
        assert isinstance(decision, TryAgain)
        assert attempts.excluded == excluded
    assert attempts.runs == 2


def test_request_is_given_up_for_its_path_only_if_another_run_is_allowed():
    call = build_call(build_route(max_attempts=2))
    attempts = Attempts(call)
    assert attempts.allows_another_run
    attempts.decide(Outcome.PATH_LOST, "i-1", build_budget(), 0.0)
    assert not attempts.allows_another_run
    route = build_route(kind=RouteKind.NON_IDEMPOTENT, max_attempts=3)
    assert not Attempts(build_call(route)).allows_another_run
