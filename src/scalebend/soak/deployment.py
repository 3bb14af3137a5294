"""Runs the gateway's processes on loopback addresses, each behind its own proxies.

Every process has a listen address and an advertised address, on which a proxy listens.
Signals go only to processes that the deployment itself started.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import shutil
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import msgspec
import structlog

from scalebend.edges.gateway.links import read_introduction
from scalebend.models.gateway_settings import Bounds, GatewayRole, GatewaySettings
from scalebend.platform.early_settings import SETTINGS_VARIABLE
from scalebend.platform.settings import encode_gateway_settings
from scalebend.soak.layout import AVAILABILITY_ZONES, Layout, ProcessName
from scalebend.soak.misbehaving import (
    SYNCED_FILE,
    ProcessFaults,
    read_synced,
    write_process_faults,
)
from scalebend.soak.observations import Exit, Observations
from scalebend.standins.ports import find_free_ports, find_port_range
from scalebend.standins.proxy import Proxy, run_proxy

logger = structlog.get_logger(__name__)

BOUNDS = Bounds(retry_slack=20.0)
"""Bounds of the deployment: the platform's defaults, with a small retry allowance."""

HEARTBEAT_INTERVAL_S = 1.2
"""Seconds between two registrations of a replica, as on the platform."""

WATCH_INTERVAL_S = 0.05
"""Seconds between two checks for processes that ended."""

RESTART_DELAY_S = 0.3
"""Seconds after an unexpected exit until the process is restarted."""

_FIRST_LISTEN_HOST = 10
_FIRST_PROXY_HOST = 110


class Deployment:
    """Starts, stops and signals the processes of one run, by name."""

    def __init__(
        self, folder: Path, layout: Layout, observations: Observations
    ) -> None:
        # Processes record what they synced by absolute paths.
        self.folder = folder.resolve()
        self.layout = layout
        self.starts = dict.fromkeys(layout.processes, 0)
        self._observations = observations
        self._running: dict[ProcessName, subprocess.Popen[bytes]] = {}
        self._stopping_pids: set[int] = set()
        # Concurrent runs use separate loopback networks.
        self._network = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        # Between the two, fronts accept tunnels.
        self._link_port, _, self._metrics_port = find_port_range(3, "0.0.0.0")
        self._control_port, self._callers_port, self._readiness_port = find_free_ports(
            3, "0.0.0.0"
        )
        self._process_faults: dict[ProcessName, ProcessFaults] = {}
        self.link_proxies: dict[ProcessName, Proxy] = {}
        self.call_proxies: dict[ProcessName, Proxy] = {}

    # Addresses

    def _get_host(self, name: ProcessName, first: int) -> str:
        return f"{self._network}.{first + self.layout.processes.index(name)}"

    def get_link_address(self, name: ProcessName) -> str:
        """Return the advertised link address of a process, which is its instance id."""
        return f"{self._get_host(name, _FIRST_PROXY_HOST)}:{self._link_port}"

    def get_call_address(self, name: ProcessName) -> str:
        """Return the advertised HTTP address of a front or of a control instance."""
        port = (
            self._control_port if name in self.layout.controls else self._callers_port
        )
        return f"{self._get_host(name, _FIRST_PROXY_HOST)}:{port}"

    def get_readiness_address(self, name: ProcessName) -> str:
        """Return the address of a front's readiness endpoint, which has no proxy."""
        return f"{self.get_listen_host(name)}:{self._readiness_port}"

    # Processes

    def start(self, name: ProcessName) -> None:
        """Start a process unless it is already running."""
        if name in self._running:
            return
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        number = self.starts[name]
        path = folder / "settings.json"
        path.write_bytes(encode_gateway_settings(self._build_settings(name)))
        self.starts[name] = number + 1
        host = self.get_listen_host(name)
        with (folder / f"log-{number}").open("wb") as log:
            self._running[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "scalebend.soak.misbehaving",
                    str(folder),
                    host,
                    "gateway",
                    "--link-listen",
                    f"{host}:{self._link_port}",
                ],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _build_settings(self, name: ProcessName) -> GatewaySettings:
        is_control = name in self.layout.controls
        host = self.get_listen_host(name)
        position = self.layout.processes.index(name)
        return GatewaySettings(
            name=name,
            role=GatewayRole.CONTROL if is_control else GatewayRole.FRONT,
            availability_zone=AVAILABILITY_ZONES[position % len(AVAILABILITY_ZONES)],
            link_address=self.get_link_address(name),
            seeds=[
                self.get_call_address(control) for control in self.layout.controls[:3]
            ],
            is_first_start=self.starts[name] == 0,
            tolerated_losses=self.layout.tolerated_losses,
            heartbeat_interval=HEARTBEAT_INTERVAL_S,
            bounds=BOUNDS,
            callers_address=None if is_control else f"{host}:{self._callers_port}",
            readiness_address=None if is_control else f"{host}:{self._readiness_port}",
            control_address=f"{host}:{self._control_port}" if is_control else None,
            metrics_port=self._metrics_port,
            data_folder=str(self.folder / name / "data") if is_control else None,
        )

    def kill(
        self,
        name: ProcessName,
        *,
        loses_disk: bool = False,
        choose_kept_bytes: Callable[[int], int] | None = None,
    ) -> None:
        """Kill a process.

        ``choose_kept_bytes`` simulates a power loss: given the number of unsynced bytes
        of a file, it returns how many of them survive.
        """
        process = self._running.pop(name, None)
        if process is None:
            return
        process.kill()
        process.wait()
        if choose_kept_bytes is not None:
            self._lose_unsynced(name, choose_kept_bytes)
        if loses_disk:
            shutil.rmtree(self.folder / name / "data", ignore_errors=True)
            (self.folder / name / SYNCED_FILE).unlink(missing_ok=True)

    def _lose_unsynced(
        self, name: ProcessName, choose_kept_bytes: Callable[[int], int]
    ) -> None:
        synced = read_synced(self.folder / name)
        for path in (self.folder / name / "data").glob("*"):
            # A file may have been synced as ``.new`` and then renamed.
            size = max(synced.get(str(path), 0), synced.get(f"{path}.new", 0))
            unsynced = path.stat().st_size - size
            if unsynced > 0:
                os.truncate(path, size + choose_kept_bytes(unsynced))

    def signal(self, name: ProcessName, number: int) -> int | None:
        """Send a signal; return the process id, or ``None`` if it is not running."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return None
        process.send_signal(number)
        return process.pid

    def reload(self, name: ProcessName) -> None:
        """Make a process read its settings again, once it handles SIGHUP."""
        process = self._running.get(name)
        if process is not None and handles_signal(process.pid, signal.SIGHUP):
            self.signal(name, signal.SIGHUP)

    async def stop(self, name: ProcessName) -> bool:
        """Terminate a process; return whether it ended within its grace period."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return True
        self._stopping_pids.add(process.pid)
        process.terminate()
        try:
            async with asyncio.timeout(BOUNDS.drain_grace):
                while process.poll() is None:
                    await asyncio.sleep(WATCH_INTERVAL_S)
        except TimeoutError:
            if self._running.get(name) is process:
                self.kill(name)
                return False
        if self._running.get(name) is process:
            del self._running[name]
            if process.returncode != 0:
                self._record_exit(name, process.returncode)
        return True

    def get_listen_host(self, name: ProcessName) -> str:
        """Return the host from which a process connects to others."""
        return self._get_host(name, _FIRST_LISTEN_HOST)

    def change_process_faults(self, name: ProcessName, **changes: object) -> None:
        """Change fields of :class:`ProcessFaults` of a process; keep the others."""
        before = self._process_faults.get(name, ProcessFaults())
        changed = msgspec.structs.replace(before, **changes)
        self._process_faults[name] = changed
        write_process_faults(self.folder / name, changed)

    async def watch(self) -> None:
        """Restart processes that ended unexpectedly and record their exits."""
        while True:
            await asyncio.sleep(WATCH_INTERVAL_S)
            for name, process in list(self._running.items()):
                if process.poll() is None or process.pid in self._stopping_pids:
                    continue
                del self._running[name]
                self._record_exit(name, process.returncode)
                await asyncio.sleep(RESTART_DELAY_S)
                self.start(name)

    def _record_exit(self, name: ProcessName, code: int) -> None:
        now = asyncio.get_running_loop().time()
        self._observations.exits.append(Exit(name, now, code))
        logger.error("process ended by itself", process=name, code=code)

    def kill_all(self) -> None:
        """Kill every process that is still running, also a suspended one."""
        for name in list(self._running):
            self.signal(name, signal.SIGCONT)
            self.kill(name)


