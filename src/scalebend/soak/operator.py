"""Simulated operator that sends routing documents until they are acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import math
import random

import aiohttp
import structlog

from scalebend.models.ids import AvailabilityZone, RoutingVersion
from scalebend.platform.evacuations import (
    EVACUATIONS_PATH,
    build_order_path,
    decode_evacuated,
)
from scalebend.platform.registrations import CONFIGURATION_PATH
from scalebend.platform.routing import decode_routing, encode_routing
from scalebend.soak.documents import MAX_EXTRA_KEYS, build_routing
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    AcceptedDocument,
    Evacuation,
    EvacuationRead,
    Observations,
    ReadBack,
)

logger = structlog.get_logger(__name__)

CALL_TIMEOUT_S = 1.0
"""Timeout of one call in seconds, as on the platform."""

RETRY_INTERVAL_S = 0.1
"""Seconds until an unacknowledged document is sent again, to any control instance."""

CHANGE_TIMEOUT_S = 40.0
"""Seconds after which an unacknowledged change is a violation: longer than any fault
together with a restart of all processes."""

READ_INTERVAL_S = 0.7
"""Seconds between two reads of the document."""


class Operator:
    """Sends routing documents and reads them back."""

    def __init__(
        self, controls: dict[ProcessName, str], observations: Observations, seed: int
    ) -> None:
        self._controls = controls
        self._observations = observations
        self._chooser = random.Random(f"{seed}/operator")
        self._sent: dict[RoutingVersion, bytes] = {}
        self._newest = RoutingVersion(0)
        self._keys: list[RoutingVersion] = []
        self.failed_changes: list[str] = []

    async def change(
        self, session: aiohttp.ClientSession, *, revokes: bool = False
    ) -> None:
        """Send a newer document until it is acknowledged or replaced by a newer one.

        With ``revokes``, the document drops one of the existing keys. A document that
        is rejected or not acknowledged in time is added to ``failed_changes``.
        """
        version = RoutingVersion(self._newest + self._chooser.randint(1, 3))
        self._newest = version
        dropped = self._keys[:-MAX_EXTRA_KEYS]
        if revokes and self._keys:
            dropped.append(self._chooser.choice(self._keys))
        self._keys = [key for key in self._keys if key not in dropped] + [version]
        body = encode_routing(build_routing(version, tuple(self._keys)))
        self._sent[version] = body
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CHANGE_TIMEOUT_S
        while version == self._newest:
            if loop.time() > deadline:
                self.failed_changes.append(
                    f"version {version}: not acknowledged within {CHANGE_TIMEOUT_S} s"
                )
                return
            status = await self._put(session, body)
            if status == 200:
                now = asyncio.get_running_loop().time()
                accepted = AcceptedDocument(version, now, tuple(dropped))
                self._observations.accepted.append(accepted)
                logger.info("change acknowledged", version=version)
                return
            if status is not None and 400 <= status < 500:
                self.failed_changes.append(f"version {version}: status {status}")
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def _put(self, session: aiohttp.ClientSession, body: bytes) -> int | None:
        control = self._chooser.choice(list(self._controls.values()))
        url = f"http://{control}{CONFIGURATION_PATH}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.put(url, data=body, max_redirects=3) as response:
                return response.status
        return None

    async def read(self, session: aiohttp.ClientSession) -> ReadBack | None:
        """Read the document from a random control instance, or return ``None``."""
        requested_at = asyncio.get_running_loop().time()
        control = self._chooser.choice(list(self._controls.values()))
        url = f"http://{control}{CONFIGURATION_PATH}"
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with session.get(url, max_redirects=3) as response:
                if response.status != 200:
                    return None
                body = await response.read()
                version = decode_routing(body).version
                is_as_sent = self._sent.get(version) == body
                read = ReadBack(version, requested_at, is_as_sent)
                self._observations.reads.append(read)
                return read
        return None

    async def read_forever(self, session: aiohttp.ClientSession) -> None:
        """Read the document periodically until cancelled."""
        while True:
            await self.read(session)
            await asyncio.sleep(READ_INTERVAL_S)

    # Evacuations

    async def evacuate(
        self, session: aiohttp.ClientSession, zone: AvailabilityZone, lasts: float
    ) -> None:
        """Evacuate a zone, and withdraw that ``lasts`` seconds after the answer."""
        loop = asyncio.get_running_loop()
        if not await self._order(session, "POST", zone):
            return
        evacuation = Evacuation(zone, loop.time(), math.inf)
        self._observations.evacuations.append(evacuation)
        await asyncio.sleep(lasts)
        await self.read_evacuated(session, (zone,))
        evacuation.withdrawn_at = loop.time()
        await self._order(session, "DELETE", zone)

    async def _order(
        self, session: aiohttp.ClientSession, method: str, zone: AvailabilityZone
    ) -> bool:
        """Send an order until it is acknowledged; return whether it was."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + CHANGE_TIMEOUT_S
        while loop.time() < deadline:
            control = self._chooser.choice(list(self._controls.values()))
            url = f"http://{control}{build_order_path(zone)}"
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with session.request(method, url, max_redirects=3) as response:
                    if response.status == 200:
                        logger.info("order acknowledged", method=method, zone=zone)
                        return True
                    if 400 <= response.status < 500:
                        failure = f"{method} {zone}: status {response.status}"
                        self.failed_changes.append(failure)
                        return False
            await asyncio.sleep(RETRY_INTERVAL_S)
        self.failed_changes.append(f"{method} {zone}: not acknowledged in time")
        return False

    async def read_evacuated(
        self, session: aiohttp.ClientSession, expected: tuple[AvailabilityZone, ...]
    ) -> None:
        """Read the evacuated zones from all control instances that answer."""
        for control in self._controls.values():
            requested_at = asyncio.get_running_loop().time()
            url = f"http://{control}{EVACUATIONS_PATH}"
            with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
                async with session.get(url, max_redirects=3) as response:
                    if response.status != 200:
                        continue
                    listed = decode_evacuated(await response.read())
                    read = EvacuationRead(requested_at, listed, expected)
                    self._observations.evacuation_reads.append(read)
