"""What became of each request in a run of placement, and what it is worth."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.measuring.placement_scenario import Arrival

FREE_WAIT_SHARE = 1 / 8
FULL_COST_WAIT_SHARE = 3 / 4
"""Parts of the target and of the deadline between which holding what is then not
served costs more and more, up to the whole worth."""

SECOND_REJECTION_COST_SHARE = 0.3
"""Part of the worth that a returned request costs that is refused again."""


class Decider(Enum):
    """Who decides where work goes."""

    LEADER = "leader"
    UNCOORDINATED = "alone"
    FEWEST_OPEN = "fewest-open"
    RANDOM = "random"
    IDLE_FLEET = "idle-fleet"
    """Each request on a fleet of its own: a bound."""


class Result(msgspec.Struct):
    """What became of one request; times since its first attempt."""

    arrival: Arrival
    first_event: float | None = None
    last_event: float = 0.0
    longest_gap: float = 0.0
    is_complete: bool = False
    rejections: int = 0
    has_disconnected: bool = False
    wasted_wait_s: float = 0.0
    """Seconds for which it was held in vain before its last refusal."""

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
        """Worth earned, less the price of refusals."""
        kind = self.arrival.kind
        if self.is_on_time:
            return kind.worth * self.arrival.size_factor
        if self.is_complete:
            return kind.late_worth * self.arrival.size_factor
        free_until = FREE_WAIT_SHARE * kind.target
        full_cost_from = FULL_COST_WAIT_SHARE * kind.deadline
        price = min(
            1.0,
            max(0.0, self.wasted_wait_s - free_until) / (full_cost_from - free_until),
        )
        if self.rejections > 1:
            price += SECOND_REJECTION_COST_SHARE
        return -price * kind.worth * self.arrival.size_factor
