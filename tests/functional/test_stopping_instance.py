"""Requests that are open when the drain time of an instance ends."""

import asyncio
import signal

import msgspec

from tests.lib.builders import MODEL
from tests.lib.cluster import run_cluster

NAME = "instance-0"
DRAIN_TIME_S = 1.0
LONG_TOKENS = 380_000
"""Output of a request that leaves room for a short one on the only engine."""

SHORT_TOKENS = 5_000
EXCESSIVE_TOKENS = 50_000
"""Output for which the engine has no memory until the long request ends."""


def post(cluster, prompt, max_tokens, *, stream):
    body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens}
    return cluster.session.post(
        f"{cluster.url(NAME)}/v1/completions",
        data=msgspec.json.encode({**body, "stream": stream}),
        headers={"Authorization": "Bearer keepers"},
    )


async def read_problem(cluster, prompt, max_tokens):
    async with post(cluster, prompt, max_tokens, stream=False) as response:
        document = await response.json(content_type="application/problem+json")
        return response.status, document["type"], document["ran"]


# Guards against a planned stop that closes the connections of callers who wait.
async def test_open_requests_are_answered_at_the_end_of_the_drain_time(tmp_path):
    limits = {"default_time_limit": 30.0, "drain_time": DRAIN_TIME_S}
    async with run_cluster(
        tmp_path, count=1, control=1, engines=1, limits=limits
    ) as cluster:
        await cluster.apply(NAME, 0, "first")
        async with post(cluster, "stream", LONG_TOKENS, stream=True) as response:
            await response.content.readany()
            running = asyncio.create_task(read_problem(cluster, "run", SHORT_TOKENS))
            queued = asyncio.create_task(
                read_problem(cluster, "queue", EXCESSIVE_TOKENS)
            )
            async with asyncio.timeout(5.0):
                while len(cluster.engines[0].started) < 2:
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            assert len(cluster.engines[0].started) == 2
            stopping = asyncio.create_task(cluster.kill(NAME, signal.SIGTERM))
            events = await response.content.read()
        assert await running == (504, "time-limit", "yes")
        assert await queued == (503, "not-ready", "no")
        last = events.rstrip(b"\n").rsplit(b"\n\n", 1)[-1]
        assert last.startswith(b"event: error\ndata: {")
        assert b'"ran":"yes"' in last
        assert await stopping == 1
    log = (tmp_path / f"{NAME}.log").read_text()
    assert log.count("request ended by the stop") == 3
