"""Checks of upstreams that send nothing to a request."""

from types import SimpleNamespace

import pytest

from scalebend.core.gateway.silences import Reachability
from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.edges.gateway.reachability import check_reachability
from scalebend.models.tunnels import TunnelPeer
from tests.lib.front import drop_connections, find_closed_port
from tests.lib.raw_upstream import hang_after, run_upstream

DEAD = ("10.0.0.1:80", "10.0.0.2:80")
SENT_AT, ISOLATED_AT, LATER = 1.0, 2.0, 3.0


class Instance:
    """The part of a front's state that the checks use."""

    def __init__(self):
        self.reach = UpstreamReach("z")
        self.reach.peers.replace([TunnelPeer("front-2", "z", "")])
        self.failed = []

    def record_direct_failure(self, address, kind, now):
        self.failed.append(address)

    def isolate(self):
        for address in DEAD:
            self.reach.record_failure(address, FailureKind.CONNECT, ISOLATED_AT)
        assert self.reach.is_isolated


async def check(instance, address, sent_at=SENT_AT):
    runtime = SimpleNamespace(instance=instance, now=lambda: LATER)
    return await check_reachability(runtime, address, sent_at)


@pytest.mark.parametrize("is_isolated", [False, True])
async def test_paused_upstream_is_reached(is_isolated):
    """Guards against second runs because other upstreams are dead."""
    instance = Instance()
    if is_isolated:
        instance.isolate()
    async with run_upstream(hang_after(b"", print)) as (address, _):
        assert await check(instance, address) is Reachability.REACHED
    assert not instance.failed


async def test_paused_upstream_shows_that_the_network_works():
    """Guards against isolation while two upstreams are dead and the others pause."""
    instance = Instance()
    instance.reach.record_failure(DEAD[0], FailureKind.CONNECT, ISOLATED_AT)
    async with run_upstream(hang_after(b"", print)) as (address, _):
        await check(instance, address)
    instance.reach.record_failure(DEAD[1], FailureKind.CONNECT, LATER + 0.1)
    assert not instance.reach.is_isolated


@pytest.mark.parametrize("is_isolated", [False, True])
async def test_dead_upstream_is_not_reached(is_isolated):
    instance = Instance()
    if is_isolated:
        instance.isolate()
    with drop_connections() as dropping:
        for address in (dropping, find_closed_port()):
            assert await check(instance, address) is Reachability.UNREACHED
            assert instance.failed[-1] == address


async def test_request_that_went_through_a_peer_does_not_depend_on_the_direct_way():
    instance = Instance()
    instance.isolate()
    address = find_closed_port()
    assert await check(instance, address, LATER) is Reachability.REACHED
    assert not instance.failed
