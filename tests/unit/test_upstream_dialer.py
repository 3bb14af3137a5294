"""Choice of the way of each new connection, with scripted outcomes.

Guards against a process that stood still, and so missed that its connections came
about, being taken for a partitioned one.
"""

import asyncio
import errno

import aiohttp
import pytest

from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.edges.connection_checks import MAX_TIMER_DELAY_S
from scalebend.edges.upstream_dialer import (
    TRIAL_TIMEOUT_S,
    NewConnection,
    UpstreamDialer,
)
from scalebend.models.tunnels import TunnelPeer, TunnelReply

ADDRESS, OTHER = "10.0.0.1:80", "10.0.0.2:80"
TIMEOUT_S = 0.1


class Handler:
    def watch(self, dialer, address, opened_at, peer):
        self.peer = peer

    def close(self):
        pass


class Host:
    """Virtual time; ``outcomes`` are those of direct connections, one after another."""

    def __init__(self, *outcomes, replies=()):
        self.reach = UpstreamReach("z")
        self.reach.peers.replace([TunnelPeer(f"front-{n}", "z", "") for n in range(3)])
        self.time = 100.0
        self.outcomes = list(outcomes)
        self.replies = list(replies)
        self.timeouts = []
        self.spawned = []
        self.abandoned = 0

    def now(self):
        return self.time

    def spawn(self, work):
        work.close()
        self.spawned.append(work)

    def find_zone(self, address):
        return None

    def record_direct_failure(self, address, kind):
        self.reach.record_failure(address, kind, self.time)

    def count_reply(self, reply):
        pass

    def count_abandoned(self, connections):
        self.abandoned += connections

    async def open_tunnel(self, peer, address, handler):
        return self.replies.pop(0) if self.replies else None

    async def connect_directly(self, timeout_s):
        self.timeouts.append(timeout_s)
        delay, error = self.outcomes.pop(0)
        self.time += delay
        if error is not None:
            raise error
        return Handler()

    async def connect(self, address=ADDRESS):
        needed = NewConnection(address, self.connect_directly, Handler, TIMEOUT_S, True)
        return await UpstreamDialer(self).connect(needed)


def build_refusal(code=errno.ECONNREFUSED):
    return aiohttp.ClientConnectorError(None, OSError(code, "failed"))


async def test_direct_connection_is_used_while_it_works():
    host = Host((0.001, None))
    assert (await host.connect()).peer is None


async def test_peer_connects_if_the_direct_way_fails_without_proof():
    host = Host((TIMEOUT_S, TimeoutError()), replies=[TunnelReply.OPENED])
    assert (await host.connect()).peer == "front-0"
    assert host.reach.is_behind_tunnel(ADDRESS)


async def test_dead_upstream_is_left_at_once_if_the_own_network_works():
    host = Host((0.001, build_refusal()))
    host.reach.record_data(OTHER, 99.9, 99.9)
    with pytest.raises(aiohttp.ClientConnectorError):
        await host.connect()
    # Whether it is dead is found out in the background.
    assert len(host.spawned) == 1


async def test_timer_that_fires_late_is_no_evidence():
    late = TIMEOUT_S + MAX_TIMER_DELAY_S + 0.01
    host = Host(*[(late, TimeoutError())] * 3)
    for address in (ADDRESS, OTHER, "10.0.0.3:80"):
        with pytest.raises(TimeoutError):
            await host.connect(address)
    assert not host.reach.is_isolated


async def test_error_of_the_own_process_is_no_evidence():
    host = Host(*[(0.0, build_refusal(errno.EMFILE))] * 2)
    for address in (ADDRESS, OTHER):
        with pytest.raises(aiohttp.ClientConnectorError):
            await host.connect(address)
    assert not host.reach.is_isolated


async def test_isolated_process_tries_directly_again_if_no_peer_connects():
    """On a busy host a connection may just take longer than a trial."""
    host = Host((TRIAL_TIMEOUT_S, TimeoutError()), (0.05, None))
    for address in (OTHER, "10.0.0.3:80"):
        host.reach.record_failure(address, FailureKind.CONNECT, host.time)
    assert (await host.connect()).peer is None
    assert host.timeouts == [TRIAL_TIMEOUT_S, TIMEOUT_S]


async def test_next_peer_is_asked_after_one_that_cannot_help():
    replies = [TunnelReply.ISOLATED, None, TunnelReply.OPENED]
    host = Host((TIMEOUT_S, TimeoutError()), replies=replies)
    assert (await host.connect()).peer == "front-2"


async def test_cancelled_caller_ends_the_attempt():
    host = Host((0.0, asyncio.CancelledError()))
    with pytest.raises(asyncio.CancelledError):
        await host.connect()
    assert not host.reach.is_isolated


async def test_accepted_connections_show_that_the_network_works_though_all_are_silent():
    """Guards against isolation while two upstreams are dead and the others pause."""
    third = "10.0.0.3:80"
    host = Host((0.001, build_refusal()), (0.001, None), (0.001, build_refusal()))
    with pytest.raises(aiohttp.ClientConnectorError):
        await host.connect(ADDRESS)
    await host.connect(OTHER)
    with pytest.raises(aiohttp.ClientConnectorError):
        await host.connect(third)
    assert not host.reach.is_isolated


async def test_accepted_connection_from_before_the_failures_shows_nothing():
    host = Host((0.001, None), (0.001, build_refusal()), (0.001, build_refusal()))
    await host.connect(OTHER)
    for address in (ADDRESS, "10.0.0.3:80"):
        with pytest.raises(aiohttp.ClientConnectorError):
            await host.connect(address)
    assert host.reach.is_isolated
