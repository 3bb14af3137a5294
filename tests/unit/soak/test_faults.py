"""Schedules of the soak: repeatable, within what the system must bear."""

from hypothesis import given, strategies as st

from scalebend.soak.faults import (
    CALM,
    DISK_RECOVERY,
    FIRST_AT,
    SERIES_LENGTH,
    Change,
    Kill,
    Leave,
    build_schedule,
)
from scalebend.soak.layout import build_layout

LAYOUT = build_layout(3, 3, 6)


@given(st.integers(0, 10_000))
def test_same_seed_gives_the_same_schedule(seed):
    assert build_schedule(seed, 60.0, LAYOUT) == build_schedule(seed, 60.0, LAYOUT)


@given(st.integers(0, 10_000))
def test_disks_are_lost_one_after_the_other(seed):
    schedule = build_schedule(seed, 300.0, LAYOUT)
    lost = [
        scheduled.at
        for scheduled in schedule.faults
        if isinstance(scheduled.fault, Kill) and scheduled.fault.loses_disk
    ]
    for earlier, later in zip(lost, lost[1:], strict=False):
        assert later - earlier > DISK_RECOVERY


@given(st.integers(0, 10_000))
def test_each_series_is_followed_by_a_calm_with_planned_work(seed):
    schedule = build_schedule(seed, 120.0, LAYOUT)
    period = SERIES_LENGTH + CALM
    begins = FIRST_AT
    while begins < 120.0:
        quiet = [
            scheduled
            for scheduled in schedule.faults
            if begins + SERIES_LENGTH < scheduled.at < begins + period
        ]
        assert {type(scheduled.fault) for scheduled in quiet} == {Leave, Change}
        begins += period
    assert schedule.ends == begins
