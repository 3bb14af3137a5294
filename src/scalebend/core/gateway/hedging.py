"""Decides when a first token is overdue and whether a second attempt may start.

Answers replicas that hang while they report that they are well, in a fleet with room:
the timeout of the first byte is several times the target of a quick prompt. After the
hedged requests of Dean and Barroso, "The Tail at Scale" (2013). Times in seconds.
"""

from __future__ import annotations

import math
from collections import deque
from enum import Enum

import msgspec

from scalebend.core.gateway.attempts import MIN_REMAINING_S
from scalebend.core.gateway.retry_window import RetryWindow
from scalebend.models.calls import Call
from scalebend.models.ids import ServiceName
from scalebend.models.placement import EngineWork, Placement
from scalebend.models.routing import EMPTY_ROUTING, RouteKind, Routing

OVERDUE_QUANTILE = 0.95
"""Share of first tokens that come before one counts as overdue: later, a second attempt
could seldom be on time; earlier, most copies would be of requests about to answer."""

MAX_RATIOS = 256
RATIO_LIFETIME_S = 30.0
"""First tokens that are remembered, and for how long: load changes within minutes."""

MIN_RATIOS = 20
"""First tokens to have seen before their distribution is used."""

DEFAULT_RATIO = 1.5
"""Overdue ratio until then: placements plan with 0.6 of the target, so that a token as
late as this is still about on time."""

MIN_RATIO = 1.2
"""Lower bound of the overdue ratio: a token that comes as predicted is not overdue."""

MIN_DELAY_S = 0.05
"""Minimum time before a first token is overdue: several round trips."""

MAX_SECOND_SHARE = 0.1
"""Largest share of requests that get a second attempt, so that retries after failures
always find something left of the retry budget."""

SECOND_ALLOWANCE = 2.0
"""Second attempts of a window that are allowed in addition, for fronts with few
requests."""

SHARE_WINDOW_S = 10.0
"""Time over which that share is counted."""

MAX_LOAD = 0.5
"""Share of a service's slots in use up to which there is idle room for a copy. Above,
the copy would delay other requests, and lateness is explained by load."""


class Refusal(Enum):
    """Why a second attempt does not start."""

    NO_ATTEMPTS = "attempts"
    NO_TIME = "deadline"
    SUSPECT = "suspect"
    """An upstream crashed during the request: a copy might crash another one."""

    QUEUEING = "queueing"
    """The replica reports requests that wait, which explains the delay."""

    TOO_MANY = "share"
    NO_ROOM = "room"
    NO_BUDGET = "budget"


class _Ratio(msgspec.Struct, frozen=True):
    """Ratio of observed to predicted time of a first token, and when it came."""

    at: float
    ratio: float


class FirstTokenRatios:
    """Recent ratios of observed to predicted time to the first token."""

    def __init__(self) -> None:
        self._ratios: deque[_Ratio] = deque(maxlen=MAX_RATIOS)

    def record(self, predicted: float, observed: float, now: float) -> None:
        """Add a first token that came ``observed`` seconds after the send.

        Times below the round trips say nothing about the predictions of longer ones.
        """
        ratio = max(observed, MIN_DELAY_S) / max(predicted, MIN_DELAY_S)
        self._ratios.append(_Ratio(now, ratio))

    def compute_overdue_ratio(self, now: float) -> float:
        """Return the ratio from which on a first token is overdue."""
        while self._ratios and now - self._ratios[0].at > RATIO_LIFETIME_S:
            self._ratios.popleft()
        if len(self._ratios) < MIN_RATIOS:
            return DEFAULT_RATIO
        ratios = sorted(one.ratio for one in self._ratios)
        rank = math.ceil(OVERDUE_QUANTILE * len(ratios)) - 1
        return max(MIN_RATIO, ratios[rank])


