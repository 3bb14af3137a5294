"""Fault schedules: deterministic, and within what the system must tolerate."""

from hypothesis import given, strategies as st

from scalebend.soak.faults import (
    CALM_S,
    DISK_RECOVERY_S,
    FIRST_SERIES_AT_S,
    SERIES_DURATION_S,
    Change,
    Drain,
    Kill,
    build_schedule,
)
from scalebend.soak.layout import build_layout

LAYOUT = build_layout(3, 3, 6)


@given(st.integers(0, 10_000))
def test_same_seed_gives_the_same_schedule(seed):
    assert build_schedule(seed, 60.0, LAYOUT) == build_schedule(seed, 60.0, LAYOUT)


@given(st.integers(0, 10_000))
def test_disk_losses_leave_time_for_recovery(seed):
    schedule = build_schedule(seed, 300.0, LAYOUT)
    lost = [
        scheduled.at
        for scheduled in schedule.faults
        if isinstance(scheduled.fault, Kill) and scheduled.fault.loses_disk
    ]
    for earlier, later in zip(lost, lost[1:], strict=False):
        assert later - earlier > DISK_RECOVERY_S


@given(st.integers(0, 10_000))
def test_each_series_is_followed_by_a_calm_period_with_planned_work(seed):
    schedule = build_schedule(seed, 120.0, LAYOUT)
    period = SERIES_DURATION_S + CALM_S
    begins = FIRST_SERIES_AT_S
    while begins < 120.0:
        calm_faults = [
            scheduled
            for scheduled in schedule.faults
            if begins + SERIES_DURATION_S < scheduled.at < begins + period
        ]
        assert {type(scheduled.fault) for scheduled in calm_faults} == {Drain, Change}
        begins += period
    assert schedule.ends == begins
