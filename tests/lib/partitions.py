"""Partitions of fronts from replicas, and callers that count what is served."""

import contextlib
import time
from enum import Enum

import aiohttp
import msgspec

from scalebend.soak.misbehaving import Partition
from scalebend.standins.ports import find_free_ports
from scalebend.standins.proxy import Direction, Rule, run_proxy
from tests.lib.gateway_load import send_steadily
from tests.lib.platform_replicas import EVENTS, Replica

REPLICA_HOST = "127.0.0.1"
"""All replicas listen there, and no process does."""

CALL_INTERVAL_S = 0.066
COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, EVENTS + 1)
)
QUICK_PROMPT = {
    "X-Model": "m",
    "X-Token-Counts": "5000,100",
    "X-Prompt-Prefix": "5c1e07a2:4000,91bd3f06:1000",
}
LONG_PROMPT = {**QUICK_PROMPT, "X-Token-Counts": "200000,100"}


class ProxiedReplica(Replica):
    """A replica whose connections tell fronts apart."""

    proxy = None

    @contextlib.asynccontextmanager
    async def listen(self):
        (port,) = find_free_ports(1)
        target, self.address = self.address, f"{REPLICA_HOST}:{port}"
        async with run_proxy(self.address, target) as self.proxy:
            yield


class OpenConnections(Enum):
    """What becomes of open connections when a partition begins."""

    RESET = "reset"
    SILENT = "silent"
    LIVE = "live"


class Shape(msgspec.Struct, frozen=True):
    """How the connections of a partitioned front fail."""

    is_refused: bool
    open_connections: OpenConnections


@contextlib.contextmanager
def partition(system, front, shape):
    """Partition a front from all replicas until the block ends."""
    name = f"front-{front}"
    host = system.processes.find_ip(name)
    failing = Partition(REPLICA_HOST, shape.is_refused)
    with contextlib.ExitStack() as stack:
        system.processes.set_faults(name, partition=failing)
        for replica in system.replicas:
            match shape.open_connections:
                case OpenConnections.RESET:
                    replica.proxy.reset_all(host)
                case OpenConnections.SILENT:
                    rule = Rule(host, Direction.BOTH)
                    stack.enter_context(replica.proxy.apply(rule))
        try:
            yield
        finally:
            system.processes.set_faults(name)


class Answered(msgspec.Struct, frozen=True):
    """The first attempt of one caller."""

    request: str
    kind: str
    asked_at: float
    status: int
    is_complete: bool
    elapsed: float


KINDS = (
    ("idempotent", {}),
    ("stream", {}),
    ("non_idempotent", {}),
    ("stream", QUICK_PROMPT),
    ("stream", LONG_PROMPT),
)
KINDS_QUICK = KINDS[:-1]
KINDS_AT_MOST_ONCE = (("non_idempotent", {}),)


class Callers:
    """Callers of one front at a steady rate, each with a single attempt."""

    def __init__(self, system, front, kinds=KINDS):
        self.system = system
        self.front = front
        self.kinds = kinds
        self.answered = []

    async def run(self, seconds):
        def call_next(number):
            kind, headers = self.kinds[number % len(self.kinds)]
            return self._call(kind, number, headers)

        await send_steadily(call_next, CALL_INTERVAL_S, seconds)

    async def _call(self, kind, number, headers):
        asked_at = time.monotonic()
        status, body = 0, b""
        request = f"caller-{self.front}-{len(self.answered)}-{number}"
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            status, body, _ = await self.system.call(
                kind,
                front=self.front,
                body=b"%d" % number,
                **{"X-Request-Id": request, **headers},
            )
        is_stream = kind == "stream"
        is_complete = body == COMPLETE_STREAM if is_stream else b"done by" in body
        elapsed = time.monotonic() - asked_at
        name = f"{kind} {headers.get('X-Token-Counts', '')}".strip()
        self.answered.append(
            Answered(request, name, asked_at, status, is_complete, elapsed)
        )

    def list_since(self, at):
        return [one for one in self.answered if one.asked_at >= at]


def list_failed(answered):
    """Describe the attempts that were not served."""
    return [
        f"{one.kind}: {one.status} after {one.elapsed:.2f} s"
        for one in answered
        if one.status != 200 or not one.is_complete
    ]
