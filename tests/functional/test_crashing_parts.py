"""A part of prompts that crashes every replica which begins to write a response on it.

Guards against quarantines that recognize only repetitions of the same request, so that
ever new requests with the part crash the replicas of a service one by one, and against
verdicts on parts that sound requests share.
"""

import asyncio
import contextlib
import itertools
import time

import aiohttp
import msgspec
import pytest

from tests.lib.fragile_replicas import PartFragileReplica, SameNamePartFragileReplica
from tests.lib.gateway_load import keep_registered, send_steadily
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.partitions import COMPLETE_STREAM
from tests.lib.platform_replicas import build_document

REPLICAS = 10
FEW_REPLICAS = 4
"""Number with which callers' requests soon meet a replica that has just restarted."""

CRASHES_UNTIL_VERDICT = 5
CONTACT_S = 3.0
"""Seconds after the fifth crash from which few requests with the part may be sent."""

MAX_LATE_ARRIVALS = 3
MIN_SERVED_SHARE = 0.9

SOUND_INTERVAL_S = 0.04
GUILTY_INTERVAL_S = 0.33
QUIET_S = 3.0
GUILTY_S = 14.0

GUILTY = PartFragileReplica.guilty_part
COMMON = "5c1e07a2"
"""The part that all requests share."""


class Shape(msgspec.Struct, frozen=True):
    """What the requests look like that are sent."""

    kind: str
    has_engines: bool
    guilty: tuple[str, ...]
    """Shared parts of the guilty requests, in order."""

    sound: tuple[tuple[str, ...], ...]
    """Shared parts of the sound requests, one choice for each in turn."""

    prompt_tokens: int = 5000


SOUND_BEHIND_COMMON = ((COMMON, "91bd3f06"), (COMMON, "0dd0beef"))
SHAPES = {
    "engines": Shape("stream", True, (COMMON, GUILTY), SOUND_BEHIND_COMMON),
    "engines-guilty-first": Shape(
        "stream", True, (GUILTY, COMMON), ((COMMON,), ("91bd3f06", COMMON))
    ),
    "engines-long": Shape(
        "stream", True, (COMMON, GUILTY, "91bd3f06"), SOUND_BEHIND_COMMON, 200_000
    ),
    "plain": Shape("idempotent", False, (COMMON, GUILTY), SOUND_BEHIND_COMMON),
    "plain-at-most-once": Shape(
        "non_idempotent", False, (COMMON, GUILTY), SOUND_BEHIND_COMMON
    ),
}


class Sent(msgspec.Struct, frozen=True):
    """One attempt of a caller."""

    at: float
    ended_at: float
    is_served: bool
    status: int
    body: bytes
    retry_after: str | None


class PartCallers:
    """Callers whose requests all differ in body and last part, at either front."""

    def __init__(self, system, shape):
        self.system = system
        self.shape = shape
        self.number = itertools.count()

    async def run(self, prompts, interval_s, seconds):
        """Send requests with the parts of ``prompts`` in turn; return the attempts."""

        def send_next(number):
            return self.send(prompts[number % len(prompts)])

        return await send_steadily(send_next, interval_s, seconds)

    async def run_beside_guilty(self):
        """Send sound requests, from the end of the quiet time beside guilty ones.

        Returns the attempts of both, and when the guilty ones began.
        """
        sound, guilty = self.shape.sound, [self.shape.guilty]
        async with asyncio.TaskGroup() as group:
            running = group.create_task(
                self.run(sound, SOUND_INTERVAL_S, QUIET_S + GUILTY_S)
            )
            await asyncio.sleep(QUIET_S)
            began = time.monotonic()
            crashing = await self.run(guilty, GUILTY_INTERVAL_S, GUILTY_S)
        return running.result(), crashing, began

    async def send(self, parts):
        number = next(self.number)
        tokens = self.shape.prompt_tokens
        prefix = ",".join(f"{part}:{tokens // 4}" for part in parts)
        at = time.monotonic()
        status, body, headers = 0, b"", {}
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            status, body, headers = await self.system.call(
                self.shape.kind,
                front=number % 2,
                body=b"%d" % number,
                **{
                    "X-Model": "m",
                    "X-Token-Counts": f"{tokens},100",
                    "X-Prompt-Prefix": f"{prefix},{number:08x}:{tokens // 4}",
                },
            )
        is_whole = body == COMPLETE_STREAM or body.startswith(b"done by")
        is_served = status == 200 and is_whole
        ended_at = time.monotonic()
        retry_after = headers.get("Retry-After")
        return Sent(at, ended_at, is_served, status, body, retry_after)


