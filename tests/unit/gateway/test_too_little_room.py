"""Long prompts are not lost while quick ones fill the slots, in virtual time.

The load of ``examples/placement/too-little-room.json``: long prompts three times and
quick ones 2.4 times the usual for six seconds, callers with one retry, a third of whom
return at once and three times. The bounds are the stated target: at most 4 of 73 long
prompts lost, and no more quick or medium ones late than without queue and schedule.
"""

from functools import cache
from pathlib import Path

import msgspec
import pytest
import structlog

from scalebend.measuring.placement_scenario import PlacementScenario
from tests.lib.returning_callers import ReturnRun, StandingRun, count_late, count_lost

SCENARIO = msgspec.json.decode(
    (
        Path(__file__).parents[3] / "examples" / "placement" / "too-little-room.json"
    ).read_bytes(),
    type=PlacementScenario,
)
SEEDS = range(1, 7)
MAX_LOST_SHARE = 4 / 73


@pytest.fixture(autouse=True, scope="module")
def drop_log_lines():
    """Drop log lines, of which there are thousands."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@cache
def run(seed, run_type):
    return run_type(SCENARIO, seed).run()


def count_long(results):
    return sum(result.arrival.kind.name == "long" for result in results)


@pytest.mark.parametrize("seed", SEEDS)
def test_few_long_prompts_are_lost(seed):
    results = run(seed, ReturnRun)
    assert count_lost(results)["long"] <= MAX_LOST_SHARE * count_long(results)
    standing = run(seed, StandingRun)
    assert count_lost(standing)["long"] > MAX_LOST_SHARE * count_long(standing)


@pytest.mark.parametrize("kind", ["quick", "medium"])
@pytest.mark.parametrize("seed", SEEDS)
def test_no_more_prompts_are_late_than_without_a_schedule(seed, kind):
    with_schedule, without = (
        count_late(run(seed, one))[kind] for one in (ReturnRun, StandingRun)
    )
    assert with_schedule <= without


@pytest.mark.parametrize("seed", SEEDS)
def test_no_quick_prompt_is_lost(seed):
    assert not count_lost(run(seed, ReturnRun))["quick"]


@pytest.mark.parametrize("seed", SEEDS)
def test_more_is_earned_than_without_a_schedule(seed):
    with_schedule, without = (
        sum(result.compute_worth() for result in run(seed, one))
        for one in (ReturnRun, StandingRun)
    )
    assert with_schedule > without
