"""What upstreams say of the requests a second that they take, from all fronts together.

Rates are in requests a second; :data:`UNLIMITED` is that of an upstream without one.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.models.ids import UpstreamId

UNLIMITED = math.inf


class RequestLimit(msgspec.Struct, frozen=True, array_like=True):
    """The limit in force at one upstream.

    Processes tell each other of limits in any order: of two with the same ``revision``
    the lower one counts, else the later one.
    """

    upstream: UpstreamId
    rate: float
    revision: int
    """Rises with each change; 0 for an upstream that never named a limit."""


class HeardLimit(msgspec.Struct, frozen=True, array_like=True):
    """What one answer of an upstream said."""

    upstream: UpstreamId
    rate: float
    revision: int
    """Of the limit that was known when the request was sent: an answer that was on its
    way before the upstream named its limit does not end it."""


def describe_rate(rate: float) -> float | None:
    """A rate for log lines; ``None`` for no limit."""
    return rate if rate < UNLIMITED else None
