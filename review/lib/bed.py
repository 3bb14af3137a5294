"""A small deployment of the project's processes on loopback addresses.

Starts the processes with the command of the deploy file, as separate processes with
settings like those on the users' pages, and ends all of them. Standard library only.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = ["python3", "-m", "scalebend.commands.start_gateway"]
"""The command of all roles in deploy/system.toml."""

BOUNDS = {
    "SeedLagS": 3,
    "ReuseAfterS": 2,
    "ContactMs": 3000,
    "AckMs": 4000,
    "CatchUpS": 4,
    "DrainMs": 2000,
    "GraceS": 8,
    "LostMs": 200,
    "ConfigMs": 2000,
    "DowngradeMs": 250,
    "OuterBoundMs": 5000,
    "RevokeStrict": True,
    "RevokeMs": 5000,
    "RetryRatio": 0.2,
    "RetryWindowS": 10,
    "RetrySlack": 106,
    "RecoverS": 12,
    "PassMs": 120,
    "RetryAfterS": 0,
    "stall_ms": 1500,
    "HoldMaxMs": 20000,
    "FreeMs": 4000,
    "IdleMaxMs": 9000,
}


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self._file = open(path, "w", buffering=1)
        self._began = time.monotonic()

    def now(self):
        return time.monotonic() - self._began

    def write(self, text):
        line = f"{self.now():9.3f} s  {text}"
        print(line, file=self._file)


def find_free_ports(count, ip):
    """Return ports that are free at a loopback address."""
    sockets = []
    for _ in range(count):
        sock = socket.socket()
        sock.bind((ip, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def find_port_range(size, ip):
    """Return the first of ``size`` consecutive ports that are free."""
    while True:
        first = random.randint(20000, 31000)
        sockets = []
        try:
            for port in range(first, first + size):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((ip, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()


class Bed:
    """Three control processes and two fronts, each with its own loopback address."""

    def __init__(self, record, controls=3, fronts=2, memory_mb=300):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
        ip = f"{self.net}.1"
        self.front_port, self.ready_port, self.control_port = find_free_ports(3, ip)
        self.first_port = find_port_range(16, ip)
        self.controls = [f"control-{n}" for n in range(controls)]
        self.fronts = [f"front-{n}" for n in range(fronts)]
        self.memory_mb = memory_mb
        self.running = {}
        self.starts = {}
        self.ended = []

    def ip(self, name):
        kind, _, number = name.partition("-")
        return f"{self.net}.{(20 if kind == 'control' else 40) + int(number)}"

    def control_address(self, name):
        return f"{self.ip(name)}:{self.control_port}"

    def front_address(self, name):
        return f"{self.ip(name)}:{self.front_port}"

    def ready_address(self, name):
        return f"{self.ip(name)}:{self.ready_port}"

    def write_settings(self, name):
        ip = self.ip(name)
        is_control = name in self.controls
        folder = self.folder / name
        folder.mkdir(exist_ok=True)
        listen = {"Control": self.control_address(name)}
        if not is_control:
            listen = {
                "Front": self.front_address(name),
                "Ready": self.ready_address(name),
            }
        settings = {
            "NodeName": name,
            "Role": "control" if is_control else "front",
            "MachineClass": "core" if is_control else "front",
            "Serves": ["control" if is_control else "front"],
            "Ip": ip,
            "Zone": "z1",
            "Region": "r1",
            "Zones": {"z1": "r1"},
            "Listen": listen,
            "PortRange": [self.first_port, self.first_port + 15],
            "Seeds": [self.control_address(one) for one in self.controls[:3]],
            "Bootstrap": self.starts.get(name, 0) == 0,
            "LossCounts": is_control,
            "Limits": {
                "CpuShare": 0.86 if is_control else 0.537,
                "Cores": 2,
                "MemoryMb": self.memory_mb,
                "MaxFds": 4096,
                "LinkMbps": 1000.0,
                "DiskMb": 128 if is_control else 0,
            },
            "DataDir": str(folder / "data") if is_control else None,
            "Discovery": "registration",
            "Entry": "vip",
            "HeartbeatMs": 1200,
            "Contracts": [
                "base",
                "drain",
                "config",
                "cost",
                "retry",
                "recover",
                "engine",
                "stream",
                "tenants",
                "spans",
            ],
            "Tolerate": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": BOUNDS,
            "ConfigMode": "highest",
        }
        path = folder / "node.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, name):
        path = self.write_settings(name)
        number = self.starts.get(name, 0)
        self.starts[name] = number + 1
        log = open(self.folder / name / f"log-{number}", "wb")
        environment = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["SCALEBEND_CONFIG"] = str(path)
        self.running[name] = subprocess.Popen(
            COMMAND,
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        log.close()
        self.record.write(f"{name} started")

    def start_all(self):
        for name in self.controls + self.fronts:
            self.start(name)

    def signal(self, name, number):
        self.running[name].send_signal(number)
        self.record.write(f"{name} gets {signal.Signals(number).name}")

    def kill(self, name):
        process = self.running.pop(name)
        process.kill()
        process.wait()
        self.record.write(f"{name} killed")

    def read_log(self, name, number=-1):
        if number < 0:
            number += self.starts[name]
        lines = (self.folder / name / f"log-{number}").read_text().splitlines()
        found = []
        for line in lines:
            if line.startswith("{"):
                with_json = json.loads(line)
                found.append(with_json)
        return found

    def find_leader(self):
        """Return the control process that logged last that it leads, if any."""
        leaders = []
        for name in self.controls:
            if name in self.running:
                changes = [one for one in self.read_log(name) if "leads" in one]
                if changes and changes[-1]["leads"]:
                    leaders.append((changes[-1]["timestamp"], name))
        return max(leaders)[1] if leaders else None

    def close(self):
        for process in self.running.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.running.values():
            process.wait()
        if not os.environ.get("KEEP_LOGS"):
            shutil.rmtree(self.folder, ignore_errors=True)


# HTTP of callers and operators


class Answer:
    """What a caller got: ``status`` is ``None`` without a complete answer."""

    def __init__(self, status, headers=(), body=b"", note=""):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body
        self.note = note


async def read_head(reader):
    """Return the first line and the headers of a message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip(), value.strip()))
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Return the body of a message; raise ``IncompleteReadError`` if it is cut."""
    found = {name.lower(): value for name, value in headers}
    if found.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if not size:
                await reader.readuntil(b"\r\n")
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in found:
        return await reader.readexactly(int(found["content-length"]))
    return await reader.read() if until_end else b""


async def call(address, method, path, headers=(), body=b"", timeout=5.0):
    """Send one request on a new channel; return the :class:`Answer`."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            names = {name.lower() for name, _ in headers}
            if "host" not in names:
                lines.append(f"Host: {address}")
            lines += [f"{name}: {value}" for name, value in headers]
            lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            first, got = await read_head(reader)
            status = int(first.split()[1])
            content = await read_body(reader, got, until_end=True)
            return Answer(status, got, content)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(None, note=f"{type(error).__name__}: {error}")
    finally:
        if writer is not None:
            writer.close()


