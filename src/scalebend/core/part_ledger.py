"""Quarantine of parts of prompts that crash every upstream that reads them.

Requests that share such a part may differ in everything else, so each of them is new to
:mod:`scalebend.core.crash_ledger`. Every process records, by part, which upstreams
crashed and which of these crashes a later response voided. Processes exchange these
records, and each derives from them which parts are the causes.

A crash is voided only by a response whose attempt was sent when the crash was known.
Then the order of the two is certain without a common clock: a part that became harmful
a moment ago is not cleared by a response that began before. A response on the part
shows that the part was not the cause; any response of the upstream that it did not
crash at all, but lost a connection. The latter is certain only some time later, since
an upstream may restart under its name and respond before it registers. Voided crashes
stay in the record, so that a process that missed the response can't bring them back.

Where all connections break, no upstream has crashed, but every request is lost. So a
chain of crashes grows only with attempts that were sent after something had arrived
from the same pool of upstreams again.
"""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Callable, Iterable, Sequence

import msgspec
import structlog

from scalebend.core.crash_causes import QUARANTINE, SUSPICION, find_causes
from scalebend.core.crash_retention import (
    MAX_RECORDS,
    RecentSuccesses,
    list_expired,
)
from scalebend.core.part_history import PartHistory
from scalebend.models.crashes import MAX_LOGGED_PARTS, PartCrash, PartRecord
from scalebend.models.ids import PartId, PoolId, UpstreamId

logger = structlog.get_logger(__name__)

FIRST_QUARANTINE_S = 60.0
FIRST_QUARANTINE_IF_SOUND_S = 15.0
QUARANTINE_GROWTH = 4.0
MAX_QUARANTINE_S = 86_400.0
MAX_GROWTH_STEPS = 8
"""Length of a quarantine, and its growth with each trial that crashed an upstream. The
first trial of a part on which there were responses comes soon: many requests may share
it, and the verdict may be wrong."""

TRIAL_TIMEOUT_S = 30.0
"""Time in which no second trial begins, while the first may wait for its response."""

TRIAL_SPREAD_S = 20.0
"""Range of additional delays, different at each process, before a process may begin a
trial. The others hear of it meanwhile."""

INFERENCE_INTERVAL_S = 0.1
"""Minimum interval of inferences without new evidence."""

UNDER_WAY_S = 0.25
"""Seconds of events after which a response counts as under way. What crashes an
upstream when it begins to write may still let the first events through."""

LOSS_WINDOW_S = 1.0
"""Time before the first crash under a part in which losses under other parts may have
the same cause, such as a network failure."""

CONTRAST_S = 0.05
"""Time after a crash from which arriving data shows that others fare better. When a
network fails, its connections break one after the other."""

MAX_LOST_ATTEMPTS = 64
MAX_CRASHED_UPSTREAMS = 256
"""Maximum number of upstreams that count as crashed until they respond."""


class SentParts(msgspec.Struct, frozen=True):
    """The parts of one attempt, and the crashes known when it was sent.

    What comes of the attempt is evidence against or for the part only in this order.
    """

    parts: tuple[PartId, ...] = ()
    pool: PoolId = PoolId("")
    known: dict[PartId, tuple[UpstreamId, ...]] = {}
    depths: dict[PartId, int] = {}
    """Depth of a crash under this attempt, by part; 1 without an earlier one."""

    doubted: UpstreamId | None = None
    """The upstream of the attempt, if it was known to have crashed."""


NO_PARTS = SentParts()


class _LostAttempt(msgspec.Struct, frozen=True):
    upstream: UpstreamId
    parts: tuple[PartId, ...]
    at: float


