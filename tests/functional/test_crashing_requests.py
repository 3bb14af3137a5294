"""A repeated request that crashes every replica that starts it is quarantined.

Guards against fronts that forget crashes between arrivals of the same request, or do
not share them, so that one caller crashes the replicas of a service one by one.
"""

import asyncio

import pytest

from tests.lib.fragile_replicas import FragileReplica
from tests.lib.gateway_system import run_system

POISON = b"a prompt that no engine survives"

MAX_CRASHES = 3
"""Replicas that one request may crash before it is quarantined at all fronts."""

RESTART_DELAY_S = 0.8
"""Seconds until a crashed replica is back under another name."""


class PoisonedReplica(FragileReplica):
    restart_delay_s = RESTART_DELAY_S

    def is_crashed_by(self, request, body):
        return body == POISON


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, 6, PoisonedReplica) as system:
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
    await system.restart([system.processes.find_leader()])
    await assert_quarantined(system)
    await system.restart(["front-0"])
    await assert_quarantined(system)
    await system.restart(system.processes.names[:3])
    await assert_quarantined(system)


async def test_request_stays_held_when_all_processes_start_again(system):
    await send_poison(system, 4)
    await asyncio.sleep(RESTART_DELAY_S)
    await system.restart(system.processes.started)
    await assert_quarantined(system)
