"""Attempts at an upstream of which a later incarnation registers.

Guards against ending responses of the new incarnation when its registration comes late,
and against waiting for those of the earlier one.
"""

import asyncio

import pytest

from scalebend.edges.gateway import running_attempts
from scalebend.edges.gateway.running_attempts import RunningAttempts

PAUSE_S = 0.3
ADDRESS = "10.0.0.1:80"


@pytest.fixture(autouse=True)
def shorten_pause(monkeypatch):
    monkeypatch.setattr(running_attempts, "MAX_PAUSE_S", PAUSE_S)


async def run_attempt(attempts, events, interval=PAUSE_S / 2):
    """Receive events, then wait; return whether the attempt was ended."""
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], ADDRESS) as running:
        try:
            async with running.timeout:
                for _ in range(events):
                    running.record_data(loop.time())
                    await asyncio.sleep(interval)
                await asyncio.sleep(3 * PAUSE_S)
        except TimeoutError:
            return True
    return False


async def start(attempts, events):
    running = asyncio.create_task(run_attempt(attempts, events))
    await asyncio.sleep(0.01)
    began = asyncio.get_running_loop().time()
    attempts.end("i-1", ADDRESS, began)
    return running, began


async def test_response_that_goes_on_after_a_restart_is_not_ended():
    running, _ = await start(RunningAttempts(), 10)
    assert not await running


async def test_response_that_goes_silent_after_a_restart_is_ended():
    running, began = await start(RunningAttempts(), 1)
    assert await running
    assert asyncio.get_running_loop().time() - began >= PAUSE_S


async def test_attempt_that_was_just_sent_goes_on():
    attempts = RunningAttempts()
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], ADDRESS) as running:
        async with running.timeout:
            running.record_connection()
            attempts.end("i-1", ADDRESS, loop.time())
            await asyncio.sleep(PAUSE_S / 2)
            running.record_data(loop.time())
            await asyncio.sleep(2 * PAUSE_S)


async def test_attempt_elsewhere_than_the_new_incarnation_is_ended_at_once():
    attempts = RunningAttempts()
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], "10.0.0.2:80") as running:
        with pytest.raises(TimeoutError):
            async with running.timeout:
                running.record_connection()
                running.record_data(loop.time())
                attempts.end("i-1", ADDRESS, loop.time())
                await asyncio.sleep(PAUSE_S / 2)


async def test_attempt_without_data_is_ended_at_once():
    running, began = await start(RunningAttempts(), 0)
    assert await running
    assert asyncio.get_running_loop().time() - began < PAUSE_S


async def test_attempt_that_has_ended_is_left_alone():
    attempts = RunningAttempts()
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], ADDRESS) as running:
        async with running.timeout:
            running.record_data(loop.time())
            attempts.end("i-1", ADDRESS, loop.time())
    await asyncio.sleep(2 * PAUSE_S)
    assert running.restarted_upstream is None


async def test_long_prefill_of_a_late_registration_goes_on():
    """Guards against ending work of the new incarnation that has sent nothing yet."""
    attempts = RunningAttempts()
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], ADDRESS) as running:
        async with running.timeout:
            running.record_connection()
            attempts.end("i-1", ADDRESS, loop.time())
            await asyncio.sleep(3 * PAUSE_S)
            running.record_data(loop.time())


async def test_silent_attempt_of_a_late_registration_is_waited_for(monkeypatch):
    """Guards against ending work of a new incarnation that falls silent at once."""
    monkeypatch.setattr(running_attempts, "MIN_RESTART_S", 0.0)
    attempts = RunningAttempts()
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], ADDRESS) as running:
        async with running.timeout:
            running.record_connection()
            attempts.end("i-1", ADDRESS, loop.time() + PAUSE_S / 2)
            await asyncio.sleep(PAUSE_S / 2)
            running.record_data(loop.time() + PAUSE_S)
            await asyncio.sleep(2 * PAUSE_S)


async def test_attempt_of_a_late_registration_that_stays_silent_is_ended(monkeypatch):
    """Guards against waiting for the earlier incarnation until the deadline."""
    monkeypatch.setattr(running_attempts, "MIN_RESTART_S", 0.0)
    attempts = RunningAttempts()
    loop = asyncio.get_running_loop()
    with attempts.watch(loop.time() + 10.0, ["i-1"], ADDRESS) as running:
        with pytest.raises(TimeoutError):
            async with running.timeout:
                running.record_connection()
                attempts.end("i-1", ADDRESS, loop.time() + PAUSE_S / 2)
                await asyncio.sleep(5 * PAUSE_S)
