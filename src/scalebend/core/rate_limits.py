"""Rate limits that upstreams named, as one process knows them.

An overloaded upstream names in its responses how many requests a second it takes, and
stops doing so when the limit ends. Responses may arrive out of order, so a lower limit
applies at once, while a higher one, or none, applies only if its request was sent when
the current limit was already known.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import UNLIMITED, ObservedLimit, RateLimit

ABSENT_RETENTION_S = 60.0
"""Time for which the limit of an absent upstream is kept: one that only lost its
connection to control comes back with its limit, and a control instance that has just
started learns of upstreams one by one."""


class _Record(msgspec.Struct):
    rate: float
    revision: int
    absent_since: float | None = None


class RateLimits:
    """Rate limits by upstream; the revision of a limit that ended is kept."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}
        self._limited: dict[UpstreamId, None] = {}

    # Changes

    def apply(self, reported: ObservedLimit) -> RateLimit | None:
        """Apply the limit named in a response; return the new limit if it changed."""
        known = self.get(reported.upstream)
        if reported.rate == known.rate:
            return None
        if reported.rate > known.rate and reported.revision != known.revision:
            return None
        changed = RateLimit(reported.upstream, reported.rate, known.revision + 1)
        self._put(changed)
        return changed

    def merge(self, limits: Iterable[RateLimit]) -> list[RateLimit]:
        """Merge the limits that another process knows; return those that changed."""
        changed = []
        for limit in limits:
            known = self.get(limit.upstream)
            is_later = limit.revision > known.revision
            is_lower = limit.revision == known.revision and limit.rate < known.rate
            if is_later or is_lower:
                self._put(limit)
                changed.append(limit)
        return changed

    def _put(self, limit: RateLimit) -> None:
        self._records[limit.upstream] = _Record(limit.rate, limit.revision)
        if limit.rate < UNLIMITED:
            self._limited[limit.upstream] = None
        else:
            self._limited.pop(limit.upstream, None)

    # Lookup

    def get(self, upstream: UpstreamId) -> RateLimit:
        """The limit in force at an upstream."""
        record = self._records.get(upstream)
        if record is None:
            return RateLimit(upstream, UNLIMITED, 0)
        return RateLimit(upstream, record.rate, record.revision)

    def is_limited(self, upstream: UpstreamId) -> bool:
        """Whether a limit is in force at an upstream."""
        return upstream in self._limited

    @property
    def limited(self) -> Iterable[UpstreamId]:
        """Upstreams with a limit in force."""
        return self._limited

    def count_limited(self) -> int:
        """Number of upstreams with a limit in force."""
        return len(self._limited)

    def list_all(self) -> list[RateLimit]:
        """All known limits for another process, including those that ended."""
        return [self.get(upstream) for upstream in self._records]

    def retain(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Forget upstreams that have long been absent from ``upstreams``."""
        if not self._records:
            return
        present = set(upstreams)
        for upstream, record in list(self._records.items()):
            if upstream in present:
                record.absent_since = None
            elif record.absent_since is None:
                record.absent_since = now
            elif now - record.absent_since >= ABSENT_RETENTION_S:
                del self._records[upstream]
                self._limited.pop(upstream, None)
