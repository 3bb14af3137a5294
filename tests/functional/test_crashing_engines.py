"""A request that ends each engine that begins it, over the project's own interface.

The same cause as over the users' platform: an entry knew what an attempt had done to an
engine only until its request was concluded, so each arrival got all tries.
"""

import asyncio

import msgspec

from tests.lib.fleet import run_fleet

POISON = "a prompt that no engine survives"
MOST_ENDED = 3


async def send(fleet, prompt):
    async with fleet.complete(prompt) as answer:
        body = await answer.read()
    return answer, body


async def test_request_that_ends_engines_reaches_few_of_them():
    async with run_fleet(6) as fleet:
        for engine in fleet.engines:
            engine.ends_on = POISON.encode()
        for _ in range(4):
            answer, body = await send(fleet, POISON)
            await asyncio.sleep(0.3)
        assert sum(engine.ends for engine in fleet.engines) <= MOST_ENDED
        problem = msgspec.json.decode(body)
        assert (answer.status, problem["ran"]) == (503, "no")
        assert problem["type"] == "ends-upstreams"
        assert int(answer.headers["Retry-After"]) > 0
        answer, _ = await send(fleet, "another prompt")
        assert answer.status == 200
