"""Figures of placement runs: worth, time to first event and rejections by kind."""

from __future__ import annotations

import math
import statistics

import msgspec

from scalebend.measuring.placement_results import Decider, Result
from scalebend.utils.quantiles import compute_quantile

WINDOW_S = 2.0
"""Length of a window of arrivals; the two worst windows of a run are reported."""

Z_SCORE_95 = 1.96
"""Standard errors on each side of a mean in a confidence interval of 95 %."""


class KindFigures(msgspec.Struct, frozen=True):
    """Figures of one kind of request over all seeds; times are in seconds."""

    kind: str
    requests: int
    worth: float
    in_time: float
    refused: int
    first_event_p50: float
    first_event_p95: float


class DeciderFigures(msgspec.Struct, frozen=True):
    """Figures of one decider over all seeds; worth as a share of the attainable."""

    decider: str
    worth: float
    worth_error: float
    """Half of the width of the 95 % confidence interval of ``worth``."""

    worst_windows: float
    kinds: list[KindFigures]


def build_figures(decider: Decider, runs: list[list[Result]]) -> DeciderFigures:
    """Summarize the runs of one decider."""
    worths = [_compute_worth_share(run) for run in runs]
    error = 0.0
    if len(worths) > 1:
        error = Z_SCORE_95 * statistics.stdev(worths) / math.sqrt(len(worths))
    counted = [result for run in runs for result in run if not result.has_disconnected]
    names = dict.fromkeys(result.arrival.kind.name for result in counted)
    return DeciderFigures(
        decider=decider.value,
        worth=statistics.fmean(worths),
        worth_error=error,
        worst_windows=statistics.fmean(_find_worst_windows(run) for run in runs),
        kinds=[_build_kind_figures(name, counted) for name in names],
    )


def _build_kind_figures(name: str, results: list[Result]) -> KindFigures:
    of_kind = [result for result in results if result.arrival.kind.name == name]
    firsts = [r.first_event for r in of_kind if r.first_event is not None]
    return KindFigures(
        kind=name,
        requests=len(of_kind),
        worth=_compute_worth_share(of_kind),
        in_time=statistics.fmean(result.is_on_time for result in of_kind),
        refused=sum(result.rejections > 0 for result in of_kind),
        first_event_p50=compute_quantile(firsts, 0.5),
        first_event_p95=compute_quantile(firsts, 0.95),
    )


def _compute_worth_share(results: list[Result]) -> float:
    """Return earned by attainable worth, without callers that disconnected."""
    attainable = 0.0
    earned = 0.0
    for result in results:
        if not result.has_disconnected:
            attainable += result.arrival.kind.worth * result.arrival.size_factor
            earned += result.compute_worth()
    return earned / attainable if attainable else 1.0


def _find_worst_windows(results: list[Result]) -> float:
    windows: dict[int, list[Result]] = {}
    for result in results:
        windows.setdefault(int(result.arrival.at // WINDOW_S), []).append(result)
    return statistics.fmean(sorted(map(_compute_worth_share, windows.values()))[:2])


def format_table(figures: list[DeciderFigures]) -> str:
    """Format the figures as a text table."""
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
