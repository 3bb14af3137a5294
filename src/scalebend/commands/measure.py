"""``scalebend measure``: compares policies on the same seeded load."""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterable
from pathlib import Path

import msgspec

from scalebend.commands.scenario_file import read_scenario
from scalebend.core.queueing import STRATEGIES
from scalebend.edges.logs import configure_logs
from scalebend.measuring.harness import Harness
from scalebend.measuring.results import Figures, build_figures
from scalebend.measuring.scenario import Scenario, plan_load
from scalebend.models.settings import LogFormat, Logging


def run(
    *,
    scenario: Path,
    seed: int,
    seeds: int,
    out: Path | None,
    policies: list[str],
    as_json: bool,
) -> int:
    """Measure a scenario; return 1 if a promise was broken."""
    loaded_scenario = read_scenario(scenario, Scenario)
    if loaded_scenario is None:
        return 2
    unknown = [policy for policy in policies if policy not in STRATEGIES]
    if unknown:
        print(f"--policy: expected one of {', '.join(STRATEGIES)}", file=sys.stderr)
        return 2
    configure_logs(Logging(LogFormat.CONSOLE, "critical"))
    figures = _run_all(
        loaded_scenario, policies or list(STRATEGIES), range(seed, seed + seeds)
    )
    text = "" if as_json else build_table(figures)
    data = msgspec.json.format(msgspec.json.encode(figures), indent=1)
    print(data.decode() if as_json else text)
    if out is not None:
        _write_results(out, loaded_scenario, figures, data)
    return 1 if any(item.count_broken_promises() for item in figures) else 0


def _run_all(scenario: Scenario, policies: list[str], seeds: range) -> list[Figures]:
    figures = []
    for policy in policies:
        for seed in seeds:
            result = Harness(scenario, policy, seed).run(plan_load(scenario, seed))
            figures.append(build_figures(scenario, policy, seed, result))
            print(f"[measure] {scenario.name} {policy} {seed}", file=sys.stderr)
    return figures


def build_table(figures: list[Figures]) -> str:
    """Return a text table with a row per policy and band: medians over the seeds."""
    lines = [
        f"scenario {figures[0].scenario}, seeds "
        f"{', '.join(str(s) for s in sorted({f.seed for f in figures}))}, medians",
        "policy      band          requests failed first p50  p95     idle p95 "
        "ratio  slowdown p50 p95",
    ]
    policies = list(dict.fromkeys(item.policy for item in figures))
    for policy in policies:
        runs = [item for item in figures if item.policy == policy]
        for number in range(len(runs[0].bands)):
            bands = [item.bands[number] for item in runs]
            lines.append(
                f"{policy:<11} {bands[0].band:<13} "
                f"{_median(b.requests for b in bands):<8.0f} "
                f"{_median(b.failed for b in bands):<6.0f} "
                f"{_median(b.first_token_p50 for b in bands):<10.3f} "
                f"{_median(b.first_token_p95 for b in bands):<7.3f} "
                f"{_median(b.first_token_idle_p95 for b in bands):<8.3f} "
                f"{_median(b.first_token_ratio for b in bands):<6.2f} "
                f"{_median(b.slowdown_p50 for b in bands):<12.2f} "
                f"{_median(b.slowdown_p95 for b in bands):.2f}"
            )
    for policy in policies:
        runs = [item for item in figures if item.policy == policy]
        failed = sum(sum(item.failed.values()) for item in runs)
        lines.append(
            f"{policy:<11} long tokens/s "
            f"{_median(item.long_tokens_per_second for item in runs):,.0f}; work/s "
            f"{_median(item.work_per_second for item in runs):.2f}; failed {failed}; "
            f"broken promises {sum(item.count_broken_promises() for item in runs)}"
        )
        for item in runs:
            if item.count_broken_promises():
                lines.append(f"  seed {item.seed}: {_format_broken_promises(item)}")
        shares = [
            f"{share.customer} {share.used:.3f}/{share.entitled:.3f}"
            for share in runs[0].shares
        ]
        listed = ", ".join(shares)
        lines.append(f"  shares used/entitled (seed {runs[0].seed}): {listed}")
    return "\n".join(lines)


def _format_broken_promises(item: Figures) -> str:
    return (
        f"past limit {item.past_time_limit}, memory left {item.memory_left}, "
        f"overfilled {item.overfilled}, wrong not-run {item.wrong_not_run}, "
        f"run twice {item.run_twice}, wrong answers {item.wrong_answers}, "
        f"late to leaving {item.late_starts_on_draining}"
    )


def _median(values: Iterable[float]) -> float:
    return statistics.median(values)


def _write_results(
    out: Path, scenario: Scenario, figures: list[Figures], data: bytes
) -> None:
    out.mkdir(parents=True, exist_ok=True)
    (out / f"{scenario.name}.json").write_bytes(data)
    (out / f"{scenario.name}.txt").write_text(build_table(figures) + "\n")
    try:
        from scalebend.measuring.plots import draw_plots
    except ImportError:
        print("plots need the extra 'measure'", file=sys.stderr)
        return
    draw_plots(out, scenario.name, figures)
