"""What is granted of a limit, in any window, whatever is asked."""

import pytest
from hypothesis import given, strategies as st

from scalebend.core.request_limits import RequestLimits
from scalebend.core.send_budget import (
    BURST_S,
    MIN_RATE_PER_S,
    PERMIT_LIFE_S,
    LeaderShare,
    SendBudget,
    UncoordinatedShare,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.request_limits import UNLIMITED, HeardLimit

UPSTREAM = UpstreamId("i-1")
OTHER = UpstreamId("i-2")

PAUSES = st.lists(st.sampled_from([0.0, 0.01, 0.1, 0.9, 3.0]), max_size=120)
RATES = st.sampled_from([0.2, 1.0, 3.0, 40.0])


def build_budget(rate, share):
    limits = RequestLimits()
    limits.apply(HeardLimit(UPSTREAM, rate, 0))
    return limits, SendBudget(limits, share)


def take(budget, now, patience=0.0):
    """When a request may be sent, if it may be."""
    upstream, wait = budget.grant([UPSTREAM], patience, now)
    return now + wait if upstream is not None else None


def count_most(times, window):
    return max(
        (sum(at <= one < at + window for one in times) for at in times), default=0
    )


def ask(budgets, pauses, patience=0.0):
    """Ask one budget after the other; return when was sent."""
    now = 0.0
    times = []
    for number, pause in enumerate(pauses):
        now += pause
        at = take(budgets[number % len(budgets)], now, patience)
        times += [at] if at is not None else []
    return times


@given(PAUSES, RATES, st.sampled_from([0.25, 1.0]), st.sampled_from([0.0, 0.2]))
def test_leader_never_grants_more_than_its_part(pauses, rate, part, patience):
    _, budget = build_budget(rate, LeaderShare(part))
    budget.refresh(0.0)
    times = ask([budget], pauses, patience)
    burst = max(BURST_S, 1.0 / (rate * part))
    for window in (1.0, 4.0):
        most = 1.0 + rate * part * (window + burst)
        assert count_most(times, window) <= most + 1e-6


@given(PAUSES, RATES, st.integers(1, 7))
def test_fronts_that_take_turns_do_not_exceed_the_limit_together(pauses, rate, fronts):
    turns = [UncoordinatedShare(fronts, number, 0.0) for number in range(fronts)]
    budgets = [build_budget(rate, turn)[1] for turn in turns]
    times = ask(budgets, pauses)
    life = max(PERMIT_LIFE_S, 1.0 / rate)
    for window in (1.0, 4.0):
        assert count_most(times, window) <= 1.0 + rate * (window + life) + 1e-6


def test_nothing_may_be_sent_at_first():
    for share in (LeaderShare(1.0), UncoordinatedShare(1, 0, 5.0)):
        _, budget = build_budget(2.0, share)
        budget.refresh(5.0)
        assert budget.compute_wait(UPSTREAM, 5.0) == pytest.approx(0.5)
        assert budget.compute_wait(UPSTREAM, 5.5) == pytest.approx(0.0, abs=1e-9)
        assert budget.compute_wait(OTHER, 5.0) == 0.0


def test_part_that_shrinks_and_grows():
    _, budget = build_budget(1.0, LeaderShare(1.0))
    budget.refresh(0.0)
    budget.set_share(LeaderShare(0.25), 10.0)
    times = ask([budget], [10.0, *[0.1] * 400])
    assert 10 <= len(times) <= 0.25 * 40 + 2
    budget.set_share(LeaderShare(1.0), 60.0)
    assert len(ask([budget], [60.0, *[0.1] * 100])) >= 10


def test_limit_that_changes_keeps_what_was_sent_in_mind():
    limits, budget = build_budget(1.0, LeaderShare(1.0))
    budget.refresh(0.0)
    while take(budget, 10.0) is not None:
        pass
    limits.apply(HeardLimit(UPSTREAM, 0.5, 1))
    assert budget.compute_wait(UPSTREAM, 10.0) == pytest.approx(2.0)
    limits.apply(HeardLimit(UPSTREAM, 10.0, 2))
    assert budget.compute_wait(UPSTREAM, 10.0) <= 0.2
    limits.apply(HeardLimit(UPSTREAM, UNLIMITED, 3))
    assert budget.compute_wait(UPSTREAM, 10.0) == 0.0


def test_request_that_is_not_sent_gives_its_place_back():
    for share in (LeaderShare(1.0), UncoordinatedShare(1, 0, 0.0)):
        _, budget = build_budget(1.0, share)
        budget.refresh(0.0)
        budget.spend(UPSTREAM, 1.0)
        before = budget.compute_wait(UPSTREAM, 1.0)
        budget.spend(UPSTREAM, 1.0)
        budget.refund(UPSTREAM)
        assert budget.compute_wait(UPSTREAM, 1.0) == pytest.approx(before)


def test_upstream_that_takes_nothing_gets_a_question_now_and_then():
    _, budget = build_budget(0.0, LeaderShare(1.0))
    budget.refresh(0.0)
    assert budget.compute_wait(UPSTREAM, 0.0) == pytest.approx(1.0 / MIN_RATE_PER_S)


def test_first_that_has_room_is_taken():
    limits, budget = build_budget(1.0, LeaderShare(1.0))
    limits.apply(HeardLimit(OTHER, 2.0, 0))
    budget.refresh(0.0)
    assert budget.grant([UPSTREAM, OTHER], 0.0, 0.0) == (None, pytest.approx(0.5))
    assert budget.grant([UPSTREAM, OTHER], 0.6, 0.0) == (OTHER, pytest.approx(0.5))
    assert budget.grant([UPSTREAM, OTHER], 0.0, 2.0)[0] == UPSTREAM
