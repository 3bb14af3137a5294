"""Each front's part of the retry budget that all fronts share.

A service tolerates, in any window, some retries for each first attempt and a fixed
number besides. Every front keeps within the ratio for its own requests and within an
even part of the fixed number, so no messages are needed and the sum holds.
"""

from __future__ import annotations

import math
from collections import deque

import msgspec

from scalebend.models.ids import ServiceName

SAFETY = 0.7
"""Part of the budget that is used: fronts that restarted forgot what they spent,
and a new front is counted by the others a little late."""


FRONTS_MEMORY = 30.0
"""Seconds for which the largest number of fronts is believed: a control instance that
has just started hears of them one after the other."""

SETTLE_TIME = 2.0
"""Seconds after the first word on the number of fronts until the fixed part is used."""


class _Counts(msgspec.Struct):
    requests: deque[float] = msgspec.field(default_factory=deque)
    retries: deque[float] = msgspec.field(default_factory=deque)


class RetryWindow:
    """Counts of one front, by service, over a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._fronts = 0
        self._fronts_at = 0.0
        self._slack_from = math.inf
        self._counts: dict[ServiceName, _Counts] = {}

    def set_fronts(self, count: int, now: float) -> None:
        """Note how many fronts share the fixed part."""
        if math.isinf(self._slack_from):
            self._slack_from = now + SETTLE_TIME
        is_old = now - self._fronts_at > FRONTS_MEMORY
        if count >= self._fronts or is_old:
            self._fronts = max(1, count)
            self._fronts_at = now

    def note_request(self, service: ServiceName, now: float) -> None:
        """Count a request that callers sent for ``service``."""
        self._get(service, now).requests.append(now)

    def spend(self, service: ServiceName, now: float) -> bool:
        """Take one retry; ``False`` when the window holds as many as are allowed."""
        counts = self._get(service, now)
        slack = self._slack / self._fronts if now >= self._slack_from else 0.0
        allowed = SAFETY * (self._ratio * len(counts.requests) + slack)
        if len(counts.retries) + 1 > allowed:
            return False
        counts.retries.append(now)
        return True

    def _get(self, service: ServiceName, now: float) -> _Counts:
        counts = self._counts.setdefault(service, _Counts())
        horizon = now - self._window
        for times in (counts.requests, counts.retries):
            while times and times[0] <= horizon:
                times.popleft()
        return counts
