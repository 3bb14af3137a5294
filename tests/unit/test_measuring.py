"""Measurements are reproducible and detect broken promises."""

import json

import pytest

from scalebend.commands import measure
from scalebend.core.owner import ReplicaOwner
from scalebend.measuring.harness import Harness
from scalebend.measuring.results import build_figures, compute_idle_times
from scalebend.measuring.scenario import (
    Fault,
    FaultKind,
    LoadCustomer,
    Scenario,
    plan_load,
)
from scalebend.standins.engine_model import EngineParameters

SCENARIO = Scenario(
    "small",
    [LoadCustomer("a"), LoadCustomer("b", weight=2.0)],
    instances=4,
    engines=6,
    services=1,
    duration=8.0,
    warm_up=0.0,
    order_rate=1.0,
    shared_prefixes=0.3,
    time_limit=20.0,
    faults=[
        Fault(FaultKind.ENGINES_LOST, at=3.0, back_after=3.0),
        Fault(FaultKind.CANCELLATIONS_LOST, at=1.0, rate=0.5),
        Fault(FaultKind.MESSAGES_LOST, at=2.0, rate=0.05, back_after=4.0),
        Fault(FaultKind.LINKS_LOST, at=5.0, rate=0.5),
        Fault(FaultKind.INSTANCE_LOST, at=4.0),
    ],
)


def run(seed, policy="split-fair"):
    result = Harness(SCENARIO, policy, seed).run(plan_load(SCENARIO, seed))
    return build_figures(SCENARIO, policy, seed, result)


def test_seed_determines_the_figures():
    assert run(1) == run(1)
    assert run(1) != run(2)


@pytest.mark.parametrize("policy", ["first-come", "lanes", "fair", "smallest"])
def test_no_promise_is_broken_under_all_faults_at_once(policy):
    for figures in (run(3, policy), run(3)):
        assert figures.requests > 20
        assert figures.count_broken_promises() == 0


def test_overfilled_engines_are_detected(monkeypatch):
    monkeypatch.setattr(ReplicaOwner, "_fits_memory", lambda self, work: True)
    monkeypatch.setattr(ReplicaOwner, "_fits_window", lambda self, work, now: True)
    tight = EngineParameters(memory_tokens=100_000)
    scenario = Scenario(
        "tight",
        [LoadCustomer("a", mix={"large": 1.0})],
        instances=3,
        engines=4,
        duration=6.0,
        warm_up=0.0,
        load=4.0,
        parameters=tight,
    )
    result = Harness(scenario, "fair", 1).run(plan_load(scenario, 1))
    assert build_figures(scenario, "fair", 1, result).overfilled > 0


def test_idle_times_match_the_engine_model():
    parameters = EngineParameters()
    idle = compute_idle_times(2_048, 1, parameters)
    chunks = 2_048 / parameters.prefill_rate + 2 * 0.002
    assert idle.first_token == pytest.approx(chunks + 0.004)
    assert compute_idle_times(2_048, 101, parameters).duration == pytest.approx(
        idle.first_token + 100 * 0.0201
    )


def test_command_rejects_invalid_scenarios_and_unknown_policies(tmp_path, capsys):
    options = {"seed": 1, "seeds": 1, "out": None, "as_json": False}
    path = tmp_path / "scenario.json"
    assert measure.run(scenario=path, policies=[], **options) == 2
    path.write_text(json.dumps({"name": "x", "customers": [], "colour": 1}))
    assert measure.run(scenario=path, policies=[], **options) == 2
    path.write_text(json.dumps({"name": "x", "customers": []}))
    assert measure.run(scenario=path, policies=["best"], **options) == 2
    assert "expected one of" in capsys.readouterr().err
