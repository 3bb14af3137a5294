"""Requests of commands to an instance."""

from __future__ import annotations

import sys
from typing import TypeVar

import aiohttp
import msgspec

T = TypeVar("T")

UNREACHABLE = 3
TIMEOUT = aiohttp.ClientTimeout(total=30.0)


class AnswerError(Exception):
    """The instance answered with a problem, or not at all."""

    def __init__(self, text: str, code: int) -> None:
        super().__init__(text)
        self.code = code


def build_headers(key: str) -> dict[str, str]:
    """Return the headers that carry a key."""
    return {"Authorization": f"Bearer {key}"} if key else {}


async def fetch(
    method: str, url: str, key: str, type_: type[T], body: bytes | None = None
) -> T:
    """Send a request; decode its answer, or raise :class:`AnswerError`."""
    try:
        async with (
            aiohttp.ClientSession(timeout=TIMEOUT) as session,
            session.request(
                method, url, data=body, headers=build_headers(key)
            ) as answer,
        ):
            data = await answer.read()
            status = answer.status
    except (aiohttp.ClientError, TimeoutError) as error:
        raise AnswerError(f"{url}: {error}", UNREACHABLE) from None
    if status >= 300:
        raise AnswerError(data.decode(errors="replace"), 1)
    return msgspec.json.decode(data or b"null", type=type_)


def report(error: AnswerError) -> int:
    """Print an error; return the exit code."""
    print(error, file=sys.stderr)
    return error.code
