"""Where work goes while paths are degraded."""

import random

import pytest

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.service_balancer import ServiceBalancer
from scalebend.models.paths import (
    build_zone_path,
)
from scalebend.models.placement import JobStage, Placement
from tests.lib.gateway_builders import (
    PROFILE,
    build_quick,
    build_work,
)
from tests.lib.path_builders import (
    BAD,
    HEALTHY,
    LOSSY,
    OWN,
    ZONES,
    A,
    B,
    C,
    build_fleet,
    judge,
)


def build_scheduler(sums):
    scheduler = EngineScheduler()
    scheduler.paths = judge(sums)
    return scheduler


def test_quick_prompt_avoids_a_degraded_path_until_there_is_no_room():
    scheduler = build_scheduler(
        {BAD: LOSSY, build_zone_path(C, B): LOSSY, OWN: HEALTHY}
    )
    fleet = build_fleet(6)
    zones = {one.upstream: one.availability_zone for one in fleet}
    placed = []
    for number in range(6 * PROFILE.slots):
        work = build_quick(number, availability_zone=C)
        chosen = scheduler.place(work, fleet, PROFILE, 0.0)
        scheduler.record_stage(JobStage(work.job, is_ended=False), 0.0)
        placed.append(zones[chosen.upstream])
    near = 2 * PROFILE.slots
    assert set(placed[:near]) == {C}
    assert C not in placed[near:]


@pytest.mark.parametrize(("gap", "is_moved"), [(0.25, True), (0.8, False)])
def test_only_work_that_a_retransmission_harms_is_moved(gap, is_moved):
    placed = []
    for sums in ({BAD: LOSSY, OWN: HEALTHY}, {}):
        scheduler = build_scheduler({})
        fleet = build_fleet(6, [A, C])
        for number in range(3):
            work = build_work(number, 5_000, event_gap=gap, availability_zone=A)
            scheduler.place(work, fleet, PROFILE, 0.0)
            scheduler.record_stage(JobStage(work.job, is_ended=False), 0.0)
        scheduler.paths.update(sums, 0.0)
        work = build_work(9, 5_000, event_gap=gap, availability_zone=C)
        placed.append(scheduler.place(work, fleet, PROFILE, 0.1).upstream)
    assert (placed[0] != placed[1]) == is_moved


def test_lead_of_a_group_is_on_a_healthy_path():
    scheduler = build_scheduler(
        {BAD: LOSSY, build_zone_path(C, B): LOSSY, OWN: HEALTHY}
    )
    fleet = build_fleet(30)
    zones = {one.upstream: one.availability_zone for one in fleet}
    for number in range(5):
        work = build_work(number, 210_000, event_gap=0.25, availability_zone=C)
        placed = scheduler.place(work, fleet, PROFILE, 0.0)
        assert isinstance(placed, Placement) and placed.helpers
        assert {zones[one] for one in placed.upstreams} > {C}
        assert zones[placed.upstream] == C


def run_mix(zones, *, is_judged, front_zone):
    """Place a mix of prompts; return all placements."""
    scheduler = EngineScheduler()
    if is_judged:
        found = {
            build_zone_path(one, other): HEALTHY if one == other else LOSSY
            for one in ZONES
            for other in ZONES
        }
        scheduler.paths = judge(found)
    fleet = build_fleet(24, zones)
    chooser = random.Random(7)
    placed = []
    for number in range(300):
        now = 0.05 * number
        zone = chooser.choice(ZONES) if front_zone == "any" else front_zone
        if number % 5:
            work = build_quick(number, availability_zone=zone)
        else:
            size = chooser.choice([45_000, 210_000])
            work = build_work(number, size, availability_zone=zone)
        placed.append(scheduler.place(work, fleet, PROFILE, now))
        if number >= 40:
            ended = placed[number - 40]
            if isinstance(ended, Placement):
                job = build_quick(number - 40).job
                scheduler.record_stage(JobStage(job, is_ended=True), now)
    return placed


def test_work_without_a_zone_is_placed_as_before():
    before = run_mix(ZONES, is_judged=False, front_zone=None)
    assert run_mix(ZONES, is_judged=True, front_zone=None) == before


def test_deployment_with_one_zone_places_as_before():
    before = run_mix([A], is_judged=False, front_zone=None)
    assert run_mix([A], is_judged=False, front_zone=A) == before
    assert run_mix([A], is_judged=True, front_zone=A) == before


def test_own_zone_is_preferred_between_equals_without_more_replicas():
    def count_used(placed):
        return len({one.upstream for one in placed if isinstance(one, Placement)})

    fleet = build_fleet(30)
    zones = {one.upstream: one.availability_zone for one in fleet}
    used, near = [], []
    for has_zone in (False, True):
        scheduler = EngineScheduler()
        placed = []
        for number in range(100):
            zone = ZONES[number % 3]
            work = build_quick(number, availability_zone=zone if has_zone else None)
            placed.append(scheduler.place(work, fleet, PROFILE, 0.1 * number))
            scheduler.record_stage(JobStage(work.job, is_ended=False), 0.1 * number)
        used.append(count_used(placed))
        near.append(
            sum(zones[one.upstream] == ZONES[n % 3] for n, one in enumerate(placed))
        )
    assert used[1] == used[0]
    assert near[1] > near[0]


def test_service_balancer_avoids_degraded_paths_while_there_is_room():
    balancer = ServiceBalancer()
    near, far = build_fleet(2, [A, C])
    chooser = random.Random(1)

    def choose(avoided):
        return balancer.choose([near, far], set(), A, chooser, 0.0, frozenset(avoided))

    assert choose([A]) == far
    for _ in range(6):
        balancer.record_sent(far.upstream)
    assert choose([A]) == near