async def call_control(bed, names, method, path, payload=None, timeout=1.0):
    """Call control as operators and replicas do: the next node after a failure."""
    body = b"" if payload is None else json.dumps(payload).encode()
    headers = [("Content-Type", "application/json")]
    answer = Answer(None, note="no node")
    for name in names:
        address = bed.control_address(name)
        for _ in range(3):
            answer = await call(address, method, path, headers, body, timeout)
            if answer.status != 307:
                break
            location = answer.headers["location"].removeprefix("http://")
            address, _, rest = location.partition("/")
            path = f"/{rest}"
        if answer.status is not None and answer.status < 500:
            return answer
    return answer


async def put_config(bed, config, seconds=20.0):
    """Send a configuration until it is acknowledged."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answer = await call_control(bed, bed.controls, "PUT", "/config", config, 2.0)
        if answer.status == 200:
            bed.record.write(f"configuration {config['Version']} acknowledged")
            return True
        await asyncio.sleep(0.2)
    bed.record.write(f"configuration {config['Version']} not acknowledged")
    return False


async def wait_ready(bed, seconds=20.0):
    """Wait until all fronts say that they are ready."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        answers = [
            await call(bed.ready_address(name), "GET", "/ready", timeout=1.0)
            for name in bed.fronts
        ]
        if all(answer.status == 200 for answer in answers):
            return True
        await asyncio.sleep(0.1)
    return False


REPORT = {
    "Stage": "unified",
    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
    "Busy": False,
    "Seq": 0,
    "Waiting": 0,
    "Running": 1,
    "KvUsed": 5000,
    "KvTotal": 450000,
    "Handles": 0,
}
"""What an engine answers to ``GET /report``."""

ENGINE = {
    "Slots": 8,
    "KvCapacity": 450000,
    "KvTokenBytes": 327680,
    "LinkMbps": 400000.0,
    "Stride": 46,
    "Models": [{"Name": "m"}],
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "LoadsPerS": 0.0,
    "loads_at_once": 8,
    "delays": [],
    "usual": {"prompt": 13239, "answer": 1540},
    "HopMs": 0.1,
}
"""The engines of the users' sheet."""

