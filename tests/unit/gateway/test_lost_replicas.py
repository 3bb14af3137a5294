"""Replicas that are unreachable, crash in numbers, or restart.

A request that was not sent must be served by another replica inside its target latency,
and must not be rejected while it has time left and engines are idle.
"""

import asyncio
import time
from contextlib import AsyncExitStack

import pytest
from aiohttp import web

from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.retry_window import USED_SHARE, RetryWindow
from scalebend.edges.gateway import upstream_client
from scalebend.models.endpoints import EndpointUpdate, build_upstream_id
from scalebend.models.routing import RouteKind
from tests.lib.front import (
    answer_sealed,
    drop_connections,
    find_closed_port,
    run_front,
    serve,
    wait_for,
)
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_route,
    build_routing,
    build_service,
)

TARGET = 0.3
"""Seconds; three times the timeout of a connection."""


def build_plain(kind=RouteKind.IDEMPOTENT, **changes):
    return build_routing(1, [build_route(kind=kind, target_latency=TARGET, **changes)])


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
async def test_unreachable_replica_costs_less_than_the_target(kind):
    with drop_connections() as dropped:
        async with run_front(build_plain(kind)) as front, serve(answer_sealed) as good:
            front.add(1, dropped)
            front.add(2, good)
            for _ in range(6):
                began = time.monotonic()
                async with front.call() as response:
                    assert (response.status, await response.read()) == (200, b"done")
                assert time.monotonic() - began < TARGET


async def test_request_that_was_not_sent_is_reported_as_not_run():
    with drop_connections() as dropped:
        async with run_front(build_plain(RouteKind.NON_IDEMPOTENT)) as front:
            front.add(1, dropped)
            for wait in (0.07, 0.09, 0.15, 1.0):
                async with front.call(wait=wait) as response:
                    document = await response.json(content_type=None)
                assert (response.status, document["ran"]) == (503, "no")


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
async def test_unsent_request_has_not_run_though_its_deadline_comes_first(
    kind, monkeypatch
):
    # The timer of the deadline runs before that of the connection.
    monkeypatch.setattr(upstream_client, "CONNECT_SHARE", 10.0)
    with drop_connections() as dropped:
        async with run_front(build_plain(kind)) as front:
            front.add(1, dropped)
            async with front.call(wait=0.07) as response:
                document = await response.json(content_type=None)
            assert (response.status, document["ran"]) == (503, "no")


async def test_unsent_request_goes_to_the_next_incarnation(monkeypatch):
    monkeypatch.setattr(upstream_client, "CONNECT_TIMEOUT_S", 5.0)
    routing = build_plain(RouteKind.NON_IDEMPOTENT)
    with drop_connections() as dropped:
        async with run_front(routing) as front, serve(answer_sealed) as after:
            register(front, build_incarnation(1_000, dropped))
            pending = asyncio.create_task(front.call(wait=8.0).__aenter__())
            await wait_for(lambda: front.runtime.attempts._attempts)
            began = time.monotonic()
            register(front, build_incarnation(2_000, after))
            async with await pending as response:
                assert (response.status, await response.read()) == (200, b"done")
            assert time.monotonic() - began < 1.0


async def test_request_on_a_pooled_connection_may_have_run_at_its_deadline():
    ports = []

    async def hang_at_second(request):
        ports.append(request.transport.get_extra_info("peername")[1])
        if len(ports) > 1:
            await asyncio.Event().wait()
        return await answer_sealed(request)

    async with run_front(build_plain()) as front, serve(hang_at_second) as address:
        front.add(1, address)
        async with front.call() as response:
            assert response.status == 200
        async with front.call(wait=0.3) as response:
            document = await response.json(content_type=None)
        assert ports[0] == ports[1]
        assert (response.status, document["ran"]) == (504, "unknown")


async def test_request_that_was_sent_may_have_run_at_its_deadline():
    arrived = asyncio.Event()

    async def hang(request):
        arrived.set()
        await asyncio.Event().wait()

    routing = build_plain(RouteKind.NON_IDEMPOTENT)
    async with run_front(routing) as front, serve(hang) as unresponsive:
        front.add(1, unresponsive)
        async with front.call(wait=1.5) as response:
            document = await response.json(content_type=None)
        assert arrived.is_set()
        assert (response.status, document["ran"]) == (504, "unknown")


async def test_unreachable_replica_is_counted_as_failed():
    async with run_front(build_plain()) as front, serve(answer_sealed) as good:
        lost = front.add(1, find_closed_port())
        busy = front.add(2, good)
        for _ in range(4):
            front.runtime.instance.balancer.record_sent(busy.upstream)
        # The unreachable one is idle, so it is always tried first.
        async with front.call() as response:
            assert response.status == 200
        counted = front.runtime.instance._outcomes.pop_all()
        seen = {one.upstream: one for one in counted}
        assert seen[lost.upstream].failed >= 1


async def test_request_is_served_though_many_replicas_crashed_one_by_one():
    # The crashed ones are idle, so all of them are tried before the busy one.
    async with run_front(build_plain()) as front, serve(answer_sealed) as good:
        for number in range(1, 11):
            front.add(number, find_closed_port())
        busy = front.add(11, good)
        for _ in range(4):
            front.runtime.instance.balancer.record_sent(busy.upstream)
        async with front.call() as response:
            assert (response.status, await response.read()) == (200, b"done")


def build_engines():
    route = build_route(
        kind=RouteKind.STREAMING,
        target_latency=4.0,
        is_resumable=True,
        event_gap=1.0,
        timeout=15.0,
    )
    return build_routing(1, [route], [build_service(engine=PROFILE)])


