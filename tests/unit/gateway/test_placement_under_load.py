"""Placement under overload, lost fronts and lost engines, in virtual time.

Each scenario of ``examples/placement`` guards one mechanism; its bound fails when the
mechanism is lost:

- mix-flips: bursts of quick, then of long prompts; prefill groups start as early as
  possible and are placed again while queued.
- fronts-cut: fronts without a leader count the jobs that replicas report.
- leader-lost, many-fronts-leader-lost: uncoordinated fronts spread their jobs.
- shifted-work: other engines and prompts, at more than the planned load.
- engines-lost: work of crashed engines is placed anew.
- rush-after-restart: all fronts return at once, and the leader places fast enough.
"""

from functools import cache
from pathlib import Path

import msgspec
import pytest

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.placement_aging import (
    REPLAN_INTERVAL_S,
    age_placement,
    age_work,
)
from scalebend.measuring.placement_results import Decider
from scalebend.measuring.placement_run import PlacementRun
from scalebend.measuring.placement_scenario import (
    LeaderLoss,
    PlacementScenario,
    plan_arrivals,
)
from scalebend.measuring.placement_table import build_figures
from scalebend.models.placement import Declined, JobStage, Placement
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_work,
)

SCENARIOS = Path(__file__).parents[3] / "examples" / "placement"
SEEDS = range(1, 9)
ENDPOINTS = [build_endpoint(number) for number in range(1, 19)]


def read_scenario(name):
    data = (SCENARIOS / f"{name}.json").read_bytes()
    return msgspec.json.decode(data, type=PlacementScenario)


@cache
def measure(name, decider=Decider.LEADER, seeds=SEEDS):
    scenario = read_scenario(name)
    runs = [PlacementRun(scenario, decider, seed).run() for seed in seeds]
    return build_figures(decider, runs)


def find_kind(figures, name):
    return next(kind for kind in figures.kinds if kind.kind == name)


def place(scheduler, work, now=0.0, endpoints=ENDPOINTS):
    return scheduler.place(work, endpoints, PROFILE, now)


def test_every_kind_is_on_time_while_the_mix_changes():
    figures = measure("mix-flips")
    assert figures.worth > 0.955
    assert find_kind(figures, "quick").in_time > 0.99
    assert find_kind(figures, "review").in_time > 0.98
    assert find_kind(figures, "long").in_time > 0.93


def test_other_work_is_served_beyond_the_planned_load():
    figures = measure("shifted-work", seeds=range(1, 4))
    assert figures.worth > 0.95
    assert find_kind(figures, "short").in_time > 0.95
    assert find_kind(figures, "long").worth > 0.90


def test_leader_beats_the_baselines_and_stays_below_the_bound():
    leader = measure("mix-flips").worth
    assert leader > measure("mix-flips", Decider.FEWEST_OPEN).worth + 0.1
    assert leader > measure("mix-flips", Decider.RANDOM).worth + 0.1
    assert leader <= measure("mix-flips", Decider.IDLE_FLEET).worth


def test_disconnected_fronts_do_not_overfill_replicas_of_others():
    figures = measure("fronts-cut")
    assert figures.worth > 0.895
    assert find_kind(figures, "quick").in_time > 0.89


def test_quick_prompts_are_on_time_while_the_leader_is_lost():
    figures = measure("leader-lost")
    assert figures.worth > 0.93
    assert find_kind(figures, "quick").in_time > 0.955


def test_many_uncoordinated_fronts_spread_over_replicas():
    figures = measure("many-fronts-leader-lost", seeds=(1, 2))
    assert figures.worth > 0.94
    assert find_kind(figures, "quick").in_time > 0.9


def test_work_of_crashed_engines_is_placed_elsewhere():
    figures = measure("engines-lost")
    assert figures.worth > 0.90
    assert find_kind(figures, "quick").in_time > 0.93


def run_rush(choice_time):
    scenario = msgspec.structs.replace(
        read_scenario("rush-after-restart"), choice_time=choice_time
    )
    run = PlacementRun(scenario, Decider.LEADER, 1)
    results = run.run()
    (restart,) = scenario.restarts
    ready_at = restart.at + restart.length + restart.ready_within
    on_time = [
        result.is_on_time
        for result in results
        if result.arrival.kind.name == "quick"
        and ready_at <= result.arrival.at < ready_at + 2.0
    ]
    return run.uncoordinated_choices / run.choices, sum(on_time) / len(on_time)


def test_fronts_place_uncoordinated_if_the_leader_is_slow():
    uncoordinated_share, _ = run_rush(0.0011)
    assert uncoordinated_share > 0.05


def test_rush_after_a_restart_of_all_fronts_is_placed_by_the_leader():
    uncoordinated_share, in_time = run_rush(0.0001)
    assert uncoordinated_share == 0.0
    assert in_time > 0.99


