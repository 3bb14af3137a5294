"""Reservations of KV cache memory on prefill helpers, their renewal and release."""

import asyncio
import contextlib

import pytest
from aiohttp import web

from scalebend.edges.gateway import reservations
from scalebend.edges.gateway.reservations import RESERVATION_LIFETIME_S, reserve_memory
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.models.placement import Helper, Placement
from tests.lib.gateway_builders import build_work
from tests.lib.platform_replicas import Replica
from tests.unit.gateway.test_front_instance import SETTINGS


class Runtime:
    """The part of a front that reservations use."""

    def __init__(self, sessions):
        self.sessions = sessions
        self.settings = SETTINGS
        self.tasks = []

    def spawn(self, work):
        self.tasks.append(asyncio.ensure_future(work))


@contextlib.asynccontextmanager
async def run_helpers(count):
    async with contextlib.AsyncExitStack() as stack:
        replicas = []
        for number in range(count):
            replica = Replica(number, "svc", [])
            runner = web.ServerRunner(web.Server(replica.handle))
            await runner.setup()
            stack.push_async_callback(runner.cleanup)
            site = web.TCPSite(runner, "127.0.0.1", 0)
            await site.start()
            port = site._server.sockets[0].getsockname()[1]
            replica.address = f"127.0.0.1:{port}"
            replicas.append(replica)
        sessions = await stack.enter_async_context(open_upstream_sessions())
        yield replicas, Runtime(sessions)


def build_placement(replicas, tokens):
    helpers = tuple(
        Helper(replica.id, replica.address, tokens_held)
        for replica, tokens_held in zip(replicas, tokens, strict=True)
    )
    return Placement("i-first", "127.0.0.1:1", helpers, 1.0)


def list_orders(replica):
    return [order["Op"] for order in replica.orders]


async def test_memory_is_reserved_and_released():
    async with run_helpers(2) as (replicas, runtime):
        placement = build_placement(replicas, (50_000, 0))
        work = build_work(1, 500_000)
        async with reserve_memory(runtime, work, placement) as helpers:
            assert helpers == [
                f"{replicas[0].address}/{work.job}",
                replicas[1].address,
            ]
            assert list_orders(replicas[0]) == ["reserve"]
            assert replicas[0].orders[0]["HoldMs"] == int(RESERVATION_LIFETIME_S * 1000)
        await asyncio.gather(*runtime.tasks)
        assert list_orders(replicas[0]) == ["reserve", "release"]
        assert replicas[0].orders[1]["Id"] == work.job
        assert replicas[1].orders == []


async def test_reservation_is_renewed_while_the_request_runs(monkeypatch):
    monkeypatch.setattr(reservations, "RENEW_INTERVAL_S", 0.05)
    async with run_helpers(1) as (replicas, runtime):
        placement = build_placement(replicas, (50_000,))
        async with reserve_memory(runtime, build_work(1, 500_000), placement):
            await asyncio.sleep(0.2)
        await asyncio.gather(*runtime.tasks)
        orders = list_orders(replicas[0])
        assert orders.count("reserve") >= 3
        assert orders[-1] == "release"
        count = len(orders)
        await asyncio.sleep(0.15)
        assert len(replicas[0].orders) == count


async def test_memory_of_a_cancelled_request_is_released():
    async with run_helpers(1) as (replicas, runtime):
        placement = build_placement(replicas, (50_000,))

        async def run():
            async with reserve_memory(runtime, build_work(1, 500_000), placement):
                await asyncio.sleep(60)

        task = asyncio.create_task(run())
        while not replicas[0].orders:
            await asyncio.sleep(0.01)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        await asyncio.gather(*runtime.tasks)
        assert list_orders(replicas[0])[-1] == "release"


async def test_lost_release_is_sent_again():
    async with run_helpers(1) as (replicas, runtime):
        (replica,) = replicas
        lost = []

        async def drop_first_release(request):
            order = await request.json()
            if order["Op"] == "release" and not lost:
                lost.append(order)
                request.transport.abort()
                return web.Response()
            replica.orders.append(order)
            return web.json_response({})

        replica.handle = drop_first_release
        runner = web.ServerRunner(web.Server(drop_first_release))
        await runner.setup()
        site = web.TCPSite(runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        replica.address = f"127.0.0.1:{port}"
        placement = build_placement(replicas, (50_000,))
        async with reserve_memory(runtime, build_work(1, 500_000), placement):
            pass
        await asyncio.gather(*runtime.tasks)
        await runner.cleanup()
        assert lost and list_orders(replica) == ["reserve", "release"]


def test_reservation_expires_within_the_platform_limit():
    # A front may crash or an order arrive late: a reservation must expire by itself.
    assert RESERVATION_LIFETIME_S < 4.0
    assert (
        2 * reservations.RENEW_INTERVAL_S + reservations.ORDER_TIMEOUT_S
        < RESERVATION_LIFETIME_S
    )
