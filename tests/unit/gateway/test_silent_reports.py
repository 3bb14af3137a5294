"""Load reports of replicas that pause for a second or two, on sockets.

Guards against a paused replica counting as unreachable, and against dead hosts and dead
connections being found later.
"""

import asyncio
import contextlib
import time

from scalebend.core.gateway.silences import MAX_PAUSE_S
from scalebend.edges.gateway.inspection import REPEAT_INTERVAL_S, Inspector
from scalebend.edges.gateway.report_requests import REPORT_TIMEOUT_S
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.models.placement import ReplicaPace
from tests.lib.front import drop_connections, find_closed_port
from tests.lib.raw_upstream import run_upstream

REPORT = b'{"pace": 1.0, "Waiting": 0, "Running": 0}'
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(REPORT) + REPORT
PACES = [ReplicaPace("i-1", 1.0)]
BOUND_S = REPORT_TIMEOUT_S + 0.1


class PausingReplica:
    """Sends reports while its gate is open."""

    def __init__(self):
        self.gate = asyncio.Event()
        self.gate.set()
        self.dead = set()
        """Connections on which nothing is sent any more."""

        self.connections = []

    async def respond(self, reader, writer):
        self.connections.append(writer)
        while True:
            await reader.readuntil(b"\r\n\r\n")
            await self.gate.wait()
            if writer in self.dead:
                await asyncio.sleep(30.0)
            writer.write(RESPONSE)


class Inspecting:
    """Inspects one replica, at times that are given."""

    def __init__(self, inspector, address):
        self._inspector = inspector
        self._addresses = {"i-1": address}

    async def inspect(self, now):
        """Return the paces, whether the replica counts as failed, and the time."""
        began = time.monotonic()
        found = await self._inspector.inspect(self._addresses, now)
        unanswered = self._inspector.list_unanswered(self._addresses, now)
        assert bool(unanswered) == (not found.paces)
        return found.paces, bool(found.unresponsive), time.monotonic() - began


@contextlib.asynccontextmanager
async def run_inspecting(address):
    async with open_upstream_sessions() as sessions:
        yield Inspecting(Inspector(sessions), address)


@contextlib.asynccontextmanager
async def run_replica():
    replica = PausingReplica()
    async with run_upstream(replica.respond) as (address, _):
        async with run_inspecting(address) as inspecting:
            yield replica, inspecting


async def test_paused_replica_does_not_count_as_failed():
    """Guards against fronts and the leader avoiding a replica for a second's pause."""
    async with run_replica() as (replica, inspecting):
        replica.gate.clear()
        assert (await inspecting.inspect(0.0))[:2] == ([], False)
        assert (await inspecting.inspect(REPEAT_INTERVAL_S))[:2] == ([], False)
        replica.gate.set()
        assert (await inspecting.inspect(2 * REPEAT_INTERVAL_S))[:2] == (PACES, False)


async def test_replica_that_stays_silent_counts_as_failed_after_the_longest_pause():
    async with run_replica() as (replica, inspecting):
        replica.gate.clear()
        assert not (await inspecting.inspect(0.0))[1]
        assert (await inspecting.inspect(MAX_PAUSE_S))[1]


async def test_pauses_far_apart_are_several():
    async with run_replica() as (replica, inspecting):
        replica.gate.clear()
        assert not (await inspecting.inspect(0.0))[1]
        assert not (await inspecting.inspect(5 * MAX_PAUSE_S))[1]


async def test_report_is_fetched_though_the_pooled_connection_is_dead():
    """Guards against one dead connection of the pool passing for a dead replica."""
    async with run_replica() as (replica, inspecting):
        assert (await inspecting.inspect(0.0))[0] == PACES
        replica.dead.update(replica.connections)
        paces, has_failed, elapsed = await inspecting.inspect(1.0)
        assert (paces, has_failed) == (PACES, False)
        assert elapsed < BOUND_S


async def test_report_is_fetched_though_the_pooled_connection_was_reset():
    async with run_replica() as (replica, inspecting):
        assert (await inspecting.inspect(0.0))[0] == PACES
        (pooled,) = replica.connections
        replica.dead.add(pooled)
        asyncio.get_running_loop().call_later(0.05, pooled.transport.abort)
        assert (await inspecting.inspect(1.0))[:2] == (PACES, False)


async def test_dark_host_is_found_though_a_pooled_connection_is_open():
    async with open_upstream_sessions() as sessions:
        replica = PausingReplica()
        async with run_upstream(replica.respond) as (address, _):
            inspecting = Inspecting(Inspector(sessions), address)
            assert (await inspecting.inspect(0.0))[0] == PACES
        # It listens no longer, and its open connection is silent.
        replica.gate.clear()
        paces, has_failed, elapsed = await inspecting.inspect(1.0)
        assert (paces, has_failed) == ([], True)
        assert elapsed < BOUND_S


async def test_replica_that_accepts_no_connection_counts_as_failed_at_once():
    with drop_connections() as dropping:
        for address in (dropping, find_closed_port()):
            async with run_inspecting(address) as inspecting:
                paces, has_failed, elapsed = await inspecting.inspect(0.0)
                assert (paces, has_failed) == ([], True)
                assert elapsed < 0.25


async def test_old_silence_is_not_taken_for_the_report_that_is_being_fetched():
    """Guards against prompts that go around a replica which paused long ago."""
    replica = PausingReplica()
    async with (
        run_upstream(replica.respond) as (address, _),
        open_upstream_sessions() as sessions,
    ):
        inspector = Inspector(sessions)
        replica.gate.clear()
        await inspector.inspect({"i-1": address}, 0.0)
        assert inspector.list_unanswered(["i-1"], REPORT_TIMEOUT_S) == ["i-1"]
        replica.gate.set()
        fetching = asyncio.create_task(inspector.inspect({"i-1": address}, 60.0))
        await asyncio.sleep(0)
        assert inspector.list_unanswered(["i-1"], 60.0) == []
        fetching.cancel()
        await asyncio.wait([fetching])
        assert inspector.list_unanswered(["i-1"], 60.0) == []
