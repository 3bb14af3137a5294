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


async def announce_periodically(
    build: Callable[[], Announcement], urls: list[str], key: str
) -> None:
    """Send an announcement at a fixed interval, to the next URL that accepts it.

    ``build`` returns the announcement to send.
    """
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT_S)
    url_index = 0
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        while True:
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
