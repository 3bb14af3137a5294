"""Send permits within a rate limit, in any window and for any requests."""

import pytest
from hypothesis import given, strategies as st

from scalebend.core.rate_limits import RateLimits
from scalebend.core.send_budget import (
    BURST_S,
    MIN_RATE_PER_S,
    PERMIT_LIFETIME_S,
    LeaderShare,
    SendBudget,
    UncoordinatedShare,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit

UPSTREAM = UpstreamId("i-1")
OTHER = UpstreamId("i-2")

PAUSES_S = st.lists(st.sampled_from([0.0, 0.01, 0.1, 0.9, 3.0]), max_size=120)
RATES_PER_S = st.sampled_from([0.2, 1.0, 3.0, 40.0])


def build_budget(rate, share):
    limits = RateLimits()
    limits.apply(ObservedLimit(UPSTREAM, rate, 0))
    return limits, SendBudget(limits, share)


def take_permit(budget, now, max_wait=0.0):
    """Return the send time of a request, or ``None``."""
    upstream, wait = budget.grant([UPSTREAM], max_wait, now)
    return now + wait if upstream is not None else None


def count_most(times, window):
    return max(
        (sum(at <= one < at + window for one in times) for at in times), default=0
    )


def request_permits(budgets, pauses, max_wait=0.0):
    """Request permits from the budgets in rotation; return the send times."""
    now = 0.0
    times = []
    for number, pause in enumerate(pauses):
        now += pause
        at = take_permit(budgets[number % len(budgets)], now, max_wait)
        times += [at] if at is not None else []
    return times


@given(PAUSES_S, RATES_PER_S, st.sampled_from([0.25, 1.0]), st.sampled_from([0.0, 0.2]))
def test_leader_never_grants_more_than_its_share(pauses, rate, share, max_wait):
    _, budget = build_budget(rate, LeaderShare(share))
    budget.refresh(0.0)
    times = request_permits([budget], pauses, max_wait)
    burst = max(BURST_S, 1.0 / (rate * share))
    for window in (1.0, 4.0):
        most = 1.0 + rate * share * (window + burst)
        assert count_most(times, window) <= most + 1e-6


@given(PAUSES_S, RATES_PER_S, st.integers(1, 7))
def test_uncoordinated_fronts_stay_within_the_limit_together(pauses, rate, fronts):
    shares = [UncoordinatedShare(fronts, number, 0.0) for number in range(fronts)]
    budgets = [build_budget(rate, share)[1] for share in shares]
    times = request_permits(budgets, pauses)
    life = max(PERMIT_LIFETIME_S, 1.0 / rate)
    for window in (1.0, 4.0):
        assert count_most(times, window) <= 1.0 + rate * (window + life) + 1e-6


def test_no_permit_is_free_at_the_start():
    for share in (LeaderShare(1.0), UncoordinatedShare(1, 0, 5.0)):
        _, budget = build_budget(2.0, share)
        budget.refresh(5.0)
        assert budget.compute_wait(UPSTREAM, 5.0) == pytest.approx(0.5)
        assert budget.compute_wait(UPSTREAM, 5.5) == pytest.approx(0.0, abs=1e-9)
        assert budget.compute_wait(OTHER, 5.0) == 0.0


def test_share_that_shrinks_and_grows():
    _, budget = build_budget(1.0, LeaderShare(1.0))
    budget.refresh(0.0)
    budget.set_share(LeaderShare(0.25), 10.0)
    times = request_permits([budget], [10.0, *[0.1] * 400])
    assert 10 <= len(times) <= 0.25 * 40 + 2
    budget.set_share(LeaderShare(1.0), 60.0)
    assert len(request_permits([budget], [60.0, *[0.1] * 100])) >= 10


def test_changed_limit_still_counts_recent_sends():
    limits, budget = build_budget(1.0, LeaderShare(1.0))
    budget.refresh(0.0)
    while take_permit(budget, 10.0) is not None:
        pass
    limits.apply(ObservedLimit(UPSTREAM, 0.5, 1))
    assert budget.compute_wait(UPSTREAM, 10.0) == pytest.approx(2.0)
    limits.apply(ObservedLimit(UPSTREAM, 10.0, 2))
    assert budget.compute_wait(UPSTREAM, 10.0) <= 0.2
    limits.apply(ObservedLimit(UPSTREAM, UNLIMITED, 3))
    assert budget.compute_wait(UPSTREAM, 10.0) == 0.0


def test_refund_returns_the_permit():
    for share in (LeaderShare(1.0), UncoordinatedShare(1, 0, 0.0)):
        _, budget = build_budget(1.0, share)
        budget.refresh(0.0)
        budget.spend(UPSTREAM, 1.0)
        before = budget.compute_wait(UPSTREAM, 1.0)
        budget.spend(UPSTREAM, 1.0)
        budget.refund(UPSTREAM)
        assert budget.compute_wait(UPSTREAM, 1.0) == pytest.approx(before)


def test_upstream_with_zero_limit_gets_occasional_requests():
    _, budget = build_budget(0.0, LeaderShare(1.0))
    budget.refresh(0.0)
    assert budget.compute_wait(UPSTREAM, 0.0) == pytest.approx(1.0 / MIN_RATE_PER_S)


def test_first_free_permit_is_taken():
    limits, budget = build_budget(1.0, LeaderShare(1.0))
    limits.apply(ObservedLimit(OTHER, 2.0, 0))
    budget.refresh(0.0)
    assert budget.grant([UPSTREAM, OTHER], 0.0, 0.0) == (None, pytest.approx(0.5))
    assert budget.grant([UPSTREAM, OTHER], 0.6, 0.0) == (OTHER, pytest.approx(0.5))
    assert budget.grant([UPSTREAM, OTHER], 0.0, 2.0)[0] == UPSTREAM
