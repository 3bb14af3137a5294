"""What matters of one replica when work is to be placed."""

from __future__ import annotations

import math
from bisect import bisect_right

import msgspec

from scalebend.models.endpoints import Endpoint

GAP_MARGIN = 0.030
"""Seconds of an event gap kept free, for delivery and for reading not yet known."""

QUICK_GAP = 0.25
"""Seconds; an event gap up to this makes a request quick: one part of a long prompt
would break it."""


class BusyTime(msgspec.Struct, frozen=True):
    """A time in which a replica reads a long part, in seconds from now."""

    start: float
    end: float


class Occupancy(msgspec.Struct, frozen=True):
    """What writes on a replica: the same for many of them at any size of the fleet."""

    gaps: tuple[float, ...] = ()
    """Event gaps of the known jobs that write there, in seconds, shortest first."""

    unknown_jobs: int = 0
    """Jobs there that this scheduler did not place; nothing is known of their gaps."""

    told_jobs: int = 0
    """Jobs there that a lost leader told of, those in ``gaps`` included."""

    told_gap: float = 0.0
    """Shortest event gap of those, in seconds; 0 when there are none."""

    is_overdue: bool = False
    """Whether a first token is missing that should have been seen."""

    @property
    def jobs(self) -> int:
        """Jobs that write there or are about to."""
        # Fronts alone all hear of the same jobs, and would all join them.
        return max(len(self.gaps), self.told_jobs) + self.unknown_jobs

    @property
    def event_gap(self) -> float | None:
        """Shortest event gap promised there, in seconds."""
        known = self.gaps[0] if self.gaps else None
        if not self.told_gap or (known is not None and known <= self.told_gap):
            return known
        return self.told_gap

    @property
    def is_quick(self) -> bool:
        """Whether one of them must get its events in quick order."""
        gap = self.event_gap
        return gap is not None and gap <= QUICK_GAP

    def count_tight(self, event_gap: float) -> int:
        """Known jobs whose event gap is no longer than ``event_gap``."""
        return bisect_right(self.gaps, event_gap)

    def count_loose(self, event_gap: float) -> int:
        """Jobs whose event gap may be longer, so that long prompts may join them."""
        told = self.told_jobs if self.told_gap > event_gap else 0
        return len(self.gaps) - self.count_tight(event_gap) + self.unknown_jobs + told


IDLE = Occupancy()


class EngineView(msgspec.Struct):
    """What matters of one replica at one moment."""

    endpoint: Endpoint
    rank: int
    """Place in the order in which equal replicas are taken."""

    free_tokens: int
    occupancy: Occupancy = IDLE
    jobs: int = 0
    """As :attr:`Occupancy.jobs`; it is looked at for each candidate of a choice."""

    helping: int = 0
    """Parts of others' prompts that are read there now."""

    pending: float = 0.0
    """Seconds until the reading that waits here is done, for whomever."""

    pass_time: float = 0.0
    pace: float = 1.0
    busy: tuple[BusyTime, ...] = ()
    """When long parts are read here, as planned."""

    stable_until: float = math.inf
    """Until when this view stays true if nothing else is heard of the replica, in
    seconds of the clock; a view of a replica that reads is true for one moment."""

    is_reading: bool = False
    """Whether reading is planned there that is not known to be done."""

    def compute_part_room(self, start: float) -> float:
        """Reading that fits in one part from ``start`` on, until the next part here.

        It stays below the shortest event gap of whoever writes here.
        """
        room = math.inf
        for busy in self.busy:
            if busy.start <= start < busy.end:
                return 0.0
            if busy.start > start:
                room = min(room, busy.start - start)
        event_gap = self.occupancy.event_gap
        if event_gap is not None:
            room = min(room, event_gap - GAP_MARGIN - self.pass_time)
        return room / self.pace

    def compute_room(self, limit: float) -> float:
        """Reading that may join what waits without delaying a writer beyond its gap."""
        event_gap = self.occupancy.event_gap
        if event_gap is not None:
            limit = min(limit, event_gap - GAP_MARGIN)
        return (limit - self.pass_time - self.pending) / self.pace
