"""Finds upstreams that answer with failures, from what all fronts saw of them.

One of hundreds of fronts sees a plain service too seldom to learn that one of its
replicas fails: each would lose some requests that must not be sent twice before it
knew. Together they see enough within a second. What is found is ejected: it gets
nothing while others can, for longer each time it fails again.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import ServiceName, UpstreamId

MEMORY = 3.0
"""Seconds in which what was seen fades to a third: longer than a front takes to tell,
shorter than most faults last."""

LEAST_FAILURES = 2.5
"""Failures, faded, without which no upstream is ejected: replicas fail some requests
of their own at any time, and about one in a hundred pairs in a row."""

LEAST_RATE = 0.5
"""Part of an upstream's answers that are failures when it is ejected; where a service
fails more often than that everywhere, nothing better is left."""

FIRST_EJECTION = 2.0
LONGEST_EJECTION = 8.0
"""Seconds for which an upstream is ejected, doubling from the first to the longest.
A try again costs up to three requests; one left out without need, its capacity."""

FORGET_AFTER = 10.0
"""Seconds without a failure after which an upstream starts over."""

MOST_EJECTED = 1 / 3
"""Part of a service's upstreams that may be ejected at once, one of two or more at
least, so that the others are not overrun by what is left to them."""


class Ejection(msgspec.Struct, frozen=True):
    """An upstream that should get nothing while others can."""

    upstream: UpstreamId
    until: float


class _Record(msgspec.Struct):
    service: ServiceName
    answered: float = 0.0
    failed: float = 0.0
    seen_at: float = 0.0
    failed_at: float = 0.0
    ejected_until: float = 0.0
    ejection: float = 0.0
    """Seconds of the last ejection; 0 before the first."""

    def fade(self, now: float) -> None:
        factor = math.exp(-max(0.0, now - self.seen_at) / MEMORY)
        self.answered *= factor
        self.failed *= factor
        self.seen_at = now

    def is_failing(self) -> bool:
        seen = self.answered + self.failed
        return self.failed >= LEAST_FAILURES and self.failed >= LEAST_RATE * seen


class OutlierDetector:
    """What all fronts saw of each upstream lately."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}

    def note(
        self, outcomes: UpstreamOutcomes, service: ServiceName, usable: int, now: float
    ) -> None:
        """A front saw answers of one of ``usable`` upstreams of a service."""
        upstream = outcomes.upstream
        record = self._records.get(upstream)
        if record is None:
            if not outcomes.failed:
                # Nothing is to be remembered of those that only answer.
                return
            record = self._records[upstream] = _Record(service)
        record.fade(now)
        record.answered += outcomes.answered
        record.failed += outcomes.failed
        if outcomes.failed:
            record.failed_at = now
        if now < record.ejected_until or not record.is_failing():
            return
        most = max(min(1, usable - 1), int(MOST_EJECTED * usable))
        if self._count_ejected(service, now) >= most:
            return
        record.ejection = min(LONGEST_EJECTION, 2.0 * record.ejection or FIRST_EJECTION)
        record.ejected_until = now + record.ejection
        # The next try counts alone.
        record.answered = record.failed = 0.0

    def list_ejections(self, now: float) -> list[Ejection]:
        """Upstreams that are ejected now."""
        return [
            Ejection(upstream, record.ejected_until)
            for upstream, record in self._records.items()
            if now < record.ejected_until
        ]

    def expire(self, now: float) -> None:
        """Forget upstreams that failed nothing for long."""
        for upstream, record in list(self._records.items()):
            if now >= max(record.failed_at + FORGET_AFTER, record.ejected_until):
                del self._records[upstream]

    def _count_ejected(self, service: ServiceName, now: float) -> int:
        return sum(
            record.service == service and now < record.ejected_until
            for record in self._records.values()
        )
