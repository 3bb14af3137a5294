"""An operator that sends routing documents until they are acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import random

import aiohttp
import structlog

from scalebend.models.ids import RoutingVersion
from scalebend.platform.registrations import CONFIGURATION_PATH
from scalebend.platform.routing import decode_routing, encode_routing
from scalebend.soak.documents import MOST_EXTRA_KEYS, build_routing
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import Accepted, Observations, Read

logger = structlog.get_logger(__name__)

CALL_TIMEOUT = 1.0
"""Seconds for one call, as on the platform."""

AGAIN_AFTER = 0.1
"""Seconds until the same is sent to another control instance."""

PATIENCE = 40.0
"""Seconds after which a change that nobody acknowledges breaks a promise: longer than
any fault lasts, together with a restart of all."""

READ_PERIOD = 0.7
"""Seconds between two documents that are read back."""


class Operator:
    """Sends documents and reads them back."""

    def __init__(
        self, controls: dict[ProcessName, str], seen: Observations, seed: int
    ) -> None:
        self._controls = controls
        self._seen = seen
        self._chooser = random.Random(f"{seed}/operator")
        self._sent: dict[RoutingVersion, bytes] = {}
        self._newest = RoutingVersion(0)
        self._keys: list[RoutingVersion] = []
        self.refused: list[str] = []

    async def change(
        self, session: aiohttp.ClientSession, *, revokes: bool = False
    ) -> None:
        """Send a newer document, again and again until it is acknowledged."""
        version = RoutingVersion(self._newest + self._chooser.randint(1, 3))
        self._newest = version
        dropped = self._keys[:-MOST_EXTRA_KEYS]
        if revokes and self._keys:
            dropped.append(self._chooser.choice(self._keys))
        self._keys = [key for key in self._keys if key not in dropped] + [version]
        body = encode_routing(build_routing(version, tuple(self._keys)))
        self._sent[version] = body
        loop = asyncio.get_running_loop()
        deadline = loop.time() + PATIENCE
        while version == self._newest:
            if loop.time() > deadline:
                self.refused.append(f"version {version}: no answer for {PATIENCE} s")
                return
            status = await self._put(session, body)
            if status == 200:
                now = asyncio.get_running_loop().time()
                accepted = Accepted(version, now, tuple(dropped))
                self._seen.accepted.append(accepted)
                logger.info("change acknowledged", version=version)
                return
            if status is not None and 400 <= status < 500:
                self.refused.append(f"version {version}: status {status}")
                return
            await asyncio.sleep(AGAIN_AFTER)

    async def _put(self, session: aiohttp.ClientSession, body: bytes) -> int | None:
        control = self._chooser.choice(list(self._controls.values()))
        url = f"http://{control}{CONFIGURATION_PATH}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.put(url, data=body, max_redirects=3) as answer:
                return answer.status
        return None

    async def read(self, session: aiohttp.ClientSession) -> Read | None:
        """Read the document back from any control instance."""
        asked_at = asyncio.get_running_loop().time()
        control = self._chooser.choice(list(self._controls.values()))
        url = f"http://{control}{CONFIGURATION_PATH}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.get(url, max_redirects=3) as answer:
                if answer.status != 200:
                    return None
                body = await answer.read()
                version = decode_routing(body).version
                is_as_sent = self._sent.get(version) == body
                read = Read(version, asked_at, is_as_sent)
                self._seen.reads.append(read)
                return read
        return None

    async def read_for_ever(self, session: aiohttp.ClientSession) -> None:
        """Read documents back until cancelled."""
        while True:
            await self.read(session)
            await asyncio.sleep(READ_PERIOD)
