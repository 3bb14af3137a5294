"""Upstreams of the own interface that send more than a response may have.

Guards against an instance that keeps what comes until it is killed for memory.
"""

import pytest

from scalebend.edges import exchange
from scalebend.edges.sse import MAX_EVENT_BYTES
from tests.functional.test_requests import read_problem
from tests.lib.fleet import run_fleet
from tests.lib.raw_upstream import run_upstream

LIMIT = 64


@pytest.fixture(autouse=True)
def lower_limit(monkeypatch):
    monkeypatch.setattr(exchange, "MAX_BODY_BYTES", LIMIT)


async def pour(reader, writer):
    """Send a body without a length that does not end."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
    while True:
        writer.write(b"m" * MAX_EVENT_BYTES)
        await writer.drain()


async def test_body_of_a_service_without_end_is_refused():
    async with run_fleet() as fleet, run_upstream(pour) as (address, _):
        fleet.service.address = address
        await fleet.wait_until(lambda: is_known_at(fleet, address))
        async with fleet.order("key") as response:
            await read_problem(response, 502, "upstream-garbled", "yes")


async def test_completion_over_the_limit_is_refused():
    async with run_fleet() as fleet:
        async with fleet.complete("hello", stream=False, max_tokens=40) as response:
            problem = await read_problem(response, 502, "upstream-garbled", "yes")
        assert f"more than {LIMIT} bytes" in problem["detail"]


def is_known_at(fleet, address):
    catalog = fleet.runtime.instance.catalog
    record = catalog.get(fleet.service.options.upstream)
    return record is not None and record.announcement.address == address
