"""A front process that stops as planned answers what is open before it would be killed.

Guards against connections closed without an answer at the end of a drain.
"""

import asyncio
import signal
import time

import aiohttp

from scalebend.core.gateway.drain import Drain
from scalebend.models.gateway_settings import Bounds
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.platform_replicas import Place, Replica, build_document

GRACE_S = Bounds().drain_grace
OPEN = 5
"""Open requests of each kind."""

LONG_BYTES = 12 * 1024 * 1024


class HoldingReplica(Replica):
    """Sends no head of plain responses, and one event of streams."""

    async def reach(self, request, place):
        held = Place.MIDWAY if "stream" in request.path else Place.HEAD
        if self.mode == "hold" and place is held:
            await asyncio.Event().wait()


async def wait_for_routing(system):
    async with asyncio.timeout(5.0):
        while not any(
            line["event"] == "routing applied" and line["version"] == 2
            for line in system.processes.read_log("front-0")
        ):
            await asyncio.sleep(0.05)


async def call(system, kind):
    """Return the status, or ``None`` if the response ended early."""
    try:
        status, _, _ = await system.call(kind, **{"X-Deadline-Ms": "20000"})
    except aiohttp.ServerDisconnectedError:
        return "closed without an answer"
    except aiohttp.ClientPayloadError:
        return None
    return status


async def test_open_requests_are_answered_before_the_process_is_killed(tmp_path):
    async with run_system(tmp_path, build_replica=HoldingReplica) as system:
        assert await system.put(build_document(2, [SERVICE], TimeoutMs=20_000)) == 200
        await wait_for_routing(system)
        for replica in system.replicas:
            replica.mode = "hold"
        kinds = ["non_idempotent", "stream"]
        calls = {
            kind: [asyncio.create_task(call(system, kind)) for _ in range(OPEN)]
            for kind in kinds
        }
        while sum(len(replica.ran) for replica in system.replicas) < 2 * OPEN:
            await asyncio.sleep(0.01)
        started = time.monotonic()
        system.processes.signal("front-0", signal.SIGTERM)
        plain = await asyncio.gather(*calls["non_idempotent"])
        assert time.monotonic() - started > Drain(0.0, GRACE_S).end - 0.1
        streams = await asyncio.gather(*calls["stream"])
        process = system.processes.running["front-0"]
        assert await asyncio.to_thread(process.wait, 2.0) == 0
        assert time.monotonic() - started < GRACE_S
        assert plain == [504] * OPEN
        assert streams == [None] * OPEN
        events = [line["event"] for line in system.processes.read_log("front-0")]
        assert events.count("request ended by the stop") == 2 * OPEN
        assert "request ended without a response" not in events
        assert "caller left" not in events


class LongReplica(Replica):
    """Its responses are larger than what connections buffer."""

    async def handle(self, request):
        response = await super().handle(request)
        if "idempotent" in request.path and self.mode == "long":
            response.body = bytes(LONG_BYTES)
        return response


async def test_response_that_a_caller_still_reads_is_completed(tmp_path):
    """A request no longer counted as open while its response was written."""
    async with run_system(tmp_path, build_replica=LongReplica) as system:
        for replica in system.replicas:
            replica.mode = "long"
        url = f"http://{system.processes.find_front(0)}/{SERVICE}/idempotent/x"
        headers = {
            "Host": "test.example",
            "X-Request-Id": "long",
            "X-Deadline-Ms": "4000",
            "Authorization": "Bearer key-1",
        }
        async with system.session.post(url, headers=headers) as response:
            assert response.status == 200
            system.processes.signal("front-0", signal.SIGTERM)
            await asyncio.sleep(Drain(0.0, GRACE_S).end - 1.0)
            assert len(await response.read()) == LONG_BYTES
        process = system.processes.running["front-0"]
        assert await asyncio.to_thread(process.wait, 2.0) == 0
