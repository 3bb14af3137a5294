"""Metrics over statsd. The names are listed in docs/operators/metrics.md."""

from __future__ import annotations

from typing import Protocol

import statsd

from scalebend.models.settings import Statsd


class Metrics(Protocol):
    """The statsd calls that scalebend uses; times in milliseconds."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, delta: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Records nothing: no statsd address is set."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignore a counter."""

    def timing(self, name: str, delta: float) -> None:
        """Ignore a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore a gauge."""


def build_metrics(options: Statsd | None) -> Metrics:
    """Return a statsd client, or one that records nothing."""
    if options is None:
        return NoMetrics()
    client: Metrics = statsd.StatsClient(
        host=options.host, port=options.port, prefix=options.prefix
    )
    return client
