"""A cluster of instance processes through crashes, pauses and restarts."""

import asyncio
import os
import shutil
import signal

from tests.functional.test_requests import build_expected_text, read_text
from tests.lib.cluster import run_cluster

PAUSE_S = float(os.environ.get("SCALEBEND_PAUSE_SECONDS", "3"))
"""Long enough to be declared dead; `make soak` pauses for a minute."""


async def complete_prompt(cluster, name, prompt, max_tokens=4):
    async with cluster.complete(name, prompt, max_tokens=max_tokens) as response:
        events = await response.read()
        assert response.status == 200, events
    assert read_text(events) == build_expected_text(prompt, max_tokens)


async def test_cluster_survives_the_loss_of_control_instances(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        assert (await cluster.apply("instance-4", 0, "first"))[0] == 200
        await cluster.wait_version(1)
        for name in cluster.names:
            await complete_prompt(cluster, name, f"question at {name}")

        # A crash of the leader does not interrupt a request at another instance.
        leader = await cluster.find_leader()
        other = next(n for n in cluster.names if n not in cluster.control)
        request = asyncio.create_task(
            complete_prompt(cluster, other, "long", max_tokens=300)
        )
        await asyncio.sleep(0.3)
        await cluster.kill(leader)
        assert (await cluster.order(other, "order-1")) in (200, 503)
        await request

        # Accepted changes stay, and a repeated change gets the same response.
        survivor = next(n for n in cluster.control if n != leader)
        status, body = await cluster.apply(survivor, 1, "second")
        assert (status, body["version"]) == (200, 2)
        status, body = await cluster.apply(other, 1, "second")
        assert (status, body["version"]) == (200, 2)
        status, body = await cluster.apply(other, 1, "rival")
        assert (status, body["winner_change"]) == (409, "second")

        # The leader's disk is lost too; its replacement catches up, then votes.
        shutil.rmtree(tmp_path / leader)
        await cluster.start(leader)
        await cluster.wait_version(2)
        await cluster.wait_ready(cluster.names)
        await cluster.wait_until_voter(leader)

        # A second control instance crashes right after: accepted changes stay.
        other_control = next(n for n in cluster.control if n not in (leader,))
        await cluster.kill(other_control)
        others = [name for name in cluster.names if name != other_control]
        status, body = await cluster.apply(other, 2, "third")
        assert (status, body["version"]) == (200, 3)
        await cluster.wait_version(3, others)
        for number in range(4):
            name = others[number % len(others)]
            for _ in range(40):
                if await cluster.order(name, f"late-{number}") == 200:
                    break
                await asyncio.sleep(0.25)
            else:
                raise AssertionError("orders are rejected for too long")
        assert all(count == 1 for count in cluster.service.calls.values())


async def test_paused_instance_comes_back_without_harm(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        await cluster.apply("instance-4", 0, "first")
        await cluster.wait_version(1)
        leader = await cluster.find_leader()
        cluster.pause(leader)
        others = [name for name in cluster.names if name != leader]
        status, body = await cluster.apply(others[-1], 1, "second")
        assert (status, body["version"]) == (200, 2)
        await asyncio.sleep(PAUSE_S)
        await complete_prompt(cluster, others[0], "while one is paused")
        cluster.resume(leader)
        await cluster.wait_version(2)
        await cluster.wait_ready()
        await complete_prompt(cluster, leader, "after its return")


async def test_rolling_restart_fails_no_request(tmp_path):
    async with run_cluster(tmp_path, count=4) as cluster:
        await cluster.apply("instance-3", 0, "first")
        await cluster.wait_version(1)
        for name in cluster.names:
            local_request = asyncio.create_task(
                complete_prompt(cluster, name, "here", max_tokens=150)
            )
            other = next(n for n in cluster.names if n != name)
            remote_request = asyncio.create_task(
                complete_prompt(cluster, other, "there", max_tokens=150)
            )
            await asyncio.sleep(0.3)
            assert await cluster.kill(name, signal.SIGTERM) == 0
            await local_request
            await remote_request
            await cluster.start(name)
            await cluster.wait_ready()
        assert all(engine.model.used_tokens == 0 for engine in cluster.engines)
