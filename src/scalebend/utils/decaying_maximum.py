"""An exponentially decaying maximum."""

from __future__ import annotations

import math


class DecayingMaximum:
    """The maximum of recorded values, decaying with a time constant in seconds."""

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._value = 0.0
        self._recorded_at = 0.0

    def record(self, value: float, now: float) -> None:
        """Record a value."""
        self._value = max(value, self.read(now))
        self._recorded_at = now

    def read(self, now: float) -> float:
        """Return the maximum, decayed until ``now``."""
        age = max(0.0, now - self._recorded_at)
        return self._value * math.exp(-age / self._time_constant)
