"""The system's processes on loopback addresses, each behind a proxy of its own.

Every process has two addresses: the one where it listens, and the one that others
know, where a proxy listens. Processes are ended by their ids, and only these.
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

import structlog

from scalebend.edges.gateway.links import read_introduction
from scalebend.models.gateway_settings import Bounds, GatewayRole, GatewaySettings
from scalebend.models.ids import AvailabilityZone
from scalebend.platform.early_settings import SETTINGS_VARIABLE
from scalebend.platform.settings import encode_gateway_settings
from scalebend.soak.layout import Layout, ProcessName
from scalebend.soak.misbehaving import SYNCED, Orders, read_synced, write_orders
from scalebend.soak.observations import Exit, Observations
from scalebend.standins.ports import find_free_ports
from scalebend.standins.proxy import Proxy, run_proxy

logger = structlog.get_logger(__name__)

BOUNDS = Bounds(retry_slack=20.0)
"""What the deployment promises: the platform's usual times, and few spare retries."""

HEARTBEAT = 1.2
"""Seconds between two registrations of a replica, as on the platform."""

WATCH = 0.05
"""Seconds between two looks at which processes ended."""

RESTART_DELAY = 0.3
"""Seconds after which a process that ended is started again."""

ZONES = tuple(AvailabilityZone(name) for name in ("zone-a", "zone-b", "zone-c"))

_FIRST_HOST = 10
_FIRST_PROXIED = 110


