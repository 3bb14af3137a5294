"""Silences of stand-in replicas: who falls silent, and for how long."""

import asyncio
import math
import time

from scalebend.models.ids import UpstreamId
from scalebend.soak.faults import SilencePlace
from scalebend.soak.observations import Observations
from scalebend.soak.silences import Silences

SILENCE_S = 0.1


def build_silences():
    observations = Observations()
    return observations, Silences(observations, lambda: UpstreamId("i-1"))


async def measure(waiting):
    began = time.monotonic()
    await waiting
    return time.monotonic() - began


async def test_silent_replica_does_nothing_until_it_goes_on():
    observations, silences = build_silences()
    async with asyncio.TaskGroup() as group, silences.silence_all():
        # A second silence of the same replica doesn't end the first.
        async with silences.silence_all():
            pass
        waits = [
            group.create_task(measure(waiting))
            for waiting in (
                silences.wait(),
                silences.pass_place("r-1", None),
                silences.pass_place("r-2", SilencePlace.MIDWAY),
            )
        ]
        await asyncio.sleep(SILENCE_S)
    assert all(task.result() > 0.9 * SILENCE_S for task in waits)
    assert [one.request_id for one in observations.silent_requests] == ["r-1", "r-2"]
    for silent in observations.silent_requests:
        assert silent.until - silent.since > 0.9 * SILENCE_S
    assert await measure(silences.pass_place("r-3", None)) < SILENCE_S


async def test_silences_do_not_follow_each_other_at_once():
    observations, silences = build_silences()
    async with silences.silence_all():
        pass
    with silences.silence_next(SilencePlace.HEAD, SILENCE_S, 1):
        async with silences.silence_all():
            assert await measure(silences.pass_place("r-1", None)) < SILENCE_S
        assert await measure(silences.pass_place("r-1", SilencePlace.HEAD)) < SILENCE_S
        assert observations.silent_requests == []
        silences._sounds_since = -math.inf
        await silences.pass_place("r-1", SilencePlace.HEAD)
    assert len(observations.silent_requests) == 1


async def test_only_the_next_responses_at_a_place_fall_silent():
    observations, silences = build_silences()
    with silences.silence_next(SilencePlace.FIRST_EVENT, SILENCE_S, 1):
        assert await measure(silences.pass_place("r-1", None)) < SILENCE_S
        await silences.pass_place("r-2", SilencePlace.HEAD)
        await silences.pass_place("r-3", SilencePlace.FIRST_EVENT)
        await silences.pass_place("r-4", SilencePlace.FIRST_EVENT)
    with silences.silence_next(SilencePlace.MIDWAY, SILENCE_S, 1):
        pass
    await silences.pass_place("r-5", SilencePlace.MIDWAY)
    (silent,) = observations.silent_requests
    assert silent.request_id == "r-3"
    assert silent.until - silent.since > 0.9 * SILENCE_S


async def test_silence_of_a_request_that_is_cancelled_ends():
    observations, silences = build_silences()
    async with silences.silence_all():
        waiting = asyncio.create_task(silences.pass_place("r-1", None))
        await asyncio.sleep(0)
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)
        (silent,) = observations.silent_requests
        assert silent.until is not None
