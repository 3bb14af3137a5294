"""Upstreams of the own interface whose response has a head that is not valid HTTP.

Guards against broken answers that reach callers, and against anything that such a head
says being believed.
"""

import contextlib
import itertools

import pytest
from structlog.testing import capture_logs

from tests.functional.test_oversized_responses import is_known_at
from tests.functional.test_requests import build_expected_text, read_problem, read_text
from tests.lib.fleet import run_fleet
from tests.lib.raw_heads import EVENT, LENGTH, RawReplica, build_chunks, build_head
from tests.lib.raw_upstream import run_upstream

BROKEN = {
    "000": build_head(b"HTTP/1.1 000 OK"),
    "099": build_head(b"HTTP/1.1 099 OK"),
    "101": build_head(b"HTTP/1.1 101 Switching Protocols"),
    "999": build_head(b"HTTP/1.1 999 Busy"),
    "blank in a name": build_head(b"HTTP/1.1 200 OK", b"X A: b"),
    "blank before the first name": build_head(b"HTTP/1.1 200 OK", b" X-A: b"),
    "Content-Length and blank": build_head(
        framing=LENGTH.replace(b":", b" :"),
    ),
    "unknown coding": build_head(framing=b"Transfer-Encoding: xx"),
    "coding and blank": build_head(framing=b"Transfer-Encoding : chunked"),
    "control byte in value": build_head(b"HTTP/1.1 200 OK", b"Content-Type: a/b\x01"),
    "control byte in reason": build_head(b"HTTP/1.1 200 \x01"),
    "no head": b"<html>",
}


@contextlib.asynccontextmanager
async def run_raw(head):
    body = build_chunks(EVENT) if b"chunked" in head else EVENT
    if not head.endswith(b"\r\n\r\n"):
        body = b""
    replica = RawReplica(head, body)
    async with run_upstream(replica.respond) as (address, _):
        yield replica, address


@contextlib.asynccontextmanager
async def run_with_raw_engine(head):
    """Run a fleet of two engines, of which the last answers with ``head``."""
    async with run_fleet(2) as fleet, run_raw(head) as (replica, address):
        engine = fleet.engines[-1]
        engine.address = address
        catalog = fleet.runtime.instance.catalog

        def is_raw():
            record = catalog.get(engine.options.upstream)
            return record is not None and record.announcement.address == address

        await fleet.wait_until(is_raw)
        yield fleet, replica


@pytest.mark.parametrize("head", BROKEN.values(), ids=BROKEN)
async def test_broken_answer_of_a_service_is_not_passed_on(head):
    async with run_fleet() as fleet, run_raw(head) as (replica, address):
        fleet.service.address = address
        await fleet.wait_until(lambda: is_known_at(fleet, address))
        async with fleet.order("key") as response:
            await read_problem(response, 502, "upstream-failed", "unknown")
        assert len(replica.requests) == 1


@pytest.mark.parametrize("is_streamed", [True, False], ids=["stream", "whole"])
@pytest.mark.parametrize("head", BROKEN.values(), ids=BROKEN)
async def test_broken_answer_of_an_engine_is_served_elsewhere(head, is_streamed):
    async with run_with_raw_engine(head) as (fleet, replica):
        with capture_logs() as logs:
            for number in itertools.count():
                # A success of the same request would clear it of a crash.
                prompt = f"where is lamp {number}?"
                async with fleet.complete(prompt, stream=is_streamed) as response:
                    body = await response.read()
                assert response.status == 200
                assert b"raw" not in body
                if is_streamed:
                    assert read_text(body) == build_expected_text(prompt, 4)
                if replica.requests:
                    break
    assert "request lost with its upstream" not in {line["event"] for line in logs}
    (line,) = [line for line in logs if line["event"] == "response not valid"]
    assert line["upstreams"] == (fleet.engines[-1].options.upstream,)
    assert line["error"]


async def test_broken_answer_of_a_helper_reserves_nothing():
    """Guards against prompts sent to a group whose helper holds no memory for it."""
    head = build_head(b"HTTP/1.1 000 OK")
    async with run_with_raw_engine(head) as (fleet, replica):
        async with fleet.complete("dossier " * 250_000) as response:
            assert response.status == 502
        assert replica.requests[0].startswith(b"PUT /v1/requests/")
        assert fleet.engines[0].started == []