@pytest.mark.parametrize(("cells", "lost"), [(1, None), (3, 1)])
def test_leader_loss_affects_only_its_own_cell(cells, lost):
    scenario = msgspec.structs.replace(
        read_scenario("rush-after-restart"),
        cells=cells,
        restarts=[],
        leader_losses=[LeaderLoss(3.0, 1.5, lost)],
    )
    run = PlacementRun(scenario, Decider.LEADER, 1)
    results = run.run()
    assert all(result.is_complete for result in results)
    assert (run.uncoordinated_choices > 0) == (lost is None)


@pytest.mark.parametrize("name", ["mix-flips", "engines-lost", "fronts-cut"])
def test_every_request_has_one_result(name):
    scenario = read_scenario(name)
    results = PlacementRun(scenario, Decider.LEADER, 1).run()
    assert len(results) == len(plan_arrivals(scenario, 1))
    for result in results:
        assert (
            result.is_complete
            or result.rejections
            or result.wasted_wait_s
            or result.has_disconnected
        )


def test_same_seed_gives_the_same_results():
    scenario = read_scenario("engines-lost")
    runs = [PlacementRun(scenario, Decider.LEADER, 3).run() for _ in range(2)]
    assert runs[0] == runs[1]


# A prefill group that waits must not block idle replicas for later prompts


def build_waiting_group():
    """Build one busy replica of four, and prefill groups that wait for it."""
    scheduler = EngineScheduler()
    four = ENDPOINTS[:4]
    place(scheduler, build_work("first", 100_000, target=9.0), endpoints=four[:1])
    for number in range(2):
        wide = build_work(f"wide-{number}", 260_000, target=9.0)
        waiting = place(scheduler, wide, endpoints=four)
    assert waiting.start_in > 0.5
    return scheduler, four, wide, waiting


def test_prompt_is_prefilled_before_queued_parts():
    scheduler, four, _, waiting = build_waiting_group()
    short = build_work("short", 30_000, target=1.5, event_gap=0.5)
    backfilled = place(scheduler, short, endpoints=four)
    assert backfilled.first_token_in < waiting.start_in


def test_backfilled_prompt_does_not_delay_queued_parts():
    scheduler, four, wide, waiting = build_waiting_group()
    short = build_work("short", 30_000, target=1.5, event_gap=0.5)
    place(scheduler, short, endpoints=four)
    again = place(scheduler, wide, now=0.001, endpoints=four)
    assert again.start_in <= waiting.start_in + 0.05


# Queued prompts are placed again: earlier work may end early


def test_replaced_prompt_starts_when_others_end_early():
    scheduler, four, wide, waiting = build_waiting_group()
    for name in ("first", "wide-0"):
        job = build_work(name, 1).job
        scheduler.record_stage(JobStage(job, is_ended=True), 0.1)
    sooner = place(scheduler, age_work(wide, 0.1), now=0.1, endpoints=four)
    assert sooner.start_in < 0.1
    assert scheduler.open_jobs == 1


def test_queued_prompt_without_a_new_placement_keeps_its_start():
    _, _, wide, waiting = build_waiting_group()
    kept = age_placement(waiting, REPLAN_INTERVAL_S)
    assert kept.start_in == pytest.approx(waiting.start_in - REPLAN_INTERVAL_S)
    assert kept.upstreams == waiting.upstreams
    assert age_work(wide, 20.0).target == 0.0


# Prompts that cannot be on time


def test_late_prompt_leaves_most_replicas_to_prompts_on_time():
    scheduler = EngineScheduler()
    late = build_work("late", 210_000, target=0.05)
    placement = place(scheduler, late)
    assert isinstance(placement, Placement)
    assert len(placement.upstreams) <= 2
    assert placement.first_token_in <= late.remaining


def test_prompt_that_cannot_end_before_its_deadline_is_declined_at_once():
    scheduler = EngineScheduler()
    hopeless = build_work("hopeless", 900_000, target=3.0, remaining=15.0)
    declined = place(scheduler, hopeless, endpoints=ENDPOINTS[:3])
    assert isinstance(declined, Declined)
    assert declined.retry_after > 0.0


# Replicas with load that was not reported


def test_replica_with_an_overdue_first_token_is_avoided():
    scheduler = EngineScheduler()
    first = place(scheduler, build_quick(1))
    second = place(scheduler, build_quick(2), now=1.0)
    assert second.upstream != first.upstream
    for number in (1, 2):
        stage = JobStage(build_quick(number).job, is_ended=False)
        scheduler.record_stage(stage, 1.0)
    assert place(scheduler, build_quick(3), now=1.1).upstream in (
        first.upstream,
        second.upstream,
    )
