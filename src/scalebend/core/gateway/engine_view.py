"""What matters of one replica when work is to be placed."""

from __future__ import annotations

import math

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


class EngineView(msgspec.Struct):
    """What matters of one replica for one choice."""

    endpoint: Endpoint
    first_jobs: int
    helping: int
    tight_jobs: int
    """Jobs whose event gap is no longer than the one to be placed."""

    loose_jobs: int
    """Jobs whose event gap is longer than that, so that long prompts may join them."""

    pending: float
    """Seconds until the reading that waits here is done, for whomever."""

    pass_time: float
    event_gap: float | None
    free_tokens: int
    pace: float
    is_overdue: bool = False
    """Whether a first token is missing that should have been seen."""

    busy: list[BusyTime] = msgspec.field(default_factory=list)
    """When long parts are read here, as planned."""

    def count_quick(self) -> int:
        """Jobs that write there, if the most demanding of them is quick."""
        return self.first_jobs if self.is_quick else 0

    @property
    def is_quick(self) -> bool:
        """Whether it writes for a request whose events must come in quick order."""
        return self.event_gap is not None and self.event_gap <= QUICK_GAP

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
        if self.event_gap is not None:
            room = min(room, self.event_gap - GAP_MARGIN - self.pass_time)
        return room / self.pace

    def compute_room(self, limit: float) -> float:
        """Reading that may join what waits without delaying a writer beyond its gap."""
        room = limit - self.pass_time - self.pending
        if self.event_gap is not None:
            gap_room = self.event_gap - GAP_MARGIN - self.pass_time - self.pending
            room = min(room, gap_room)
        return room / self.pace


def build_idle_view(endpoint: Endpoint, memory_tokens: int) -> EngineView:
    """A replica of which nothing is known."""
    return EngineView(
        endpoint=endpoint,
        first_jobs=0,
        helping=0,
        tight_jobs=0,
        loose_jobs=0,
        pending=0.0,
        pass_time=0.0,
        event_gap=None,
        free_tokens=memory_tokens,
        pace=1.0,
    )
