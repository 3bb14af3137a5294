"""Several instance processes as one system, while some of them die."""

import asyncio
import os
import shutil
import signal

from tests.functional.test_requests import build_expected_text, read_text
from tests.lib.cluster import run_cluster

PAUSE_SECONDS = float(os.environ.get("SCALEBEND_PAUSE_SECONDS", "3"))
"""Long enough to be held dead; `make soak` pauses for a minute."""


async def ask(cluster, name, prompt, max_tokens=4):
    async with cluster.complete(name, prompt, max_tokens=max_tokens) as answer:
        events = await answer.read()
        assert answer.status == 200, events
    assert read_text(events) == build_expected_text(prompt, max_tokens)


async def test_system_survives_the_loss_of_its_members(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        assert (await cluster.apply("instance-4", 0, "first"))[0] == 200
        await cluster.wait_version(1)
        for name in cluster.names:
            await ask(cluster, name, f"question at {name}")

        # A request in progress elsewhere is uncut by the death of the leader.
        leader = await cluster.find_leader()
        other = next(n for n in cluster.names if n not in cluster.control)
        running = asyncio.create_task(ask(cluster, other, "long", max_tokens=300))
        await asyncio.sleep(0.3)
        await cluster.kill(leader)
        assert (await cluster.order(other, "order-1")) in (200, 503)
        await running

        # What was accepted stays; the same change again gives the same answer.
        survivor = next(n for n in cluster.control if n != leader)
        status, answer = await cluster.apply(survivor, 1, "second")
        assert (status, answer["version"]) == (200, 2)
        status, answer = await cluster.apply(other, 1, "second")
        assert (status, answer["version"]) == (200, 2)
        status, answer = await cluster.apply(other, 1, "rival")
        assert (status, answer["winner_change"]) == (409, "second")

        # The leader's disk is lost with it; its replacement learns, then votes.
        shutil.rmtree(tmp_path / leader)
        await cluster.start(leader)
        await cluster.wait_version(2)
        await cluster.wait_ready(cluster.names)
        await cluster.wait_voter(leader)

        # Right after, a second member is lost: nothing accepted goes with it.
        second = next(n for n in cluster.control if n not in (leader,))
        await cluster.kill(second)
        rest = [name for name in cluster.names if name != second]
        status, answer = await cluster.apply(other, 2, "third")
        assert (status, answer["version"]) == (200, 3)
        await cluster.wait_version(3, rest)
        for number in range(4):
            name = rest[number % len(rest)]
            for _ in range(40):
                if await cluster.order(name, f"late-{number}") == 200:
                    break
                await asyncio.sleep(0.25)
            else:
                raise AssertionError("orders are refused for too long")
        assert all(count == 1 for count in cluster.service.calls.values())


async def test_paused_instance_comes_back_without_harm(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        await cluster.apply("instance-4", 0, "first")
        await cluster.wait_version(1)
        leader = await cluster.find_leader()
        cluster.pause(leader)
        rest = [name for name in cluster.names if name != leader]
        status, answer = await cluster.apply(rest[-1], 1, "second")
        assert (status, answer["version"]) == (200, 2)
        await asyncio.sleep(PAUSE_SECONDS)
        await ask(cluster, rest[0], "while one is silent")
        cluster.resume(leader)
        await cluster.wait_version(2)
        await cluster.wait_ready()
        await ask(cluster, leader, "after its return")


async def test_rolling_restart_cuts_nothing(tmp_path):
    async with run_cluster(tmp_path, count=4) as cluster:
        await cluster.apply("instance-3", 0, "first")
        await cluster.wait_version(1)
        for name in cluster.names:
            open_here = asyncio.create_task(ask(cluster, name, "here", max_tokens=150))
            other = next(n for n in cluster.names if n != name)
            open_there = asyncio.create_task(
                ask(cluster, other, "there", max_tokens=150)
            )
            await asyncio.sleep(0.3)
            assert await cluster.kill(name, signal.SIGTERM) == 0
            await open_here
            await open_there
            await cluster.start(name)
            await cluster.wait_ready()
        assert all(engine.model.used_tokens == 0 for engine in cluster.engines)
