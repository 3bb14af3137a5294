"""Plots of a measurement as PNG files."""

from __future__ import annotations

import statistics
from pathlib import Path

import matplotlib

from scalebend.measuring.results import Figures

matplotlib.use("Agg")

from matplotlib import pyplot  # noqa: E402


def draw_plots(out: Path, name: str, figures: list[Figures]) -> None:
    """Plot time to first token, slowdown of short requests and shares."""
    policies = list(dict.fromkeys(item.policy for item in figures))
    _draw_first_token(out / f"{name}-first-token.png", policies, figures)
    _draw_slowdown(out / f"{name}-slowdown.png", policies, figures)
    _draw_shares(out / f"{name}-shares.png", figures)


def _draw_first_token(path: Path, policies: list[str], figures: list[Figures]) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    labels = [band.band for band in figures[0].bands]
    for policy in policies:
        runs = [item for item in figures if item.policy == policy]
        values = [
            statistics.median(run.bands[number].first_token_p95 for run in runs)
            for number in range(len(labels))
        ]
        axes.plot(labels, values, marker="o", label=policy)
    idle = [band.first_token_idle_p95 for band in figures[0].bands]
    axes.plot(labels, idle, "k--", label="idle fleet")
    axes.set_yscale("log")
    axes.set_xlabel("prompt tokens")
    axes.set_ylabel("time to first token, p95, s")
    axes.legend()
    _save(figure, path)


def _draw_slowdown(path: Path, policies: list[str], figures: list[Figures]) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    values = [
        [item.bands[0].slowdown_p95 for item in figures if item.policy == policy]
        for policy in policies
    ]
    axes.boxplot(values, tick_labels=policies)
    axes.axhline(1.3, color="k", linestyle="--")
    axes.set_ylabel("slowdown of short requests, p95")
    _save(figure, path)


def _draw_shares(path: Path, figures: list[Figures]) -> None:
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for item in figures:
        entitled = [share.entitled for share in item.shares]
        used = [share.used for share in item.shares]
        axes.scatter(entitled, used, label=f"{item.policy} {item.seed}")
    top = max(share.entitled for share in figures[0].shares)
    axes.plot([0, top], [0, top], "k--")
    axes.set_xlabel("entitled share")
    axes.set_ylabel("used share")
    axes.legend(fontsize=6)
    _save(figure, path)


def _save(figure: object, path: Path) -> None:
    figure.savefig(path, dpi=100, bbox_inches="tight")  # type: ignore[attr-defined]
    pyplot.close(figure)  # type: ignore[arg-type]
