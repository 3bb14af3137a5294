"""A message of chats that crashes every engine, over the cluster's own API.

Guards against quarantines that recognize only repetitions of the same request: chats
that share the message differ in all others.
"""

import asyncio

import msgspec
import pytest

from tests.lib.builders import MODEL
from tests.lib.fleet import run_fleet

GUILTY = "a document that no engine survives"
COMMON = "you are an assistant of the harbour office"
MAX_CRASHES = 6
"""Five until the verdict, and one under way meanwhile."""


class Chats:
    """Callers whose chats all end with another message."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.number = 0

    async def send(self, *messages):
        self.number += 1
        texts = [*messages, f"question {self.number}"]
        body = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text} for text in texts],
            "max_tokens": 4,
            "stream": True,
        }
        async with self.fleet.post(body, "/v1/chat/completions") as response:
            return response, await response.read()


def count_crashes(fleet):
    return sum(engine.crash_count for engine in fleet.engines)


@pytest.mark.parametrize("guilty", [(COMMON, GUILTY), (GUILTY, COMMON)])
async def test_message_that_crashes_engines_is_quarantined_and_others_are_served(
    guilty,
):
    async with run_fleet(6) as fleet:
        for engine in fleet.engines:
            engine.crashes_on = GUILTY.encode()
        chats = Chats(fleet)
        for _ in range(8):
            await chats.send(*guilty)
            sound, _ = await chats.send(COMMON, f"topic {chats.number % 3}")
            assert sound.status == 200
            await asyncio.sleep(0.2)
        assert count_crashes(fleet) <= MAX_CRASHES
        response, body = await chats.send(*guilty)
        problem = msgspec.json.decode(body)
        assert (response.status, problem["ran"]) == (503, "no")
        assert problem["type"] == "ends-upstreams"
        assert int(response.headers["Retry-After"]) > 0
