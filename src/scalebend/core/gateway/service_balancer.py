"""Chooses an upstream of a plain service by open requests and recent failures."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from scalebend.models.calls import LoadReading
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, UpstreamId

READING_LIFE = 0.5
"""Seconds for which an upstream's own count of its load is of use."""

FAILURE_WEIGHT = 8.0
"""Open requests that a failure rate of 1 weighs as much as."""

FAILURE_SMOOTHING = 0.3
"""Weight of the newest outcome in the failure rate."""

FAILURE_LIFE = 3.0
"""Seconds after which a failure rate is forgotten, so that the upstream is tried."""

SUSPECT_TIME = 1.0
"""Seconds for which an upstream that could not be reached is avoided."""

ZONE_WEIGHT = 0.5
"""Open requests that another availability zone weighs as much as."""


class _Record(msgspec.Struct):
    open: int = 0
    reading: LoadReading | None = None
    read_at: float = 0.0
    failure_rate: float = 0.0
    failed_at: float = 0.0
    suspect_until: float = 0.0


class ServiceBalancer:
    """What one front saw of the upstreams of plain services."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}
        self._ejected: frozenset[UpstreamId] = frozenset()
        """Those that other fronts saw fail, too."""

    def choose(
        self,
        endpoints: Iterable[Endpoint],
        excluded: set[UpstreamId],
        zone: AvailabilityZone,
        chooser: random.Random,
        now: float,
    ) -> Endpoint | None:
        """The least loaded upstream, by chance among equals."""
        usable = [e for e in endpoints if e.upstream not in excluded]
        sound = [
            e
            for e in usable
            if self._get(e.upstream).suspect_until <= now
            and e.upstream not in self._ejected
        ]
        candidates = sound or usable
        if not candidates:
            return None
        return min(
            candidates, key=lambda e: (self._weigh(e, zone, now), chooser.random())
        )

    def note_ejected(self, upstreams: Iterable[UpstreamId]) -> None:
        """All upstreams that are to get nothing while others can."""
        self._ejected = frozenset(upstreams)

    def note_sent(self, upstream: UpstreamId) -> None:
        """A request is sent there."""
        self._get(upstream).open += 1

    def note_ended(
        self,
        upstream: UpstreamId,
        reading: LoadReading | None,
        now: float,
        *,
        has_failed: bool,
    ) -> None:
        """A request that was sent there ended."""
        record = self._get(upstream)
        record.open = max(0, record.open - 1)
        if reading is not None:
            record.reading = reading
            record.read_at = now
        outcome = 1.0 if has_failed else 0.0
        if has_failed:
            record.failed_at = now
        record.failure_rate += FAILURE_SMOOTHING * (outcome - record.failure_rate)

    def note_unreachable(self, upstream: UpstreamId, now: float) -> None:
        """No connection could be made, or nothing came."""
        self._get(upstream).suspect_until = now + SUSPECT_TIME

    def _weigh(self, endpoint: Endpoint, zone: AvailabilityZone, now: float) -> float:
        record = self._get(endpoint.upstream)
        weight = float(record.open)
        if record.reading is not None and now - record.read_at < READING_LIFE:
            seen = record.reading.running + record.reading.waiting
            weight = max(weight, float(seen))
        if now - record.failed_at < FAILURE_LIFE:
            weight += FAILURE_WEIGHT * record.failure_rate
        if endpoint.availability_zone != zone:
            weight += ZONE_WEIGHT
        return weight

    def _get(self, upstream: UpstreamId) -> _Record:
        return self._records.setdefault(upstream, _Record())
