"""When each member was last heard from, over changes of leader.

Only the leader hears from all members. Its messages tell the others who is silent and
for how long, so that the next leader goes on from there.
"""

from __future__ import annotations

from collections.abc import Iterable

from scalebend.core.consensus.messages import Member, Silence

MIN_REPORTED_SILENCE_S = 0.3
"""Silences that a leader reports; shorter ones are usual between two heartbeats."""


class Contacts:
    """Times in seconds at which members were last heard from, as far as known."""

    def __init__(self) -> None:
        self._heard_at: dict[Member, float] = {}

    def record(self, member: Member, at: float) -> None:
        """Record that the member was heard from at ``at``, unless it was later."""
        self._heard_at[member] = max(at, self._heard_at.get(member, at))

    def record_report(
        self, members: Iterable[Member], silences: Iterable[Silence], now: float
    ) -> None:
        """Record what the leader reports about ``members``."""
        seconds = {silence.member: silence.seconds for silence in silences}
        for member in members:
            self.record(member, now - seconds.get(member, 0.0))

    def keep(self, members: frozenset[Member], now: float) -> None:
        """Forget all others; a member that is new counts as heard from now."""
        self._heard_at = {m: self._heard_at.get(m, now) for m in members}

    def compute_silence(self, member: Member, now: float) -> float:
        """Seconds since the member was last heard from; 0 if nothing is known."""
        return now - self._heard_at.get(member, now)

    def list_silences(self, members: Iterable[Member], now: float) -> list[Silence]:
        """Members that have been silent for longer than is usual."""
        silences = [Silence(m, self.compute_silence(m, now)) for m in sorted(members)]
        return [one for one in silences if one.seconds >= MIN_REPORTED_SILENCE_S]
