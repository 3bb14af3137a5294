"""``scalebend measure-placement``: compares placement strategies in virtual time."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from pathlib import Path

import msgspec

from scalebend.commands.scenario_file import read_scenario
from scalebend.edges.logs import configure_logs
from scalebend.measuring.placement_results import Decider, Result
from scalebend.measuring.placement_run import PlacementRun
from scalebend.measuring.placement_scenario import PlacementScenario
from scalebend.measuring.placement_table import build_figures, format_table
from scalebend.models.settings import LogFormat, Logging


def run(
    *, scenario: Path, seed: int, seeds: int, deciders: list[str], as_json: bool
) -> int:
    """Run the scenario with each decider and print the outcomes for callers."""
    loaded_scenario = read_scenario(scenario, PlacementScenario)
    if loaded_scenario is None:
        return 2
    known = [decider.value for decider in Decider]
    if any(name not in known for name in deciders):
        print(f"--decider: expected one of {', '.join(known)}", file=sys.stderr)
        return 2
    chosen = [Decider(name) for name in deciders] or list(Decider)
    numbers = range(seed, seed + seeds)
    with ProcessPoolExecutor() as pool:
        figures = [
            build_figures(
                chosen_decider,
                list(
                    pool.map(
                        partial(_run_seed, loaded_scenario, chosen_decider), numbers
                    )
                ),
            )
            for chosen_decider in chosen
        ]
    text = msgspec.json.format(msgspec.json.encode(figures)).decode()
    print(text if as_json else format_table(figures))
    return 0


def _run_seed(scenario: PlacementScenario, decider: Decider, seed: int) -> list[Result]:
    configure_logs(Logging(LogFormat.JSON, "critical"))
    return PlacementRun(scenario, decider, seed).run()
