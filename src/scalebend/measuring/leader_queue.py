"""Questions that wait for a leader that takes time for each choice, in virtual time."""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.timeouts import LEADER_BACKOFF_S, PLACEMENT_TIMEOUT_S


class LeaderDecision(msgspec.Struct, frozen=True):
    """When a front has its answer, and whether the leader gave it."""

    at: float
    is_coordinated: bool


class LeaderQueue:
    """One leader that answers in the order in which it is asked."""

    def __init__(self, choice_time: float, fronts: int) -> None:
        """``choice_time`` is in seconds."""
        self._choice_time = choice_time
        self._backoff_until = [0.0] * fronts
        self.free_at = 0.0
        """When all that was asked so far is answered."""

    def place(self, front: int, round_trip_s: float, now: float) -> LeaderDecision:
        """Ask at ``now``, over a way of ``way`` seconds to the leader and back.

        A front that waits in vain decides alone, and asks nothing for a while.
        """
        if now < self._backoff_until[front]:
            return LeaderDecision(now, is_coordinated=False)
        self.free_at = max(self.free_at, now + round_trip_s / 2.0) + self._choice_time
        decided_at = self.free_at + round_trip_s / 2.0
        if decided_at <= now + PLACEMENT_TIMEOUT_S:
            return LeaderDecision(decided_at, is_coordinated=True)
        self._backoff_until[front] = now + PLACEMENT_TIMEOUT_S + LEADER_BACKOFF_S
        return LeaderDecision(now + PLACEMENT_TIMEOUT_S, is_coordinated=False)
