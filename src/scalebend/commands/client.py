"""HTTP requests from commands to an instance."""

from __future__ import annotations

import sys
from typing import TypeVar

import aiohttp
import msgspec

T = TypeVar("T")

EXIT_UNREACHABLE = 3
REQUEST_TIMEOUT = aiohttp.ClientTimeout(total=30.0)


class CallError(Exception):
    """The instance returned an error or could not be reached."""

    def __init__(self, text: str, exit_code: int) -> None:
        super().__init__(text)
        self.exit_code = exit_code


def build_headers(key: str) -> dict[str, str]:
    """Return the authorization header for a key; none if the key is empty."""
    return {"Authorization": f"Bearer {key}"} if key else {}


async def fetch(
    method: str, url: str, key: str, type_: type[T], body: bytes | None = None
) -> T:
    """Send a request and decode its response.

    Raises :class:`CallError` if the instance returns an error or is unreachable.
    """
    try:
        async with (
            aiohttp.ClientSession(timeout=REQUEST_TIMEOUT) as session,
            session.request(
                method, url, data=body, headers=build_headers(key)
            ) as response,
        ):
            data = await response.read()
            status = response.status
    except (aiohttp.ClientError, TimeoutError) as error:
        raise CallError(f"{url}: {error}", EXIT_UNREACHABLE) from None
    if status >= 300:
        raise CallError(data.decode(errors="replace"), 1)
    return msgspec.json.decode(data or b"null", type=type_)


def report_error(error: CallError) -> int:
    """Print an error to standard error and return the exit code."""
    print(error, file=sys.stderr)
    return error.exit_code
