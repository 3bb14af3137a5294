"""The leader's queue against asking again at an interval, in virtual time.

- short-of-room: four and a half times the quick and six times the long prompts for some
  seconds: slots, memory and idle replicas are short together.
- usual-mix, mix-flips, engines-lost: room for all, or nearly; nobody may lose by the
  queue there.
"""

from functools import cache
from pathlib import Path

import msgspec
import pytest
import structlog

from scalebend.measuring.placement_results import Decider
from scalebend.measuring.placement_run import PlacementRun
from scalebend.measuring.placement_scenario import PlacementScenario, plan_arrivals
from scalebend.measuring.placement_table import build_figures
from tests.lib.queued_run import QueuedRun

SCENARIOS = Path(__file__).parents[3] / "examples" / "placement"
SEEDS = (1, 2)

NOISE = 0.03
"""Difference of worth that says nothing."""


@pytest.fixture(autouse=True)
def drop_log_lines():
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@cache
def run_all(name, *, has_queue):
    data = (SCENARIOS / f"{name}.json").read_bytes()
    scenario = msgspec.json.decode(data, type=PlacementScenario)
    if has_queue:
        return scenario, [QueuedRun(scenario, seed).run() for seed in SEEDS]
    runs = [PlacementRun(scenario, Decider.LEADER, seed).run() for seed in SEEDS]
    return scenario, runs


def measure(name, *, has_queue):
    _, runs = run_all(name, has_queue=has_queue)
    return build_figures(Decider.LEADER, runs)


def find_kind(figures, name):
    return next(kind for kind in figures.kinds if kind.kind == name)


def count_lost(name, kind, *, has_queue):
    _, runs = run_all(name, has_queue=has_queue)
    return sum(
        not result.is_complete and not result.has_disconnected
        for run in runs
        for result in run
        if result.arrival.kind.name == kind
    )


def test_callers_get_more_from_too_little_room():
    standing = measure("short-of-room", has_queue=False)
    queue = measure("short-of-room", has_queue=True)
    assert queue.worth > standing.worth
    assert queue.worst_windows > standing.worst_windows
    lost = count_lost("short-of-room", "long", has_queue=False)
    assert count_lost("short-of-room", "long", has_queue=True) <= lost / 2


def test_long_prompts_do_not_take_the_room_of_quick_ones():
    standing = find_kind(measure("short-of-room", has_queue=False), "short")
    queue = find_kind(measure("short-of-room", has_queue=True), "short")
    assert queue.worth > standing.worth - NOISE
    assert queue.in_time > standing.in_time - NOISE


@pytest.mark.parametrize("name", ["usual-mix", "mix-flips", "engines-lost"])
def test_no_kind_loses_by_the_queue_while_there_is_nearly_room(name):
    standing = measure(name, has_queue=False)
    queue = measure(name, has_queue=True)
    for kind in standing.kinds:
        assert find_kind(queue, kind.kind).worth > kind.worth - 0.01


@pytest.mark.parametrize("name", ["short-of-room", "engines-lost"])
def test_every_request_has_one_result_in_time(name):
    scenario, runs = run_all(name, has_queue=True)
    for seed, results in zip(SEEDS, runs, strict=True):
        assert len(results) == len(plan_arrivals(scenario, seed))
        for result in results:
            assert (
                result.is_complete
                or result.rejections
                or result.wasted_wait_s
                or result.has_disconnected
            )
            assert result.wasted_wait_s < result.arrival.kind.deadline
