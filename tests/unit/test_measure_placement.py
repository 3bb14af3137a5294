"""The command that compares placement policies, and its engine model."""

import json
from pathlib import Path

import msgspec
import pytest

from scalebend.commands import measure_placement
from scalebend.measuring.batch_engine import BatchEngine, DecodeWork, PrefillWork
from scalebend.measuring.placement_results import Decider, Result
from scalebend.measuring.placement_run import PlacementRun
from scalebend.measuring.placement_scenario import PlacementScenario, plan_arrivals

FOLDER = Path(__file__).parents[2] / "examples" / "placement"
SCENARIO = msgspec.json.decode(
    (FOLDER / "mix-flips.json").read_bytes(), type=PlacementScenario
)


def run(path, deciders=("leader",), *, as_json=True):
    return measure_placement.run(
        scenario=path, seed=1, seeds=2, deciders=list(deciders), as_json=as_json
    )


@pytest.mark.parametrize("path", sorted(FOLDER.glob("*.json")), ids=lambda p: p.stem)
def test_every_example_is_a_valid_scenario(path):
    scenario = msgspec.json.decode(path.read_bytes(), type=PlacementScenario)
    assert scenario.name == path.stem
    assert plan_arrivals(scenario, 1) == plan_arrivals(scenario, 1)


def test_figures_are_printed_as_json_and_as_a_table(capsys):
    assert run(FOLDER / "mix-flips.json") == 0
    (figures,) = json.loads(capsys.readouterr().out)
    assert figures["decider"] == "leader"
    assert 0.8 < figures["worth"] <= 1.0
    assert run(FOLDER / "mix-flips.json", as_json=False) == 0
    assert "first event p50" in capsys.readouterr().out


def test_errors_name_the_file_and_the_field(tmp_path, capsys):
    path = tmp_path / "bad.json"
    path.write_text('{"name": "x", "length": "long"}')
    assert run(path) == 2
    printed = capsys.readouterr().err
    assert "bad.json" in printed
    assert "$.length" in printed
    assert run(tmp_path / "missing.json") == 2
    assert run(FOLDER / "mix-flips.json", ["oracle"]) == 2


def test_batch_step_prefills_queued_prompts_and_decodes():
    engine = BatchEngine(SCENARIO.engines)
    assert engine.begin_batch_step() is None
    engine.add_prefill(PrefillWork(1, 0.1, 15_000, is_grouped=False), is_lead=True)
    assert engine.begin_batch_step() == pytest.approx(0.1)
    assert engine.end_batch_step().prefilled == [1]
    engine.start_decoding(DecodeWork(1, 15_000, 2))
    engine.add_prefill(PrefillWork(2, 0.2, 30_000, is_grouped=True), is_lead=False)
    # 34 decode steps of 1.31 ms plus the context, and the prefill of the other job.
    assert engine.begin_batch_step() == pytest.approx(0.2 + 34 * 1.343e-3, rel=0.01)
    ended = engine.end_batch_step()
    assert (ended.prefilled, ended.decoded) == ([2], [1])


def test_newest_group_part_is_prefilled_first_and_a_long_one_in_parts():
    engine = BatchEngine(SCENARIO.engines)
    for job in (1, 2):
        prefill = PrefillWork(job, 0.4, 60_000, is_grouped=True)
        engine.add_prefill(prefill, is_lead=False)
    engine.begin_batch_step()
    assert engine.end_batch_step().prefilled == [2]
    engine.begin_batch_step()
    assert engine.end_batch_step().prefilled == [1]


def test_request_without_a_free_slot_is_queued():
    engine = BatchEngine(SCENARIO.engines)
    for job in range(SCENARIO.engines.slots + 1):
        engine.add_prefill(
            PrefillWork(job, 0.01, 1_000, is_grouped=False), is_lead=True
        )
    engine.begin_batch_step()
    assert len(engine.end_batch_step().prefilled) == SCENARIO.engines.slots
    engine.cancel(0)
    engine.begin_batch_step()
    assert engine.end_batch_step().prefilled == [SCENARIO.engines.slots]


def test_crash_loses_all_open_jobs():
    engine = BatchEngine(SCENARIO.engines)
    engine.add_prefill(PrefillWork(1, 0.1, 1_000, is_grouped=False), is_lead=True)
    engine.begin_batch_step()
    engine.add_prefill(PrefillWork(2, 0.1, 1_000, is_grouped=False), is_lead=True)
    engine.start_decoding(DecodeWork(3, 1_000, 5))
    assert engine.crash() == {1, 2, 3}
    assert engine.is_idle
    assert engine.open_jobs == 0


def test_late_and_unserved_requests_reduce_the_worth():
    (arrival,) = [a for a in plan_arrivals(SCENARIO, 1) if a.kind.name == "long"][:1]
    full = arrival.kind.worth * arrival.size_factor
    kind = arrival.kind

    def worth(**fields):
        return Result(arrival, **fields).compute_worth() / full

    on_time = {"first_event": kind.target, "is_complete": True}
    assert worth(**on_time) == 1.0
    late = {"first_event": kind.target + 0.1, "is_complete": True}
    assert worth(**late) == pytest.approx(kind.late_worth / kind.worth)
    assert worth(**on_time, longest_gap=kind.event_gap + 0.1) < 1.0
    assert worth(rejections=1) == 0.0
    assert worth(rejections=2) == pytest.approx(-0.3)
    assert worth(wasted_wait_s=kind.target / 8) == 0.0
    assert (
        worth(wasted_wait_s=1.0)
        > worth(wasted_wait_s=5.0)
        > worth(wasted_wait_s=kind.deadline)
    )
    assert worth(wasted_wait_s=kind.deadline) == pytest.approx(-1.0)


def test_no_decider_beats_the_idle_fleet_bound():
    for decider in (Decider.LEADER, Decider.FEWEST_OPEN):
        bound = PlacementRun(SCENARIO, Decider.IDLE_FLEET, 2).run()
        results = PlacementRun(SCENARIO, decider, 2).run()
        attainable = sum(max(0.0, one.compute_worth()) for one in bound)
        assert sum(one.compute_worth() for one in results) <= attainable
