"""Requests that are open when a front stops get an answer before the process ends.

Guards against connections closed without an answer or a refusal at the end of a drain,
and against admitting what can't be completed before it.
"""

import asyncio
import contextlib
import functools

import aiohttp
import pytest
import structlog
from aiohttp import web

from scalebend.core.gateway.drain import Drain
from scalebend.edges.gateway import front_server
from scalebend.edges.gateway.hedged_forwarder import HedgedForwarder
from scalebend.models.routing import RouteKind
from tests.lib.front import HOST, answer_sealed, serve, wait_for
from tests.lib.gateway_builders import (
    PROFILE,
    build_route,
    build_routing,
    build_service,
)
from tests.lib.stopping_front import GRACE_S, run_stopping_front

END_S = Drain(0.0, GRACE_S).end
LATE_S = 0.3
"""More than this after the end of the drain, the kill may come first."""


class Upstream:
    """Answers, or streams the second event, when its gate opens."""

    def __init__(self, *, is_stream=False):
        self.is_stream = is_stream
        self.gate = asyncio.Event()
        self.deadlines = []

    async def handle(self, request):
        await request.read()
        self.deadlines.append(int(request.headers["X-Deadline-Ms"]) / 1000.0)
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Server-Seal": "s",
        }
        if not self.is_stream:
            await self.gate.wait()
            return web.Response(headers=headers, body=b"done")
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        await response.write(b"id: 1\ndata: x\n\n")
        await self.gate.wait()
        await response.write(b"id: 2\ndata: x\n\n")
        await response.write_eof()
        return response


async def reject(rejections, request):
    """Respond that the request has not run."""
    await request.read()
    rejections.append(request.headers["X-Request-Id"])
    return web.Response(status=503, headers={"X-Not-Executed": "1"})


@contextlib.asynccontextmanager
async def run_upstream(upstream, services=None, **changes):
    routing = build_routing(1, [build_route(**changes)], services)
    async with (
        run_stopping_front(routing) as front,
        serve(upstream.handle) as address,
    ):
        front.endpoint = front.add(1, address)
        yield front


async def read(front, **options):
    async with front.call(**options) as response:
        return response, await response.read()


async def test_request_that_was_sent_runs_until_the_end_and_gets_an_answer():
    """It was closed without one."""
    upstream = Upstream()
    async with run_upstream(upstream, kind=RouteKind.NON_IDEMPOTENT) as front:
        calling = asyncio.create_task(read(front))
        await wait_for(lambda: upstream.deadlines)
        killed_at = front.stop()
        response, body = await calling
        ended_at = front.now()
        assert response.status == 504
        assert b'"ran":"unknown"' in body
        assert "Retry-After" not in response.headers
        assert killed_at - GRACE_S + END_S - 0.1 < ended_at
        assert ended_at < killed_at - GRACE_S + END_S + LATE_S
        assert front.read_metric('scalebend_stopped_requests_total{outcome="failed"}')


async def test_request_that_ends_just_before_the_drain_is_answered():
    upstream = Upstream()
    async with run_upstream(upstream) as front:
        calling = asyncio.create_task(read(front))
        await wait_for(lambda: upstream.deadlines)
        front.stop()
        await asyncio.sleep(END_S - 0.2)
        upstream.gate.set()
        response, body = await calling
        assert (response.status, body) == (200, b"done")


async def test_stream_that_has_begun_ends_visibly_incomplete():
    upstream = Upstream(is_stream=True)
    changes = {"kind": RouteKind.STREAMING, "event_gap": 0.2}
    async with run_upstream(upstream, **changes) as front:
        response = await front.call()
        assert await response.content.readuntil(b"\n\n")
        killed_at = front.stop()
        with pytest.raises(aiohttp.ClientError):
            await response.content.read()
        ended_at = front.now()
        assert killed_at - GRACE_S + END_S - 0.1 < ended_at < killed_at
        assert front.read_metric(
            'scalebend_stopped_requests_total{outcome="broken off"}'
        )


async def test_request_that_waits_for_an_upstream_is_refused_while_there_is_time():
    """It waited until the process ended."""
    upstream = Upstream()
    async with run_upstream(upstream, target_latency=20.0) as front:
        front.runtime.record_backoff(front.endpoint.upstream, 5.0)
        calling = asyncio.create_task(read(front))
        await wait_for(lambda: front.runtime.open_requests)
        killed_at = front.stop()
        response, body = await calling
        assert response.status == 503
        assert b'"ran":"no"' in body
        assert float(response.headers["Retry-After"]) < 0.2
        assert response.headers["Connection"] == "close"
        assert front.now() < killed_at - GRACE_S + END_S
        assert upstream.deadlines == []
        assert front.read_metric('scalebend_stopped_requests_total{outcome="refused"}')


async def test_request_that_was_only_rejected_is_refused():
    """It got 504, as if an upstream might have run it."""
    upstream, rejections = Upstream(), []
    async with (
        run_upstream(upstream, target_latency=20.0) as front,
        serve(functools.partial(reject, rejections)) as address,
    ):
        front.runtime.record_backoff(front.endpoint.upstream, 5.0)
        front.add(2, address)
        calling = asyncio.create_task(read(front))
        await wait_for(lambda: rejections)
        front.stop()
        response, body = await calling
        assert response.status == 503
        assert b'"ran":"no"' in body
        assert "Retry-After" in response.headers
        assert upstream.deadlines == []


