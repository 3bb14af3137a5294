"""Engine time that each customer received recently, as exponentially decaying sums.

All sums decay alike, so they are stored multiplied by the growth since a common epoch:
their order changes only when something is added.
"""

from __future__ import annotations

import math
import sys

from scalebend.models.ids import CustomerId

HALF_LIFE_S = 10.0
"""Time after which use counts half: several responses to long prompts."""

MAX_GROWTH = 200.0
"""Half-lives after which the epoch moves, far below the range of a float."""

MIN_USE_S = 1e-3
"""Use in seconds of engine time below which a customer is forgotten."""

MEAN_SHARE = 0.4
"""Share of the mean use below which a customer counts as starved. No customer may
receive under a quarter; one below the threshold needs time to catch up."""

MAX_RATIO = 2.0
"""A customer may receive this multiple of another one's use while both wait."""

SLACK_S = 0.5
"""Engine time by which a customer may exceed the ratio: a few short prompts, so that
customers without any use yet are not compared by single requests."""


class CustomerUse:
    """Decaying use of customers; ``None`` is that of requests without a customer."""

    def __init__(self, now: float) -> None:
        self._epoch = now
        self._grown: dict[CustomerId | None, float] = {}
        self._total = 0.0
        self.revision = 0
        """Changes when values become smaller, which :meth:`charge` never causes."""

    def charge(self, customer: CustomerId | None, seconds: float, now: float) -> None:
        """Add ``seconds`` of engine time."""
        self._move_epoch_if_due(now)
        added = seconds * self._compute_growth(now)
        self._grown[customer] = self._grown.get(customer, 0.0) + added
        self._total += added

    def get_grown(self, customer: CustomerId | None) -> float:
        """Return a value that orders customers by use at any time."""
        return self._grown.get(customer, 0.0)

    def read(self, customer: CustomerId | None, now: float) -> float:
        """Return the use in seconds of engine time at ``now``."""
        return self.get_grown(customer) / self._compute_growth(now)

    def is_ahead(self, customer: CustomerId | None, least: float, now: float) -> bool:
        """Whether a customer must let the one with ``least`` grown use go first."""
        slack = SLACK_S * self._compute_growth(now)
        return self.get_grown(customer) > MAX_RATIO * least + slack

    def is_starved(self, customer: CustomerId | None, now: float) -> bool:
        """Whether a customer received far less than the mean of all."""
        if len(self._grown) < 2:
            return False
        count = len(self._grown) + (customer not in self._grown)
        mean = self._total / count
        slack = SLACK_S * self._compute_growth(now)
        return mean > slack and self.get_grown(customer) < MEAN_SHARE * mean

    def expire(self, now: float) -> None:
        """Forget customers whose use has decayed."""
        self._move_epoch_if_due(now)
        least = MIN_USE_S * self._compute_growth(now)
        kept = {one: use for one, use in self._grown.items() if use >= least}
        if len(kept) < len(self._grown):
            self.revision += 1
            self._grown = kept
        self._total = sum(kept.values())

    def _compute_growth(self, now: float) -> float:
        """Growth since the epoch; infinite once all use before it has decayed."""
        half_lives = max(0.0, now - self._epoch) / HALF_LIFE_S
        if half_lives >= sys.float_info.max_exp:
            return math.inf
        return float(2.0**half_lives)

    def _move_epoch_if_due(self, now: float) -> None:
        if now - self._epoch <= MAX_GROWTH * HALF_LIFE_S:
            return
        growth = self._compute_growth(now)
        self._epoch = now
        self.revision += 1
        self._grown = {one: use / growth for one, use in self._grown.items()}
        self._total /= growth
