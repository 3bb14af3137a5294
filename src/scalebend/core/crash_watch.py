"""Records, reports and quarantines what crashes upstreams, for one entry."""

from __future__ import annotations

from scalebend.core.catalog import Catalog
from scalebend.core.crash_ledger import CrashLedger
from scalebend.core.part_ledger import NO_PARTS, PartLedger, SentParts
from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.crashes import CrashRecord, PartRecord
from scalebend.models.ids import Incarnation, PartId, PoolId, UpstreamId
from scalebend.models.work import Request


class CrashWatch:
    """The crash ledgers of one entry, and the updates for other instances."""

    def __init__(self, salt: str = "") -> None:
        """``salt`` differs between instances, see :class:`PartLedger`."""
        self.ledger = CrashLedger()
        self.parts = PartLedger(salt)
        self._updates: list[CrashRecord] = []
        self._part_updates: dict[PartId, PartRecord] = {}

    def pop_updates(self) -> list[CrashRecord]:
        """Remove and return the local updates since the last call.

        A record without upstreams clears its request.
        """
        updates, self._updates = self._updates, []
        return updates

    def pop_part_updates(self) -> list[PartRecord]:
        """Remove and return the local updates of parts since the last call."""
        updates, self._part_updates = self._part_updates, {}
        return list(updates.values())

    def expire(self, now: float) -> None:
        """Forget old records."""
        self.ledger.expire(now)
        self.parts.expire(now)

    def find_quarantine(self, request: Request, now: float) -> RefusedError | None:
        """Return the rejection of a quarantined request; ``None`` if it may be sent."""
        quarantine = self.parts.compute_quarantine(request.parts, now)
        if request.content is not None:
            quarantine = max(
                quarantine, self.ledger.compute_quarantine(request.content, now)
            )
        if quarantine <= 0.0:
            return None
        return RefusedError(
            "upstreams ended while they ran this request",
            kind=ErrorKind.ENDS_UPSTREAMS,
            retry_after=quarantine,
        )

    def record_sent(
        self,
        request: Request,
        upstream: UpstreamId,
        incarnation: Incarnation | None,
        now: float,
    ) -> SentParts:
        """Return what is known of the parts of a request that is sent now.

        If one is a cause of crashes whose quarantine has ended, this is its trial.
        """
        if self.parts.find_cause(request.parts) is not None:
            self._add_part_updates(self.parts.begin_trial(request.parts, now))
        pool = PoolId(request.model or "")
        lead = _name_incarnation(upstream, incarnation)
        return self.parts.record_sent(request.parts, pool, lead)

    def record_response(self, parts: SentParts, now: float) -> None:
        """Record the first token of an attempt."""
        self.parts.record_response(parts, now)

    def void_lost_connections(self, catalog: Catalog, now: float) -> None:
        """Void crashes of upstreams that have responded since and did not restart.

        A restarted one has announced itself before its timeout.
        """
        before = now - catalog.timeout
        if not self.parts.list_answering(before):
            return
        running = {
            _name_incarnation(one.upstream, one.incarnation)
            for one in (record.announcement for record in catalog)
        }
        self._add_part_updates(
            self.parts.void_lost_connections(before, running.__contains__, now)
        )

    def record_crash(
        self,
        request: Request,
        upstream: UpstreamId,
        incarnation: Incarnation | None,
        now: float,
        parts: SentParts = NO_PARTS,
    ) -> None:
        """Record that a request ended by a crash or a broken connection.

        ``parts`` are those that may be the cause.
        """
        ended = _name_incarnation(upstream, incarnation)
        self._add_part_updates(self.parts.record_crash(parts, ended, now))
        if request.content is None:
            return
        record = self.ledger.record_crash(request.content, ended, now)
        if record is not None:
            self._updates.append(record)

    def record_under_way(self, parts: SentParts, now: float) -> None:
        """Record that a response got past its start, so its parts are harmless."""
        self._add_part_updates(self.parts.record_sound(parts, now))

    def record_completed(self, request: Request, now: float) -> None:
        """Record a complete response of an upstream."""
        content = request.content
        if content is not None and self.ledger.record_completed(content, now):
            self._updates.append(CrashRecord(content, ()))

    def _add_part_updates(self, records: list[PartRecord]) -> None:
        for record in records:
            self._part_updates[record.part] = record


def _name_incarnation(
    upstream: UpstreamId, incarnation: Incarnation | None
) -> UpstreamId:
    """Return the name under which a crash counts.

    A restarted upstream keeps its id, but its crash counts separately.
    """
    return UpstreamId(f"{upstream}/{incarnation}")
