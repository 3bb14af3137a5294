"""How far one attempt at an upstream got with its response."""

from __future__ import annotations

import msgspec

from scalebend.core.part_ledger import NO_PARTS, UNDER_WAY_S, SentParts


class AttemptProgress(msgspec.Struct):
    """The events of one attempt's stream; times are in monotonic seconds."""

    parts: SentParts = NO_PARTS
    """The parts of the prompt, as they were known when the attempt was sent."""

    events: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0

    @property
    def streamed_for(self) -> float:
        """Seconds between the first and the last event."""
        return self.last_event_at - self.first_event_at

    @property
    def is_under_way(self) -> bool:
        """Whether the response got past its start."""
        return self.streamed_for >= UNDER_WAY_S

    @property
    def suspected_parts(self) -> SentParts:
        """The parts that may be the cause if the upstream crashes now."""
        return NO_PARTS if self.is_under_way else self.parts

    def record_events(self, count: int, now: float) -> bool:
        """Record events that have just arrived.

        Returns whether the response got past its start with them.
        """
        was_under_way = self.is_under_way
        if not self.events:
            self.first_event_at = now
        self.events += count
        self.last_event_at = now
        return self.is_under_way and not was_under_way
