"""Cold times that replicas stated in registrations.

A registration names the seconds that are left, so its value falls with each one. Each
process subtracts the time since then by its own clock, and a registration that says
what was expected is no change to publish.
"""

from __future__ import annotations

import math

import msgspec
import structlog

from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)

COLD_TOLERANCE_S = 0.3
"""Difference from the expected cold time below which a registration tells nothing new:
more than it is late usually, less than callers notice."""


class _ColdReport(msgspec.Struct, frozen=True):
    cold_s: float
    received_at: float


class ColdReports:
    """Cold times that replicas stated, reduced by the time since then."""

    def __init__(self) -> None:
        self._reports: dict[UpstreamId, _ColdReport] = {}

    def record(self, endpoint: Endpoint, now: float) -> bool:
        """Record a registration; return whether it differs from what was expected."""
        upstream = endpoint.upstream
        expected = self.compute_remaining(upstream, now)
        if abs(endpoint.cold_s - expected) <= COLD_TOLERANCE_S:
            return False
        if endpoint.cold_s > 0.0:
            self._reports[upstream] = _ColdReport(endpoint.cold_s, now)
        else:
            del self._reports[upstream]
        logger.info(
            "cold time changed",
            upstream=upstream,
            service=endpoint.service,
            remaining=round(endpoint.cold_s, 3),
            expected=round(expected, 3),
            sequence=endpoint.sequence,
        )
        return True

    def compute_remaining(
        self, upstream: UpstreamId, now: float, max_s: float = math.inf
    ) -> float:
        """Seconds until a replica is warm; a stated time counts up to ``max_s``."""
        report = self._reports.get(upstream)
        if report is None:
            return 0.0
        return max(0.0, min(report.cold_s, max_s) - (now - report.received_at))

    def list_reported(self) -> list[UpstreamId]:
        """Replicas that stated a cold time, which may have passed."""
        return list(self._reports)

    def forget(self, upstream: UpstreamId) -> None:
        """Forget a replica that is gone."""
        self._reports.pop(upstream, None)
