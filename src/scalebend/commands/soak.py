"""``scalebend soak``: the gateway's processes under random faults, promises checked."""

from __future__ import annotations

import asyncio
import shutil
import sys
from pathlib import Path

import structlog

from scalebend.soak.layout import build_layout
from scalebend.soak.runner import SoakOptions, SoakReport, run_soak

LOG_NAME = "soak.log"


def run(
    *,
    seed: int,
    seeds: int,
    minutes: float,
    controls: int,
    fronts: int,
    replicas: int,
    callers: int,
    out: Path,
) -> int:
    """Run the seeds one after the other; return 1 if any broke a promise."""
    broken = 0
    for number in range(seed, seed + seeds):
        folder = out / f"seed-{number}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        layout = build_layout(controls, fronts, replicas)
        options = SoakOptions(number, 60.0 * minutes, layout, callers, folder.resolve())
        with (folder / LOG_NAME).open("w") as log:
            structlog.configure(logger_factory=structlog.WriteLoggerFactory(file=log))
            report = asyncio.run(run_soak(options))
        _print(report, folder)
        if report.violations:
            broken += 1
        else:
            shutil.rmtree(folder)
    print(f"{seeds} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def _print(report: SoakReport, folder: Path) -> None:
    verdict = "broken" if report.violations else "kept"
    print(
        f"seed {report.seed}: {verdict}; {report.requests} requests, "
        f"{report.served} served, {report.runs} runs, {report.changes} changes, "
        f"{report.faults} faults"
    )
    for violation in report.violations:
        print(f"  {violation.promise}: {violation.detail}")
    if report.violations:
        print(f"  logs: {folder}")
    sys.stdout.flush()
