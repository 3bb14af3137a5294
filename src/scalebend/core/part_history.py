"""What one process knows of the crashes under one part of prompts."""

from __future__ import annotations

import math

import msgspec

from scalebend.core.crash_causes import PartEvidence
from scalebend.models.crashes import PartCrash, PartRecord
from scalebend.models.ids import PartId, UpstreamId

MAX_CRASHES_PER_RECORD = 32
"""Maximum number of crashes that are kept; voided ones are dropped first."""


class KnownCrash(msgspec.Struct):
    """A crash under a part, and since when this process has known it."""

    depth: int
    known_since: float


class PartHistory(msgspec.Struct):
    """The crashes under one part, as one process knows them.

    See :class:`PartRecord` for the fields that processes exchange.
    """

    crashes: dict[UpstreamId, KnownCrash] = {}
    voided: dict[UpstreamId, None] = {}
    was_sound: bool = False
    was_cleared: bool = False
    position: int = 0
    trials: int = 0
    updated_at: float = -math.inf
    quarantined_until: float = -math.inf
    is_observed_here: bool = False
    """Whether this process observed one of the crashes."""

    @property
    def standing(self) -> list[UpstreamId]:
        """Crashes that are not voided."""
        return [one for one in self.crashes if one not in self.voided]

    @property
    def depth(self) -> int:
        """Length of the longest chain of standing crashes."""
        return max((self.crashes[one].depth for one in self.standing), default=0)

    def merge(self, record: PartRecord, now: float) -> bool:
        """Merge another record of the same part; return whether anything changed."""
        before = self._get_content()
        for crash in record.crashes:
            known = self.crashes.setdefault(
                crash.upstream, KnownCrash(crash.depth, now)
            )
            known.depth = max(known.depth, crash.depth)
        self.voided.update(dict.fromkeys(record.voided))
        self.was_sound = self.was_sound or record.was_sound
        self.was_cleared = self.was_cleared or record.was_cleared
        self.position = max(self.position, record.position)
        self.trials = max(self.trials, record.trials)
        self._drop_excess()
        return before != self._get_content()

    def export(self, part: PartId) -> PartRecord:
        """Return the record in the form that processes exchange."""
        return PartRecord(
            part,
            tuple(PartCrash(name, one.depth) for name, one in self.crashes.items()),
            tuple(self.voided),
            self.was_sound,
            self.was_cleared,
            self.position,
            self.trials,
        )

    def build_evidence(self, part: PartId, now: float) -> PartEvidence:
        """Return what the record says about the part."""
        standing = [self.crashes[one] for one in self.standing]
        return PartEvidence(
            part,
            frozenset(self.standing),
            self.depth,
            now - min((one.known_since for one in standing), default=now),
            self.was_sound,
            self.was_cleared,
            self.position,
        )

    def _get_content(self) -> tuple[object, ...]:
        return (
            {name: one.depth for name, one in self.crashes.items()},
            set(self.voided),
            self.was_sound,
            self.was_cleared,
            self.position,
            self.trials,
        )

    def _drop_excess(self) -> None:
        """Drop voided crashes, oldest first, then the newest of the others."""
        for upstream in list(self.voided):
            if len(self.crashes) <= MAX_CRASHES_PER_RECORD:
                break
            self.crashes.pop(upstream, None)
            del self.voided[upstream]
        while len(self.crashes) > MAX_CRASHES_PER_RECORD:
            self.crashes.popitem()
        for upstream in [one for one in self.voided if one not in self.crashes]:
            if len(self.voided) <= MAX_CRASHES_PER_RECORD:
                break
            del self.voided[upstream]
