"""Sound engines and services that send nothing for some seconds, and go on.

Guards against requests that nobody else may run being ended for a silence, while their
upstream is at work on them. Its announcements stop, too, as in a pause of its process.
"""

import asyncio

import pytest

from tests.functional.test_requests import wait_for_free_memory
from tests.lib.fleet import run_fleet

SILENCES = [1.0, 1.9, 2.4, 3.5]
"""Seconds; announcements count as missing after 2.5 s, and come twice a second."""

TOKENS = 12


async def begin_silence(fleet, seconds):
    """Silence the upstreams that run something, as soon as they do."""
    engines = fleet.engines
    await fleet.wait_until(
        lambda: any(e.started for e in engines) or fleet.service.calls
    )
    for engine in engines:
        if engine.started:
            engine.silence.begin(seconds)
    if fleet.service.calls:
        fleet.service.silence.begin(seconds)


async def wait_for_free_owners(fleet):
    owners = fleet.runtime.instance.owners
    await fleet.wait_until(lambda: all(owner.ledger.used == 0 for _, owner in owners))


def count_runs(fleet):
    return sum(len(engine.started) for engine in fleet.engines)


@pytest.mark.parametrize("headers", [{}, {"Idempotency_Key": "once"}], ids=str)
@pytest.mark.parametrize("seconds", SILENCES)
async def test_stream_goes_on_after_a_silence(seconds, headers):
    async with run_fleet(2, scale=2.0) as fleet:
        async with fleet.complete("hello", max_tokens=TOKENS, **headers) as response:
            assert response.status == 200
            await response.content.readuntil(b"\n\n")
            await begin_silence(fleet, seconds)
            rest = await response.read()
        assert rest.endswith(b"data: [DONE]\n\n") and b"event: error" not in rest
        assert count_runs(fleet) == 1
        await wait_for_free_memory(fleet)
        await wait_for_free_owners(fleet)


@pytest.mark.parametrize("seconds", SILENCES)
async def test_completion_that_may_run_once_is_answered(seconds):
    async with run_fleet(2, scale=2.0) as fleet:
        silence = asyncio.create_task(begin_silence(fleet, seconds))
        async with fleet.complete(
            "hello", stream=False, Idempotency_Key="once"
        ) as response:
            assert response.status == 200, await response.text()
        await silence
        assert count_runs(fleet) == 1
        await wait_for_free_memory(fleet)
        await wait_for_free_owners(fleet)
        assert not fleet.runtime.instance.entry.crashes.ledger.list_records()


@pytest.mark.parametrize("seconds", SILENCES)
async def test_completion_that_may_run_again_is_answered(seconds):
    async with run_fleet(2, scale=2.0) as fleet:
        silence = asyncio.create_task(begin_silence(fleet, seconds))
        async with fleet.complete("hello", stream=False) as response:
            assert response.status == 200, await response.text()
        await silence
        assert not fleet.runtime.instance.entry.crashes.ledger.list_records()


async def test_only_engine_is_waited_for():
    async with run_fleet(1, scale=2.0) as fleet:
        silence = asyncio.create_task(begin_silence(fleet, 3.5))
        async with fleet.complete("hello", stream=False) as response:
            assert response.status == 200, await response.text()
        await silence


@pytest.mark.parametrize("seconds", SILENCES)
async def test_order_is_answered_and_runs_once(seconds):
    async with run_fleet() as fleet:
        # The stand-in waits after it has counted the call.
        fleet.service.silence.begin(seconds)
        async with fleet.order("key", "order") as response:
            assert response.status == 200, await response.text()
        assert fleet.service.calls == {"order": 1}
