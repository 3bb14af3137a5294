"""A maximum that is forgotten little by little."""

from __future__ import annotations

import math


class FadingMaximum:
    """The largest of the values noted, each fading with a time constant in seconds."""

    def __init__(self, time_constant: float) -> None:
        self._time_constant = time_constant
        self._value = 0.0
        self._noted_at = 0.0

    def note(self, value: float, now: float) -> None:
        """Take a value."""
        self._value = max(value, self.read(now))
        self._noted_at = now

    def read(self, now: float) -> float:
        """The largest value, faded until ``now``."""
        age = max(0.0, now - self._noted_at)
        return self._value * math.exp(-age / self._time_constant)
