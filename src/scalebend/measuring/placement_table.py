"""The figures of runs of placement: worth, time to first event, refusals, by kind."""

from __future__ import annotations

import math
import statistics

import msgspec

from scalebend.measuring.placement_results import Decider, Result
from scalebend.utils.quantiles import compute_quantile

WINDOW = 2.0
"""Seconds of one window of arrivals; the two worst of a run are told."""

NORMAL_95 = 1.96
"""Standard errors on either side of a mean that hold it in 95 of 100 cases."""


class KindFigures(msgspec.Struct, frozen=True):
    """One kind of request over all seeds; times in seconds."""

    kind: str
    requests: int
    worth: float
    in_time: float
    refused: int
    first_event_p50: float
    first_event_p95: float


class DeciderFigures(msgspec.Struct, frozen=True):
    """One decider over all seeds; worth as a part of what was to be earned."""

    decider: str
    worth: float
    worth_error: float
    """Half of the width of the interval that holds the mean in 95 of 100 cases."""

    worst_windows: float
    kinds: list[KindFigures]


def build_figures(decider: Decider, runs: list[list[Result]]) -> DeciderFigures:
    """Sum up the runs of one decider."""
    worths = [_compute_part(run) for run in runs]
    error = 0.0
    if len(worths) > 1:
        error = NORMAL_95 * statistics.stdev(worths) / math.sqrt(len(worths))
    everything = [result for run in runs for result in run if not result.has_left]
    names = dict.fromkeys(result.arrival.kind.name for result in everything)
    return DeciderFigures(
        decider=decider.value,
        worth=statistics.fmean(worths),
        worth_error=error,
        worst_windows=statistics.fmean(_find_worst_windows(run) for run in runs),
        kinds=[_build_kind(name, everything) for name in names],
    )


def _build_kind(name: str, results: list[Result]) -> KindFigures:
    of_kind = [result for result in results if result.arrival.kind.name == name]
    firsts = [r.first_event for r in of_kind if r.first_event is not None]
    return KindFigures(
        kind=name,
        requests=len(of_kind),
        worth=_compute_part(of_kind),
        in_time=statistics.fmean(result.is_in_time for result in of_kind),
        refused=sum(result.refusals > 0 for result in of_kind),
        first_event_p50=compute_quantile(firsts, 0.5),
        first_event_p95=compute_quantile(firsts, 0.95),
    )


def _compute_part(results: list[Result]) -> float:
    """Worth earned as a part of the worth owed; who left early is owed nothing."""
    owed = 0.0
    earned = 0.0
    for result in results:
        if not result.has_left:
            owed += result.arrival.kind.worth * result.arrival.size_factor
            earned += result.compute_worth()
    return earned / owed if owed else 1.0


def _find_worst_windows(results: list[Result]) -> float:
    windows: dict[int, list[Result]] = {}
    for result in results:
        windows.setdefault(int(result.arrival.at // WINDOW), []).append(result)
    return statistics.fmean(sorted(map(_compute_part, windows.values()))[:2])


def format_table(figures: list[DeciderFigures]) -> str:
    """A table for people."""
    lines = ["decider      worth          worst windows"]
    for one in figures:
        lines.append(
            f"{one.decider:<12} {one.worth:.3f} ± {one.worth_error:.3f}  "
            f"{one.worst_windows:.3f}"
        )
        lines += [
            f"    {kind.kind:<10} {kind.requests:>6} asked  worth {kind.worth:.3f}  "
            f"in time {kind.in_time:.3f}  refused {kind.refused:>4}  first event "
            f"p50 {kind.first_event_p50:.3f} p95 {kind.first_event_p95:.3f} s"
            for kind in one.kinds
        ]
    return "\n".join(lines)
