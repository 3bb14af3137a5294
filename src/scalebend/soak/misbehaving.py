"""Runs ``scalebend gateway`` with a clock and a disk that can be made to misbehave.

Arguments: a folder for orders to the disk and the clock, then those of the command
line. Run as ``python -m scalebend.soak.misbehaving``; the product has no part in it.
"""

from __future__ import annotations

import errno
import os
import sys
import time
from pathlib import Path

import msgspec

from scalebend.soak.faults import DiskMode

POLL = 0.02
"""Seconds between two looks at whether a stalled disk works again."""

ORDERS = "orders"
SYNCED = "synced"


class Orders(msgspec.Struct, frozen=True):
    """How clock and disk behave from now on."""

    clock_step: float = 0.0
    """Seconds that the time of day is ahead."""

    disk: DiskMode = DiskMode.SOUND


def write_orders(folder: Path, orders: Orders) -> None:
    """Let the process that watches ``folder`` follow ``orders``."""
    temporary = folder / "orders.new"
    temporary.write_bytes(msgspec.json.encode(orders))
    temporary.replace(folder / ORDERS)


def read_synced(folder: Path) -> dict[str, int]:
    """Sizes up to which files were synced, by path."""
    path = folder / SYNCED
    return msgspec.json.decode(path.read_bytes()) if path.exists() else {}


class _Misbehaviour:
    """Takes the place of the system's clock and sync calls."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._time = time.time
        self._fdatasync = os.fdatasync
        # What an earlier process synced lasts.
        self._synced = read_synced(folder)

    def install(self) -> None:
        """Replace the calls in this process."""
        time.time = lambda: self._time() + self._read().clock_step
        time.time_ns = lambda: int(time.time() * 1e9)
        os.fdatasync = self._sync  # type: ignore[assignment]
        os.fsync = self._sync  # type: ignore[assignment]

    def _read(self) -> Orders:
        try:
            data = (self._folder / ORDERS).read_bytes()
        except FileNotFoundError:
            return Orders()
        return msgspec.json.decode(data, type=Orders)

    def _sync(self, descriptor: int) -> None:
        while self._read().disk is DiskMode.STALLED:
            time.sleep(POLL)
        if self._read().disk is DiskMode.FULL:
            raise OSError(errno.ENOSPC, "no space left (ordered by the soak)")
        self._fdatasync(descriptor)
        path = os.readlink(f"/proc/self/fd/{descriptor}")
        if os.path.isfile(path):
            self._synced[path] = os.fstat(descriptor).st_size
            temporary = self._folder / "synced.new"
            temporary.write_bytes(msgspec.json.encode(self._synced))
            temporary.replace(self._folder / SYNCED)


def main() -> None:
    """Install the misbehaviour, then run the command line."""
    _Misbehaviour(Path(sys.argv.pop(1))).install()
    from scalebend.cli.main import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