class PartLedger:
    """The parts of prompts that are known to one process as involved in crashes."""

    def __init__(self, salt: str = "") -> None:
        """``salt`` differs between processes and spreads their trials."""
        self._salt = salt.encode()
        self._records: dict[PartId, PartHistory] = {}
        self._repeated: dict[PartId, PartHistory] = {}
        """Records with several standing crashes."""

        self._causes: set[PartId] = set()
        self._suspects: set[PartId] = set()
        self._parts_by_upstream: dict[UpstreamId, dict[PartId, None]] = {}
        """Parts under which each upstream counts as crashed, recent upstreams only."""

        self._answering: dict[UpstreamId, float] = {}
        """Upstreams that count as crashed but have responded, and since when."""

        self._lost: deque[_LostAttempt] = deque(maxlen=MAX_LOST_ATTEMPTS)
        """The last attempts here that were lost before they got under way."""

        self._alive_at: dict[PoolId, float] = {}
        """When data arrived last from any upstream of a pool."""

        self._inferred_at = -math.inf
        self._sound = RecentSuccesses[PartId]()
        self.changes = 0
        """Number of changes so far; a new value outdates stored copies."""

    # Local observations

    def record_sent(
        self, parts: tuple[PartId, ...], pool: PoolId, upstream: UpstreamId
    ) -> SentParts:
        """Return what is known of the parts of an attempt that is sent now."""
        records = {one: self._records[one] for one in parts if one in self._records}
        return SentParts(
            parts,
            pool,
            {part: tuple(record.standing) for part, record in records.items()},
            {
                part: record.depth + self._has_contrast(part, record, pool)
                for part, record in records.items()
            },
            upstream if upstream in self._parts_by_upstream else None,
        )

    def record_crash(
        self, sent: SentParts, upstream: UpstreamId, now: float
    ) -> list[PartRecord]:
        """Record that an upstream crashed before the response was under way.

        Returns the records to publish.
        """
        self._lost.append(_LostAttempt(upstream, sent.parts, now))
        self._answering.pop(upstream, None)
        changed = []
        for position, part in enumerate(sent.parts):
            depth = max(1, sent.depths.get(part, 1))
            record = PartRecord(
                part,
                (PartCrash(upstream, depth),),
                (),
                self._sound.has_recent(part, now),
                False,
                position,
                0,
            )
            if self._merge_record(record, now):
                changed.append(part)
                self._records[part].is_observed_here = True
        if changed:
            self._log_crash(sent.parts, upstream)
            self._infer(now)
        return self._export(changed)

    def record_sound(self, sent: SentParts, now: float) -> list[PartRecord]:
        """Record a response that got past its start; return the records to publish."""
        changed = []
        for part in sent.parts:
            self._sound.record(part, now)
            known = sent.known.get(part, ())
            record = self._records.get(part)
            if record is None or not known:
                continue
            if record.merge(PartRecord(part, (), known, True, True, 0, 0), now):
                record.updated_at = now
                self._count_change(part, record)
                changed.append(part)
                logger.info(
                    "crashes voided", part=part, left=len(record.standing), voided=known
                )
        if changed:
            self._infer(now)
        return self._export(changed)

    def record_response(self, sent: SentParts, now: float) -> None:
        """Record the beginning of a response.

        If its upstream counted as crashed when the attempt was sent, see
        :meth:`void_lost_connections`.
        """
        self.record_alive(sent.pool, now)
        if sent.doubted is not None and sent.doubted in self._parts_by_upstream:
            self._answering.setdefault(sent.doubted, now)

    def list_answering(self, before: float) -> list[UpstreamId]:
        """List upstreams that count as crashed but have responded since ``before``.

        If they have not restarted meanwhile, they only lost a connection.
        """
        return [one for one, since in self._answering.items() if since <= before]

    def void_lost_connections(
        self, before: float, is_running: Callable[[UpstreamId], bool], now: float
    ) -> list[PartRecord]:
        """Settle the crashes of upstreams that have responded since ``before``.

        ``is_running`` tells whether an upstream has not restarted. Returns the records
        to publish.
        """
        changed: dict[PartId, PartRecord] = {}
        for upstream in self.list_answering(before):
            if not is_running(upstream):
                self.record_restart(upstream)
                continue
            for record in self.void_crash(upstream, now):
                changed[record.part] = record
        return list(changed.values())

    def record_restart(self, upstream: UpstreamId) -> None:
        """Record that an upstream ended; what responded may be its successor."""
        self._answering.pop(upstream, None)

    def void_crash(self, upstream: UpstreamId, now: float) -> list[PartRecord]:
        """Void the crash of an upstream that only lost a connection.

        Returns the records to publish.
        """
        self._answering.pop(upstream, None)
        changed = []
        for part in self._parts_by_upstream.pop(upstream, {}):
            record = self._records.get(part)
            if record is None or upstream not in record.crashes:
                continue
            update = PartRecord(part, (), (upstream,), False, False, 0, 0)
            if record.merge(update, now):
                self._count_change(part, record)
                changed.append(part)
        if changed:
            logger.info("upstream did not crash", upstream=upstream, parts=len(changed))
            self._infer(now)
        return self._export(changed)

    def record_alive(self, pool: PoolId, now: float) -> None:
        """Record that data arrived from an upstream of the pool."""
        self._alive_at[pool] = now

    # Updates of other processes

    def merge(self, records: Iterable[PartRecord], now: float) -> list[PartRecord]:
        """Merge records of another process; return in full those that changed."""
        changed = [one.part for one in records if self._merge_record(one, now)]
        if changed:
            self._infer(now)
        return self._export(changed)

    # Decisions

    def is_suspect(self, parts: Iterable[PartId]) -> bool:
        """Whether one of the parts is a likely cause of crashes, or known as one."""
        return any(one in self._suspects or one in self._causes for one in parts)

    def find_cause(self, parts: Iterable[PartId]) -> PartId | None:
        """Return the first part that is known as a cause of crashes, if any."""
        return next((one for one in parts if one in self._causes), None)

    @property
    def causes(self) -> frozenset[PartId]:
        """All parts that are known as causes of crashes."""
        return frozenset(self._causes)

    def compute_quarantine(self, parts: Iterable[PartId], now: float) -> float:
        """Return the seconds of quarantine left; 0 if a trial may begin.

        The delay of this process is included.
        """
        parts = tuple(parts)
        is_involved = any(one in self._repeated for one in parts)
        if is_involved and now - self._inferred_at >= INFERENCE_INTERVAL_S:
            # Evidence against a part that was sound counts from a certain age.
            self._infer(now)
        ends = (self._compute_trial_time(one) for one in parts if one in self._causes)
        return max(0.0, max(ends, default=-math.inf) - now)

    def begin_trial(self, parts: Sequence[PartId], now: float) -> list[PartRecord]:
        """Let one request through after its quarantine; return what to publish.

        Nothing if no part is known as a cause of crashes.
        """
        tried = [one for one in parts if one in self._causes]
        for part in tried:
            record = self._records[part]
            record.trials += 1
            record.updated_at = now
            record.quarantined_until = now + TRIAL_TIMEOUT_S
            self.changes += 1
            logger.warning("trial of a part", part=part, trials=record.trials)
        return self._export(tried)

    # Records

    def list_records(self) -> list[PartRecord]:
        """List all records, for a process that has none yet."""
        return self._export(self._records)

    def list_to_publish(self) -> list[PartRecord]:
        """List the records that a new leader may lack.

        These are the crashes observed here and all causes; other crashes are published
        by the processes that observed them.
        """
        return self._export(
            part
            for part, record in self._records.items()
            if record.is_observed_here or part in self._causes
        )

    def expire(self, now: float) -> None:
        """Remove records without recent crashes."""
        old = list_expired(self._records, now)
        for part in old:
            self._remove(part)
        if old:
            self._infer(now)

    # Inference

    def _merge_record(self, update: PartRecord, now: float) -> bool:
        part = update.part
        record = self._records.get(part)
        if record is None:
            if not update.crashes:
                return False
            self._evict_if_full()
            record = self._records[part] = PartHistory()
        trials = record.trials
        crashes = len(record.crashes)
        if not record.merge(update, now):
            return False
        record.updated_at = now
        self._index(update)
        if record.trials > trials and part in self._causes:
            record.quarantined_until = now + TRIAL_TIMEOUT_S
        if len(record.crashes) > crashes and part in self._causes:
            self._extend_quarantine(record, now)
        self._count_change(part, record)
        return True

    def _index(self, update: PartRecord) -> None:
        for crash in update.crashes:
            upstream = crash.upstream
            if upstream in self._records[update.part].voided:
                continue
            parts = self._parts_by_upstream.setdefault(upstream, {})
            parts[update.part] = None
        while len(self._parts_by_upstream) > MAX_CRASHED_UPSTREAMS:
            oldest = next(iter(self._parts_by_upstream))
            del self._parts_by_upstream[oldest]
            self._answering.pop(oldest, None)

    def _has_contrast(self, part: PartId, record: PartHistory, pool: PoolId) -> bool:
        """Whether other requests fare better since the last crash under the part.

        Without any other request since, a part that was never sound is the difference.
        """
        known = [record.crashes[one].known_since for one in record.standing]
        if not known:
            return True
        if self._alive_at.get(pool, -math.inf) > max(known) + CONTRAST_S:
            return True
        if record.was_sound or record.was_cleared:
            return False
        since = min(known) - LOSS_WINDOW_S
        return all(
            part in lost.parts or lost.upstream in record.crashes
            for lost in self._lost
            if lost.at >= since
        )

    def _count_change(self, part: PartId, record: PartHistory) -> None:
        self.changes += 1
        if len(record.standing) >= SUSPICION.crashes:
            self._repeated[part] = record
        else:
            self._repeated.pop(part, None)

    def _infer(self, now: float) -> None:
        """Derive the causes and the suspects from the records."""
        self._inferred_at = now
        evidence = [
            record.build_evidence(part, now) for part, record in self._repeated.items()
        ]
        causes = find_causes(evidence, QUARANTINE)
        self._suspects = find_causes(evidence, SUSPICION)
        for part in causes - self._causes:
            record = self._records[part]
            self._extend_quarantine(record, now)
            logger.warning(
                "part held back",
                part=part,
                crashed=record.standing,
                depth=record.depth,
                seconds=round(record.quarantined_until - now),
            )
        for part in self._causes - causes:
            if part in self._records:
                self._records[part].quarantined_until = -math.inf
            logger.warning("part released", part=part)
        self._causes = causes

    def _extend_quarantine(self, record: PartHistory, now: float) -> None:
        growth = QUARANTINE_GROWTH ** min(record.trials, MAX_GROWTH_STEPS)
        first = FIRST_QUARANTINE_IF_SOUND_S if record.was_sound else FIRST_QUARANTINE_S
        length = min(MAX_QUARANTINE_S, first * growth)
        record.quarantined_until = now + length

    def _compute_trial_time(self, part: PartId) -> float:
        """Return when this process may begin a trial of a part in quarantine."""
        record = self._records[part]
        key = f"{part}/{record.trials}".encode()
        share = zlib.crc32(key, zlib.crc32(self._salt)) / 2**32
        return record.quarantined_until + share * TRIAL_SPREAD_S

    def _log_crash(self, parts: Sequence[PartId], upstream: UpstreamId) -> None:
        # A full ledger may have evicted one of them meanwhile.
        logged = [one for one in parts[:MAX_LOGGED_PARTS] if one in self._records]
        logger.info(
            "crash counted against parts",
            upstream=upstream,
            parts=logged,
            counts=[len(self._records[one].standing) for one in logged],
            depths=[self._records[one].depth for one in logged],
        )

    # Storage

    def _export(self, parts: Iterable[PartId]) -> list[PartRecord]:
        # A full ledger may have evicted one of them meanwhile.
        known = (part for part in parts if part in self._records)
        return [self._records[part].export(part) for part in known]

    def _remove(self, part: PartId) -> None:
        del self._records[part]
        self._repeated.pop(part, None)
        self.changes += 1

    def _evict_if_full(self) -> None:
        """If the ledger is full, remove the oldest record without repeated crashes."""
        if len(self._records) < MAX_RECORDS:
            return
        for part in self._records:
            if part not in self._repeated:
                self._remove(part)
                return
        self._remove(next(iter(self._records)))
