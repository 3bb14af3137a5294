"""Announces a stand-in upstream to the instances."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import msgspec

from scalebend.models.upstream import Announcement

ANNOUNCE_INTERVAL_S = 0.5
ANNOUNCE_TIMEOUT_S = 1.0


class Silence:
    """A pause of a stand-in, in which its connections stay open."""

    def __init__(self) -> None:
        self._ends_at = 0.0

    def begin(self, seconds: float) -> None:
        """Send nothing for ``seconds``."""
        self._ends_at = asyncio.get_running_loop().time() + seconds

    async def wait_for_end(self) -> None:
        """Return at once without a silence, otherwise at its end."""
        now = asyncio.get_running_loop().time()
        while now < self._ends_at:
            await asyncio.sleep(self._ends_at - now)
            now = asyncio.get_running_loop().time()


async def announce_periodically(
    build: Callable[[], Announcement],
    urls: list[str],
    key: str,
    silence: Silence,
) -> None:
    """Send an announcement at a fixed interval, to the next URL that accepts it.

    ``build`` returns the announcement to send; none is sent during a ``silence``.
    """
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
    url_index = 0
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        while True:
            await silence.wait_for_end()
            body = msgspec.json.encode(build())
            for _ in urls:
                url_index += 1
                url = f"{urls[url_index % len(urls)]}/upstreams/announce"
                if await _post(session, url, body):
                    break
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def _post(session: aiohttp.ClientSession, url: str, body: bytes) -> bool:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.post(url, data=body) as response:
            return response.status < 300
    return False
