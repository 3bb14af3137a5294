"""Replicas that cannot be reached, crashed in numbers, or started again.

Loads of a deployment whose replicas are cut off, crash or are born again under their
names, a fifth to a third of them at a time. A request that was not sent costs nobody
anything, so it must be answered by another replica inside its target, and one that
still has seconds left must not be refused while engines are idle.
"""

import asyncio
import time

import pytest
from aiohttp import web

from scalebend.core.gateway.messages import EndpointChanges
from scalebend.models.endpoints import EndpointNews, build_upstream_id
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
"""Seconds; that of a quick question. The connection time is a third of it."""


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
                async with front.call() as answer:
                    assert (answer.status, await answer.read()) == (200, b"done")
                assert time.monotonic() - began < TARGET


async def test_request_that_was_not_sent_is_not_answered_as_if_it_may_have_run():
    with drop_connections() as dropped:
        async with run_front(build_plain(RouteKind.NON_IDEMPOTENT)) as front:
            front.add(1, dropped)
            for wait in (0.07, 0.09, 0.15, 1.0):
                async with front.call(wait=wait) as answer:
                    document = await answer.json(content_type=None)
                assert (answer.status, document["ran"]) == (503, "no")


async def test_deadline_of_a_request_that_was_sent_may_have_run():
    async def hang(request):
        await asyncio.Event().wait()

    routing = build_plain(RouteKind.NON_IDEMPOTENT)
    async with run_front(routing) as front, serve(hang) as silent:
        front.add(1, silent)
        async with front.call(wait=0.3) as answer:
            document = await answer.json(content_type=None)
        assert (answer.status, document["ran"]) == (504, "unknown")


async def test_unreachable_replica_is_told_of_like_one_that_fails():
    async with run_front(build_plain()) as front, serve(answer_sealed) as good:
        lost = front.add(1, find_closed_port())
        busy = front.add(2, good)
        for _ in range(4):
            front.runtime.instance.balancer.record_sent(busy.upstream)
        # The lost one has nothing to do, so it is always tried first.
        async with front.call() as answer:
            assert answer.status == 200
        seen = front.runtime.instance._outcomes
        assert seen[lost.upstream].failed >= 1


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
    """A replica that asks its helpers first, and names one that does not answer."""

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
        answer = web.StreamResponse(headers=echo)
        answer.content_type = "text/event-stream"
        await answer.prepare(request)
        await answer.write(b"id: 1\ndata: 1\n\n")
        await answer.write_eof()
        return answer


@pytest.mark.parametrize("dead", [1, 5, 9])
async def test_long_prompt_is_read_though_several_of_its_group_crashed(dead):
    # A crash of a seventh of sixty engines is nine at a time; a dossier is read by
    # seventeen, so it meets two or more of them.
    closed = {find_closed_port() for _ in range(dead)}
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
            addresses = [*closed, *(engine.address for engine in alive)]
            for number, address in enumerate(sorted(addresses), 1):
                front.add(number, address)
            began = time.monotonic()
            for prompt in (400_000, 557_100):
                async with front.call(prompt=prompt) as answer:
                    assert answer.status == 200, await answer.text()
                    await answer.read()
            assert time.monotonic() - began < 4.0
            done.set()
        assert sum(engine.ran for engine in alive) == 2


async def test_replicas_that_drop_packets_are_found_in_the_time_of_a_connection():
    with drop_connections() as first, drop_connections() as second:
        async with run_front(build_engines()) as front, serve(answer_sealed) as good:
            inspector = front.runtime._inspector
            addresses = {"i-1": first, "i-2": second, "i-3": good}
            began = time.monotonic()
            found = await inspector.inspect(addresses, front.runtime.now())
            assert time.monotonic() - began < 0.25
            # What answers, but is no report, is not silent.
            assert sorted(found.silent) == ["i-1", "i-2"]
            assert found.paces == []


def tell(front, endpoint):
    message = EndpointChanges([EndpointNews(endpoint, is_gone=False)])
    front.runtime._receive("control", message)


def build_life(born, address):
    upstream = build_upstream_id("i-1", born)
    return build_endpoint(1, upstream=upstream, born=born, address=address)


@pytest.mark.parametrize("kind", [RouteKind.IDEMPOTENT, RouteKind.NON_IDEMPOTENT])
async def test_request_on_a_life_that_is_over_is_handled_as_after_a_crash(kind):
    arrived = []

    async def hang(request):
        arrived.append(request)
        await asyncio.Event().wait()

    async with (
        run_front(build_plain(kind)) as front,
        serve(hang) as before,
        serve(answer_sealed) as after,
    ):
        tell(front, build_life(1_000, before))
        asking = asyncio.create_task(front.call(wait=8.0).__aenter__())
        await wait_for(lambda: arrived)
        began = time.monotonic()
        tell(front, build_life(2_000, after))
        answer = await asking
        assert time.monotonic() - began < 1.0
        # It may have run there: only what may be repeated is sent to the next life.
        assert answer.status == (200 if kind is RouteKind.IDEMPOTENT else 502)
        answer.close()
        assert len(arrived) == 1


async def test_answer_that_is_there_is_delivered_though_its_replica_started_again():
    async with run_front(build_plain()) as front, serve(answer_sealed) as address:
        tell(front, build_life(1_000, address))
        async with front.call() as answer:
            tell(front, build_life(2_000, address))
            assert (answer.status, await answer.read()) == (200, b"done")
