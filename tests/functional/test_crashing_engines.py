"""A request that crashes every engine that starts it, over the cluster's own API.

Guards against a repeated request that gets all its attempts on each arrival.
"""

import asyncio

import msgspec

from tests.lib.fleet import run_fleet

POISON = "a prompt that no engine survives"
MAX_CRASHES = 3


async def send(fleet, prompt):
    async with fleet.complete(prompt) as response:
        body = await response.read()
    return response, body


async def test_request_that_ends_engines_reaches_few_of_them():
    async with run_fleet(6) as fleet:
        for engine in fleet.engines:
            engine.crashes_on = POISON.encode()
        for _ in range(4):
            response, body = await send(fleet, POISON)
            await asyncio.sleep(0.3)
        assert sum(engine.crash_count for engine in fleet.engines) <= MAX_CRASHES
        problem = msgspec.json.decode(body)
        assert (response.status, problem["ran"]) == (503, "no")
        assert problem["type"] == "ends-upstreams"
        assert int(response.headers["Retry-After"]) > 0
        response, _ = await send(fleet, "another prompt")
        assert response.status == 200