HOST = "one.example"
KEY = "k3yk3yk3yk3yk3yk3yk3"
SERVICE = "svc-a"


def build_config(version, **changes):
    """Return a configuration with a plain service, its routes and one tenant."""
    route = {
        "Host": HOST,
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "Priority": 1,
        "Service": SERVICE,
        "Public": False,
        "Sticky": False,
        "Resumable": False,
    }
    config = {
        "Version": version,
        "Routes": [
            route
            | {
                "Name": "r-safe",
                "PathPrefix": "/safe/",
                "Kind": "idempotent",
                "MaxAttempts": 2,
            },
            route
            | {
                "Name": "r-unsafe",
                "PathPrefix": "/unsafe/",
                "Kind": "non_idempotent",
                "MaxAttempts": 1,
            },
            route
            | {
                "Name": "r-stream",
                "PathPrefix": "/stream/",
                "Kind": "streaming",
                "MaxAttempts": 2,
                "Resumable": True,
                "GapAimMs": 500,
            },
        ],
        "Services": [
            {
                "Name": SERVICE,
                "HealthPath": "/health",
                "MaxConnections": 100,
                "Protocol": "h1",
                "Tls": False,
            }
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "tenant-a", "ApiKeys": [KEY], "Priority": 1}],
    }
    return config | changes


class Replica:
    """A stand-in of a replica: registers, answers, and records what it ran."""

    def __init__(self, bed, number, service=SERVICE):
        self.bed = bed
        self.id = f"i-{random.randrange(16**8):08x}"
        self.service = service
        self.number = number
        self.address = ""
        self.ran = []
        self.arrived = []
        self.sequence = 0
        self.misbehave = None
        """Called with (replica, request id, writer) before a sound answer.

        Returns whether it has answered in place of the sound answer."""

        self.work_s = 0.03
        self.slots = 6
        self._server = None
        self._beats = None

    async def start(self):
        ip = f"{self.bed.net}.{100 + self.number}"
        self._server = await asyncio.start_server(self._serve, ip, 0)
        self.address = f"{ip}:{self._server.sockets[0].getsockname()[1]}"
        self._beats = asyncio.create_task(self._beat())

    def stop_beats(self):
        self._beats.cancel()

    def build_registration(self, state="ready"):
        self.sequence += 1
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": "z1",
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "ColdRemainingMs": 0,
            "Stage": "unified",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Seq": self.sequence,
        }

    async def register(self, state="ready", names=None):
        names = names or random.sample(self.bed.controls, len(self.bed.controls))
        names = [name for name in names if name in self.bed.running]
        path = f"/instances/{self.id}"
        payload = self.build_registration(state)
        return await call_control(self.bed, names, "PUT", path, payload)

    async def _beat(self):
        while True:
            await self.register()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                if not await self._answer(first, headers, body, writer):
                    break
        except (
            OSError,
            asyncio.IncompleteReadError,
            ValueError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            writer.close()

    async def _answer(self, first, headers, body, writer):
        method, path, _ = first.split(" ", 2)
        found = {name.lower(): value for name, value in headers}
        request = found.get("x-request-id", "")
        self.arrived.append((self.bed.record.now(), request))
        expected = found.get("x-expect-instance")
        if path == "/report":
            return await self._send(writer, 200, [], json.dumps(REPORT).encode())
        if path == "/health" or not request:
            return await self._send(writer, 200, [("X-Instance-Id", self.id)], b"ok")
        if expected not in (None, self.id):
            echo = [("X-Request-Id", request), ("X-Not-Executed", "1")]
            return await self._send(writer, 421, echo, b"")
        self.ran.append((self.bed.record.now(), request, method, path, found, body))
        self.bed.record.write(f"{self.id} runs {request} ({method} {path})")
        await asyncio.sleep(self.work_s)
        if self.misbehave is not None and await self.misbehave(self, request, writer):
            return False
        echo = [("X-Request-Id", request), ("X-Server-Seal", f"seal.{self.id}")]
        return await self._send(writer, 200, echo, f"done {request}".encode())

    async def _send(self, writer, status, headers, body):
        lines = [f"HTTP/1.1 {status} X"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines += ["Content-Type: text/plain", f"Content-Length: {len(body)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        return True

    async def close(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()


def caller_headers(request, deadline_ms=4000):
    """Return the headers of a caller's request to a plain service."""
    return [
        ("Host", HOST),
        ("X-Request-Id", request),
        ("X-Deadline-Ms", str(deadline_ms)),
        ("Authorization", f"Bearer {KEY}"),
    ]
