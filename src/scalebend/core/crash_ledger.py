"""Quarantine of requests that repeatedly crash upstreams.

A request that crashes every upstream it is sent to can be recognized only by the fate
of its earlier attempts, at any process. So every process records, by fingerprint, which
upstreams crashed while they ran a request, and processes exchange these records. After
:data:`CRASHES_UNTIL_QUARANTINE` crashes the request is quarantined everywhere: it is
rejected before it is sent, for longer after each further crash.

All requests that ran on a crashed upstream become suspect, not only the cause. A
complete response of any upstream clears a request, which the cause never gets. A
request with a recent complete response does not become suspect at all; otherwise the
failure of a whole service would quarantine requests that callers send all the time.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec
import structlog

from scalebend.core.crash_retention import (
    MAX_RECORDS,
    RecentSuccesses,
    list_expired,
)
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, UpstreamId

logger = structlog.get_logger(__name__)

CRASHES_UNTIL_QUARANTINE = 3
"""Crashed upstreams after which a request is quarantined. Fewer would quarantine
unrelated requests when a large share of a service crashes within seconds: if a third
does, a request meets two of these crashes by chance one time in nine, and three one
time in 27."""

FIRST_QUARANTINE_S = 600.0
MAX_QUARANTINE_S = 86_400.0
"""Length of a quarantine, which doubles with each further crash up to the longest. It
ends by itself, so that a repaired upstream gets the request without an operator."""

MAX_UPSTREAMS_PER_RECORD = 16
"""Maximum number of upstreams in a record; enough for the longest quarantine."""


class _Record(msgspec.Struct):
    crashed: dict[UpstreamId, None]
    updated_at: float
    quarantined_until: float = -math.inf
    is_observed_here: bool = False
    """Whether this process observed one of the crashes."""

    def add_upstreams(self, upstreams: Iterable[UpstreamId], now: float) -> bool:
        """Add crashed upstreams; return whether any of them is new."""
        before = len(self.crashed)
        for upstream in upstreams:
            if len(self.crashed) < MAX_UPSTREAMS_PER_RECORD:
                self.crashed[upstream] = None
        if len(self.crashed) == before:
            return False
        self.updated_at = now
        beyond = len(self.crashed) - CRASHES_UNTIL_QUARANTINE
        if beyond >= 0:
            self.quarantined_until = now + min(
                MAX_QUARANTINE_S, FIRST_QUARANTINE_S * 2.0**beyond
            )
        return True


class CrashLedger:
    """The suspect requests known to one process."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}
        self._succeeded_at = RecentSuccesses[Fingerprint]()
        self.changes = 0
        """Number of changes so far; a new value outdates stored copies."""

    # Local observations

    def record_crash(
        self, fingerprint: Fingerprint, upstream: UpstreamId, now: float
    ) -> CrashRecord | None:
        """Record that an upstream crashed or broke the connection during the request.

        Returns the record to publish if it changed.
        """
        if self._succeeded_at.has_recent(fingerprint, now):
            return None
        if not self._update_record(fingerprint, [upstream], now):
            return None
        record = self._records[fingerprint]
        record.is_observed_here = True
        logger.info(
            "request lost with its upstream",
            fingerprint=fingerprint,
            upstream=upstream,
            ended=len(record.crashed),
        )
        return CrashRecord(fingerprint, tuple(record.crashed))

    def record_completed(self, fingerprint: Fingerprint, now: float) -> bool:
        """Record a complete response; return whether the request was suspect."""
        self._succeeded_at.record(fingerprint, now)
        return bool(self.clear([fingerprint]))

    # Updates of other processes

    def merge(self, records: Iterable[CrashRecord], now: float) -> list[CrashRecord]:
        """Merge records of another process; return in full those that changed."""
        return [
            CrashRecord(one.fingerprint, tuple(self._records[one.fingerprint].crashed))
            for one in records
            if self._update_record(one.fingerprint, one.upstreams, now)
        ]

    def clear(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Clear requests that got a complete response; return those that were suspect.

        A process that misses the update may publish its record again until it expires.
        """
        cleared = [one for one in fingerprints if one in self._records]
        for fingerprint in cleared:
            del self._records[fingerprint]
            logger.info("request cleared", fingerprint=fingerprint)
        self.changes += len(cleared)
        return cleared

    # Decisions

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Whether an upstream crashed during it and none has responded since."""
        return fingerprint in self._records

    def compute_quarantine(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the seconds of quarantine left; 0 if the request may be sent."""
        record = self._records.get(fingerprint)
        return max(0.0, record.quarantined_until - now) if record is not None else 0.0

    # Records

    def list_records(self) -> list[CrashRecord]:
        """List all records, for a process that has none yet."""
        return [
            CrashRecord(fingerprint, tuple(record.crashed))
            for fingerprint, record in self._records.items()
        ]

    def list_to_publish(self, now: float) -> list[CrashRecord]:
        """List the records that a new leader may lack.

        These are the crashes observed here and all quarantines; other crashes are
        published by the processes that observed them.
        """
        return [
            CrashRecord(fingerprint, tuple(record.crashed))
            for fingerprint, record in self._records.items()
            if record.is_observed_here or now < record.quarantined_until
        ]

    def expire(self, now: float) -> None:
        """Remove records without recent crashes."""
        old = list_expired(self._records, now)
        for fingerprint in old:
            del self._records[fingerprint]
        self.changes += len(old)

    def _update_record(
        self, fingerprint: Fingerprint, upstreams: Iterable[UpstreamId], now: float
    ) -> bool:
        record = self._records.get(fingerprint)
        if record is None:
            self._evict_if_full()
            record = self._records[fingerprint] = _Record({}, now)
        was_quarantined = now < record.quarantined_until
        if not record.add_upstreams(upstreams, now):
            return False
        self.changes += 1
        if now < record.quarantined_until and not was_quarantined:
            logger.warning(
                "request held back",
                fingerprint=fingerprint,
                ended=list(record.crashed),
                seconds=round(record.quarantined_until - now),
            )
        return True

    def _evict_if_full(self) -> None:
        """If the ledger is full, remove the oldest record with only one crash."""
        if len(self._records) < MAX_RECORDS:
            return
        for fingerprint, record in self._records.items():
            if len(record.crashed) == 1:
                del self._records[fingerprint]
                return
        del self._records[next(iter(self._records))]
