"""Checks whether silent upstreams accept connections.

Guards against taking a paused upstream for a dark host, and against many connections to
one whose requests fall silent together.
"""

import asyncio

from scalebend.core.gateway.silences import Reachability
from scalebend.edges.gateway.reachability import CHECK_LIFETIME_S
from scalebend.models.routing import RouteKind
from tests.lib.front import drop_connections, find_closed_port, run_front
from tests.lib.gateway_builders import build_route, build_routing


def run_plain_front():
    return run_front(build_routing(1, [build_route(kind=RouteKind.IDEMPOTENT)]))


async def check(front, address):
    runtime = front.runtime
    return await runtime.reachability.check(address, runtime.now())


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
            assert await check(front, address) is Reachability.UNREACHED


async def test_caller_who_leaves_does_not_end_the_check_of_others():
    async with run_plain_front() as front:
        with drop_connections() as address:
            first = asyncio.create_task(check(front, address))
            second = asyncio.create_task(check(front, address))
            await asyncio.sleep(0.02)
            first.cancel()
            assert await second is Reachability.UNREACHED
