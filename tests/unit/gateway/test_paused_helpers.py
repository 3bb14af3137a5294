"""Long prompts while some replicas of their prefill groups pause.

Guards against finding these one by one, each at the cost of an unanswered reservation.
"""

import asyncio
import time
from contextlib import AsyncExitStack

from scalebend.edges.gateway.report_requests import REPORT_TIMEOUT_S
from scalebend.edges.gateway.reservations import ORDER_TIMEOUT_S
from tests.lib.front import run_front, serve
from tests.unit.gateway.test_lost_replicas import Engine, build_engines

REPLICAS = 24
PROMPT = 557_100
"""Its group takes most of the replicas."""

BOUND_S = 2 * (ORDER_TIMEOUT_S + REPORT_TIMEOUT_S)


class PausedEngine(Engine):
    """Accepts connections, and sends nothing."""

    async def handle(self, request):
        await asyncio.Event().wait()


async def test_long_prompt_goes_around_the_replicas_that_pause():
    async with run_front(build_engines()) as front, AsyncExitStack() as stack:
        engines = []
        for number in range(1, REPLICAS + 1):
            build = PausedEngine if number % 3 == 2 else Engine
            engine = build(lambda address: False)
            engine.address = await stack.enter_async_context(serve(engine.handle))
            front.add(number, engine.address)
            engines.append(engine)
        began = time.monotonic()
        async with front.call(prompt=PROMPT) as response:
            assert response.status == 200, await response.text()
            await response.read()
        assert time.monotonic() - began < BOUND_S
        assert sum(one.ran for one in engines) == 1
        # Nobody else is told to avoid them.
        assert front.runtime.instance.scheduler.summarise(0.0).suspect == []
