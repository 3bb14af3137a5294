"""Silences of a stand-in replica: it sends nothing for a while, then goes on.

A replica that is silent as a whole does nothing at all meanwhile, as a paused process;
new connections to it are accepted by its proxy, as by the kernel.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import AsyncIterator, Callable, Iterator

import msgspec

from scalebend.models.ids import UpstreamId
from scalebend.soak.faults import SilencePlace
from scalebend.soak.observations import Observations, SilentRequest

RECOVERY_S = 0.6
"""Seconds after a silence of a replica as a whole without another there: one after the
other would be a longer silence than sound replicas have."""


class _Expected(msgspec.Struct):
    """Silences of the next responses that reach a place."""

    place: SilencePlace
    seconds: float
    count: int


class Silences:
    """Silences of one replica, as a whole and of single responses."""

    def __init__(
        self, observations: Observations, get_upstream: Callable[[], UpstreamId]
    ) -> None:
        self._observations = observations
        self._get_upstream = get_upstream
        self._ended = asyncio.Event()
        self._ended.set()
        self._sounds_since = -math.inf
        """End of the last silence of the replica as a whole."""

        self._expected: list[_Expected] = []

    @contextlib.asynccontextmanager
    async def silence_all(self) -> AsyncIterator[None]:
        """Keep everything silent until the block ends.

        Does nothing if the replica already is silent, or has just been.
        """
        if not self._ended.is_set() or self._has_just_been_silent():
            yield
            return
        self._ended.clear()
        try:
            yield
        finally:
            self._ended.set()
            self._sounds_since = asyncio.get_running_loop().time()

    @contextlib.contextmanager
    def silence_next(
        self, place: SilencePlace, seconds: float, count: int
    ) -> Iterator[None]:
        """Keep the next ``count`` responses that reach ``place`` silent for a time."""
        expected = _Expected(place, seconds, count)
        self._expected.append(expected)
        try:
            yield
        finally:
            self._expected.remove(expected)

    async def wait(self) -> None:
        """Wait until the replica as a whole is not silent."""
        await self._ended.wait()

    async def pass_place(self, request_id: str, place: SilencePlace | None) -> None:
        """Wait while the replica, or the response that reached a place, is silent."""
        seconds = self._take(place)
        if seconds is None and self._ended.is_set():
            return
        loop = asyncio.get_running_loop()
        silent = SilentRequest(request_id, self._get_upstream(), loop.time(), None)
        self._observations.silent_requests.append(silent)
        try:
            if seconds is not None:
                await asyncio.sleep(seconds)
            await self._ended.wait()
        finally:
            silent.until = loop.time()

    def _has_just_been_silent(self) -> bool:
        now = asyncio.get_running_loop().time()
        return now < self._sounds_since + RECOVERY_S

    def _take(self, place: SilencePlace | None) -> float | None:
        if not self._ended.is_set() or self._has_just_been_silent():
            return None
        for expected in self._expected:
            if expected.place is place and expected.count:
                expected.count -= 1
                return expected.seconds
        return None
