"""Cold times that replicas stated in registrations.

A registration names the seconds that are left, so its value falls with each one. Each
process subtracts the time since then by its own clock, and a registration that says
what was expected is no change to publish.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec
import structlog

from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import ServiceName, UpstreamId

logger = structlog.get_logger(__name__)

COLD_TOLERANCE_S = 0.3
"""Difference from the expected cold time below which a registration tells nothing new:
more than it is late usually, less than callers notice."""


COLD_RENEWAL_S = 2.4
"""Expected time above which a longer one isn't passed on yet: two heartbeats. Only
whether a replica is cold matters, and one that always states the same time would be a
change with each heartbeat."""


class _ColdReport(msgspec.Struct, frozen=True):
    cold_s: float
    received_at: float


class ColdReports:
    """Cold times that replicas stated, reduced by the time since then."""

    def __init__(self) -> None:
        self._reports: dict[UpstreamId, _ColdReport] = {}
        self._max_s: Mapping[ServiceName, float] | None = None

    def set_services(self, max_s: Mapping[ServiceName, float]) -> None:
        """Store how long a stated cold time counts, by service with slow start."""
        self._max_s = max_s

    def _get_max(self, service: ServiceName) -> float:
        """How long a stated cold time counts; infinite before any document."""
        return math.inf if self._max_s is None else self._max_s.get(service, 0.0)

    def record(self, endpoint: Endpoint, now: float) -> bool:
        """Record a registration; return whether it differs from what was expected.

        Without a slow start of the service nobody needs to know it now; it is kept for
        a later document.
        """
        upstream = endpoint.upstream
        max_s = self._get_max(endpoint.service)
        expected = self.compute_remaining(upstream, now, max_s)
        stated = max(0.0, min(endpoint.cold_s, max_s))
        if max_s > 0.0:
            if abs(stated - expected) <= COLD_TOLERANCE_S:
                return False
            if stated > expected >= COLD_RENEWAL_S:
                return False
        if endpoint.cold_s > 0.0:
            self._reports[upstream] = _ColdReport(endpoint.cold_s, now)
        else:
            self._reports.pop(upstream, None)
        if max_s <= 0.0:
            return False
        logger.info(
            "cold time changed",
            upstream=upstream,
            service=endpoint.service,
            remaining=round(stated, 3),
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
