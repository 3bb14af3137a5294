"""Slow start: how much a replica of a service takes shortly after its start."""

from __future__ import annotations

import msgspec


class SlowStart(msgspec.Struct, frozen=True, array_like=True):
    """What replicas of a service take while they are cold."""

    cold_s: float
    """Seconds for which a replica stays cold after a start."""

    rate: float
    """Requests per second that a cold replica takes from all fronts together."""