async def test_request_whose_body_still_arrives_is_refused():
    upstream = Upstream()

    async def send_slowly():
        yield b"first"
        await asyncio.Event().wait()

    async with run_upstream(upstream) as front:
        calling = asyncio.create_task(read(front, body=send_slowly()))
        await wait_for(lambda: front.runtime.open_requests)
        front.stop()
        response, body = await calling
        assert response.status == 503
        assert b'"ran":"no"' in body


@contextlib.asynccontextmanager
async def run_engine(upstream):
    services = [build_service(engine=PROFILE)]
    changes = {"kind": RouteKind.STREAMING, "event_gap": 0.2, "timeout": 30.0}
    async with run_upstream(upstream, services, **changes) as front:
        yield front


async def test_prompt_that_can_not_be_completed_is_refused_at_once():
    """It was admitted, and cut off at the end."""
    upstream = Upstream(is_stream=True)
    async with run_engine(upstream) as front:
        front.stop()
        await asyncio.sleep(0.2)
        started = front.now()
        response, body = await read(front, prompt=400_000)
        assert response.status == 503
        assert b'"ran":"no"' in body
        assert float(response.headers["Retry-After"]) < 0.2
        assert front.now() - started < 0.5
        assert upstream.deadlines == []


async def test_prompt_that_can_be_completed_is_admitted_with_the_time_that_is_left():
    """Its replica and the leader were given all the time that its caller has."""
    upstream = Upstream(is_stream=True)
    upstream.gate.set()
    async with run_engine(upstream) as front:
        front.stop()
        await asyncio.sleep(0.2)
        response, body = await read(front, prompt=1_000)
        assert response.status == 200
        assert body.endswith(b"id: 2\ndata: x\n\n")
        (given,) = upstream.deadlines
        assert given <= END_S - 0.15


async def test_grace_counts_from_the_signal_while_the_process_starts():
    """It counted from the end of the start: the kill came before the drain's end."""
    async with run_stopping_front(build_routing(), start_s=0.6) as front:
        killed_at = front.stop()
        await wait_for(lambda: front.runtime.drain)
        assert front.now() > killed_at - GRACE_S + 0.6
        assert front.runtime.drain.end < killed_at
    assert front.now() < killed_at


async def test_new_connections_are_answered_until_the_end():
    async with (
        run_stopping_front(build_routing()) as front,
        serve(answer_sealed) as address,
    ):
        front.add(1, address)
        front.stop()
        statuses = []
        while True:
            async with aiohttp.ClientSession() as front.session:
                try:
                    response, _ = await read(front)
                except aiohttp.ClientConnectorError:
                    break
                statuses.append(response.status)
        assert set(statuses) <= {200, 503}
        assert 200 in statuses


async def test_request_on_a_connection_made_at_the_last_moment_is_answered(monkeypatch):
    """A front without open requests ended before it had read this one."""
    accept_s = 0.4
    monkeypatch.setattr(front_server, "ACCEPT_AFTER_STOP_S", accept_s)
    async with run_stopping_front(build_routing()) as front:
        stopped_at = front.stop() - GRACE_S
        await asyncio.sleep(accept_s - 0.02)
        host, port = front.url.removeprefix("http://").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        await asyncio.sleep(stopped_at + accept_s + 0.1 - front.now())
        writer.write(f"GET / HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode())
        status_line = await reader.readline()
        writer.close()
        # No upstream is known: either way, a refusal.
        assert status_line.startswith(b"HTTP/1.1 503 ")
    assert front.now() < stopped_at + 1.0


async def ignore_cancellation(self):
    """Stand in for a request that doesn't end when it is cancelled."""
    self.send_count = 1
    with contextlib.suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    await asyncio.Event().wait()


async def test_cancelled_handler_does_not_pass_for_a_caller_who_left(monkeypatch):
    """The listener closes connections as it cancels handlers: as if callers had."""
    monkeypatch.setattr(HedgedForwarder, "forward", ignore_cancellation)
    unanswered = 'scalebend_unanswered_requests_total{ended_by="%s"}'
    with structlog.testing.capture_logs() as logs:
        async with run_stopping_front(build_routing()) as front:
            calling = asyncio.create_task(read(front))
            await wait_for(lambda: front.runtime.open_requests)
            front.stop()
            with pytest.raises(aiohttp.ClientError):
                await calling
            await wait_for(lambda: not front.runtime.open_requests)
            assert front.read_metric(unanswered % "front") == 1.0
            assert front.read_metric(unanswered % "caller") == 0.0
    levels = {line["event"]: line["log_level"] for line in logs}
    assert levels["request ended without a response"] == "error"
    assert "caller left" not in levels


async def test_caller_who_left_is_told_from_a_cancelled_handler():
    upstream = Upstream()
    unanswered = 'scalebend_unanswered_requests_total{ended_by="%s"}'
    async with run_upstream(upstream) as front:
        calling = asyncio.create_task(read(front))
        await wait_for(lambda: upstream.deadlines)
        calling.cancel()
        await wait_for(lambda: not front.runtime.open_requests)
        assert front.read_metric(unanswered % "caller") == 1.0
        assert front.read_metric(unanswered % "front") == 0.0
