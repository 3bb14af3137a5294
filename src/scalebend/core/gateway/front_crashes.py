"""Crashes of upstreams during requests, as one front sees and reports them.

Evidence is kept twice: by request, which may come again unchanged, and by the parts of
prompts that different requests share.
"""

from __future__ import annotations

from scalebend.core.crash_ledger import CrashLedger
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.core.gateway.unanswered_attempts import UnansweredAttempts
from scalebend.core.part_ledger import PartLedger, SentParts
from scalebend.models.crashes import CrashRecord, PartRecord, RequestIdentity
from scalebend.models.ids import Fingerprint, InstanceId, PartId, UpstreamId

CONFIRMATION_HEARTBEATS = 3
"""Heartbeat intervals within which a restarted upstream has registered. If it has not,
a response came from the same incarnation as before."""


class FrontCrashes:
    """Requests and parts under which upstreams crashed, and what the leader must learn.

    Methods return the report for the leader, or ``None`` if nothing is new.
    """

    def __init__(
        self,
        directory: EndpointDirectory,
        instance: InstanceId,
        heartbeat_interval_s: float,
    ) -> None:
        """``heartbeat_interval_s`` is that of the upstreams."""
        self._confirmation_s = CONFIRMATION_HEARTBEATS * heartbeat_interval_s
        self.ledger = CrashLedger()
        self.parts = PartLedger(instance)
        self._directory = directory
        self._unanswered = UnansweredAttempts()

    def expire(self, now: float) -> None:
        """Forget old records and attempts."""
        self.ledger.expire(now)
        self.parts.expire(now)
        self._unanswered.expire(now)

    def merge(self, updates: CrashUpdates, now: float) -> None:
        """Merge what a control instance published."""
        self.ledger.merge(updates.records, now)
        self.ledger.clear(updates.cleared)
        self.parts.merge(updates.parts, now)

    def build_updates(self, now: float) -> CrashUpdates | None:
        """All known crashes, for a new leader."""
        records = self.ledger.list_to_publish(now)
        return _build_report(records, self.parts.list_to_publish())

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Whether the request may be what crashes upstreams."""
        return self.ledger.is_suspect(identity.fingerprint) or self.parts.is_suspect(
            identity.parts
        )

    def compute_quarantine(self, identity: RequestIdentity, now: float) -> float:
        """Return the seconds of quarantine left; 0 if the request may be sent."""
        return max(
            self.ledger.compute_quarantine(identity.fingerprint, now),
            self.parts.compute_quarantine(identity.parts, now),
        )

    def begin_trial(self, parts: tuple[PartId, ...], now: float) -> CrashUpdates | None:
        """Let a request through whose quarantine has ended."""
        return _build_report([], self.parts.begin_trial(parts, now))

    def record_crash(
        self,
        fingerprint: Fingerprint,
        parts: SentParts,
        upstream: UpstreamId,
        now: float,
    ) -> CrashUpdates | None:
        """Record that an upstream crashed or disconnected during a request.

        ``parts`` are those that may be the cause.
        """
        record = self.ledger.record_crash(fingerprint, upstream, now)
        records = [record] if record is not None else []
        return _build_report(records, self.parts.record_crash(parts, upstream, now))

    def record_response(self, parts: SentParts, now: float) -> None:
        """Record that the head of a response arrived from an upstream itself."""
        self.parts.record_response(parts, now)

    def void_lost_connections(self, now: float) -> CrashUpdates | None:
        """Void crashes of upstreams that have responded since and did not restart."""
        records = self.parts.void_lost_connections(
            now - self._confirmation_s, self._is_registered, now
        )
        return _build_report([], records)

    def _is_registered(self, upstream: UpstreamId) -> bool:
        return self._directory.get(upstream) is not None

    def record_under_way(self, parts: SentParts, now: float) -> CrashUpdates | None:
        """Record that a response got past its start."""
        return _build_report([], self.parts.record_sound(parts, now))

    def record_completed(
        self, fingerprint: Fingerprint, now: float
    ) -> CrashUpdates | None:
        """Record that an upstream gave a complete response to the request."""
        if not self.ledger.record_completed(fingerprint, now):
            return None
        return CrashUpdates([], [fingerprint])

    def record_unanswered(
        self,
        fingerprint: Fingerprint,
        parts: SentParts,
        upstream: UpstreamId,
        now: float,
    ) -> None:
        """Record an attempt without a response whose connection did not break."""
        self._unanswered.add(upstream, fingerprint, parts, now)

    def record_answered(self, upstream: UpstreamId) -> None:
        """Record a whole response: until now no attempt there ended in a crash."""
        self._unanswered.record_alive(upstream)

    def record_ended_upstreams(
        self, superseded: list[UpstreamId], now: float
    ) -> CrashUpdates | None:
        """Record crashes of upstreams that ended with unanswered requests."""
        for upstream in superseded:
            self.parts.record_restart(upstream)
        ended = [
            upstream
            for upstream in self._unanswered.list_upstreams()
            if upstream in superseded or self._directory.is_lost(upstream)
        ]
        records: list[CrashRecord] = []
        parts: dict[PartId, PartRecord] = {}
        for upstream in ended:
            for attempt in self._unanswered.pop(upstream):
                record = self.ledger.record_crash(attempt.fingerprint, upstream, now)
                if record is not None:
                    records.append(record)
                for one in self.parts.record_crash(attempt.parts, upstream, now):
                    parts[one.part] = one
        return _build_report(records, list(parts.values()))


def _build_report(
    records: list[CrashRecord], parts: list[PartRecord]
) -> CrashUpdates | None:
    return CrashUpdates(records, [], parts) if records or parts else None