def handles_signal(pid: int, number: int) -> bool:
    """Whether a process has installed a handler for a signal.

    Without one, as while the interpreter loads, most signals end the process.
    """
    try:
        lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    except OSError:
        return False
    caught = next((line for line in lines if line.startswith("SigCgt:")), "SigCgt: 0")
    return bool(int(caught.split()[1], 16) >> (number - 1) & 1)


def build_kept_bytes_chooser(chooser: random.Random) -> Callable[[int], int]:
    """Return a function that draws how many unsynced bytes survive a power loss."""
    return lambda size: chooser.choice((0, size, chooser.randint(0, size)))


@contextlib.asynccontextmanager
async def run_deployment(
    folder: Path, layout: Layout, observations: Observations
) -> AsyncIterator[Deployment]:
    """Run all processes behind their proxies until the block ends, then kill them."""
    deployment = Deployment(folder, layout, observations)
    async with contextlib.AsyncExitStack() as stack:
        for name in layout.processes:
            host = deployment.get_listen_host(name)
            call_address = deployment.get_call_address(name)
            port = call_address.rpartition(":")[2]
            deployment.call_proxies[name] = await stack.enter_async_context(
                run_proxy(call_address, f"{host}:{port}")
            )
            if name in layout.controls:
                deployment.link_proxies[name] = await stack.enter_async_context(
                    run_proxy(
                        deployment.get_link_address(name),
                        f"{host}:{deployment._link_port}",
                        read_introduction,
                    )
                )
        try:
            for name in layout.processes:
                deployment.start(name)
            watching = asyncio.create_task(deployment.watch())
            try:
                yield deployment
            finally:
                watching.cancel()
                await asyncio.gather(watching, return_exceptions=True)
        finally:
            deployment.kill_all()
