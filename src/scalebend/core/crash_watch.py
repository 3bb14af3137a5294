"""Records, reports and quarantines requests that crash upstreams, for one entry."""

from __future__ import annotations

from scalebend.core.crash_ledger import CrashLedger
from scalebend.exceptions import ErrorKind, RefusedError
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Incarnation, UpstreamId
from scalebend.models.work import Request


class CrashWatch:
    """The crash ledger of one entry, and the updates for other instances."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self._updates: list[CrashRecord] = []

    def pop_updates(self) -> list[CrashRecord]:
        """Remove and return the local updates since the last call.

        A record without upstreams clears its request.
        """
        updates, self._updates = self._updates, []
        return updates

    def find_quarantine(self, request: Request, now: float) -> RefusedError | None:
        """Return the rejection of a quarantined request; ``None`` if it may be sent."""
        if request.content is None:
            return None
        quarantine = self.ledger.compute_quarantine(request.content, now)
        if quarantine <= 0.0:
            return None
        return RefusedError(
            "upstreams ended while they ran this request",
            kind=ErrorKind.ENDS_UPSTREAMS,
            retry_after=quarantine,
        )

    def record_crash(
        self,
        request: Request,
        upstream: UpstreamId,
        incarnation: Incarnation | None,
        now: float,
    ) -> None:
        """Record that a request ended by a crash or a broken connection."""
        if request.content is None:
            return
        # A restarted upstream keeps its id, but its crash counts separately.
        ended = UpstreamId(f"{upstream}/{incarnation}")
        record = self.ledger.record_crash(request.content, ended, now)
        if record is not None:
            self._updates.append(record)

    def record_completed(self, request: Request, now: float) -> None:
        """Record a complete response of an upstream."""
        content = request.content
        if content is not None and self.ledger.record_completed(content, now):
            self._updates.append(CrashRecord(content, ()))
