"""Requests under which upstreams ended, so that one does not end them all.

A request that ends each upstream that begins it looks like any other when it comes:
only what became of its earlier arrivals tells, wherever they came. So every process
keeps, by fingerprint, which upstreams ended while they ran a request, and processes
tell each other. At :data:`MOST_ENDED` the request is held back everywhere: it is
refused before it is sent, for longer each time that it ends another one.

Who else ran on an upstream that ended is blamed like the cause. That is no harm by
itself: a whole answer of any upstream clears a request, and the cause never gets one. A
request that was answered a moment ago is not blamed at all: callers that ask the same
thing all the time would be held back when their whole service fails at once.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec
import structlog

from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, UpstreamId

logger = structlog.get_logger(__name__)

MOST_ENDED = 3
"""Upstreams that one request may end before it is held back. Where a third of a service
goes within seconds, for whatever reason, a request meets two of them by chance one time
in nine and three one time in 27: it would be refused an attempt that might succeed."""

FIRST_HOLD = 600.0
LONGEST_HOLD = 86_400.0
"""Seconds for which a request is held back, twice as long for each further upstream
that it ends: three more within the first 70 minutes, and yet a repaired version of the
upstream is tried without an operator."""

REMEMBERED = 1800.0
"""Seconds for which blame that does not grow is kept, or outlasts a hold."""

MOST_RECORDS = 4096
"""Requests kept at most, of some 400 bytes each: a crash blames as many as the upstream
ran, and nothing that callers send may fill a process. The least blamed go first."""

MOST_NAMED = 16
"""Upstreams named for one request: with so many the longest hold applies."""

ANSWERED_MEMORY = 60.0
MOST_ANSWERED = 4096
"""Seconds for which an answer speaks for a request, and requests kept for that: those
that are asked all the time come again within seconds."""


class _Record(msgspec.Struct):
    ended: dict[UpstreamId, None]
    grown_at: float
    held_until: float = -math.inf
    is_own: bool = False
    """Whether this process saw one of the upstreams end."""

    def grow(self, ended: Iterable[UpstreamId], now: float) -> bool:
        """Add upstreams that ended; whether any was new."""
        before = len(self.ended)
        for upstream in ended:
            if len(self.ended) < MOST_NAMED:
                self.ended[upstream] = None
        if len(self.ended) == before:
            return False
        self.grown_at = now
        beyond = len(self.ended) - MOST_ENDED
        if beyond >= 0:
            self.held_until = now + min(LONGEST_HOLD, FIRST_HOLD * 2.0**beyond)
        return True


class CrashLedger:
    """What one process knows of requests that may end upstreams."""

    def __init__(self) -> None:
        self._records: dict[Fingerprint, _Record] = {}
        self._answered: dict[Fingerprint, float] = {}
        self.changes = 0
        """Counts changes, for whoever stores the records."""

    # What was seen here

    def note_lost(
        self, fingerprint: Fingerprint, upstream: UpstreamId, now: float
    ) -> CrashRecord | None:
        """An upstream ended or cut the request off; return what is to be told."""
        answered_at = self._answered.get(fingerprint, -math.inf)
        if now - answered_at < ANSWERED_MEMORY:
            return None
        if not self._grow(fingerprint, [upstream], now):
            return None
        record = self._records[fingerprint]
        record.is_own = True
        logger.info(
            "request lost with its upstream",
            fingerprint=fingerprint,
            upstream=upstream,
            ended=len(record.ended),
        )
        return CrashRecord(fingerprint, tuple(record.ended))

    def note_answered(self, fingerprint: Fingerprint, now: float) -> bool:
        """An upstream answered it whole; whether the request was blamed until now."""
        self._answered.pop(fingerprint, None)
        self._answered[fingerprint] = now
        if len(self._answered) > MOST_ANSWERED:
            del self._answered[next(iter(self._answered))]
        return bool(self.clear([fingerprint]))

    # What other processes tell

    def merge(self, records: Iterable[CrashRecord], now: float) -> list[CrashRecord]:
        """Take what another process knows; return what is new here, whole."""
        return [
            CrashRecord(one.fingerprint, tuple(self._records[one.fingerprint].ended))
            for one in records
            if self._grow(one.fingerprint, one.ended, now)
        ]

    def clear(self, fingerprints: Iterable[Fingerprint]) -> list[Fingerprint]:
        """An upstream answered these whole; return those that were blamed here.

        Who does not hear of it may tell of the blame again, until it expires there.
        """
        cleared = [one for one in fingerprints if one in self._records]
        for fingerprint in cleared:
            del self._records[fingerprint]
            logger.info("request cleared", fingerprint=fingerprint)
        self.changes += len(cleared)
        return cleared

    # Decisions

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Whether an upstream ended under it and none has answered it since."""
        return fingerprint in self._records

    def compute_hold(self, fingerprint: Fingerprint, now: float) -> float:
        """Seconds for which the request must not be sent; 0 if it may be."""
        record = self._records.get(fingerprint)
        return max(0.0, record.held_until - now) if record is not None else 0.0

    # Records

    def list_records(self) -> list[CrashRecord]:
        """All that is known, for a process that knows nothing yet."""
        return [
            CrashRecord(fingerprint, tuple(record.ended))
            for fingerprint, record in self._records.items()
        ]

    def list_to_tell(self, now: float) -> list[CrashRecord]:
        """What a new leader may not know: what was seen here, and all that is held.

        Others tell of what they saw: so blame is told once, and not by every process.
        """
        return [
            CrashRecord(fingerprint, tuple(record.ended))
            for fingerprint, record in self._records.items()
            if record.is_own or now < record.held_until
        ]

    def expire(self, now: float) -> None:
        """Forget what did not happen again."""
        old = [
            fingerprint
            for fingerprint, record in self._records.items()
            if now - max(record.grown_at, record.held_until) >= REMEMBERED
        ]
        for fingerprint in old:
            del self._records[fingerprint]
        self.changes += len(old)

    def _grow(
        self, fingerprint: Fingerprint, ended: Iterable[UpstreamId], now: float
    ) -> bool:
        record = self._records.get(fingerprint)
        if record is None:
            self._make_room()
            record = self._records[fingerprint] = _Record({}, now)
        was_held = now < record.held_until
        if not record.grow(ended, now):
            return False
        self.changes += 1
        if now < record.held_until and not was_held:
            logger.warning(
                "request held back",
                fingerprint=fingerprint,
                ended=list(record.ended),
                seconds=round(record.held_until - now),
            )
        return True

    def _make_room(self) -> None:
        """If there are too many, forget the oldest that ended only one upstream."""
        if len(self._records) < MOST_RECORDS:
            return
        for fingerprint, record in self._records.items():
            if len(record.ended) == 1:
                del self._records[fingerprint]
                return
        del self._records[next(iter(self._records))]
