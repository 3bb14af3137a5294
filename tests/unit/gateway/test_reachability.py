"""Checks whether silent upstreams accept connections.

Guards against taking a paused upstream for a dark host, and against many connections to
one whose requests fall silent together.
"""

import asyncio
from functools import partial
from types import SimpleNamespace

import pytest

from scalebend.core.gateway.silences import Reachability
from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.edges.connection_checks import CHECK_TIMEOUT_S, MAX_TIMER_DELAY_S
from scalebend.edges.gateway.reachability import CHECK_LIFETIME_S, ReachabilityChecks
from scalebend.models.routing import RouteKind
from scalebend.models.tunnels import TunnelPeer
from tests.lib.front import drop_connections, find_closed_port, run_front
from tests.lib.gateway_builders import build_route, build_routing
from tests.lib.raw_upstream import hang_after, run_upstream

STALLED_S = CHECK_TIMEOUT_S + MAX_TIMER_DELAY_S
"""Time of a check whose timer came too late."""


def run_plain_front():
    return run_front(build_routing(1, [build_route(kind=RouteKind.IDEMPOTENT)]))


async def check(front, address):
    runtime = front.runtime
    return await runtime.reachability.check(address, runtime.now())


async def check_without_stall(check_once):
    """Check again while this process demonstrably stood still during a check.

    The result is then unknown by design; without a stall it has to be known.
    """
    loop = asyncio.get_running_loop()
    while True:
        began = loop.time()
        timer = asyncio.create_task(asyncio.sleep(CHECK_TIMEOUT_S))
        result = await check_once()
        await timer
        waited = loop.time() - began
        if result is not Reachability.UNKNOWN or waited < STALLED_S:
            return result
        # The result of the stalled check counts for a while.
        await asyncio.sleep(CHECK_LIFETIME_S)


async def listen(accepted):
    """Listen without ever reading, as a process that stands still."""

    async def accept(reader, writer):
        accepted.append(writer)

    return await asyncio.start_server(accept, "127.0.0.1", 0)


async def test_paused_upstream_is_reached_by_one_connection_for_all_requests():
    accepted = []
    async with run_plain_front() as front, await listen(accepted) as server:
        host, port = server.sockets[0].getsockname()
        checks = [check(front, f"{host}:{port}") for _ in range(20)]
        assert set(await asyncio.gather(*checks)) == {Reachability.REACHED}
        await asyncio.sleep(0.05)
        assert len(accepted) == 1
        await asyncio.sleep(CHECK_LIFETIME_S)
        assert await check(front, f"{host}:{port}") is Reachability.REACHED
        assert len(accepted) == 2


async def test_dead_process_and_dark_host_are_not_reached():
    async with run_plain_front() as front:
        assert await check(front, find_closed_port()) is Reachability.UNREACHED
        with drop_connections() as address:
            result = await check_without_stall(lambda: check(front, address))
            assert result is Reachability.UNREACHED


async def test_caller_who_leaves_does_not_end_the_check_of_others():
    async with run_plain_front() as front:
        with drop_connections() as address:
            first = asyncio.create_task(check(front, address))
            second = asyncio.create_task(check(front, address))
            await asyncio.sleep(0.02)
            first.cancel()
            assert await second is Reachability.UNREACHED


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


async def check_at(instance, address, sent_at=SENT_AT):
    runtime = SimpleNamespace(
        instance=instance, now=lambda: LATER, spawn=asyncio.create_task
    )
    return await ReachabilityChecks(runtime).check(address, sent_at)


@pytest.mark.parametrize("is_isolated", [False, True])
async def test_paused_upstream_is_reached(is_isolated):
    """Guards against second runs because other upstreams are dead."""
    instance = Instance()
    if is_isolated:
        instance.isolate()
    async with run_upstream(hang_after(b"", print)) as (address, _):
        assert await check_at(instance, address) is Reachability.REACHED
    assert not instance.failed


async def test_paused_upstream_shows_that_the_network_works():
    """Guards against isolation while two upstreams are dead and the others pause."""
    instance = Instance()
    instance.reach.record_failure(DEAD[0], FailureKind.CONNECT, ISOLATED_AT)
    async with run_upstream(hang_after(b"", print)) as (address, _):
        await check_at(instance, address)
    instance.reach.record_failure(DEAD[1], FailureKind.CONNECT, LATER + 0.1)
    assert not instance.reach.is_isolated


@pytest.mark.parametrize("is_isolated", [False, True])
async def test_dead_upstream_is_not_reached(is_isolated):
    instance = Instance()
    if is_isolated:
        instance.isolate()
    with drop_connections() as dropping:
        for address in (dropping, find_closed_port()):
            result = await check_without_stall(partial(check_at, instance, address))
            assert result is Reachability.UNREACHED
            assert instance.failed[-1] == address


async def test_request_that_went_through_a_peer_does_not_depend_on_the_direct_way():
    instance = Instance()
    instance.isolate()
    address = find_closed_port()
    assert await check_at(instance, address, LATER) is Reachability.REACHED
    assert not instance.failed
