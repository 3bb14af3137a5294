"""Runs ``scalebend gateway`` with faults injected into its clock and disk.

Run as ``python -m scalebend.soak.misbehaving FOLDER ARGUMENTS``: the process reads its
faults from a file in the folder; the other arguments are those of the command line.
Only the soak uses this module.
"""

from __future__ import annotations

import errno
import os
import sys
import time
from pathlib import Path

import msgspec

from scalebend.soak.faults import DiskMode

POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether a stalled disk works again."""

FAULTS_FILE = "orders"
SYNCED_FILE = "synced"


class ProcessFaults(msgspec.Struct, frozen=True):
    """How the clock and the disk of a process behave."""

    clock_step: float = 0.0
    """Seconds by which the time of day is ahead."""

    disk: DiskMode = DiskMode.HEALTHY


def write_process_faults(folder: Path, process_faults: ProcessFaults) -> None:
    """Replace the faults of the process that reads ``folder``, atomically."""
    temporary = folder / "orders.new"
    temporary.write_bytes(msgspec.json.encode(process_faults))
    temporary.replace(folder / FAULTS_FILE)


def read_synced(folder: Path) -> dict[str, int]:
    """Return the synced size of each file in bytes, by path."""
    path = folder / SYNCED_FILE
    return msgspec.json.decode(path.read_bytes()) if path.exists() else {}


class _Misbehaviour:
    """Replaces the clock and the sync calls of the process."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._time = time.time
        self._fdatasync = os.fdatasync
        # Data that an earlier process synced stays durable.
        self._synced = read_synced(folder)

    def install(self) -> None:
        """Patch the calls in this process."""
        time.time = lambda: self._time() + self._read_faults().clock_step
        time.time_ns = lambda: int(time.time() * 1e9)
        os.fdatasync = self._sync  # type: ignore[assignment]
        os.fsync = self._sync  # type: ignore[assignment]

    def _read_faults(self) -> ProcessFaults:
        try:
            data = (self._folder / FAULTS_FILE).read_bytes()
        except FileNotFoundError:
            return ProcessFaults()
        return msgspec.json.decode(data, type=ProcessFaults)

    def _sync(self, descriptor: int) -> None:
        while self._read_faults().disk is DiskMode.STALLED:
            time.sleep(POLL_INTERVAL_S)
        if self._read_faults().disk is DiskMode.FULL:
            raise OSError(errno.ENOSPC, "no space left (injected by the soak)")
        self._fdatasync(descriptor)
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if os.path.isfile(path):
            self._synced[path] = os.fstat(descriptor).st_size
            temporary = self._folder / "synced.new"
            temporary.write_bytes(msgspec.json.encode(self._synced))
            temporary.replace(self._folder / SYNCED_FILE)


def main() -> None:
    """Install the replaced calls, then run the command line."""
    _Misbehaviour(Path(sys.argv.pop(1))).install()
    from scalebend.cli.main import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
