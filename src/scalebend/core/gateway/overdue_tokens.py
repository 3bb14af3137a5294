"""Overdue first tokens of one replica, and how long it is left out for them.

A replica that hangs takes requests and reports that it is well, so neither its reports
nor its connections show it; only its first tokens do. Times in seconds.
"""

from __future__ import annotations

import msgspec

MIN_OVERDUE = 2
"""Overdue first tokens with none in between from which on a replica is left out: one
may be late by a lost packet."""

OVERDUE_WINDOW_S = 5.0
"""Time after which an overdue first token no longer counts."""

FIRST_EXCLUSION_S = 1.0
MAX_EXCLUSION_S = 8.0
"""Time for which a replica is left out, doubling from the first to the longest: each
trial of one that hangs costs a late request."""

MAX_EXCLUDED_SHARE = 1 / 3
"""Share of the replicas that are left out at once: if more are late, it is load."""


class OverdueTokens(msgspec.Struct):
    """Overdue first tokens at one replica since its last one that came."""

    count: int = 0
    last_at: float = 0.0
    exclusion: float = 0.0
    """Length of the last exclusion; 0 before the first."""

    excluded_until: float = 0.0

    def record(self, now: float) -> bool:
        """Record an overdue first token; return whether an exclusion is due."""
        if now - self.last_at > OVERDUE_WINDOW_S:
            self.count = 0
        if now - self.excluded_until > OVERDUE_WINDOW_S:
            self.exclusion = 0.0
        self.count += 1
        self.last_at = now
        is_trial = self.exclusion > 0.0
        return now >= self.excluded_until and (is_trial or self.count >= MIN_OVERDUE)

    def exclude(self, now: float) -> None:
        """Leave the replica out, twice as long as before."""
        doubled = 2.0 * self.exclusion or FIRST_EXCLUSION_S
        self.exclusion = min(MAX_EXCLUSION_S, doubled)
        self.excluded_until = now + self.exclusion