@contextlib.asynccontextmanager
async def run_fragile_system(
    folder, has_engines, build=PartFragileReplica, replicas=REPLICAS
):
    async with run_system(folder, replicas, build) as system:
        engines = [SERVICE] if has_engines else []
        document = build_document(2, [SERVICE], engines=engines)
        assert await system.put(document) == 200
        async with keep_registered(system):
            yield system


def list_late_arrivals(system):
    """List when guilty requests arrived that were sent after the fifth crash."""
    crashes = sorted(at for replica in system.replicas for at in replica.crashed_at)
    assert len(crashes) >= CRASHES_UNTIL_VERDICT
    since = crashes[CRASHES_UNTIL_VERDICT - 1] + CONTACT_S
    arrivals = (at for replica in system.replicas for at in replica.guilty_at)
    return since, [at for at in arrivals if at > since]


def compute_served_share(attempts):
    assert len(attempts) >= 20
    return sum(attempt.is_served for attempt in attempts) / len(attempts)


@pytest.mark.parametrize("shape", SHAPES.values(), ids=SHAPES)
async def test_part_that_crashes_replicas_is_quarantined_and_others_are_served(
    tmp_path, shape
):
    async with run_fragile_system(tmp_path, shape.has_engines) as system:
        callers = PartCallers(system, shape)
        sound, guilty, began = await callers.run_beside_guilty()
        since, late = list_late_arrivals(system)
        # One that is still open may meet the first crash.
        quiet = [one for one in sound if one.ended_at < began]
        assert compute_served_share(quiet) == 1.0
        share = compute_served_share(
            [one for one in sound if one.at > since + CONTACT_S]
        )
        assert len(late) <= MAX_LATE_ARRIVALS, (len(late), share)
        assert share >= MIN_SERVED_SHARE
        refused = [one for one in guilty if one.at > since + CONTACT_S]
        assert {one.status for one in refused} == {503}
        assert all(b'"type":"ends-upstreams"' in one.body for one in refused)
        assert all(b'"ran":"no"' in one.body for one in refused)
        assert all(float(one.retry_after) > 0.0 for one in refused)


@pytest.mark.parametrize("name", ["engines", "plain"])
async def test_responses_of_restarted_replicas_void_no_crashes(tmp_path, name):
    # A replica that restarts under its name serves requests sent to the one before.
    shape = SHAPES[name]
    build = SameNamePartFragileReplica
    replicas = FEW_REPLICAS
    async with run_fragile_system(
        tmp_path, shape.has_engines, build, replicas
    ) as system:
        await PartCallers(system, shape).run_beside_guilty()
        _, late = list_late_arrivals(system)
        assert len(late) <= MAX_LATE_ARRIVALS


async def test_quarantined_part_stays_held_when_all_processes_start_again(tmp_path):
    shape = SHAPES["plain"]
    async with run_fragile_system(tmp_path, shape.has_engines) as system:
        callers = PartCallers(system, shape)
        await callers.run([shape.guilty], GUILTY_INTERVAL_S, 3.0)
        await asyncio.sleep(PartFragileReplica.restart_delay_s)
        await system.restart(system.processes.started)
        arrived = sum(len(replica.guilty_at) for replica in system.replicas)
        refused = [await callers.send(shape.guilty) for _ in range(4)]
        assert {one.status for one in refused} == {503}
        assert sum(len(replica.guilty_at) for replica in system.replicas) == arrived
        assert (await callers.send(shape.sound[0])).is_served
