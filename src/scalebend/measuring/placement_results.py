"""Results of the requests in a placement run, and the worth that they earn."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.measuring.placement_scenario import Arrival

FREE_WAIT_SHARE = 1 / 8
FULL_COST_WAIT_SHARE = 3 / 4
"""Waits that a request spends unserved.

They cost nothing up to the first value, a share of the target, and the whole worth from
the second one, a share of the deadline. The cost is linear in between.
"""

SECOND_REJECTION_COST_SHARE = 0.3
"""Share of the worth that the second rejection of a request costs."""


class Decider(Enum):
    """The policy that places requests."""

    LEADER = "leader"
    UNCOORDINATED = "alone"
    FEWEST_OPEN = "fewest-open"
    RANDOM = "random"
    IDLE_FLEET = "idle-fleet"
    """Each request has an idle fleet to itself: an upper bound."""


class Result(msgspec.Struct):
    """Result of one request; times are in seconds since its arrival."""

    arrival: Arrival
    first_event: float | None = None
    last_event: float = 0.0
    longest_gap: float = 0.0
    is_complete: bool = False
    rejections: int = 0
    has_disconnected: bool = False
    wasted_wait_s: float = 0.0
    """Seconds that it was open without being served."""

    @property
    def is_on_time(self) -> bool:
        """Whether it was served within its target and its event gap."""
        kind = self.arrival.kind
        return (
            self.is_complete
            and self.first_event is not None
            and self.first_event <= kind.target
            and self.longest_gap <= kind.event_gap
        )

    def compute_worth(self) -> float:
        """Return the earned worth, or the negative cost of an unserved request."""
        kind = self.arrival.kind
        if self.is_on_time:
            return kind.worth * self.arrival.size_factor
        if self.is_complete:
            return kind.late_worth * self.arrival.size_factor
        free_until = FREE_WAIT_SHARE * kind.target
        full_cost_from = FULL_COST_WAIT_SHARE * kind.deadline
        cost = min(
            1.0,
            max(0.0, self.wasted_wait_s - free_until) / (full_cost_from - free_until),
        )
        if self.rejections > 1:
            cost += SECOND_REJECTION_COST_SHARE
        return -cost * kind.worth * self.arrival.size_factor
