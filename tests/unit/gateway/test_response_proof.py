"""Responses without the replica's seal or the request id are not passed on.

Guards against wrong bytes of a replica that reach a caller as a success or as a promise
that nothing ran.
"""

import asyncio

import pytest
from aiohttp import web
from structlog.testing import capture_logs

from scalebend.core.gateway.response_proof import Verdict, judge_response
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import build_response_headers, read_response_headers
from tests.lib.front import answer_sealed, run_front, serve
from tests.lib.gateway_builders import build_route, build_routing
from tests.lib.raw_upstream import run_upstream

WRONG = b"<html><body>It works!</body></html>"
EVENT = b"id: 1\ndata: 1\n\n"
ECHOED = "the id of the request"
HEADERS = {
    "neither": {},
    "seal alone": {"X-Server-Seal": "s"},
    "id alone": {"X-Request-Id": ECHOED},
    "id of another": {"X-Request-Id": "of-another", "X-Server-Seal": "s"},
}
SEALED = {"X-Request-Id": ECHOED, "X-Server-Seal": "s"}


def run_front_of(kind=RouteKind.IDEMPOTENT, **changes):
    return run_front(build_routing(1, [build_route(kind=kind, **changes)]))


class Wrong:
    """A replica that sends other bytes than its answer; counts the requests."""

    def __init__(self, status=200, headers=None, body=WRONG):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.requests = 0

    async def respond(self, request):
        await request.read()
        self.requests += 1
        headers = {
            name: request.headers["X-Request-Id"] if value == ECHOED else value
            for name, value in self.headers.items()
        }
        return web.Response(status=self.status, headers=headers, body=self.body)


async def answer_stream(request):
    headers = build_response_headers(request.headers["X-Request-Id"], "s")
    return web.Response(headers=headers, body=EVENT)


@pytest.mark.parametrize(
    ("status", "headers", "verdict"),
    [
        (200, build_response_headers("r-1", "s"), Verdict.OWN),
        (404, build_response_headers("r-1", "s"), Verdict.OWN),
        (500, build_response_headers("r-1", "s"), Verdict.OWN),
        # A replica may reject what it can't attribute.
        (503, build_response_headers("r-1", None, has_not_run=True), Verdict.NOT_RUN),
        (503, build_response_headers("r-1", "s", has_not_run=True), Verdict.NOT_RUN),
        (400, {"X-Not-Executed": "1"}, Verdict.NOT_RUN),
        (421, {}, Verdict.NOT_RUN),
        (503, build_response_headers("r-2", None, has_not_run=True), Verdict.FOREIGN),
        (200, build_response_headers("r-2", "s"), Verdict.FOREIGN),
        (200, build_response_headers("r-1", None), Verdict.WITHOUT_SEAL),
        (200, {"X-Request-Id": "r-1", "X-Server-Seal": ""}, Verdict.WITHOUT_SEAL),
        (200, {"X-Server-Seal": "s"}, Verdict.WITHOUT_ID),
        (200, {"X-Not-Executed": "1"}, Verdict.WITHOUT_BOTH),
        (204, {}, Verdict.WITHOUT_BOTH),
        (302, {}, Verdict.WITHOUT_BOTH),
        (404, {}, Verdict.WITHOUT_BOTH),
        (503, {}, Verdict.WITHOUT_BOTH),
        (500, build_response_headers("r-1", None), Verdict.WITHOUT_SEAL),
    ],
)
def test_verdict(status, headers, verdict):
    assert judge_response(read_response_headers(status, headers), "r-1") is verdict


@pytest.mark.parametrize(
    ("status", "encoding", "verdict"),
    [
        (200, "gzip", Verdict.ENCODED),
        (500, "br", Verdict.ENCODED),
        (200, "identity", Verdict.OWN),
        (200, "", Verdict.OWN),
        (503, "gzip", Verdict.NOT_RUN),
    ],
)
def test_encoded_response_is_none_unless_the_caller_accepts_it(
    status, encoding, verdict
):
    """Guards against wrong bytes that carry the seal of a replica and an encoding."""
    head = {
        **build_response_headers("r-1", "s", has_not_run=status == 503),
        "Content-Encoding": encoding,
    }
    received = read_response_headers(status, head)
    assert judge_response(received, "r-1") is verdict
    accepted = judge_response(received, "r-1", accepts_encoding=True)
    assert accepted is (Verdict.NOT_RUN if status == 503 else Verdict.OWN)


@pytest.mark.parametrize(
    ("accepted", "status"), [("identity", 502), ("gzip", 200)], ids=str
)
async def test_encoded_response_is_passed_on_to_who_accepts_it(accepted, status):
    replica = Wrong(headers={**SEALED, "Content-Encoding": "x-unknown"})
    async with (
        run_front_of(RouteKind.NON_IDEMPOTENT) as front,
        serve(replica.respond) as address,
    ):
        front.add(1, address)
        front.session.headers["Accept-Encoding"] = accepted
        async with front.call() as response:
            assert response.status == status


