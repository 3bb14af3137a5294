"""Slots of fronts: who sends what to replicas with ceilings without the leader.

Answers the load of fronts that are cut off while the list of fronts changes: a front
keeps its slot as long as it can't learn a newer one, so a slot ends by itself, and the
leader changes slots only when those of the second last list have ended. At no time do
fronts hold slots of more than two lists, and the bound of a ceiling counts two.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

import structlog

from scalebend.core.gateway.slow_start import UNCOORDINATED_INTERVAL_S
from scalebend.models.ids import InstanceId

logger = structlog.get_logger(__name__)

SLOT_LIFETIME_S = 30.0
"""Time after the last lease that the leader confirmed for which a slot may be used:
longer than control instances usually take to return. A front that is cut off for longer
sends nothing to replicas at their ceilings, until a leader gives it a slot again."""

SLOT_REUSE_S = SLOT_LIFETIME_S + UNCOORDINATED_INTERVAL_S + 1.0
"""Time between two lists of slots: no front sends by an older one than the last. The
second is for a lease of a term that its front hasn't heard of yet."""

SLOT_SETTLE_S = 0.5
"""Time without a change of fronts before slots are listed: many link at once."""


class FrontSlots:
    """The list of slots of one leader."""

    def __init__(self) -> None:
        self._slots: dict[InstanceId, int] = {}
        self._next_at = -math.inf
        self._settled_at = -math.inf
        self._has_seen_document = False

    @property
    def count(self) -> int:
        """Number of slots."""
        return len(self._slots)

    def get(self, front: InstanceId) -> int | None:
        """The slot of a front; ``None`` before it is listed."""
        return self._slots.get(front)

    def restart(self, now: float) -> None:
        """Begin a term: the slots that the previous leader gave are not known."""
        self._slots.clear()
        self._next_at = now + SLOT_REUSE_S
        self._has_seen_document = False

    def record_change(self, now: float) -> None:
        """Record that a front was linked or lost."""
        self._settled_at = now + SLOT_SETTLE_S

    def update(
        self,
        linked: Iterable[InstanceId],
        lost: Mapping[InstanceId, float],
        now: float,
        *,
        is_needed: bool,
    ) -> bool:
        """List slots anew if fronts changed and no front holds one of an older list.

        Called by a leader that applied all documents of its predecessors; ``is_needed``
        tells whether one of the services has a slow start, ``lost`` when fronts were
        lost.
        """
        if not self._has_seen_document:
            self._has_seen_document = True
            if not is_needed:
                # Without a slow start, the previous leader gave none.
                self._next_at = now
        if not is_needed or now < max(self._next_at, self._settled_at):
            return False
        holding = [f for f, at in lost.items() if now - at < SLOT_LIFETIME_S]
        fronts = sorted({*linked, *holding})
        if fronts == list(self._slots):
            return False
        self._slots = {front: slot for slot, front in enumerate(fronts)}
        self._next_at = now + SLOT_REUSE_S
        logger.info("front slots listed", slots=len(fronts), lost=len(holding))
        return True
