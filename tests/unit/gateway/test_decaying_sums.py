"""Sums that decay with time, after any idle time and any uptime."""

import math

import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.customer_use import CustomerUse
from scalebend.core.gateway.outlier_detector import DECAY_S, OutlierDetector
from scalebend.core.gateway.path_health import PathHealth, compute_decay
from scalebend.core.shares import ShareLedger, decay
from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import AvailabilityZone, ServiceName, UpstreamId
from scalebend.models.paths import PathState, PathSum, ZonePath
from scalebend.utils.decaying_maximum import DecayingMaximum

YEAR_S = 365 * 86_400.0

uptimes = st.floats(0.0, 10 * YEAR_S)
idle_times = st.lists(st.floats(0.0, YEAR_S), min_size=1, max_size=8)
amounts = st.floats(0.0, 1e6)

PATH = ZonePath(AvailabilityZone("a"), AvailabilityZone("b"))


# Guards against an overflow that ended the timers of a leader 2 h 51 min after the last
# prompt of a service.
def test_use_is_forgotten_after_a_quiet_night():
    use = CustomerUse(0.0)
    use.charge("a", 1.0, 1.0)
    use.expire(10_241.0)
    use.charge("b", 1.0, 10_242.0)
    assert use.read("a", 10_242.0) == 0.0
    assert use.read("b", 10_242.0) == 1.0


@given(uptimes, idle_times, amounts)
def test_use_of_customers_decays(start, idles, seconds):
    use = CustomerUse(start)
    now = start
    for idle in idles:
        use.charge("a", seconds, now)
        before = use.read("a", now)
        assert before >= seconds * (1 - 1e-9)
        now += idle
        after = use.read("a", now)
        assert 0.0 <= after <= before * (1 + 1e-9)
        assert math.isfinite(after)
        use.is_starved("b", now)
        least = use.get_grown("b")
        if after == 0.0:
            assert not use.is_ahead("a", least, now)
        use.expire(now)
        assert use.read("a", now) == pytest.approx(after, abs=1e-3)


# A path that was judged for the first time has no evaluation before a front reports.
@given(uptimes, st.floats(0.0, YEAR_S), st.floats(-YEAR_S, YEAR_S), amounts, amounts)
def test_baseline_of_a_path_is_shifted(start, idle, age, observed, lost):
    health = PathHealth(min_fronts=1)
    health.update({PATH: PathSum(100.0, 50.0, 1)}, start)
    health.update({PATH: PathSum(100.0, 50.0, 1)}, start + 1.0)
    assert health.get_state(PATH) is PathState.DEGRADED
    at = max(0.0, start + 1.0 + age)
    health.shift_baseline(PATH, observed, lost, at)
    health.shift_baseline(PATH, -observed, -lost, at)
    health.update({}, max(at, start + 1.0) + idle)


# Evidence counts by its own age, whether it is older or newer than the last.
def test_baseline_decays_between_shifts():
    health = PathHealth(min_fronts=1)
    health.update({PATH: PathSum(100.0, 50.0, 1)}, 1_000.0)
    health.update({PATH: PathSum(100.0, 50.0, 1)}, 1_001.0)
    judged = health._judged[PATH]
    judged.last, judged.last_at = PathSum(10.0, 4.0, 1), 1_002.0
    health.shift_baseline(PATH, 10.0, 4.0, 1_004.0)
    health.shift_baseline(PATH, 10.0, 4.0, 1_002.0)
    left = compute_decay(1_006.0 - judged.last_at)
    expected = 2.0 * compute_decay(4.0) + compute_decay(2.0)
    assert left * judged.last.observed == pytest.approx(10.0 * expected)
    assert left * judged.last.lost == pytest.approx(4.0 * expected)


@given(uptimes, idle_times)
def test_outcomes_decay(start, idles):
    detector = OutlierDetector()
    now = start
    for idle in idles:
        outcomes = UpstreamOutcomes(UpstreamId("u"), 1, 1)
        detector.record(outcomes, ServiceName("s"), 3, now)
        now += idle
        record = detector._records["u"]
        record.decay(now)
        assert 0.0 <= record.failed <= 1.0 + len(idles)
        if idle > 1_000 * DECAY_S:
            assert record.failed == 0.0


@given(uptimes, idle_times, amounts)
def test_maximum_decays(start, idles, value):
    maximum = DecayingMaximum(10.0)
    now = start
    for idle in idles:
        maximum.record(value, now)
        before = maximum.read(now)
        now += idle
        assert 0.0 <= maximum.read(now) <= before
        assert before >= value


@given(amounts, st.floats(-YEAR_S, 10 * YEAR_S))
def test_usage_decays(seconds, elapsed):
    assert 0.0 <= decay(seconds, elapsed) <= seconds


@given(uptimes, idle_times, amounts)
def test_usage_of_the_fleet_decays(start, idles, seconds):
    ledger = ShareLedger()
    now = start
    for idle in idles:
        ledger.charge("a", seconds, now)
        now += idle
        for usage in ledger.read_local(now):
            assert 0.0 <= usage.seconds
            assert math.isfinite(usage.seconds)
