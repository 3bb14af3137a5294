"""Responses whose head is not valid HTTP are no answer.

Guards against broken answers of an upstream that reach callers, and against anything
that such a head says being believed.
"""

import asyncio
import itertools

import pytest
from hypothesis import given, strategies as st
from structlog.testing import capture_logs

from scalebend.edges.gateway.report_requests import NoReport, fetch_report
from scalebend.edges.gateway.reservations import (
    HelperUnresponsiveError,
    reserve_memory,
)
from scalebend.edges.gateway.response_heads import HeadChecker, InvalidHeadError
from scalebend.edges.gateway.upstream_client import (
    StrictResponseHandler,
    open_upstream_sessions,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Helper, Placement
from scalebend.models.routing import RouteKind
from tests.lib.front import HOST, run_front, serve, wait_for
from tests.lib.gateway_builders import build_route, build_routing, build_work
from tests.lib.raw_heads import EVENT, LENGTH, RawReplica, build_chunks, build_head
from tests.lib.raw_upstream import run_upstream
from tests.unit.gateway.test_endless_bytes import run_beside_sound
from tests.unit.gateway.test_reservations import Runtime
from tests.unit.gateway.test_silent_attempts import Upstream, build_body
from tests.unit.gateway.test_tunnels import run_tunnelled

NOT_RUN = b"X-Not-Executed: 1"
CHUNKED = b"Transfer-Encoding: chunked"
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

STATUSES = {
    "000": build_head(b"HTTP/1.1 000 OK"),
    "000 without reason": build_head(b"HTTP/1.1 000"),
    "000 of HTTP/1.0": build_head(b"HTTP/1.0 000 OK"),
    "000 after early hints": EARLY_HINTS + build_head(b"HTTP/1.1 000 OK"),
    "000 that has not run": build_head(b"HTTP/1.1 000 OK", NOT_RUN),
    "000 without body": build_head(b"HTTP/1.1 000 OK", framing=b"Content-Length: 0"),
    "001": build_head(b"HTTP/1.1 001 OK"),
    "099": build_head(b"HTTP/1.1 099 OK"),
    "101": build_head(b"HTTP/1.1 101 Switching Protocols"),
    "101 with upgrade": build_head(
        b"HTTP/1.1 101 Switching Protocols", b"Upgrade: x", b"Connection: upgrade"
    ),
    "600": build_head(b"HTTP/1.1 600 Busy"),
    "999": build_head(b"HTTP/1.1 999 Busy"),
    "999 that has not run": build_head(b"HTTP/1.1 999 Busy", NOT_RUN),
    "two digits": build_head(b"HTTP/1.1 20 OK"),
    "four digits": build_head(b"HTTP/1.1 2000 OK"),
    "signed": build_head(b"HTTP/1.1 +20 OK"),
    "letters": build_head(b"HTTP/1.1 2xx OK"),
    "HTTP/2.0": build_head(b"HTTP/2.0 200 OK"),
}
NAMES = {
    "Content-Length and blank": build_head(framing=b"Content-Length : %d" % len(EVENT)),
    "Connection and blank": build_head(b"HTTP/1.1 200 OK", b"Connection : close"),
    "blank before the first name": build_head(b"HTTP/1.1 200 OK", b" X-A: b"),
    "tab before the first name": build_head(b"HTTP/1.1 200 OK", b"\tX-A: b"),
    "blank before a first length": build_head(
        b"HTTP/1.1 200 OK", b" " + LENGTH, framing=None
    ),
    "blank at the end": build_head(b"HTTP/1.1 200 OK", b"X-A : b"),
    "tab at the end": build_head(b"HTTP/1.1 200 OK", b"X-A\t: b"),
    "blank inside": build_head(b"HTTP/1.1 200 OK", b"X A: b"),
    "null byte": build_head(b"HTTP/1.1 200 OK", b"X\x00A: b"),
    "control byte": build_head(b"HTTP/1.1 200 OK", b"X\x01A: b"),
    "vertical tab": build_head(b"HTTP/1.1 200 OK", b"X\x0bA: b"),
    "delete byte": build_head(b"HTTP/1.1 200 OK", b"X\x7fA: b"),
    "carriage return": build_head(b"HTTP/1.1 200 OK", b"X\rA: b"),
    "Latin-1 byte": build_head(b"HTTP/1.1 200 OK", b"X\xe9A: b"),
    "no name": build_head(b"HTTP/1.1 200 OK", b": b"),
    "no colon": build_head(b"HTTP/1.1 200 OK", b"X-A"),
    "blank in early hints": b"HTTP/1.1 103 Early Hints\r\nX A: b\r\n\r\n"
    + build_head(),
    "seal and blank": build_head(b"HTTP/1.1 200 OK", b"X-Server-Seal : b"),
    "blank in a 500": build_head(b"HTTP/1.1 500 Error", b"X A: b"),
    "blank in a 503 that has not run": build_head(
        b"HTTP/1.1 503 Busy", NOT_RUN, b"X A: b"
    ),
    "Connection and blank, not run": build_head(
        b"HTTP/1.1 503 Busy", NOT_RUN, b"Connection : close"
    ),
}
VALUES = {
    "control byte in reason": build_head(b"HTTP/1.1 200 O\x01K"),
    "null byte in reason": build_head(b"HTTP/1.1 200 O\x00K"),
    "control byte in reason, not run": build_head(b"HTTP/1.1 503 \x01", NOT_RUN),
    "control byte in value": build_head(b"HTTP/1.1 200 OK", b"X-A: b\x01"),
    "delete byte in value": build_head(b"HTTP/1.1 200 OK", b"X-A: \x7fb"),
    "null byte in value": build_head(b"HTTP/1.1 200 OK", b"X-A: b\x00"),
    "carriage return in value": build_head(b"HTTP/1.1 200 OK", b"X-A: b\rc"),
    "control byte in a folded line": build_head(
        b"HTTP/1.1 200 OK", b"X-A: b", b" c\x01"
    ),
}
FRAMINGS = {
    "unknown coding": build_head(framing=b"Transfer-Encoding: xx"),
    "chunked and a control byte": build_head(framing=CHUNKED + b"\x01"),
    "gzip before chunked": build_head(framing=b"Transfer-Encoding: gzip, chunked"),
    "chunked before gzip": build_head(framing=b"Transfer-Encoding: chunked, gzip"),
    "chunked twice": build_head(framing=CHUNKED + b", chunked"),
    "two codings": build_head(b"HTTP/1.1 200 OK", CHUNKED, framing=CHUNKED),
    "tab after the coding": build_head(framing=CHUNKED + b"\t"),
    "folded coding": build_head(framing=b"Transfer-Encoding:\r\n chunked"),
    "coding and blank": build_head(framing=b"Transfer-Encoding : chunked"),
    "blank before a first coding": build_head(
        b"HTTP/1.1 200 OK", b" " + CHUNKED, framing=None
    ),
    "coding and length": build_head(b"HTTP/1.1 200 OK", CHUNKED),
    "two lengths": build_head(b"HTTP/1.1 200 OK", b"Content-Length: 3"),
    "length without digits": build_head(framing=b"Content-Length: many"),
    "signed length": build_head(framing=b"Content-Length: +%d" % len(EVENT)),
    "empty length": build_head(framing=b"Content-Length:"),
}
BROKEN = {**STATUSES, **NAMES, **VALUES}
INVALID = {**BROKEN, **FRAMINGS}
SOUND = {
    "early hints": EARLY_HINTS + build_head(),
    "two early heads": EARLY_HINTS * 2 + build_head(),
    "no reason": build_head(b"HTTP/1.1 200 "),
    "no blank after the status": build_head(b"HTTP/1.1 200"),
    "Latin-1 byte in reason": build_head(b"HTTP/1.1 200 \xe9"),
    "HTTP/1.0": build_head(b"HTTP/1.0 200 OK"),
    "every character of a name": build_head(
        b"HTTP/1.1 200 OK", b"!#$%&'*+-.^_`|~09azAZ: b"
    ),
    "empty value": build_head(b"HTTP/1.1 200 OK", b"X-A:", b"X-B: "),
    "tab in value": build_head(b"HTTP/1.1 200 OK", b"X-A:\tb\tc \t"),
    "Latin-1 bytes in value": build_head(b"HTTP/1.1 200 OK", b"X-A: \xe9\xff"),
    "colon in value": build_head(b"HTTP/1.1 200 OK", b"X-A: b : c"),
    "folded line": build_head(b"HTTP/1.1 200 OK", b"X-A: b", b" c"),
    "lines end with LF alone": build_head(end=b"\n"),
    "repeated field": build_head(b"HTTP/1.1 200 OK", b"X-A: b", b"X-A: b"),
    "upper case length": build_head(framing=LENGTH.upper()),
}
CHUNKED_SOUND = {
    "chunked": (CHUNKED, b""),
    "upper case": (CHUNKED.upper(), b""),
    "blanks around": (b"Transfer-Encoding: \tchunked  ", b""),
    "trailer": (CHUNKED, b"X-A: b\r\n"),
}
REPEATABLE = {
    "plain": {"kind": RouteKind.IDEMPOTENT},
    "stream": {"kind": RouteKind.STREAMING, "is_resumable": True},
}
ONCE = {
    "plain": {"kind": RouteKind.NON_IDEMPOTENT, "is_resumable": False},
    "stream": {"kind": RouteKind.STREAMING, "is_resumable": False},
}


def build_framed(head):
    """Return the body of a broken response in the framing that its head means."""
    if b"chunked" in head:
        return build_chunks(EVENT)
    return b"" if b"Content-Length: 0" in head else EVENT


async def call_beside_sound(head, route):
    """Call a replica that answers with ``head``, and perhaps a sound one after it."""
    replica = RawReplica(head, build_framed(head))
    async with run_beside_sound(replica, **route) as front:
        async with front.call() as response:
            body = await response.read()
    assert b"raw" not in body
    assert "X-A" not in response.headers
    assert len(replica.requests) == 1
    return response.status, body


@pytest.mark.parametrize("head", INVALID.values(), ids=INVALID)
@pytest.mark.parametrize("route", REPEATABLE.values(), ids=REPEATABLE)
async def test_broken_head_is_served_elsewhere(head, route):
    status, body = await call_beside_sound(head, route)
    assert status == 200
    assert body == b"done" or body.endswith(b"data: sound\n\n")


@pytest.mark.parametrize("head", INVALID.values(), ids=INVALID)
@pytest.mark.parametrize("route", ONCE.values(), ids=ONCE)
async def test_broken_head_is_not_passed_on_to_who_may_run_once(head, route):
    status, _ = await call_beside_sound(head, route)
    assert status == 502


async def fetch_alone(replica, route):
    async with (
        run_front(build_routing(1, [build_route(event_gap=0.2, **route)])) as front,
        run_upstream(replica.respond) as (address, _),
    ):
        front.add(1, address)
        async with front.call() as response:
            return response, await response.read()


ROUTES = {
    f"{name}, {count}": route
    for count, routes in (("repeatable", REPEATABLE), ("once", ONCE))
    for name, route in routes.items()
}


@pytest.mark.parametrize("head", SOUND.values(), ids=SOUND)
@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
@pytest.mark.parametrize("size", [None, 1], ids=["whole", "byte by byte"])
async def test_sound_head_is_passed_on(head, route, size):
    replica = RawReplica(head, segment_size=size)
    response, body = await fetch_alone(replica, route)
    assert (response.status, body) == (200, EVENT)
    assert response.headers["X-Server-Seal"] == "raw"
    assert len(replica.requests) == 1


@pytest.mark.parametrize(
    ("framing", "trailer"), CHUNKED_SOUND.values(), ids=CHUNKED_SOUND
)
@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
async def test_chunked_body_is_passed_on(framing, trailer, route):
    head = build_head(framing=framing)
    replica = RawReplica(head, build_chunks(EVENT, trailer))
    response, body = await fetch_alone(replica, route)
    assert (response.status, body) == (200, EVENT)


@pytest.mark.parametrize("status", [201, 204, 299, 302, 304, 404, 500, 599])
async def test_sound_status_is_passed_on(status):
    has_body = status not in (204, 304)
    framing = LENGTH if has_body else None
    head = build_head(b"HTTP/1.1 %d Status" % status, framing=framing)
    replica = RawReplica(head, EVENT if has_body else b"")
    response, body = await fetch_alone(replica, ONCE["plain"])
    assert (response.status, body) == (status, EVENT if has_body else b"")


@pytest.mark.parametrize("framing", [LENGTH, CHUNKED], ids=["length", "chunked"])
async def test_sound_head_without_its_body_is_passed_on(framing):
    replica = RawReplica(build_head(framing=framing), b"")
    async with (
        run_front(build_routing(1, [build_route(**ONCE["plain"])])) as front,
        run_upstream(replica.respond) as (address, _),
    ):
        front.add(1, address)
        headers = {"Host": HOST, "X-Request-Id": "r-1", "X-Deadline-Ms": "5000"}
        async with front.session.head(front.url, headers=headers) as response:
            assert (response.status, await response.read()) == (200, b"")
        assert response.headers["X-Server-Seal"] == "raw"


async def test_early_hints_some_time_before_the_response_are_passed_over():
    class Hinting(RawReplica):
        async def _send(self, writer, data):
            writer.write(EARLY_HINTS)
            await writer.drain()
            await asyncio.sleep(0.05)
            await super()._send(writer, data)

    response, body = await fetch_alone(Hinting(build_head()), ONCE["plain"])
    assert (response.status, body) == (200, EVENT)


BELIEVABLE = (
    NOT_RUN,
    b"Retry-After: 60",
    b"Server-Limit: 0.01",
    b"Server-Leaving: 1",
    b"X-Server-Load: 9,9,9",
)


@pytest.mark.parametrize(
    "head",
    [
        build_head(b"HTTP/1.1 000 Busy", *BELIEVABLE),
        build_head(b"HTTP/1.1 999 Busy", *BELIEVABLE),
        build_head(b"HTTP/1.1 503 Busy", *BELIEVABLE, b"Connection : close"),
        build_head(b"HTTP/1.1 503 Busy", *BELIEVABLE, b"X A: b"),
        build_head(b"HTTP/1.1 503 \x01", *BELIEVABLE),
    ],
    ids=["000", "999", "blank after a known name", "blank in a name", "reason"],
)
async def test_nothing_in_a_broken_head_is_believed(head):
    replica = RawReplica(head)
    async with (
        run_front(build_routing(1, [build_route(**ONCE["plain"])])) as front,
        run_upstream(replica.respond) as (address, _),
    ):
        endpoint = front.add(1, address)
        with capture_logs() as lines:
            async with front.call() as response:
                problem = await response.json(content_type=None)
        assert (response.status, problem["ran"]) == (502, "unknown")
        instance = front.runtime.instance
        assert instance.may_send(endpoint.upstream, front.runtime.now())
        assert not instance.limits.is_limited(endpoint.upstream)
        await wait_for(lambda: replica.closed == 1)
        metrics = front.runtime.metrics.render().decode()
    assert 'scalebend_attempts_total{outcome="broken"} 1.0' in metrics
    (ended,) = [line for line in lines if line["event"] == "attempt ended"]
    assert (ended["request"], ended["upstream"]) == ("r-1", endpoint.upstream)
    assert ended["outcome"] == "broken"
    assert ended["detail"].startswith("InvalidHeadError: invalid ")
    # Only a running replica sends a head.
    assert "request lost with its upstream" not in {line["event"] for line in lines}


async def test_broken_head_that_nobody_awaits_yet_is_no_lost_connection():
    """The head may come while the request is still being written."""
    replica = RawReplica(STATUSES["000"])
    loop = asyncio.get_running_loop()
    handler = StrictResponseHandler(loop)
    async with run_upstream(replica.respond) as (address, _):
        host, port = address.split(":")
        transport, _ = await loop.create_connection(lambda: handler, host, int(port))
        handler.set_response_params()
        transport.write(b"GET / HTTP/1.1\r\n\r\n")
        await wait_for(lambda: handler.transport is None)
        with pytest.raises(InvalidHeadError):
            await handler.read()


def feed(segments):
    """Return what a checker says of a response that comes in these segments."""
    checker = HeadChecker()
    try:
        for segment in segments:
            checker.feed(segment)
    except InvalidHeadError as error:
        return str(error)
    return checker.is_done


@given(
    head=st.sampled_from([*INVALID.values(), *SOUND.values()]),
    cuts=st.lists(st.integers(0, 300)),
)
def test_segments_make_no_difference(head, cuts):
    data = head + EVENT
    bounds = [0, *sorted(cuts), len(data)]
    segments = [data[a:b] for a, b in itertools.pairwise(bounds)]
    assert feed(segments) == feed([data])


@pytest.mark.parametrize("head", SOUND.values(), ids=SOUND)
def test_head_is_done_with_its_last_byte(head):
    assert feed([head[:-1]]) is False
    assert feed([head]) is True


async def test_resumed_stream_passes_over_a_broken_head():
    first, broken = Upstream("first", 3), RawReplica(STATUSES["000"])
    route = {**REPEATABLE["stream"], "max_attempts": 3}
    async with run_beside_sound(broken, **route) as front:
        async with serve(first.handle) as address:
            add_as_first(front, address)
            reading = asyncio.create_task(read_body(front))
            await wait_for(lambda: first.runs)
            await asyncio.sleep(0.1)
            first.breaks = True
            first.gate.set()
            body = await reading
    assert len(broken.requests) == 1
    assert body == build_body("first", "first", "sound", "sound")


async def test_broken_head_of_a_second_attempt_leaves_the_silent_first_one():
    first, broken = Upstream("first", 3), RawReplica(STATUSES["000"])
    async with run_beside_sound(broken, **REPEATABLE["stream"]) as front:
        async with serve(first.handle) as address:
            add_as_first(front, address)
            reading = asyncio.create_task(read_body(front))
            await wait_for(lambda: broken.closed)
            first.gate.set()
            body = await reading
    assert body == build_body("first", "first", "first", "first")


async def read_body(front):
    async with front.call() as response:
        assert response.status == 200
        return await response.read()


def add_as_first(front, address):
    """Add an upstream that is chosen before the two others."""
    balancer = front.runtime.instance.balancer
    for number, load in ((1, 1), (2, 2)):
        for _ in range(load):
            balancer.record_sent(UpstreamId(f"i-{number}"))
    front.add(3, address)


@pytest.mark.parametrize("head", BROKEN.values(), ids=BROKEN)
async def test_broken_head_of_a_report_is_no_report(head):
    report = b'{"pace": 1.0, "Waiting": 0, "Running": 0}'
    framed = head.replace(LENGTH, b"Content-Length: %d" % len(report))
    replica = RawReplica(framed, report)
    async with (
        open_upstream_sessions() as sessions,
        run_upstream(replica.respond) as (address, _),
    ):
        assert await fetch_report(sessions, address) is NoReport.BROKEN


async def test_broken_head_through_a_peer_is_no_response():
    replica = RawReplica(STATUSES["000"])
    async with run_tunnelled(replica.respond) as tunnelled:
        with pytest.raises(InvalidHeadError):
            await tunnelled.fetch()
        await wait_for(lambda: replica.closed == 1)


async def test_broken_head_of_a_helper_reserves_nothing():
    replica = RawReplica(STATUSES["000"])
    async with run_upstream(replica.respond) as (address, _):
        async with open_upstream_sessions() as sessions:
            runtime = Runtime(sessions)
            helper = Helper("i-2", address, 50_000)
            placement = Placement("i-first", "127.0.0.1:1", (helper,), 1.0)
            with pytest.raises(HelperUnresponsiveError):
                async with reserve_memory(runtime, build_work(1, 500_000), placement):
                    pass
            await asyncio.gather(*runtime.tasks)
