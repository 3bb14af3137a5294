"""One front's share of the retry budget that all fronts have together.

A service tolerates, in any window, a ratio of retries to requests plus a fixed
allowance. Every front keeps the ratio for its own requests and uses an equal share of
the allowance, so the sum over all fronts holds without any messages.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from scalebend.models.ids import ServiceName

USED_SHARE = 0.7
"""Share of the budget that is used: a restarted front has forgotten what it spent, and
a new front is counted late by the others."""

FRONT_COUNT_LIFETIME_S = 30.0
"""Time for which the largest reported number of fronts counts: a control instance that
has just started learns of them one by one."""

SETTLE_TIME_S = 2.0
"""Time from the first reported number of fronts until the fixed allowance is used."""


class _Counts(msgspec.Struct):
    requests: deque[float] = msgspec.field(default_factory=deque)
    retries: deque[float] = msgspec.field(default_factory=deque)


class RetryWindow:
    """Requests and retries of one front, by service, in a sliding window.

    ``ratio`` is in retries per request, ``allowance`` in retries of all fronts, and
    ``window`` in seconds.
    """

    def __init__(self, ratio: float, allowance: float, window: float) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window = window
        self._fronts = 0
        self._fronts_at = 0.0
        self._allowance_from = math.inf
        self._counts: dict[ServiceName, _Counts] = {}

    def update_front_count(self, count: int, now: float) -> None:
        """Set how many fronts share the fixed allowance."""
        if math.isinf(self._allowance_from):
            self._allowance_from = now + SETTLE_TIME_S
        is_expired = now - self._fronts_at > FRONT_COUNT_LIFETIME_S
        if count >= self._fronts or is_expired:
            self._fronts = max(1, count)
            self._fronts_at = now

    def record_request(self, service: ServiceName, now: float) -> None:
        """Count a request of a caller for ``service``."""
        self._get(service, now).requests.append(now)

    def allows(self, service: ServiceName, now: float) -> bool:
        """Whether the budget of the window has room for one more retry."""
        counts = self._get(service, now)
        allowance = (
            self._allowance / self._fronts if now >= self._allowance_from else 0.0
        )
        allowed = USED_SHARE * (self._ratio * len(counts.requests) + allowance)
        return len(counts.retries) + 1 <= allowed

    def spend(self, service: ServiceName, now: float) -> bool:
        """Count one retry; return ``False`` if the budget of the window is used up."""
        if not self.allows(service, now):
            return False
        self._get(service, now).retries.append(now)
        return True

    def _get(self, service: ServiceName, now: float) -> _Counts:
        counts = self._counts.setdefault(service, _Counts())
        horizon = now - self._window
        for times in (counts.requests, counts.retries):
            while times and times[0] <= horizon:
                times.popleft()
        return counts
