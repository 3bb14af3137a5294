"""Chooses an upstream of a plain service by open requests and recent failures."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from scalebend.models.calls import ReportedLoad
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, UpstreamId

READING_LIFETIME_S = 0.5
"""Time for which a load reading that an upstream reported is used."""

FAILURE_WEIGHT = 8.0
"""Weight of a failure rate of 1, in open requests."""

FAILURE_SMOOTHING = 0.3
"""Weight of the newest outcome in the moving average of the failure rate."""

FAILURE_LIFETIME_S = 3.0
"""Time after the last failure for which the failure rate counts; then the upstream is
tried again."""

AVOID_S = 1.0
"""Time for which an unreachable upstream is avoided."""

ZONE_WEIGHT = 0.5
"""Weight of another availability zone, in open requests."""

PATH_WEIGHT = 4.0
"""Weight of a degraded path, in open requests: a retransmission takes several times as
long as most requests, but an upstream with that many more has a queue."""


class _Record(msgspec.Struct):
    open: int = 0
    reading: ReportedLoad | None = None
    read_at: float = 0.0
    failure_rate: float = 0.0
    failed_at: float = 0.0
    avoided_until: float = 0.0


class ServiceBalancer:
    """Load and failures of the upstreams of plain services, as one front saw them."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}
        self._ejected: frozenset[UpstreamId] = frozenset()
        """Ejected by the leader, from the outcomes of all fronts."""

    def choose(
        self,
        endpoints: Iterable[Endpoint],
        excluded: set[UpstreamId],
        zone: AvailabilityZone,
        chooser: random.Random,
        now: float,
        avoided_zones: frozenset[AvailabilityZone] = frozenset(),
    ) -> Endpoint | None:
        """Choose the upstream of least weight, at random among equals.

        Paths to ``avoided_zones`` are degraded.
        """
        usable = [e for e in endpoints if e.upstream not in excluded]
        healthy = [
            e
            for e in usable
            if self._get(e.upstream).avoided_until <= now
            and e.upstream not in self._ejected
        ]
        candidates = healthy or usable
        if not candidates:
            return None

        def weigh(endpoint: Endpoint) -> float:
            is_avoided = endpoint.availability_zone in avoided_zones
            return self._weigh(endpoint, zone, now) + PATH_WEIGHT * is_avoided

        return min(candidates, key=lambda e: (weigh(e), chooser.random()))

    def set_ejected(self, upstreams: Iterable[UpstreamId]) -> None:
        """Replace the set of ejected upstreams."""
        self._ejected = frozenset(upstreams)

    def record_sent(self, upstream: UpstreamId) -> None:
        """Count a request that is sent to an upstream."""
        self._get(upstream).open += 1

    def record_ended(
        self,
        upstream: UpstreamId,
        reading: ReportedLoad | None,
        now: float,
        *,
        has_failed: bool | None,
    ) -> None:
        """Record the end of a request that was sent to an upstream.

        ``has_failed`` is ``None`` if that says nothing about the upstream.
        """
        record = self._get(upstream)
        record.open = max(0, record.open - 1)
        if reading is not None:
            record.reading = reading
            record.read_at = now
        if has_failed is None:
            return
        outcome = 1.0 if has_failed else 0.0
        if has_failed:
            record.failed_at = now
        record.failure_rate += FAILURE_SMOOTHING * (outcome - record.failure_rate)

    def record_unreachable(self, upstream: UpstreamId, now: float) -> None:
        """Avoid an upstream that was unreachable or unresponsive."""
        self._get(upstream).avoided_until = now + AVOID_S

    def _weigh(self, endpoint: Endpoint, zone: AvailabilityZone, now: float) -> float:
        record = self._get(endpoint.upstream)
        weight = float(record.open)
        if record.reading is not None and now - record.read_at < READING_LIFETIME_S:
            reported = record.reading.running + record.reading.waiting
            weight = max(weight, float(reported))
        if now - record.failed_at < FAILURE_LIFETIME_S:
            weight += FAILURE_WEIGHT * record.failure_rate
        if endpoint.availability_zone != zone:
            weight += ZONE_WEIGHT
        return weight

    def _get(self, upstream: UpstreamId) -> _Record:
        return self._records.setdefault(upstream, _Record())
