"""Load balancers that hand all new connections to one front for some seconds.

Guards against a front that refuses or loses requests since it takes the share of the
others: limits and budgets are divided by the number of fronts.
"""

import contextlib
import time

import aiohttp
import msgspec
import pytest

from tests.lib.gateway_load import keep_registered, send_steadily
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.partitions import QUICK_PROMPT
from tests.lib.platform_replicas import build_document

EVEN_S = 4.0
SURGE_S = 6.0
CONTACT_S = 3.0
"""Seconds from the start of the surge from which the promise holds."""

MIN_SERVED_RATIO = 3 / 4
"""Share that must be served at the first attempt, relative to the even load before."""

INTERVAL_S = 0.008


class Attempt(msgspec.Struct, frozen=True):
    """The first attempt of one caller, on a connection of its own."""

    at: float
    is_served: bool


class Callers:
    """Callers that each open a connection."""

    def __init__(self, system, kind, headers):
        self.system = system
        self.kind = kind
        self.headers = headers
        self.attempts = []

    async def run(self, fronts, seconds):
        def call_next(number):
            return self.call(fronts[number % len(fronts)], number)

        await send_steadily(call_next, INTERVAL_S, seconds)

    async def call(self, front, number):
        at = time.monotonic()
        status = 0
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            status, _, _ = await self.system.call(
                self.kind, front=front, body=b"%d" % number, **self.headers
            )
        self.attempts.append(Attempt(at, status == 200))

    def compute_served(self, since, until):
        chosen = [one for one in self.attempts if since <= one.at < until]
        assert len(chosen) >= 100
        return sum(one.is_served for one in chosen) / len(chosen)


@pytest.mark.parametrize(
    ("kind", "headers"),
    [("idempotent", {}), ("non_idempotent", {}), ("stream", QUICK_PROMPT)],
    ids=["idempotent", "non-idempotent", "engines"],
)
async def test_front_that_gets_all_new_connections_serves_them(tmp_path, kind, headers):
    async with run_system(tmp_path, 4) as system:
        engines = build_document(2, [SERVICE], engines=[SERVICE] if headers else [])
        assert await system.put(engines) == 200
        async with keep_registered(system):
            callers = Callers(system, kind, headers)
            began = time.monotonic()
            await callers.run((0, 1), EVEN_S)
            surged = time.monotonic()
            await callers.run((1,), SURGE_S)
        before = callers.compute_served(began, surged)
        during = callers.compute_served(surged + CONTACT_S, surged + SURGE_S)
        assert before > 0.9
        assert during >= MIN_SERVED_RATIO * before