class Engine:
    """A lead replica that calls its helpers first, and names an unreachable one."""

    def __init__(self, is_dead):
        self.is_dead = is_dead
        self.address = None
        self.ran = 0

    async def handle(self, request):
        if request.path == "/report":
            return web.json_response({"pace": 1.0, "Waiting": 0, "Running": 0})
        if request.path == "/order":
            return web.json_response({"Available": 1})
        await request.read()
        names = [n for n in request.headers.get("X-Helpers", "").split(",") if n]
        for address in (name.partition("/")[0] for name in names):
            if self.is_dead(address):
                headers = {"X-Not-Executed": "true", "At-Server": address}
                return web.Response(status=503, headers=headers)
        self.ran += 1
        echo = {"X-Request-Id": request.headers["X-Request-Id"], "X-Server-Seal": "s"}
        response = web.StreamResponse(headers=echo)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        await response.write(b"id: 1\ndata: 1\n\n")
        await response.write_eof()
        return response


@pytest.mark.parametrize("dead", [1, 5, 9])
async def test_long_prompt_is_read_though_several_of_its_group_crashed(dead):
    # A prefill group takes most of these replicas, so it meets several crashed ones.
    closed = set()
    async with run_front(build_engines()) as front:
        alive = [Engine(closed.__contains__) for _ in range(24 - dead)]
        async with asyncio.TaskGroup() as group:
            done = asyncio.Event()

            async def run(engine):
                async with serve(engine.handle) as address:
                    engine.address = address
                    await done.wait()

            for engine in alive:
                group.create_task(run(engine))
            await wait_for(lambda: all(engine.address for engine in alive))
            # Only now: else an engine may listen on a port that was found closed.
            while len(closed) < dead:
                closed.add(find_closed_port())
            addresses = [*closed, *(engine.address for engine in alive)]
            for number, address in enumerate(sorted(addresses), 1):
                front.add(number, address)
            began = time.monotonic()
            for prompt in (400_000, 557_100):
                async with front.call(prompt=prompt) as response:
                    assert response.status == 200, await response.text()
                    await response.read()
            assert time.monotonic() - began < 4.0
            done.set()
        assert sum(engine.ran for engine in alive) == 2


@pytest.mark.parametrize("allowed_retries", [1, 50])
async def test_group_that_keeps_drawing_crashed_replicas_needs_one_retry(
    allowed_retries,
):
    # Without load, replicas are taken in a fixed order: these are the first lead
    # replica and those that take its place and each other's.
    crashed = [24, 15, 19, 21, 23, 6]
    closed = set()
    async with run_front(build_engines()) as front, AsyncExitStack() as stack:
        retries = RetryWindow(0.0, allowed_retries / USED_SHARE, 10.0)
        retries.update_front_count(1, front.runtime.now() - 10.0)
        front.runtime.instance.retries = retries
        alive = {}
        for number in set(range(1, 25)).difference(crashed):
            engine = alive[number] = Engine(closed.__contains__)
            engine.address = await stack.enter_async_context(serve(engine.handle))
        while len(closed) < len(crashed):
            closed.add(find_closed_port())
        addresses = dict(zip(crashed, closed, strict=True))
        addresses |= {number: engine.address for number, engine in alive.items()}
        for number in sorted(addresses):
            front.add(number, addresses[number])
        async with front.call(prompt=400_000) as response:
            assert response.status == 200, await response.text()
            await response.read()
    assert sum(engine.ran for engine in alive.values()) == 1


async def test_replicas_that_drop_packets_are_found_within_the_connection_timeout():
    with drop_connections() as first, drop_connections() as second:
        async with run_front(build_engines()) as front, serve(answer_sealed) as good:
            inspector = front.runtime._inspector
            addresses = {"i-1": first, "i-2": second, "i-3": good}
            began = time.monotonic()
            found = await inspector.inspect(addresses, front.runtime.now())
            assert time.monotonic() - began < 0.25
            # A response that is no report still shows that the replica is alive.
            assert sorted(found.unresponsive) == ["i-1", "i-2"]
            assert found.paces == []


def register(front, endpoint):
    message = EndpointChanges([EndpointUpdate(endpoint, is_gone=False)])
    front.runtime._receive("control", message)


def build_incarnation(born, address):
    upstream = build_upstream_id("i-1", born)
    return build_endpoint(1, upstream=upstream, born=born, address=address)


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
async def test_request_on_a_restarted_replica_is_handled_as_after_a_crash(kind):
    arrived = []

    async def hang(request):
        arrived.append(request)
        await asyncio.Event().wait()

    async with (
        run_front(build_plain(kind)) as front,
        serve(hang) as before,
        serve(answer_sealed) as after,
    ):
        register(front, build_incarnation(1_000, before))
        pending = asyncio.create_task(front.call(wait=8.0).__aenter__())
        await wait_for(lambda: arrived)
        began = time.monotonic()
        register(front, build_incarnation(2_000, after))
        response = await pending
        assert time.monotonic() - began < 1.0
        # It may have run there: only idempotent calls are sent to the next incarnation.
        assert response.status == (200 if kind is RouteKind.IDEMPOTENT else 502)
        response.close()
        assert len(arrived) == 1


async def test_received_response_is_delivered_though_its_replica_restarted():
    async with run_front(build_plain()) as front, serve(answer_sealed) as address:
        register(front, build_incarnation(1_000, address))
        async with front.call() as response:
            register(front, build_incarnation(2_000, address))
            assert (response.status, await response.read()) == (200, b"done")
