"""Outlier ejection of failing upstreams, from the outcomes that all fronts report.

With hundreds of fronts, a single one calls a plain service too seldom to notice that a
replica fails: each front would lose some non-idempotent calls first. Together they see
enough outcomes within a second. An ejected upstream gets no requests while others can
take them, for longer each time it fails again.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import ServiceName, UpstreamId

DECAY_S = 3.0
"""Time constant of the decaying counts: longer than the reporting delay of a front,
shorter than most faults last."""

MIN_FAILURES = 2.5
"""Minimum decayed number of failures for an ejection: healthy replicas also fail a few
requests, sometimes two in a row."""

MIN_FAILURE_SHARE = 0.5
"""Minimum share of an upstream's outcomes that are failures for an ejection."""

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 8.0
"""Length of an ejection, doubling from the first to the longest: each new trial of an
upstream costs a few requests, each needless ejection its capacity."""

RESET_AFTER_S = 10.0
"""Time without a failure after which the record of an upstream is deleted."""

MAX_EJECTED_SHARE = 1 / 3
"""Share of a service's upstreams that may be ejected at once, so that the remaining
ones are not overloaded; at least one of two or more may be."""


class Ejection(msgspec.Struct, frozen=True):
    """An upstream that gets no requests while others can take them."""

    upstream: UpstreamId
    until: float


class _Record(msgspec.Struct):
    service: ServiceName
    succeeded: float = 0.0
    failed: float = 0.0
    seen_at: float = 0.0
    failed_at: float = 0.0
    ejected_until: float = 0.0
    ejection: float = 0.0
    """Length of the last ejection in seconds; 0 before the first."""

    def decay(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.seen_at) / DECAY_S)
        self.succeeded *= factor
        self.failed *= factor
        self.seen_at = now

    def is_failing(self) -> bool:
        total = self.succeeded + self.failed
        return self.failed >= MIN_FAILURES and self.failed >= MIN_FAILURE_SHARE * total


class OutlierDetector:
    """Recent outcomes at each upstream over all fronts."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}

    def record(
        self, outcomes: UpstreamOutcomes, service: ServiceName, usable: int, now: float
    ) -> None:
        """Add outcomes that a front saw at one of ``usable`` upstreams of a service."""
        upstream = outcomes.upstream
        record = self._records.get(upstream)
        if record is None:
            if not outcomes.failed:
                # Upstreams without failures need no record.
                return
            record = self._records[upstream] = _Record(service)
        record.decay(now)
        record.succeeded += outcomes.answered
        record.failed += outcomes.failed
        if outcomes.failed:
            record.failed_at = now
        if now < record.ejected_until or not record.is_failing():
            return
        limit = max(min(1, usable - 1), int(MAX_EJECTED_SHARE * usable))
        if self._count_ejected(service, now) >= limit:
            return
        record.ejection = min(MAX_EJECTION_S, 2.0 * record.ejection or FIRST_EJECTION_S)
        record.ejected_until = now + record.ejection
        # Only outcomes after the ejection decide on the next one.
        record.succeeded = record.failed = 0.0

    def list_ejections(self, now: float) -> list[Ejection]:
        """Ejections in force."""
        return [
            Ejection(upstream, record.ejected_until)
            for upstream, record in self._records.items()
            if now < record.ejected_until
        ]

    def expire(self, now: float) -> None:
        """Delete records of upstreams without recent failures."""
        for upstream, record in list(self._records.items()):
            if now >= max(record.failed_at + RESET_AFTER_S, record.ejected_until):
                del self._records[upstream]

    def _count_ejected(self, service: ServiceName, now: float) -> int:
        return sum(
            record.service == service and now < record.ejected_until
            for record in self._records.values()
        )
