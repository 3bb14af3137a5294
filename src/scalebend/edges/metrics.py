"""Metrics over statsd; docs/operators/metrics.md lists their names."""

from __future__ import annotations

from typing import Protocol

import statsd

from scalebend.models.settings import Statsd


class Metrics(Protocol):
    """The part of the statsd client that scalebend uses; durations in ms."""

    def incr(self, name: str, count: int = 1) -> None:
        """Add to a counter."""

    def timing(self, name: str, delta: float) -> None:
        """Record a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NoMetrics:
    """Discards all metrics; used when no statsd address is configured."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignore a counter."""

    def timing(self, name: str, delta: float) -> None:
        """Ignore a duration."""

    def gauge(self, name: str, value: float) -> None:
        """Ignore a gauge."""


def build_metrics(options: Statsd | None) -> Metrics:
    """Return a statsd client, or one that discards all metrics."""
    if options is None:
        return NoMetrics()
    client: Metrics = statsd.StatsClient(
        host=options.host, port=options.port, prefix=options.prefix
    )
    return client
