"""A repeated request that crashes every replica that starts it is quarantined.

Guards against fronts that forget crashes between arrivals of the same request, or do
not share them, so that one caller crashes the replicas of a service one by one.
"""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from tests.lib.gateway_system import run_system
from tests.lib.platform_replicas import Replica

POISON = b"a prompt that no engine survives"

MAX_CRASHES = 3
"""Replicas that one request may crash before it is quarantined at all fronts."""

RESTART_DELAY_S = 0.8
"""Seconds until a crashed replica is back under another name."""


class FragileReplica(Replica):
    """Crashes when it starts a certain request, and aborts all others it runs."""

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.open_transports = set()
        self.restarts = 0
        self.is_up = True
        self.tasks = set()

    async def handle(self, request):
        if not self.is_up:
            request.transport.abort()
            return web.Response()
        body = await request.read()
        self.open_transports.add(request.transport)
        if body == POISON:
            self.ran.append((request, body))
            await asyncio.sleep(0.03)
            self.crash()
            return web.Response()
        response = await super().handle(request)
        self.open_transports.discard(request.transport)
        return response

    def crash(self):
        self.is_up = False
        for transport in self.open_transports:
            transport.abort()
        self.open_transports.clear()
        task = asyncio.create_task(self.restart())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart(self):
        await asyncio.sleep(RESTART_DELAY_S)
        self.restarts += 1
        self.id = f"{self.id.partition('-of-')[0]}-of-{self.restarts}"
        self.sequence = 0
        self.is_up = True
        async with aiohttp.ClientSession() as session:
            await self.register(session)


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, 6, FragileReplica) as system:
        yield system


def count_crashes(system):
    return sum(body == POISON for replica in system.replicas for _, body in replica.ran)


async def send_poison(system, times, kind="idempotent"):
    """Send the request repeatedly, to the fronts in turn."""
    statuses = []
    for number in range(times):
        status, _, _ = await system.call(kind, front=number % 2, body=POISON)
        statuses.append(status)
        await asyncio.sleep(0.3)
    return statuses


async def test_request_that_ends_replicas_reaches_few_of_them(system):
    for kind in ("idempotent", "non_idempotent", "stream"):
        statuses = await send_poison(system, 8, kind)
        assert count_crashes(system) <= MAX_CRASHES
        assert statuses[-1] == 503
        # Other requests are still served.
        await asyncio.sleep(RESTART_DELAY_S)
        for front in (0, 1):
            assert (await system.call(kind, front=front))[0] == 200
        for replica in system.replicas:
            replica.ran.clear()


async def test_other_requests_are_not_quarantined(system):
    await send_poison(system, 4)
    await asyncio.sleep(RESTART_DELAY_S)
    for number in range(10):
        status, _, _ = await system.call("idempotent", body=b"another %d" % number)
        assert status == 200


async def restart(system, names):
    for name in names:
        system.processes.kill(name)
    for name in names:
        system.processes.start(name)
    for front in (0, 1):
        await system.wait_ready(front=front, seconds=20.0)
    await system.wait_served()


async def assert_quarantined(system):
    """Check that both fronts refuse the request and no replica crashes."""
    crashes = count_crashes(system)
    for front in (0, 1):
        status, body, headers = await system.call(
            "idempotent", front=front, body=POISON
        )
        assert status == 503
        assert b'"type":"ends-upstreams"' in body
        assert b'"ran":"no"' in body
        assert float(headers["Retry-After"]) > 0.0
    assert count_crashes(system) == crashes


async def test_quarantine_survives_a_restart_of_the_leader_or_a_front(system):
    await send_poison(system, 4)
    await asyncio.sleep(RESTART_DELAY_S)
    await assert_quarantined(system)
    await restart(system, [system.processes.find_leader()])
    await assert_quarantined(system)
    await restart(system, ["front-0"])
    await assert_quarantined(system)
    await restart(system, system.processes.names[:3])
    await assert_quarantined(system)


async def test_request_stays_held_when_all_processes_start_again(system):
    await send_poison(system, 4)
    await asyncio.sleep(RESTART_DELAY_S)
    await restart(system, system.processes.started)
    await assert_quarantined(system)
