"""Whatever fails while a request is handled, its caller gets an answer.

Guards against connections closed without one, and against complete-looking streams.
"""

import asyncio
import json
import logging

import aiohttp
import pytest
import structlog
from aiohttp import web

from scalebend.edges.gateway.caller_stream import CallerLeftError
from scalebend.edges.gateway.forwarder import Forwarder
from scalebend.edges.gateway.hedged_forwarder import HedgedForwarder
from scalebend.models.routing import RouteKind
from tests.lib.front import HOST, run_front, serve, wait_for
from tests.lib.gateway_builders import build_route, build_routing

ERRORS = [
    AssertionError("a bug"),
    TimeoutError("of choosing"),
    ConnectionResetError("not the caller's"),
    asyncio.CancelledError("of an attempt"),
]


def list_unexpected(logs):
    return [line for line in logs if line["event"] == "request failed unexpectedly"]


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
@pytest.mark.parametrize("send_count", [0, 1])
async def test_error_before_the_response_is_answered(monkeypatch, error, send_count):
    async def fail(self):
        self.send_count = send_count
        await asyncio.sleep(0)
        raise error

    monkeypatch.setattr(HedgedForwarder, "forward", fail)
    with structlog.testing.capture_logs() as logs:
        async with run_front(build_routing()) as front:
            async with front.call() as response:
                problem = json.loads(await response.read())
    assert response.status == 500
    assert response.headers["X-Request-Id"] == "r-1"
    assert "Retry-After" not in response.headers
    assert problem["type"] == "internal"
    assert problem["ran"] == ("unknown" if send_count else "no")
    (line,) = list_unexpected(logs)
    assert line["request"] == "r-1"
    assert line["log_level"] == "error"
    assert line["exc_info"] is error


async def stream(request):
    await request.read()
    headers = {"X-Request-Id": request.headers["X-Request-Id"], "X-Server-Seal": "s"}
    response = web.StreamResponse(headers=headers)
    response.content_type = "text/event-stream"
    await response.prepare(request)
    await response.write(b"id: 1\ndata: x\n\n")
    await asyncio.sleep(0.05)
    await response.write(b"id: 2\ndata: x\n\n")
    await response.write_eof()
    return response


@pytest.mark.parametrize("error", ERRORS, ids=lambda error: type(error).__name__)
async def test_error_within_a_stream_leaves_it_incomplete(monkeypatch, error):
    forward = Forwarder.forward

    async def fail(self):
        forwarding = asyncio.create_task(forward(self))
        await wait_for(lambda: self.stream.first_event is not None)
        await asyncio.sleep(0.02)
        forwarding.cancel()
        raise error

    monkeypatch.setattr(HedgedForwarder, "forward", fail)
    route = build_route(kind=RouteKind.STREAMING, event_gap=1.0)
    with structlog.testing.capture_logs() as logs:
        async with (
            run_front(build_routing(1, [route])) as front,
            serve(stream) as address,
        ):
            front.add(1, address)
            response = await front.call()
            assert response.status == 200
            with pytest.raises(aiohttp.ClientError):
                await response.content.read()
    assert len(list_unexpected(logs)) == 1


async def test_caller_who_leaves_a_stream_is_no_error(monkeypatch, caplog):
    async def leave(self):
        raise CallerLeftError

    monkeypatch.setattr(HedgedForwarder, "forward", leave)
    with structlog.testing.capture_logs() as logs, caplog.at_level(logging.ERROR):
        async with run_front(build_routing()) as front:
            with pytest.raises(aiohttp.ClientError):
                await front.call()
    assert list_unexpected(logs) == []
    assert [record for record in caplog.records if "aiohttp" in record.name] == []


async def test_body_that_can_not_be_read_is_no_fault_of_the_front():
    """It was answered like a fault of the front, without a line in the log."""
    async with run_front(build_routing()) as front:
        url, headers = f"{front.url}/", {"Host": HOST, "X-Request-Id": "r"}
        garbled = {**headers, "Content-Encoding": "gzip"}
        async with front.session.post(url, headers=garbled, data=b"x" * 99) as response:
            assert response.status == 400

        async def send_too_much():
            for _ in range(64):
                yield bytes(2**16)

        async with (
            aiohttp.ClientSession() as session,
            session.post(url, headers=headers, data=send_too_much()) as response,
        ):
            assert response.status == 413
            assert json.loads(await response.read())["type"] == "body-too-large"
