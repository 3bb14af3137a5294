"""``scalebend ask``: sends a prompt and prints the response."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import aiohttp
import msgspec

from scalebend.commands.client import EXIT_UNREACHABLE, build_headers


class _Choice(msgspec.Struct):
    text: str = ""


class _Event(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)


def run(
    *,
    prompt: Path,
    model: str,
    url: str,
    key: str,
    max_tokens: int,
    time_limit: float,
) -> int:
    """Send a prompt and print the response as it is streamed."""
    try:
        text = sys.stdin.read() if str(prompt) == "-" else prompt.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{prompt}: {error}", file=sys.stderr)
        return 2
    body = {"model": model, "prompt": text, "max_tokens": max_tokens, "stream": True}
    try:
        return asyncio.run(_ask(url, key, msgspec.json.encode(body), time_limit))
    except (aiohttp.ClientError, TimeoutError) as error:
        print(f"{url}: {error}", file=sys.stderr)
        return EXIT_UNREACHABLE


async def _ask(url: str, key: str, body: bytes, time_limit: float) -> int:
    headers = {**build_headers(key), "X-Time-Limit": str(time_limit)}
    async with (
        aiohttp.ClientSession() as session,
        session.post(f"{url}/v1/completions", data=body, headers=headers) as response,
    ):
        if response.status != 200:
            print(await response.text(), file=sys.stderr)
            return 1
        return await print_stream(response)


async def print_stream(response: aiohttp.ClientResponse) -> int:
    """Print a streamed response; return 1 if it ended in an error or early."""
    async for line in response.content:
        if line.startswith(b"event: error"):
            problem = await response.content.readline()
            print(problem.decode(), file=sys.stderr)
            return 1
        if line.startswith(b"data: [DONE]"):
            print()
            return 0
        if line.startswith(b"data: "):
            event = msgspec.json.decode(line[6:], type=_Event)
            print("".join(c.text for c in event.choices), end="", flush=True)
    return 1
