"""Runs gateway processes on loopback addresses."""

import contextlib
import json
import os
import shutil
import signal
import subprocess
import sys

from scalebend.soak.misbehaving import ProcessFaults, write_process_faults
from scalebend.standins.ports import find_free_ports, find_port_range

CONTROLS = 3
GRACE_S = 8.0
FRONTS = 2


class Processes:
    """A small deployment in which each process has its own loopback address."""

    def __init__(self, folder):
        self.folder = folder
        front, ready, control = find_free_ports(3, "0.0.0.0")
        ports = find_port_range(3, "0.0.0.0")
        self.ports = {"link": ports[0], "metrics": ports[-1]}
        self.front_port, self.ready_port, self.control_port = front, ready, control
        self.running = {}
        self.starts = {}
        self.names = [f"control-{n}" for n in range(CONTROLS)]
        self.names += [f"front-{n}" for n in range(FRONTS)]
        # Not started by default: a relay (no data folder), another front, and machines
        # that join later.
        self.names += ["relay-0", "front-9"]
        self.names += ["control-3", "control-4", "control-5"]
        self.started = self.names[: CONTROLS + FRONTS]
        self.seeds = {}
        self.has_faults = True
        """Whether processes run with faults that a test injects."""

    def find_ip(self, name):
        return f"127.0.0.{20 + self.names.index(name)}"

    def list_controls(self):
        return [f"{self.find_ip(n)}:{self.control_port}" for n in self.names[:CONTROLS]]

    def find_control(self, name):
        return f"{self.find_ip(name)}:{self.control_port}"

    def find_front(self, number):
        return f"{self.find_ip(f'front-{number}')}:{self.front_port}"

    def find_readiness(self, number):
        return f"{self.find_ip(f'front-{number}')}:{self.ready_port}"

    def start(self, name):
        ip = self.find_ip(name)
        is_control = not name.startswith("front")
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        starts = self.starts.get(name, 0)
        self.starts[name] = starts + 1
        listen = {"Control": f"{ip}:{self.control_port}"}
        if not is_control:
            listen = {
                "Front": f"{ip}:{self.front_port}",
                "Ready": f"{ip}:{self.ready_port}",
            }
        settings = {
            "NodeName": name,
            "Serves": ["control" if is_control else "front"],
            "Ip": ip,
            "Zone": "z",
            "Listen": listen,
            "PortRange": [self.ports["link"], self.ports["metrics"]],
            "Seeds": self.seeds.get(name, self.list_controls()),
            "Bootstrap": starts == 0 and name in self.started,
            "Tolerate": {"Machines": 1},
            "HeartbeatMs": 1200,
            "DataDir": str(folder / "data") if name.startswith("control") else None,
        }
        path = folder / "node.json"
        path.write_text(json.dumps(settings))
        command = ["scalebend.commands.start_gateway"]
        if self.has_faults:
            command = ["scalebend.soak.misbehaving", str(folder), ip, "gateway"]
        with (folder / f"log-{starts}").open("wb") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", *command],
                env={**os.environ, "SCALEBEND_CONFIG": str(path)},
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def set_faults(self, name, **faults):
        write_process_faults(self.folder / name, ProcessFaults(**faults))

    def signal(self, name, number):
        self.running[name].send_signal(number)

    def kill(self, name):
        process = self.running.pop(name)
        process.kill()
        process.wait()

    def stop(self, name):
        """Send SIGTERM and wait; return the exit status."""
        process = self.running.pop(name)
        process.send_signal(signal.SIGTERM)
        return process.wait(timeout=GRACE_S)

    def lose_disk(self, name):
        """Remove the data of a process that has ended."""
        shutil.rmtree(self.folder / name / "data")

    def read_log(self, name):
        path = self.folder / name / f"log-{self.starts[name] - 1}"
        lines = path.read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def find_leader(self):
        """Return the control instance that logged last that it leads."""
        leaders = []
        for name in self.names[:CONTROLS]:
            if name not in self.running:
                continue
            changes = [line for line in self.read_log(name) if "leads" in line]
            if changes and changes[-1]["leads"]:
                leaders.append((changes[-1]["timestamp"], name))
        return max(leaders)[1]


@contextlib.contextmanager
def run_processes(folder, *, has_only_relay_as_seed=False):
    """Start a deployment; kill the remaining processes at the end."""
    processes = Processes(folder)
    if has_only_relay_as_seed:
        processes.started = [*processes.started, "relay-0"]
        seeds = [processes.find_control("relay-0")]
        processes.seeds = dict.fromkeys(processes.names, seeds)
    for name in processes.started:
        processes.start(name)
    try:
        yield processes
    finally:
        for process in processes.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