def test_seal_alone_proves_a_response_to_a_request_without_an_id():
    sealed = read_response_headers(200, {"X-Server-Seal": "s"})
    assert judge_response(sealed, "") is Verdict.OWN


@pytest.mark.parametrize("status", [200, 204, 302, 404, 408, 429, 500, 503])
@pytest.mark.parametrize("headers", HEADERS.values(), ids=HEADERS)
async def test_unproven_response_to_a_request_that_may_run_once_becomes_502(
    status, headers
):
    replica = Wrong(status, headers)
    async with (
        run_front_of(RouteKind.NON_IDEMPOTENT) as front,
        serve(replica.respond) as address,
    ):
        front.add(1, address)
        async with front.call() as response:
            assert response.status == 502
            assert WRONG not in await response.read()
            assert "X-Server-Seal" not in response.headers
        assert replica.requests == 1


@pytest.mark.parametrize("headers", HEADERS.values(), ids=HEADERS)
async def test_unproven_success_is_repeated_where_the_route_allows(headers):
    replica = Wrong(headers=headers)
    async with (
        run_front_of(max_attempts=2) as front,
        serve(replica.respond) as address,
        serve(answer_sealed) as sound,
    ):
        front.add(1, address)
        front.add(2, sound)
        while not replica.requests:
            async with front.call() as response:
                assert (response.status, await response.read()) == (200, b"done")


@pytest.mark.parametrize("is_resumable", [True, False])
@pytest.mark.parametrize("headers", HEADERS.values(), ids=HEADERS)
async def test_unproven_stream_is_not_opened_for_the_caller(headers, is_resumable):
    replica = Wrong(headers=headers, body=b"id: 1\ndata: wrong\n\n")
    kind = RouteKind.STREAMING
    async with (
        run_front_of(kind, is_resumable=is_resumable, max_attempts=2) as front,
        serve(replica.respond) as address,
        serve(answer_stream) as sound,
    ):
        front.add(1, address)
        if is_resumable:
            front.add(2, sound)
        while not replica.requests:
            async with front.call() as response:
                body = await response.read()
            if is_resumable:
                assert (response.status, body) == (200, EVENT)
            else:
                assert response.status == 502
                assert b"wrong" not in body


async def test_late_response_without_an_id_is_not_taken_for_the_next_one():
    """An extra answer on a kept connection arrives after the next request was sent."""
    served = []

    async def respond(reader, writer):
        while True:
            head = await reader.readuntil(b"\r\n\r\n")
            request = head.lower().partition(b"x-request-id: ")[2].partition(b"\r")[0]
            await reader.readexactly(len(b"body"))
            served.append(request)
            if len(served) == 2:
                late = b"HTTP/1.1 200 OK\r\nX-Server-Seal: old\r\nContent-Length: 3"
                writer.write(late + b"\r\n\r\nold")
                await writer.drain()
                await asyncio.sleep(0.1)
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Server-Seal: s\r\nContent-Length: 4\r\n"
                b"X-Request-Id: " + request + b"\r\n\r\ndone"
            )

    async with run_front_of() as front, run_upstream(respond) as (address, writers):
        front.add(1, address)
        for _ in range(3):
            async with front.call() as response:
                body = await response.read()
            assert body != b"old"
            assert (response.status, body) in ((200, b"done"), (502, body))
        # The second request was on the kept connection, which was then closed.
        assert len(served) >= 3
        assert len(writers) >= 2


async def test_unproven_response_changes_nothing_known_of_the_upstream():
    headers = {"X-Request-Id": ECHOED, "Server-Limit": "0.01", "Server-Leaving": "1"}
    replica = Wrong(headers=headers)
    async with (
        run_front_of(RouteKind.NON_IDEMPOTENT) as front,
        serve(replica.respond) as address,
    ):
        endpoint = front.add(1, address)
        async with front.call() as response:
            assert response.status == 502
        instance = front.runtime.instance
        assert not instance.limits.is_limited(endpoint.upstream)
        assert instance.may_send(endpoint.upstream, front.runtime.now())


async def test_unproven_response_is_logged_and_counted_as_a_garbled_one():
    async with (
        run_front_of(RouteKind.NON_IDEMPOTENT) as front,
        serve(Wrong().respond) as address,
    ):
        endpoint = front.add(1, address)
        with capture_logs() as lines:
            async with front.call() as response:
                assert response.status == 502
        metrics = front.runtime.metrics.render().decode()
    assert 'scalebend_attempts_total{outcome="broken"} 1.0' in metrics
    (line,) = [line for line in lines if line["event"] == "response not proven"]
    assert (line["request"], line["upstream"]) == ("r-1", endpoint.upstream)
    assert line["reason"] == "response without seal and request id"
