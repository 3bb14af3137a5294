"""Announces a stand-in to the instances, as any upstream does."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import msgspec

from scalebend.models.upstream import Announcement

ANNOUNCE_PERIOD = 0.5
ANNOUNCE_TIMEOUT = 1.0


async def announce_for_ever(
    build: Callable[[], Announcement], urls: list[str], key: str
) -> None:
    """Announce what ``build`` returns, to each of ``urls`` in turn until one takes."""
    headers = {"Authorization": f"Bearer {key}"}
    timeout = aiohttp.ClientTimeout(total=ANNOUNCE_TIMEOUT)
    turn = 0
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        while True:
            body = msgspec.json.encode(build())
            for _ in urls:
                turn += 1
                url = f"{urls[turn % len(urls)]}/upstreams/announce"
                if await _post(session, url, body):
                    break
            await asyncio.sleep(ANNOUNCE_PERIOD)


async def _post(session: aiohttp.ClientSession, url: str, body: bytes) -> bool:
    with contextlib.suppress(aiohttp.ClientError, TimeoutError):
        async with session.post(url, data=body) as response:
            return response.status < 300
    return False
