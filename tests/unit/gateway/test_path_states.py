"""States of paths: when they are degraded, tried and healthy again."""

import math
import random
from itertools import combinations_with_replacement

import pytest

from scalebend.core.gateway.path_evidence import FrontPaths, LeaderPaths
from scalebend.core.gateway.path_health import (
    EVIDENCE_DECAY_S,
    FIRST_DEGRADED_S,
    LONE_FRONT_S,
    MAX_DEGRADED_S,
    MAX_TRIAL_S,
    MIN_LOSS_RATE,
    MIN_TRIED,
    TRIAL_S,
)
from scalebend.models.ids import InstanceId
from scalebend.models.paths import (
    PathEvidence,
    PathReport,
    PathState,
    PathSum,
    build_zone_path,
)
from tests.lib.gateway_builders import (
    build_quick,
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
    judge,
)


def test_path_with_losses_is_degraded_and_others_are_not():
    health = judge({BAD: LOSSY, OWN: HEALTHY})
    assert health.get_state(BAD) is PathState.DEGRADED
    assert health.get_state(OWN) is PathState.HEALTHY
    assert health.list_avoided(C) == {A}
    assert health.list_avoided(A) == {C}
    assert health.list_avoided(B) == frozenset()
    assert health.list_avoided(None) == frozenset()


@pytest.mark.parametrize(
    "found",
    [
        PathSum(200.0, 2.0, 2),
        PathSum(200.0, 5.0, 1),
        PathSum(2000.0, 2000.0 * 0.99 * MIN_LOSS_RATE, 3),
    ],
    ids=["few losses", "one front", "small share"],
)
def test_little_evidence_changes_nothing(found):
    assert not judge({BAD: found, OWN: HEALTHY}).has_judged


def test_share_that_makes_too_many_streams_late_is_degraded():
    events = 36
    lost = 2000.0 * 1.01 * MIN_LOSS_RATE
    health = judge({BAD: PathSum(2000.0, lost, 3), OWN: HEALTHY})
    assert health.get_state(BAD) is PathState.DEGRADED
    assert 1 - (1 - lost / 2000.0) ** events == pytest.approx(8 / 69, rel=0.02)


def test_many_losses_at_one_front_suffice_after_a_while():
    sums = {BAD: PathSum(200.0, 9.0, 1), OWN: HEALTHY}
    health = judge(sums)
    health.update(sums, 0.9 * LONE_FRONT_S)
    assert not health.has_judged
    health.update(sums, LONE_FRONT_S)
    assert health.get_state(BAD) is PathState.DEGRADED


def test_many_losses_at_one_front_must_go_on():
    sums = {BAD: PathSum(200.0, 9.0, 1), OWN: HEALTHY}
    health = judge(sums)
    health.update({BAD: PathSum(200.0, 7.0, 1), OWN: HEALTHY}, 0.5)
    for step in range(10):
        health.update(sums, 0.6 + 0.09 * step)
    assert not health.has_judged


def build_stalled_report(number, used):
    """A front of C that stalled; ``used`` are zones of its streams."""
    paths = FrontPaths(C, 0.0)
    for zone in used:
        paths.record(zone, 100, 0, 0.0)
        for stream in range(10):
            paths.record(zone, 1, 1, 0.1 + 0.001 * stream)
    return InstanceId(f"front-{number}"), paths.build_report(0.2), 0.2


@pytest.mark.parametrize("used", [[A], [A, C], [A, B, C]])
def test_stalled_front_degrades_no_path(used):
    paths = LeaderPaths()
    paths.record(*build_stalled_report(0, used))
    for number in range(1, 12):
        front = FrontPaths(ZONES[number % 3], 0.0)
        front.record(A, 100, 0, 0.0)
        front.record(C, 100, 0, 0.0)
        paths.record(InstanceId(f"front-{number}"), front.build_report(0.2), 0.2)
    for step in range(20):
        paths.advance(0.25 + 0.1 * step)
        assert not paths.health.has_judged


def test_fronts_that_lose_on_all_their_paths_do_not_count():
    # The sums hide it: other fronts use only the healthy path within the zone.
    paths = LeaderPaths()
    for number in range(3):
        evidence = [PathEvidence(zone, 100.0, 4.0) for zone in ZONES]
        report = PathReport(C, evidence)
        paths.record(InstanceId(f"lossy-{number}"), report, 0.0)
    for number in range(9):
        report = PathReport(C, [PathEvidence(C, 1000.0, 0.0)])
        paths.record(InstanceId(f"healthy-{number}"), report, 0.0)
    paths.advance(0.1)
    assert not paths.health.has_judged


def test_losses_on_all_paths_of_a_zone_s_fronts_degrade_none():
    # Those of zone C lose packets by themselves; the others reach A without losses.
    sums = {BAD: LOSSY, OWN: LOSSY, build_zone_path(C, B): LOSSY}
    assert not judge(sums | {build_zone_path(A, A): HEALTHY}).has_judged
    assert not judge({BAD: LOSSY, OWN: LOSSY, build_zone_path(C, B): LOSSY}).has_judged


def test_unused_own_zone_counts_as_healthy():
    sums = {BAD: LOSSY, build_zone_path(C, B): LOSSY, build_zone_path(A, A): HEALTHY}
    health = judge(sums | {build_zone_path(B, B): HEALTHY})
    assert health.list_avoided(C) == {A, B}


