"""What the attempts of one request show about what crashes upstreams."""

from __future__ import annotations

from scalebend.core.attempt_progress import AttemptProgress
from scalebend.core.part_ledger import SentParts
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.crashes import RequestIdentity
from scalebend.models.ids import PoolId, UpstreamId


class CrashEvidence:
    """Reports the fate of the attempts of one request; knows its quarantine."""

    def __init__(self, runtime: FrontRuntime, identity: RequestIdentity) -> None:
        self._runtime = runtime
        self._reports = runtime.instance.crash_reports
        self.identity = identity

    def is_suspect(self) -> bool:
        """Whether the request may be what crashes upstreams."""
        return self._reports.is_suspect(self.identity)

    def compute_quarantine(self) -> float:
        """Return the seconds until the quarantine of the request ends, or 0."""
        return self._reports.compute_quarantine(self.identity, self._runtime.now())

    def is_trial(self) -> bool:
        """Whether the request, if it is sent now, follows a quarantine as its trial."""
        return self._reports.parts.find_cause(self.identity.parts) is not None

    def record_sent(self, pool: PoolId, upstream: UpstreamId) -> SentParts:
        """Return what is known of the parts, just before the request is sent."""
        parts = self.identity.parts
        if self.is_trial():
            now = self._runtime.now()
            self._runtime.report(self._reports.begin_trial(parts, now))
        return self._reports.parts.record_sent(parts, pool, upstream)

    def record_response(self, progress: AttemptProgress) -> None:
        """Record that the head of a response arrived."""
        self._reports.record_response(progress.parts, self._runtime.now())

    def record_events(self, progress: AttemptProgress, events: int) -> None:
        """Record events of a stream that have just arrived."""
        now = self._runtime.now()
        self._reports.parts.record_alive(progress.parts.pool, now)
        if progress.record_events(events, now):
            self.record_under_way(progress)

    def record_under_way(self, progress: AttemptProgress) -> None:
        """Record that a response got past its start."""
        now = self._runtime.now()
        self._runtime.report(self._reports.record_under_way(progress.parts, now))

    def record_completed(self) -> None:
        """Record a complete response, even an error, which crashed nothing."""
        fingerprint, now = self.identity.fingerprint, self._runtime.now()
        self._runtime.report(self._reports.record_completed(fingerprint, now))

    def record_crash(self, upstream: UpstreamId, progress: AttemptProgress) -> None:
        """Record that an upstream crashed or was disconnected during an attempt."""
        runtime = self._runtime
        runtime.metrics.count_lost_request()
        report = self._reports.record_crash(
            self.identity.fingerprint,
            progress.suspected_parts,
            upstream,
            runtime.now(),
        )
        runtime.report(report)
        runtime.held_requests.end(self._reports.parts.causes)

    def record_unanswered(
        self, upstream: UpstreamId, progress: AttemptProgress
    ) -> None:
        """Record an attempt that timed out while its connection stayed open."""
        self._reports.record_unanswered(
            self.identity.fingerprint,
            progress.suspected_parts,
            upstream,
            self._runtime.now(),
        )
