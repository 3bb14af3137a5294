"""How far one attempt at an upstream got with its response."""

from __future__ import annotations

import msgspec


class AttemptProgress(msgspec.Struct):
    """The events of one attempt's stream; times are in monotonic seconds."""

    events: int = 0
    first_event_at: float = 0.0
    last_event_at: float = 0.0

    @property
    def streamed_for(self) -> float:
        """Seconds between the first and the last event."""
        return self.last_event_at - self.first_event_at

    def record_events(self, count: int, now: float) -> None:
        """Record events that have just arrived."""
        if not self.events:
            self.first_event_at = now
        self.events += count
        self.last_event_at = now