def test_path_returns_by_use_and_stays_degraded_longer_each_time():
    health = judge({BAD: LOSSY, OWN: HEALTHY})
    clean = {BAD: HEALTHY, OWN: HEALTHY}
    now, durations = 0.0, []
    for _ in range(4):
        began = now
        while health.get_state(BAD) is PathState.DEGRADED:
            now += 0.1
            health.update(clean, now)
        durations.append(now - began)
        assert health.get_state(BAD) is PathState.TRIAL
        health.update({BAD: LOSSY, OWN: HEALTHY}, now)
        assert health.get_state(BAD) is PathState.DEGRADED
    expected = [FIRST_DEGRADED_S, 2 * FIRST_DEGRADED_S, MAX_DEGRADED_S, MAX_DEGRADED_S]
    assert durations == pytest.approx(expected, abs=0.11)


def test_trial_uses_the_path_for_a_small_share_and_ends_by_itself():
    health = judge({BAD: LOSSY, OWN: HEALTHY})
    health.update({}, FIRST_DEGRADED_S + 0.01)
    assert health.get_state(BAD) is PathState.TRIAL
    jobs = [build_quick(number).job for number in range(800)]
    tried = sum(not health.list_avoided(C, job) for job in jobs)
    assert 0.05 < tried / len(jobs) < 0.25
    health.update({}, FIRST_DEGRADED_S + TRIAL_S + 0.02)
    assert health.get_state(BAD) is PathState.TRIAL
    health.update({}, FIRST_DEGRADED_S + MAX_TRIAL_S + 0.02)
    assert health.get_state(BAD) is PathState.HEALTHY
    assert health.list_avoided(C) == frozenset()


@pytest.mark.parametrize("lost", [0.0, 1.0])
def test_trial_ends_by_use(lost):
    health = judge({BAD: LOSSY, OWN: HEALTHY})
    began = FIRST_DEGRADED_S + 0.01
    health.update({BAD: PathSum(), OWN: HEALTHY}, began)
    used = PathSum(MIN_TRIED, lost, 1)
    health.update({BAD: used, OWN: HEALTHY}, began + TRIAL_S)
    expected = PathState.DEGRADED if lost else PathState.HEALTHY
    assert health.get_state(BAD) is expected


@pytest.mark.parametrize(("lost", "is_back"), [(2.0, True), (9.0, False)])
def test_trial_fails_by_more_than_is_lost_on_other_paths(lost, is_back):
    health = judge({BAD: LOSSY, OWN: HEALTHY})
    usual = {OWN: PathSum(400.0, 8.0, 3), build_zone_path(A, A): PathSum(400.0, 8.0, 3)}
    began = FIRST_DEGRADED_S + 0.01
    health.update({BAD: PathSum()} | usual, began)
    health.update({BAD: PathSum(0.4 * MIN_TRIED, 0.4 * lost, 3)} | usual, began + 0.5)
    used = PathSum(MIN_TRIED, lost, 3)
    health.update({BAD: used} | usual, began + TRIAL_S)
    expected = PathState.HEALTHY if is_back else PathState.DEGRADED
    assert health.get_state(BAD) is expected


@pytest.mark.parametrize("rate", [0.01, 0.02, 0.03])
def test_path_is_mostly_healthy_though_all_paths_lose_alike(rate):
    chooser = random.Random(5)
    paths = [build_zone_path(*pair) for pair in combinations_with_replacement(ZONES, 2)]
    sums = {path: PathSum(400.0, 0.0, 3) for path in paths}
    sums[BAD] = PathSum(400.0, 20.0, 3)
    health = judge(sums)
    uses = {PathState.HEALTHY: 20, PathState.TRIAL: 3, PathState.DEGRADED: 0}
    decay = math.exp(-0.1 / EVIDENCE_DECAY_S)
    steps, healthy = 6000, 0
    for step in range(steps):
        for path in paths:
            used = uses[health.get_state(path)]
            lost = sum(chooser.random() < rate for _ in range(used))
            before = sums[path]
            sums[path] = PathSum(
                decay * before.observed + used, decay * before.lost + lost, 3
            )
        health.update(sums, 0.1 * (step + 1))
        healthy += health.get_state(BAD) is PathState.HEALTHY
    assert healthy > steps / 2


@pytest.mark.parametrize("rate", [0.01, 0.02, 0.03])
def test_path_returns_that_loses_no_more_than_others(rate):
    chooser = random.Random(5)
    paths = [build_zone_path(*pair) for pair in combinations_with_replacement(ZONES, 2)]
    sums = {path: PathSum(400.0, 0.0, 3) for path in paths}
    sums[BAD] = PathSum(400.0, 20.0, 3)
    health = judge(sums)
    assert health.get_state(BAD) is PathState.DEGRADED
    steps, healthy = 3000, 0
    uses = {PathState.HEALTHY: 20, PathState.TRIAL: 3, PathState.DEGRADED: 0}
    for step in range(steps):
        for path in paths:
            used = 20 if path != BAD else uses[health.get_state(BAD)]
            lost = sum(chooser.random() < rate for _ in range(used))
            decay = math.exp(-0.1 / EVIDENCE_DECAY_S)
            before = sums[path]
            sums[path] = PathSum(
                decay * before.observed + used, decay * before.lost + lost, 3
            )
        health.update(sums, 0.1 * (step + 1))
        healthy += health.get_state(BAD) is PathState.HEALTHY
    assert healthy > steps / 2