class RankedRoutes:
    """Routes for which a routing document calls for copies.

    A copy takes capacity from other requests of its service. A document calls for that
    if it ranks some of these lower.
    """

    def __init__(self) -> None:
        self._routing: Routing = EMPTY_ROUTING
        self._lowest: dict[ServiceName, int] = {}

    def outranks_another(
        self, priority: int, service: ServiceName, routing: Routing
    ) -> bool:
        """Whether a route less urgent than ``priority`` leads to the same service."""
        if routing is not self._routing:
            self._routing = routing
            self._lowest = {}
            for one in routing.routes:
                for split in one.services:
                    lowest = self._lowest.get(split.service, one.priority)
                    self._lowest[split.service] = max(lowest, one.priority)
        return priority < self._lowest.get(service, priority)


class Hedging:
    """One front's second attempts."""

    def __init__(self) -> None:
        self._ratios = FirstTokenRatios()
        self._ranked = RankedRoutes()
        self._requests: deque[float] = deque()
        self._seconds: deque[float] = deque()

    def is_called_for(self, call: Call, routing: Routing) -> bool:
        """Whether the document calls for second attempts at this request.

        Never for requests that may run only once.
        """
        route = call.route
        return (
            route.kind is RouteKind.STREAMING
            and route.is_idempotent
            and route.max_attempts > 1
            and self._ranked.outranks_another(call.priority, call.service, routing)
        )

    def record_request(self, now: float) -> None:
        """Count a request that may get a second attempt."""
        self._purge(now)
        self._requests.append(now)

    def record_first_token(self, predicted: float, observed: float, now: float) -> None:
        """Record a first token that came ``observed`` seconds after the send."""
        self._ratios.record(predicted, observed, now)

    def compute_delay(self, predicted: float, now: float) -> float:
        """Return the seconds from the send until a first token is overdue."""
        return max(MIN_DELAY_S, predicted * self._ratios.compute_overdue_ratio(now))

    def check(
        self,
        call: Call,
        runs: int,
        now: float,
        *,
        is_suspect: bool,
        is_queueing: bool,
    ) -> Refusal | None:
        """Return why no second attempt may be placed; ``None`` if it may.

        ``runs`` are the attempts that may have run before the one that is overdue.
        """
        if not call.route.is_idempotent or runs + 2 > call.route.max_attempts:
            return Refusal.NO_ATTEMPTS
        if call.deadline - now <= MIN_REMAINING_S:
            return Refusal.NO_TIME
        if is_suspect:
            return Refusal.SUSPECT
        if is_queueing:
            return Refusal.QUEUEING
        return Refusal.TOO_MANY if self._is_share_used(now) else None

    def _is_share_used(self, now: float) -> bool:
        """Whether one more second attempt would exceed their share."""
        self._purge(now)
        allowed = SECOND_ALLOWANCE + MAX_SECOND_SHARE * len(self._requests)
        return len(self._seconds) + 1 > allowed

    def _purge(self, now: float) -> None:
        """Forget requests and second attempts that no longer count."""
        horizon = now - SHARE_WINDOW_S
        for times in (self._requests, self._seconds):
            while times and times[0] <= horizon:
                times.popleft()

    def spend(
        self, service: ServiceName, retries: RetryWindow, now: float
    ) -> Refusal | None:
        """Count a second attempt about to be sent; return why it must not be.

        Others may have been sent while this one was placed.
        """
        if self._is_share_used(now):
            return Refusal.TOO_MANY
        if not retries.spend(service, now):
            return Refusal.NO_BUDGET
        self._seconds.append(now)
        return None


def is_fit(work: EngineWork, placement: Placement) -> bool:
    """Whether a placement is good enough for a second attempt.

    It takes one replica, waits for nothing, and brings its first token on time.
    """
    return (
        not placement.helpers
        and placement.start_in <= 0.0
        and placement.first_token_in <= work.target
    )


class Room(msgspec.Struct, frozen=True):
    """Open jobs and slots of the replicas that a service may use."""

    jobs: int
    slots: int

    @property
    def is_idle(self) -> bool:
        """Whether there is idle room for copies."""
        return self.jobs < MAX_LOAD * self.slots
