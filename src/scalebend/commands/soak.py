"""``scalebend soak``: runs gateway processes under random faults."""

from __future__ import annotations

import asyncio
import shutil
import signal
import sys
from pathlib import Path

import structlog

from scalebend.soak.layout import build_layout
from scalebend.soak.runner import SoakOptions, SoakReport, run_soak

LOG_FILE_NAME = "soak.log"


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
    """Run the seeds one after another; return 1 if a promise was broken."""
    broken = 0
    for number in range(seed, seed + seeds):
        folder = out / f"seed-{number}"
        shutil.rmtree(folder, ignore_errors=True)
        folder.mkdir(parents=True)
        layout = build_layout(controls, fronts, replicas)
        options = SoakOptions(number, 60.0 * minutes, layout, callers, folder.resolve())
        with (folder / LOG_FILE_NAME).open("w") as log:
            structlog.configure(logger_factory=structlog.WriteLoggerFactory(file=log))
            report = asyncio.run(_run_until_stopped(options))
        _print_report(report, folder)
        if report.violations:
            broken += 1
        else:
            shutil.rmtree(folder)
    print(f"{seeds} seeds, {broken} with a broken promise")
    return 1 if broken else 0


async def _run_until_stopped(options: SoakOptions) -> SoakReport:
    """Run one seed; SIGTERM cancels it like Ctrl-C, with all processes it started."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await run_soak(options)
    finally:
        loop.remove_signal_handler(signal.SIGTERM)


def _print_report(report: SoakReport, folder: Path) -> None:
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
