"""Limits on requests a second that upstreams named, as one process knows them.

An upstream in need says in its answers how many requests a second it takes, for as long
as that holds. Answers overtake each other on their ways, so a lower limit counts at
once, while a higher one, or none, counts only from a request that was sent when the
present limit was known already.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from scalebend.models.ids import UpstreamId
from scalebend.models.request_limits import UNLIMITED, HeardLimit, RequestLimit

ABSENT_MEMORY = 60.0
"""Seconds for which the limit of an upstream that is not known is kept: one that was
taken for gone while it only lost its way to control comes back with its need, and a
control instance that has just started hears of upstreams one after the other."""


class _Record(msgspec.Struct):
    rate: float
    revision: int
    absent_since: float | None = None


class RequestLimits:
    """Limits of upstreams; one that was ended stays known by its revision."""

    def __init__(self) -> None:
        self._records: dict[UpstreamId, _Record] = {}
        self._limited: dict[UpstreamId, None] = {}

    # What upstreams and other processes say

    def hear(self, heard: HeardLimit) -> RequestLimit | None:
        """Take what an answer said; return the limit if it changed."""
        known = self.get(heard.upstream)
        if heard.rate == known.rate:
            return None
        if heard.rate > known.rate and heard.revision != known.revision:
            return None
        changed = RequestLimit(heard.upstream, heard.rate, known.revision + 1)
        self._put(changed)
        return changed

    def merge(self, limits: Iterable[RequestLimit]) -> list[RequestLimit]:
        """Take what another process knows; return what is new here."""
        changed = []
        for limit in limits:
            known = self.get(limit.upstream)
            is_later = limit.revision > known.revision
            is_lower = limit.revision == known.revision and limit.rate < known.rate
            if is_later or is_lower:
                self._put(limit)
                changed.append(limit)
        return changed

    def _put(self, limit: RequestLimit) -> None:
        self._records[limit.upstream] = _Record(limit.rate, limit.revision)
        if limit.rate < UNLIMITED:
            self._limited[limit.upstream] = None
        else:
            self._limited.pop(limit.upstream, None)

    # What is known

    def get(self, upstream: UpstreamId) -> RequestLimit:
        """The limit in force at an upstream."""
        record = self._records.get(upstream)
        if record is None:
            return RequestLimit(upstream, UNLIMITED, 0)
        return RequestLimit(upstream, record.rate, record.revision)

    def is_limited(self, upstream: UpstreamId) -> bool:
        """Whether an upstream takes only so many requests a second."""
        return upstream in self._limited

    @property
    def limited(self) -> Iterable[UpstreamId]:
        """Upstreams with a limit in force."""
        return self._limited

    def count_limited(self) -> int:
        """Upstreams with a limit in force."""
        return len(self._limited)

    def list_all(self) -> list[RequestLimit]:
        """All that is known, also of limits that have ended, for another process."""
        return [self.get(upstream) for upstream in self._records]

    def retain(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Forget upstreams that were not among ``upstreams`` for long."""
        if not self._records:
            return
        present = set(upstreams)
        for upstream, record in list(self._records.items()):
            if upstream in present:
                record.absent_since = None
            elif record.absent_since is None:
                record.absent_since = now
            elif now - record.absent_since >= ABSENT_MEMORY:
                del self._records[upstream]
                self._limited.pop(upstream, None)
