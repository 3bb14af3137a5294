"""Fault schedules: deterministic, and within what the system must tolerate."""

import random

from hypothesis import given, strategies as st

from scalebend.soak.evacuation_promises import FINITE_LIMITS_S
from scalebend.soak.evidence import SETTLE_S
from scalebend.soak.faults import (
    Change,
    Drain,
    Evacuate,
    GuiltyPrompts,
    Kill,
    Reload,
    Silence,
    SilencePlace,
    SilentResponses,
    Stop,
)
from scalebend.soak.injector import SILENT_RESPONSES_S
from scalebend.soak.layout import build_layout
from scalebend.soak.schedules import (
    CALM_S,
    DISK_RECOVERY_S,
    EVACUATION_DURATION_S,
    FIRST_SERIES_AT_S,
    LONG_EVACUATION_SERIES_S,
    MAX_SILENCE_S,
    MIN_SILENCE_S,
    MIN_SILENCES,
    PLANNED_WORK_DELAY_S,
    SERIES_DURATION_S,
    build_schedule,
    build_silent_series,
    draw_silences,
)

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
    # The last series has a long evacuation, and no planned work.
    assert schedule.ends == begins + LONG_EVACUATION_SERIES_S


CHECKED_S = 2.0
"""Seconds after its longest limit in which an evacuation still shows late requests."""


def list_evacuations(seed, length=120.0):
    return [
        scheduled
        for scheduled in build_schedule(seed, length, LAYOUT).faults
        if isinstance(scheduled.fault, Evacuate)
    ]


def test_each_limit_is_shorter_than_an_evacuation_that_is_drawn():
    lasts = {one.fault.lasts for seed in range(20) for one in list_evacuations(seed)}
    for limit in FINITE_LIMITS_S:
        assert any(limit + CHECKED_S <= one for one in lasts), limit


@given(st.integers(0, 10_000))
def test_one_zone_at_a_time_is_evacuated(seed):
    evacuations = list_evacuations(seed, 300.0)
    assert evacuations
    for earlier, later in zip(evacuations, evacuations[1:], strict=False):
        # With time for the acknowledgement.
        assert later.at - earlier.at - earlier.fault.lasts >= 8.0


@given(st.integers(0, 10_000))
def test_short_schedule_has_no_long_evacuation(seed):
    (evacuation,) = list_evacuations(seed, 12.0)
    assert evacuation.fault.lasts == EVACUATION_DURATION_S
    assert build_schedule(seed, 12.0, LAYOUT).ends == FIRST_SERIES_AT_S + 17.0


@given(st.integers(0, 10_000))
def test_each_series_has_prompts_with_a_guilty_part_of_its_own(seed):
    prompts = [
        scheduled.fault
        for scheduled in build_schedule(seed, 50.0, LAYOUT).faults
        if isinstance(scheduled.fault, GuiltyPrompts)
    ]
    assert len(prompts) == 3
    assert len({one.part for one in prompts}) == 3


def list_silences(seed):
    return [
        scheduled
        for scheduled in build_schedule(seed, 50.0, LAYOUT).faults
        if isinstance(scheduled.fault, Silence | SilentResponses)
    ]


@given(st.integers(0, 10_000))
def test_silences_are_as_long_as_callers_bear_and_over_before_the_calm(seed):
    silences = list_silences(seed)
    assert len(silences) >= 3 * MIN_SILENCES
    for one in silences:
        assert MIN_SILENCE_S <= one.fault.lasts <= MAX_SILENCE_S
        in_series = (one.at - FIRST_SERIES_AT_S) % (SERIES_DURATION_S + CALM_S)
        begins_within = SILENT_RESPONSES_S if one.fault.__class__ is not Silence else 0
        ends = in_series + begins_within + one.fault.lasts
        assert ends <= SERIES_DURATION_S + PLANNED_WORK_DELAY_S - SETTLE_S


def test_all_sorts_of_silences_are_drawn_beside_all_that_may_overlap_them():
    faults = [one.fault for seed in range(40) for one in list_silences(seed)]
    counts = {len(one.replicas) for one in faults if isinstance(one, Silence)}
    assert counts == set(range(1, LAYOUT.replicas + 1))
    single = [one for one in faults if isinstance(one, SilentResponses)]
    assert {one.place for one in single} == set(SilencePlace)
    beside = {
        type(one.fault)
        for seed in range(40)
        for one in draw_silences(random.Random(seed), 0.0, LAYOUT)
    }
    assert beside == {Silence, SilentResponses, Change, Reload, Stop, Kill}


@given(st.integers(0, 10_000))
def test_silent_series_has_no_unplanned_fault(seed):
    schedule = build_silent_series(seed, LAYOUT)
    kinds = {type(one.fault) for one in schedule.faults}
    assert kinds - {SilentResponses} == {Silence, Change, Reload, Stop}
    for one in schedule.faults:
        assert one.at + MAX_SILENCE_S + SILENT_RESPONSES_S <= schedule.ends