class Deployment:
    """Processes of the system, by name."""

    def __init__(self, folder: Path, layout: Layout, seen: Observations) -> None:
        self.folder = folder
        self.layout = layout
        self.starts = dict.fromkeys(layout.processes, 0)
        self._seen = seen
        self._running: dict[ProcessName, subprocess.Popen[bytes]] = {}
        self._expected: set[int] = set()
        # Runs beside each other have networks of their own.
        self._network = f"127.{1 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        ports = find_free_ports(5, "0.0.0.0")
        self._link, self._control, self._callers, self._ready, self._metrics = ports
        self.links: dict[ProcessName, Proxy] = {}
        self.calls: dict[ProcessName, Proxy] = {}

    # Addresses

    def _get_host(self, name: ProcessName, first: int) -> str:
        return f"{self._network}.{first + self.layout.processes.index(name)}"

    def get_link(self, name: ProcessName) -> str:
        """Address of a process' links, as others know it: its instance id."""
        return f"{self._get_host(name, _FIRST_PROXIED)}:{self._link}"

    def get_calls(self, name: ProcessName) -> str:
        """Address for callers of a front, or for calls to a control instance."""
        port = self._control if name in self.layout.controls else self._callers
        return f"{self._get_host(name, _FIRST_PROXIED)}:{port}"

    def get_readiness(self, name: ProcessName) -> str:
        """Where a front says whether it wants new connections."""
        return f"{self._get_host(name, _FIRST_HOST)}:{self._ready}"

    # Processes

    def start(self, name: ProcessName) -> None:
        """Start a process, unless it runs."""
        if name in self._running:
            return
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        number = self.starts[name]
        path = folder / "settings.json"
        path.write_bytes(encode_gateway_settings(self._build_settings(name)))
        self.starts[name] = number + 1
        host = self._get_host(name, _FIRST_HOST)
        with (folder / f"log-{number}").open("wb") as log:
            self._running[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "scalebend.soak.misbehaving",
                    str(folder),
                    "gateway",
                    "--link-listen",
                    f"{host}:{self._link}",
                ],
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def _build_settings(self, name: ProcessName) -> GatewaySettings:
        is_control = name in self.layout.controls
        host = self._get_host(name, _FIRST_HOST)
        position = self.layout.processes.index(name)
        return GatewaySettings(
            name=name,
            role=GatewayRole.CONTROL if is_control else GatewayRole.FRONT,
            availability_zone=ZONES[position % len(ZONES)],
            link_address=self.get_link(name),
            seeds=[self.get_calls(control) for control in self.layout.controls[:3]],
            is_first_start=self.starts[name] == 0,
            tolerated_losses=self.layout.tolerated_losses,
            heartbeat_interval=HEARTBEAT,
            bounds=BOUNDS,
            callers_address=None if is_control else f"{host}:{self._callers}",
            readiness_address=None if is_control else f"{host}:{self._ready}",
            control_address=f"{host}:{self._control}" if is_control else None,
            metrics_port=self._metrics,
            data_folder=str(self.folder / name / "data") if is_control else None,
        )

    def kill(
        self,
        name: ProcessName,
        *,
        loses_disk: bool = False,
        tear: Callable[[int], int] | None = None,
    ) -> None:
        """Kill a process; ``tear`` tells how much of its unsynced bytes stay."""
        process = self._running.pop(name, None)
        if process is None:
            return
        process.kill()
        process.wait()
        if tear is not None:
            self._lose_unsynced(name, tear)
        if loses_disk:
            shutil.rmtree(self.folder / name / "data", ignore_errors=True)
            (self.folder / name / SYNCED).unlink(missing_ok=True)

    def _lose_unsynced(self, name: ProcessName, tear: Callable[[int], int]) -> None:
        synced = read_synced(self.folder / name)
        for path in (self.folder / name / "data").glob("*"):
            # A file may have got its name after it was synced under another.
            size = max(synced.get(str(path), 0), synced.get(f"{path}.new", 0))
            unsynced = path.stat().st_size - size
            if unsynced > 0:
                os.truncate(path, size + tear(unsynced))

    def signal(self, name: ProcessName, number: int) -> int | None:
        """Send a signal; return the id of the process, ``None`` if there is none."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return None
        process.send_signal(number)
        return process.pid

    async def stop(self, name: ProcessName) -> bool:
        """Stop a process as planned; return whether it ended within its grace time."""
        process = self._running.get(name)
        if process is None or process.poll() is not None:
            return True
        self._expected.add(process.pid)
        process.terminate()
        try:
            async with asyncio.timeout(BOUNDS.drain_grace):
                while process.poll() is None:
                    await asyncio.sleep(WATCH)
        except TimeoutError:
            if self._running.get(name) is process:
                self.kill(name)
                return False
        if self._running.get(name) is process:
            del self._running[name]
            if process.returncode != 0:
                self._note_exit(name, process.returncode)
        return True

    def order(self, name: ProcessName, orders: Orders) -> None:
        """Let the clock or the disk of a process misbehave."""
        write_orders(self.folder / name, orders)

    async def watch(self) -> None:
        """Start again what ended by itself, and remember that it did."""
        while True:
            await asyncio.sleep(WATCH)
            for name, process in list(self._running.items()):
                if process.poll() is None or process.pid in self._expected:
                    continue
                del self._running[name]
                self._note_exit(name, process.returncode)
                await asyncio.sleep(RESTART_DELAY)
                self.start(name)

    def _note_exit(self, name: ProcessName, code: int) -> None:
        now = asyncio.get_running_loop().time()
        self._seen.exits.append(Exit(name, now, code))
        logger.error("process ended by itself", process=name, code=code)

    def kill_all(self) -> None:
        """End every process that still runs."""
        for name in list(self._running):
            self.signal(name, signal.SIGCONT)
            self.kill(name)


def draw_tear(chooser: random.Random) -> Callable[[int], int]:
    """How many of some unsynced bytes stay: none, all, or a part."""
    return lambda size: chooser.choice((0, size, chooser.randint(0, size)))


@contextlib.asynccontextmanager
async def run_deployment(
    folder: Path, layout: Layout, seen: Observations
) -> AsyncIterator[Deployment]:
    """Run all processes behind their proxies; end them afterwards."""
    deployment = Deployment(folder, layout, seen)
    async with contextlib.AsyncExitStack() as stack:
        for name in layout.processes:
            host = deployment._get_host(name, _FIRST_HOST)
            calls = deployment.get_calls(name)
            port = calls.rpartition(":")[2]
            deployment.calls[name] = await stack.enter_async_context(
                run_proxy(calls, f"{host}:{port}")
            )
            if name in layout.controls:
                deployment.links[name] = await stack.enter_async_context(
                    run_proxy(
                        deployment.get_link(name),
                        f"{host}:{deployment._link}",
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
