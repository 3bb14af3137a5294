"""Rate limits that upstreams state, each for all fronts together.

Rates are in requests per second; :data:`UNLIMITED` means that there is no limit.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.models.ids import UpstreamId

UNLIMITED = math.inf


class RateLimit(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit in force at one upstream.

    Updates may arrive in any order: the higher ``revision`` wins, and of two with the
    same one the lower rate.
    """

    upstream: UpstreamId
    rate: float
    revision: int
    """Rises with each change; 0 for an upstream that never stated a limit."""


class ObservedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit that one response of an upstream stated."""

    upstream: UpstreamId
    rate: float
    revision: int
    """Revision known when the request was sent, so that a response sent before the
    upstream stated its limit does not lift it."""


def describe_rate(rate: float) -> float | None:
    """Convert a rate for log lines; ``None`` for no limit."""
    return rate if rate < UNLIMITED else None
