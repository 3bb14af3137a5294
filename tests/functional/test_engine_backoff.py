"""Engines of the project's own interface that reject requests and ask for a backoff.

Guards against choices that ignore the backoff, and against an unreadable
``Retry-After`` that makes a request count as run.
"""

import asyncio

import msgspec
import pytest

from tests.lib.fleet import run_fleet

BACKOFF_S = 3.0
MAX_REQUESTS = 2
IN_FLIGHT_S = 0.5


async def call_until(fleet, end, statuses, number):
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < end:
        count += 1
        async with fleet.complete(f"prompt {number}/{count}") as answer:
            await answer.read()
        statuses.append(answer.status)
        await asyncio.sleep(0.02)


async def run_load(fleet, seconds, callers=8):
    end = asyncio.get_running_loop().time() + seconds
    statuses = []
    calls = (call_until(fleet, end, statuses, number) for number in range(callers))
    await asyncio.gather(*calls)
    return statuses


def count_in_backoff(engine):
    first = engine.rejected_at[0]
    since, until = first + IN_FLIGHT_S, first + BACKOFF_S
    return sum(since < at < until for at in engine.rejected_at)


async def test_backoff_of_an_engine_is_respected():
    async with run_fleet(3) as fleet:
        rejecting = fleet.engines[0]
        rejecting.retry_after = f"{BACKOFF_S:g}"
        statuses = await run_load(fleet, BACKOFF_S)
        assert rejecting.rejected_at
        assert count_in_backoff(rejecting) <= MAX_REQUESTS
        assert set(statuses) == {200}


async def test_backoff_of_all_engines_is_respected_and_reported_to_callers():
    async with run_fleet(2) as fleet:
        for engine in fleet.engines:
            engine.retry_after = f"{BACKOFF_S:g}"
        await run_load(fleet, BACKOFF_S - 0.5, callers=4)
        async with fleet.complete("one more") as answer:
            problem = msgspec.json.decode(await answer.read())
        assert (answer.status, problem["ran"]) == (503, "no")
        assert 0 < int(answer.headers["Retry-After"]) <= BACKOFF_S
        for engine in fleet.engines:
            assert count_in_backoff(engine) <= MAX_REQUESTS
            engine.retry_after = None
        await asyncio.sleep(1.0)
        async with fleet.complete("and another") as answer:
            await answer.read()
        assert answer.status == 200


@pytest.mark.parametrize("status", [429, 503])
async def test_caller_gets_the_retry_after_of_a_rejecting_engine(status):
    async with run_fleet(1) as fleet:
        fleet.engines[0].retry_after = "3"
        fleet.engines[0].rejection_status = status
        async with fleet.complete("a prompt") as answer:
            problem = msgspec.json.decode(await answer.read())
        assert problem["ran"] == "no"
        assert answer.headers["Retry-After"] == "3"


@pytest.mark.parametrize("retry_after", ["Wed, 21 Oct 2026 07:28:00 GMT", "-1", "soon"])
async def test_unreadable_retry_after_still_means_not_run(retry_after):
    async with run_fleet(1) as fleet:
        fleet.engines[0].retry_after = retry_after
        async with fleet.complete("a prompt") as answer:
            problem = msgspec.json.decode(await answer.read())
        assert problem["ran"] == "no"
