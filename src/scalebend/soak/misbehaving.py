"""Runs ``scalebend gateway`` with faults injected into its clock, disk and network.

Run as ``python -m scalebend.soak.misbehaving FOLDER HOST ARGUMENTS``: the process reads
its faults from a file in the folder, and connects to others from the loopback address
``HOST``, by which proxies identify it. The other arguments are those of the command
line. Only the soak and tests use this module.
"""

from __future__ import annotations

import contextlib
import errno
import os
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

import msgspec

from scalebend.edges.stalls import StallGuard
from scalebend.soak.faults import DiskMode

POLL_INTERVAL_S = 0.02
"""Seconds between two checks whether a stalled disk works again."""

FAULTS_FILE = "orders"
SYNCED_FILE = "synced"
FAILING_TIMERS_FILE = "failing-timers"
"""Exists once each run of the process's timers is to fail."""


BACKLOG_CONNECTIONS = 2
"""Connections that fill the queue of a listener with the smallest backlog."""


class Partition(msgspec.Struct, frozen=True):
    """New connections to ``host`` fail; proxies impair those that are open."""

    host: str
    is_refused: bool
    """Whether they are refused; otherwise the first packet gets no reply."""

    ports: tuple[int, ...] = ()
    """Ports to which they fail; all if empty."""

    def covers(self, address: tuple[str, int]) -> bool:
        """Whether new connections to an address fail."""
        host, port = address
        return host == self.host and (not self.ports or port in self.ports)


class ProcessFaults(msgspec.Struct, frozen=True):
    """How the clock, the disk and the network of a process behave."""

    clock_step: float = 0.0
    """Seconds by which the time of day is ahead."""

    disk: DiskMode = DiskMode.HEALTHY
    partition: Partition | None = None


def write_process_faults(folder: Path, process_faults: ProcessFaults) -> None:
    """Replace the faults of the process that reads ``folder``, atomically."""
    temporary = folder / "orders.new"
    temporary.write_bytes(msgspec.json.encode(process_faults))
    temporary.replace(folder / FAULTS_FILE)


def fail_timers(folder: Path) -> None:
    """Let each run of the timers fail in the process that reads ``folder``."""
    (folder / FAILING_TIMERS_FILE).touch()


def read_synced(folder: Path) -> dict[str, int]:
    """Return the synced size of each file in bytes, by path."""
    path = folder / SYNCED_FILE
    return msgspec.json.decode(path.read_bytes()) if path.exists() else {}


class _Blackhole:
    """A listener that replies to no connection attempt, since its queue is full."""

    def __init__(self) -> None:
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(0)
        self.address: tuple[str, int] = self._listener.getsockname()
        self._waiting = [socket.socket() for _ in range(BACKLOG_CONNECTIONS)]
        for sock in self._waiting:
            sock.setblocking(False)
            sock.connect_ex(self.address)


class _Misbehaviour:
    """Replaces clock, timers, sync calls and connects of the process."""

    def __init__(self, folder: Path, host: str) -> None:
        self._folder = folder
        self._host = host
        self._connect = socket.socket.connect
        self._blackhole: _Blackhole | None = None
        self._time = time.time
        self._fdatasync = os.fdatasync
        # Data that an earlier process synced stays durable.
        self._synced = read_synced(folder)
        self._lock = threading.Lock()

    def install(self) -> None:
        """Patch the calls in this process."""
        time.time = lambda: self._time() + self._read_faults().clock_step
        time.time_ns = lambda: int(time.time() * 1e9)
        os.fdatasync = self._sync  # type: ignore[assignment]
        os.fsync = self._sync  # type: ignore[assignment]

        def connect(sock: socket.socket, address: Any) -> None:
            if sock.family is socket.AF_INET:
                address = self._find_peer(sock, address)
            self._connect(sock, address)

        socket.socket.connect = connect  # type: ignore[assignment]
        self._install_timer_fault()

    def _install_timer_fault(self) -> None:
        original = StallGuard.may_run
        path = self._folder / FAILING_TIMERS_FILE

        def may_run(guard: StallGuard, now: float) -> bool:
            if path.exists():
                raise OverflowError("timers fail (injected by the soak)")
            return original(guard, now)

        StallGuard.may_run = may_run  # type: ignore[assignment,method-assign]

    def _find_peer(
        self, sock: socket.socket, address: tuple[str, int]
    ) -> tuple[str, int]:
        """Return the address to connect to in place of ``address``."""
        partition = self._read_faults().partition
        if partition is None or not partition.covers(address):
            with contextlib.suppress(OSError):
                sock.bind((self._host, 0))
            return address
        if partition.is_refused:
            raise ConnectionRefusedError(errno.ECONNREFUSED, "partitioned")
        if self._blackhole is None:
            self._blackhole = _Blackhole()
        return self._blackhole.address

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
            with self._lock:
                self._synced[path] = os.fstat(descriptor).st_size
                temporary = self._folder / "synced.new"
                temporary.write_bytes(msgspec.json.encode(self._synced))
                temporary.replace(self._folder / SYNCED_FILE)


def main() -> None:
    """Install the replaced calls, then run the command line."""
    folder, host = Path(sys.argv.pop(1)), sys.argv.pop(1)
    _Misbehaviour(folder, host).install()
    from scalebend.cli.main import main as run_command_line

    run_command_line()


if __name__ == "__main__":
    main()
