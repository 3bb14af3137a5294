"""Model of a leader that places one request at a time, in simulated time."""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.timeouts import LEADER_BACKOFF_S, PLACEMENT_TIMEOUT_S


class LeaderDecision(msgspec.Struct, frozen=True):
    """Time at which a request is placed, and whether the leader placed it."""

    at: float
    is_coordinated: bool


class LeaderQueue:
    """One leader that places requests in the order of their arrival."""

    def __init__(self, choice_time: float, fronts: int) -> None:
        """``choice_time`` is the time of one choice in seconds."""
        self._choice_time = choice_time
        self._backoff_until = [0.0] * fronts
        self.free_at = 0.0
        """Time at which the leader has placed all requests that arrived so far."""

    def place(self, front: int, round_trip_s: float, now: float) -> LeaderDecision:
        """Ask the leader at ``now`` for a placement; ``front`` is a number.

        After a timeout the front places the request uncoordinated, and does not ask
        the leader during a backoff.
        """
        if now < self._backoff_until[front]:
            return LeaderDecision(now, is_coordinated=False)
        self.free_at = max(self.free_at, now + round_trip_s / 2.0) + self._choice_time
        decided_at = self.free_at + round_trip_s / 2.0
        if decided_at <= now + PLACEMENT_TIMEOUT_S:
            return LeaderDecision(decided_at, is_coordinated=True)
        self._backoff_until[front] = now + PLACEMENT_TIMEOUT_S + LEADER_BACKOFF_S
        return LeaderDecision(now + PLACEMENT_TIMEOUT_S, is_coordinated=False)
