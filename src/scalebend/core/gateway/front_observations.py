"""What a front observes of upstreams in its own traffic, and reports to the leader.

Decides which failed responses and connections count against an upstream or a path: at
an isolated front, only those that a peer confirms. Outcomes and paths are reported
together at an interval, the rest at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.messages import (
    AttemptOutcomes,
    DrainingReport,
    RejectionReport,
    ReplicaFailures,
    ReplicaPaces,
)
from scalebend.core.gateway.outcome_counts import OutcomeCounts
from scalebend.core.gateway.path_evidence import FrontPaths
from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import ReplicaPace

OUTCOME_REPORT_INTERVAL_S = 0.2
"""Interval of the reports of attempt outcomes, which bounds their rate under load."""


class FrontObservations:
    """Outcomes, failures, paces and drains of upstreams, as one front saw them.

    Methods return the report for the leader, or ``None`` if nothing is new.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        scheduler: EngineScheduler,
        reach: UpstreamReach,
        paths: FrontPaths,
        outcomes: OutcomeCounts,
        now: float,
    ) -> None:
        self._directory = directory
        self._scheduler = scheduler
        self._reach = reach
        self._paths = paths
        self._outcomes = outcomes
        self._next_report_at = now
        self._draining: dict[UpstreamId, None] = {}
        """Upstreams that announced a drain in a response, kept for a later leader."""

    def build_report(self, now: float) -> AttemptOutcomes | None:
        """Outcomes and paths since the last report, if it is time for one."""
        has_news = self._outcomes.has_any or self._paths.has_news
        if not has_news or now < self._next_report_at:
            return None
        self._next_report_at = now + OUTCOME_REPORT_INTERVAL_S
        paths = self._paths.build_report(now)
        return AttemptOutcomes(self._outcomes.pop_all(), paths)

    def retain(self, known: Iterable[UpstreamId]) -> None:
        """Forget the drains of upstreams that are not among those ``known``."""
        self._draining = {one: None for one in known if one in self._draining}

    # Outcomes

    def record_outcome(
        self, upstream: UpstreamId, now: float, *, has_failed: bool
    ) -> None:
        """Count a response or a failure of an upstream."""
        if not has_failed or self._may_blame(upstream, now):
            self._outcomes.record(upstream, has_failed=has_failed)

    def record_direct_failure(
        self, address: str, kind: FailureKind, now: float
    ) -> None:
        """Record that a direct connection to an upstream failed."""
        was_isolated = self._reach.is_isolated
        self._reach.record_failure(address, kind, now)
        if self._reach.is_isolated and not was_isolated:
            # They are likely to be failures of this front's network.
            self._outcomes.drop_failures()

    def _may_blame(self, upstream: UpstreamId, now: float) -> bool:
        """Whether a failure at an upstream may count against it, here and elsewhere."""
        endpoint = self._directory.get(upstream)
        return endpoint is None or self._reach.may_blame(endpoint.address, now)

    # Paths between zones

    def record_path(
        self, upstream: UpstreamId, observed: int, lost: int, now: float
    ) -> None:
        """Count pieces of data of an upstream, and those of them lost on the way."""
        endpoint = self._directory.get(upstream)
        if endpoint is not None:
            self._paths.record(endpoint.availability_zone, observed, lost, now)

    def record_failed_connection(self, upstream: UpstreamId, now: float) -> None:
        """Count a connection to an upstream that timed out."""
        endpoint = self._directory.get(upstream)
        if endpoint is not None and self._may_blame(upstream, now):
            zone = endpoint.availability_zone
            self._paths.record_failed_connection(zone, upstream, now)

    # Draining upstreams

    def record_draining(self, upstream: UpstreamId) -> DrainingReport | None:
        """Record a drain announced in a response; the registrations may not show it."""
        if self._directory.record_draining(upstream) is None:
            return None
        self._draining[upstream] = None
        return DrainingReport([upstream])

    def build_draining_report(self) -> DrainingReport | None:
        """All drains that responses announced, for a new leader."""
        return DrainingReport(list(self._draining)) if self._draining else None

    # Replicas

    def record_failure(
        self, upstream: UpstreamId, now: float
    ) -> ReplicaFailures | None:
        """Record a replica that is unreachable or unresponsive."""
        if not self._may_blame(upstream, now):
            return None
        self._scheduler.record_failure(upstream, now)
        return ReplicaFailures([upstream])

    def record_overdue(self, upstream: UpstreamId, now: float) -> ReplicaFailures:
        """Record a replica at which a first token is overdue."""
        self._scheduler.record_overdue(upstream, now)
        return ReplicaFailures([], [upstream])

    def record_rejection(self, upstream: UpstreamId, now: float) -> RejectionReport:
        """Record that an engine rejected a request without running it."""
        self._scheduler.record_rejection(upstream, now)
        return RejectionReport(upstream)

    def record_paces(self, paces: list[ReplicaPace], now: float) -> ReplicaPaces | None:
        """Record the paces that replicas reported."""
        for pace in paces:
            self._scheduler.record_pace(pace, now)
        return ReplicaPaces(paces) if paces else None
