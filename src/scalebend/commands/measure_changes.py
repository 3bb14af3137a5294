"""``scalebend measure-changes``: change propagation, leader loss and recovery."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

import msgspec

from scalebend.edges.logs import configure_logs
from scalebend.measuring.changes import measure_change_propagation, measure_recovery
from scalebend.models.settings import LogFormat, Logging

INSTANCE_COUNTS = (9, 30, 90)
CHANGE_COUNTS = (1_000, 10_000)


def run(*, as_json: bool) -> int:
    """Measure and print two tables: propagation by instances, recovery by changes."""
    configure_logs(Logging(LogFormat.JSON, "critical"))
    spreads = [measure_change_propagation(size) for size in INSTANCE_COUNTS]
    recoveries = []
    for count in CHANGE_COUNTS:
        with tempfile.TemporaryDirectory() as folder:
            recoveries.append(measure_recovery(Path(folder) / "control", count))
    if as_json:
        print(json.dumps(msgspec.to_builtins([spreads, recoveries])))
        return 0
    print("instances  in force everywhere p50, p99   without a leader p50, max")
    for spread in spreads:
        print(
            f"{spread.instances:<10} {spread.in_force_p50:.2f} s, "
            f"{spread.in_force_p99:.2f} s                 "
            f"{spread.without_leader_p50:.2f} s, {spread.without_leader_max:.2f} s"
        )
    print("changes  written in  read back in  bytes a change  folder bytes")
    for item in recoveries:
        print(
            f"{item.changes:<8} {item.write_seconds:.2f} s      "
            f"{item.recovery_seconds:.3f} s       {item.bytes_per_change:.0f}"
            f"             {item.folder_bytes}"
        )
    return 0
