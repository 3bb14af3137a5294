"""Decides after a failed attempt at an upstream: retry, or fail the call."""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.retry_window import RetryWindow
from scalebend.exceptions import ErrorKind, Ran
from scalebend.models.calls import Call, Outcome
from scalebend.models.ids import UpstreamId

MAX_REJECTIONS = 3
"""Upstreams that may reject a request without running it; trying more would only delay
the caller's own retry."""

FREE_UNSENT = 6
"""Placements of a request that may fail because a replica could not be reached, from
here or from the lead replica, however long they took."""

UNSENT_SHARE = 0.5
"""Share of the time left at the first of these failures in which more are allowed:
replicas crash together, and each new placement may draw another of them. The rest is
for the caller's own retry, which may meet a front that knows more."""

MAX_UNSENT = 24
"""Bound on these placements where they fail at once: each of them asks the leader."""

MIN_REMAINING_S = 0.05
"""Minimum time before the deadline for a new attempt: less would only add load."""


class TryAgain(msgspec.Struct, frozen=True):
    """Decision: choose another upstream."""


class GiveUp(msgspec.Struct, frozen=True):
    """Decision: fail the call now."""

    kind: ErrorKind
    ran: Ran
    passes_response: bool = False
    """Whether the upstream's own error response is passed on to the caller."""


class Attempts:
    """Attempts of one call."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._unsent = 0
        self._unsent_until = 0.0
        """Time until which more than ``FREE_UNSENT`` attempts may remain unsent."""

        self._rejections = 0
        self.runs = 0
        """Number of attempts that ran, or may have run."""

        self.excluded: set[UpstreamId] = set()

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have executed the request."""
        return self.runs > 0

    @property
    def allows_another_run(self) -> bool:
        """Whether the route allows another run after one that begins now."""
        route = self._call.route
        return route.is_idempotent and self.runs + 1 < route.max_attempts

    def decide(
        self,
        outcome: Outcome,
        upstream: UpstreamId,
        retries: RetryWindow,
        now: float,
        *,
        is_helper: bool = False,
    ) -> TryAgain | GiveUp:
        """Decide what follows an attempt that ended without a successful response.

        ``upstream`` is the one at fault. ``is_helper`` if it is a prefill helper that
        the lead replica reported, which may still take the request without it.
        """
        if outcome is not Outcome.PATH_LOST:
            self.excluded.add(upstream)
        match outcome:
            case Outcome.NOT_SENT | Outcome.WITHDRAWN:
                is_allowed = self._count_unsent(now)
                return self._retry_or_refuse(is_allowed, retries, now, is_sent=False)
            case Outcome.REJECTED if is_helper:
                is_allowed = self._count_unsent(now)
                return self._retry_or_refuse(is_allowed, retries, now)
            case Outcome.REJECTED:
                self._rejections += 1
                is_allowed = self._rejections < MAX_REJECTIONS
                return self._retry_or_refuse(is_allowed, retries, now)
            case Outcome.TIMED_OUT:
                self.runs += 1
                return GiveUp(ErrorKind.TIME_LIMIT, Ran.UNKNOWN)
        is_allowed = self.allows_another_run
        self.runs += 1
        if is_allowed and self._has_time(now):
            if retries.spend(self._call.service, now):
                return TryAgain()
        passes_response = outcome is Outcome.FAILED
        return GiveUp(ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, passes_response)

    def record_lost(self, outcome: Outcome | None, upstream: UpstreamId) -> None:
        """Record one of two attempts at once that the other one outlived.

        ``outcome`` is ``None`` if it was cancelled.
        """
        if outcome is not Outcome.PATH_LOST:
            self.excluded.add(upstream)
        if outcome not in (Outcome.NOT_SENT, Outcome.WITHDRAWN, Outcome.REJECTED):
            self.runs += 1

    def refuse(self, kind: ErrorKind) -> GiveUp:
        """Fail the call, saying whether an upstream may have run it."""
        if self.may_have_run:
            return GiveUp(ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN)
        return GiveUp(kind, Ran.NO)

    def _count_unsent(self, now: float) -> bool:
        """Count an attempt that reached no engine; return whether another may start."""
        if self._unsent == 0:
            self._unsent_until = now + UNSENT_SHARE * (self._call.deadline - now)
        self._unsent += 1
        if self._unsent < FREE_UNSENT:
            return True
        return self._unsent < MAX_UNSENT and now < self._unsent_until

    def _retry_or_refuse(
        self,
        is_allowed: bool,
        retries: RetryWindow,
        now: float,
        *,
        is_sent: bool = True,
    ) -> TryAgain | GiveUp:
        if is_allowed and self._has_time(now):
            # A request that was never sent is no retry that the service sees.
            if not is_sent or retries.spend(self._call.service, now):
                return TryAgain()
        return self.refuse(ErrorKind.OVERLOADED)

    def _has_time(self, now: float) -> bool:
        return self._call.deadline - now > MIN_REMAINING_S
