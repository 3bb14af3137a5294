"""Stand-in replicas that follow the published protocol of the users' platform."""

import asyncio
import contextlib
import json
import time
from enum import Enum

import aiohttp
from aiohttp import web

EVENTS = 5
MIDWAY = 3
"""The event in the middle of a stream."""


class Place(Enum):
    """A place in a response: what comes next."""

    HEAD = "head"
    FIRST_EVENT = "first event"
    MIDWAY = "midway"


class Replica:
    """One replica: serves requests, records those it ran, and registers itself."""

    zone = "z"

    def __init__(self, number, service, controls):
        self.id = f"i-{number}"
        self.service = service
        self.controls = controls
        self.address = None
        self.ran = []
        self.orders = []
        self.cancelled_at = []
        self.transports = set()
        self.muted = set()
        self.unanswered = []
        """The muted connection of each request that came over one."""

        self.mode = "answer"
        self.event_interval_s = 0.02
        self.sequence = 0
        self.born = None
        """Start in Unix milliseconds, if its registrations name it."""

        self.gate = asyncio.Event()
        self.gate.set()

    async def handle(self, request):
        if request.path == "/report":
            return web.json_response({"pace": 1.0, "Waiting": 0, "Running": 0})
        if request.path == "/order":
            self.orders.append(await request.json())
            return web.json_response({"Available": 1})
        expected = request.headers.get("X-Expect-Instance")
        if expected not in (None, self.id):
            return web.Response(status=421)
        body = await request.read()
        if self.mode == "full":
            return web.Response(status=503, headers={"X-Not-Executed": "true"})
        self.transports.add(request.transport)
        if request.transport in self.muted:
            # The connection stays open without any response.
            self.unanswered.append(request.transport)
            await asyncio.Event().wait()
        self.ran.append((request, body))
        echo = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Server-Seal": f"seal-of-{self.id}",
        }
        if self.mode == "foreign":
            echo["X-Request-Id"] = "of-another"
        if self.mode == "vanish":
            request.transport.abort()
            return web.Response()
        if self.mode == "fail":
            return web.Response(status=500, headers=echo, body=b"own failure")
        await self.reach(request, Place.HEAD)
        if "stream" in request.path:
            try:
                return await self.stream(request, echo)
            except asyncio.CancelledError:
                self.cancelled_at.append(time.monotonic())
                raise
        return web.Response(headers=echo, body=b"done by " + self.id.encode())

    async def reach(self, request, place):
        """Called at each place of a response; tests override it."""

    async def stream(self, request, echo):
        response = web.StreamResponse(headers=echo)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        await self.reach(request, Place.FIRST_EVENT)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await self.gate.wait()
            if number == MIDWAY:
                await self.reach(request, Place.MIDWAY)
            await response.write(f"id: {number}\ndata: {number}\n\n".encode())
            if self.mode == "break" and number == 2:
                await response.write(b"id: 3\nda")
                request.transport.abort()
                return response
            await asyncio.sleep(self.event_interval_s)
        await response.write_eof()
        return response

    @contextlib.asynccontextmanager
    async def listen(self):
        """Listen elsewhere, too, and advertise that address."""
        yield

    async def register(self, session, state="ready"):
        self.sequence += 1
        document = {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": 8,
            "State": state,
            "ColdRemainingMs": 0,
            "Seq": self.sequence,
        }
        if self.born is not None:
            document["born"] = self.born
        await self.call_control(session, "PUT", document)

    async def deregister(self, session):
        await self.call_control(session, "DELETE", None)

    async def call_control(self, session, method, document):
        for control in self.controls:
            url = f"http://{control}/instances/{self.id}"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                timeout = aiohttp.ClientTimeout(total=1.0)
                async with session.request(
                    method, url, json=document, timeout=timeout
                ) as response:
                    if response.status == 200:
                        return
        raise AssertionError("no control instance accepted the registration")


@contextlib.asynccontextmanager
async def run_replica(number, service, controls, session, build=Replica):
    """Serve and register a replica until the block ends."""
    replica = build(number, service, controls)
    runner = web.ServerRunner(web.Server(replica.handle, handler_cancellation=True))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = site._server.sockets[0].getsockname()[1]
    replica.address = f"127.0.0.1:{port}"
    try:
        async with replica.listen():
            await replica.register(session)
            yield replica
    finally:
        await runner.cleanup()


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


def build_document(version, services, keys=("key-1",), engines=(), **route_changes):
    """Return a configuration document as the platform's operators send it."""
    routes = []
    for service in services:
        for kind, extra in (
            ("idempotent", {}),
            ("non_idempotent", {"MaxAttempts": 1}),
            ("streaming", {"Resumable": True, "GapAimMs": 200}),
        ):
            path = "stream" if kind == "streaming" else kind
            routes.append(
                {
                    "Name": f"{service}-{kind}",
                    "Host": "test.example",
                    "PathPrefix": f"/{service}/{path}/",
                    "Kind": kind,
                    "TimeoutMs": 5000,
                    "TargetLatencyMs": 300,
                    "Priority": 1,
                    "Service": service,
                    "MaxAttempts": 2,
                    "Public": False,
                    **extra,
                    **route_changes,
                }
            )
    document = {
        "Version": version,
        "Routes": routes,
        "Services": [
            {
                "Name": service,
                "HealthPath": "/health",
                "MaxConnections": 50,
                **({"Engine": ENGINE} if service in engines else {}),
            }
            for service in services
        ],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 65536,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "crew", "ApiKeys": list(keys), "Priority": 1}],
    }
    return json.dumps(document).encode()
