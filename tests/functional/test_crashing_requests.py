"""A request that ends each replica that begins it, sent again and again.

Seen: engines of a service ended one after the other, in volleys of four within a
second, for as long as one caller sent the same request again: 54 ends at 18 addresses
in 80 seconds. Every arrival was treated as a request that nobody had met before: a
front knew what an attempt had done to a replica only until it had answered, and no
other front knew it at all; the blame went to the replicas, which were ejected one by
one. Proved by the logs: two sends for each arrival, at all fronts, none of them beyond
what its route and the budget of retries allow.
"""

import asyncio

import aiohttp
import pytest
from aiohttp import web

from tests.lib.gateway_system import run_system
from tests.lib.platform_replicas import Replica

POISON = b"a prompt that no engine survives"

MOST_ENDED = 3
"""Replicas that one request may end before everybody knows it."""

DOWN = 0.8
"""Seconds until a replica that ended is back, under another name."""


class FragileReplica(Replica):
    """Ends when it begins to run a certain request; all it runs ends with it."""

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.open = set()
        self.lives = 0
        self.is_up = True
        self.tasks = set()

    async def handle(self, request):
        if not self.is_up:
            request.transport.abort()
            return web.Response()
        body = await request.read()
        self.open.add(request.transport)
        if body == POISON:
            self.ran.append((request, body))
            await asyncio.sleep(0.03)
            self.end()
            return web.Response()
        answer = await super().handle(request)
        self.open.discard(request.transport)
        return answer

    def end(self):
        self.is_up = False
        for transport in self.open:
            transport.abort()
        self.open.clear()
        task = asyncio.create_task(self.come_back())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def come_back(self):
        await asyncio.sleep(DOWN)
        self.lives += 1
        self.id = f"{self.id.partition('-of-')[0]}-of-{self.lives}"
        self.sequence = 0
        self.is_up = True
        async with aiohttp.ClientSession() as session:
            await self.register(session)


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, 6, FragileReplica) as system:
        yield system


def count_ended(system):
    return sum(body == POISON for replica in system.replicas for _, body in replica.ran)


async def send_poison(system, times, kind="idempotent"):
    """Send it again and again, to one front after the other."""
    statuses = []
    for number in range(times):
        status, _, _ = await system.call(kind, front=number % 2, body=POISON)
        statuses.append(status)
        await asyncio.sleep(0.3)
    return statuses


async def test_request_that_ends_replicas_reaches_few_of_them(system):
    for kind in ("idempotent", "non_idempotent", "stream"):
        statuses = await send_poison(system, 8, kind)
        assert count_ended(system) <= MOST_ENDED
        assert statuses[-1] == 503
        # The others are served as before.
        await asyncio.sleep(DOWN)
        for front in (0, 1):
            assert (await system.call(kind, front=front))[0] == 200
        for replica in system.replicas:
            replica.ran.clear()


async def test_other_requests_of_the_caller_are_not_taken_for_it(system):
    await send_poison(system, 4)
    await asyncio.sleep(DOWN)
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


async def assert_held(system):
    """It is refused by both fronts, which is not the cause of any replica's end."""
    ended = count_ended(system)
    for front in (0, 1):
        status, body, headers = await system.call(
            "idempotent", front=front, body=POISON
        )
        assert status == 503
        assert b'"type":"ends-upstreams"' in body
        assert b'"ran":"no"' in body
        assert float(headers["Retry-After"]) > 0.0
    assert count_ended(system) == ended


async def test_request_stays_held_when_the_leader_or_a_front_starts_again(system):
    await send_poison(system, 4)
    await asyncio.sleep(DOWN)
    await assert_held(system)
    await restart(system, [system.processes.find_leader()])
    await assert_held(system)
    await restart(system, ["front-0"])
    await assert_held(system)
    await restart(system, system.processes.names[:3])
    await assert_held(system)


async def test_request_stays_held_when_all_processes_start_again(system):
    await send_poison(system, 4)
    await asyncio.sleep(DOWN)
    await restart(system, system.processes.started)
    await assert_held(system)
