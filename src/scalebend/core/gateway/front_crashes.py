"""Crashes of upstreams during requests, as one front sees and reports them."""

from __future__ import annotations

from scalebend.core.crash_ledger import CrashLedger
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.core.gateway.unanswered_attempts import UnansweredAttempts
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, UpstreamId


class FrontCrashes:
    """Requests during which upstreams crashed, with what the leader must learn.

    Methods return the report for the leader, or ``None`` if nothing is new.
    """

    def __init__(self, directory: EndpointDirectory) -> None:
        self.ledger = CrashLedger()
        self._directory = directory
        self._unanswered = UnansweredAttempts()

    def expire(self, now: float) -> None:
        """Forget old records and attempts."""
        self.ledger.expire(now)
        self._unanswered.expire(now)

    def merge(self, updates: CrashUpdates, now: float) -> None:
        """Merge what a control instance published."""
        self.ledger.merge(updates.records, now)
        self.ledger.clear(updates.cleared)

    def build_updates(self, now: float) -> CrashUpdates | None:
        """All known crashes, for a new leader."""
        return _build_report(self.ledger.list_to_publish(now))

    def record_crash(
        self, fingerprint: Fingerprint, upstream: UpstreamId, now: float
    ) -> CrashUpdates | None:
        """Record that an upstream crashed or disconnected during a request."""
        record = self.ledger.record_crash(fingerprint, upstream, now)
        return _build_report([record]) if record is not None else None

    def record_completed(
        self, fingerprint: Fingerprint, now: float
    ) -> CrashUpdates | None:
        """Record that an upstream gave a complete response to the request."""
        if not self.ledger.record_completed(fingerprint, now):
            return None
        return CrashUpdates([], [fingerprint])

    def record_unanswered(
        self, fingerprint: Fingerprint, upstream: UpstreamId, now: float
    ) -> None:
        """Record an attempt without a response whose connection did not break."""
        self._unanswered.add(upstream, fingerprint, now)

    def record_ended_upstreams(
        self, superseded: list[UpstreamId], now: float
    ) -> CrashUpdates | None:
        """Record crashes of upstreams that ended with unanswered requests."""
        ended = [
            upstream
            for upstream in self._unanswered.list_upstreams()
            if upstream in superseded or self._directory.is_lost(upstream)
        ]
        records = []
        for upstream in ended:
            for fingerprint in self._unanswered.pop(upstream):
                record = self.ledger.record_crash(fingerprint, upstream, now)
                if record is not None:
                    records.append(record)
        return _build_report(records)


def _build_report(records: list[CrashRecord]) -> CrashUpdates | None:
    return CrashUpdates(records, []) if records else None
