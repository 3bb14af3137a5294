"""Long prompts are not lost while quick ones fill the slots, in virtual time.

The load of ``examples/placement/too-little-room.json``: long prompts three times and
quick ones 2.4 times the usual for six seconds, callers with one retry, a third of whom
return at once and three times. The bounds are the stated target: at most 4 of 73 long
prompts lost, and no more quick ones late than without a schedule.
"""

from functools import cache
from pathlib import Path

import msgspec
import pytest
import structlog

from scalebend.measuring.placement_scenario import PlacementScenario
from tests.lib.returning_callers import ReturnRun, count_late, count_lost

SCENARIO = msgspec.json.decode(
    (
        Path(__file__).parents[3] / "examples" / "placement" / "too-little-room.json"
    ).read_bytes(),
    type=PlacementScenario,
)
SEEDS = range(1, 5)
MAX_LOST_SHARE = 4 / 73


@pytest.fixture(autouse=True, scope="module")
def drop_log_lines():
    """Drop log lines, of which there are thousands."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@cache
def run(seed, customers):
    return ReturnRun(SCENARIO, seed, customers=customers).run()


def count_long(results):
    return sum(result.arrival.kind.name == "long" for result in results)


@pytest.mark.parametrize("seed", SEEDS)
def test_few_long_prompts_are_lost(seed):
    results = run(seed, 2)
    assert count_lost(results)["long"] <= MAX_LOST_SHARE * count_long(results)
    assert count_lost(run(seed, 0))["long"] > MAX_LOST_SHARE * count_long(results)


def test_no_more_quick_prompts_are_late_than_without_a_schedule():
    late = [sum(count_late(run(s, n))["quick"] for s in SEEDS) for n in (0, 2)]
    assert late[1] <= late[0]


def test_no_quick_prompt_is_lost():
    assert not any(count_lost(run(seed, 2))["quick"] for seed in SEEDS)


def test_more_is_earned_than_without_a_schedule():
    for seed in SEEDS:
        with_schedule, without = (
            sum(result.compute_worth() for result in run(seed, n)) for n in (2, 0)
        )
        assert with_schedule > without
