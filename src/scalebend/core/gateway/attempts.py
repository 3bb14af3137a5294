"""What follows an attempt at an upstream: the answer, another attempt, or the end."""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.retry_window import RetryWindow
from scalebend.exceptions import ErrorKind, Ran
from scalebend.models.calls import Call, Outcome
from scalebend.models.ids import UpstreamId

MOST_REJECTIONS = 3
"""Upstreams that may declare in turn that they did not run a request; more would
only delay the caller's own retry."""

MOST_UNSENT = 6
"""Times that a request is placed anew because a replica could not be reached, whether
from here or from the replica that it was sent to."""

LEAST_REMAINING = 0.05
"""Seconds before the deadline below which no new attempt is worth its load."""


class TryAgain(msgspec.Struct, frozen=True):
    """Decision: choose another upstream."""


class GiveUp(msgspec.Struct, frozen=True):
    """Decision: answer the caller with a failure now."""

    kind: ErrorKind
    ran: Ran
    passes_answer: bool = False
    """Whether the upstream's own failure is passed on instead."""


class Attempts:
    """The attempts of one call."""

    def __init__(self, call: Call) -> None:
        self._call = call
        self._unsent = 0
        self._rejections = 0
        self.runs = 0
        """Attempts that ran, or may have run."""

        self.excluded: set[UpstreamId] = set()

    @property
    def may_have_run(self) -> bool:
        """Whether any upstream may have executed the request."""
        return self.runs > 0

    def decide(
        self,
        outcome: Outcome,
        upstream: UpstreamId,
        retries: RetryWindow,
        now: float,
        *,
        is_helper: bool = False,
    ) -> TryAgain | GiveUp:
        """Judge the attempt that just ended without an answer to pass on.

        ``upstream`` is the one at fault; ``is_helper`` if another one answered for it,
        which may well take the request without it.
        """
        self.excluded.add(upstream)
        match outcome:
            case Outcome.NOT_SENT | Outcome.LEFT:
                self._unsent += 1
                is_allowed = self._unsent < MOST_UNSENT
                return self._retry_or_refuse(is_allowed, retries, now, is_sent=False)
            case Outcome.REJECTED if is_helper:
                self._unsent += 1
                is_allowed = self._unsent < MOST_UNSENT
                return self._retry_or_refuse(is_allowed, retries, now)
            case Outcome.REJECTED:
                self._rejections += 1
                is_allowed = self._rejections < MOST_REJECTIONS
                return self._retry_or_refuse(is_allowed, retries, now)
            case Outcome.TIMED_OUT:
                self.runs += 1
                return GiveUp(ErrorKind.TIME_LIMIT, Ran.UNKNOWN)
        self.runs += 1
        is_allowed = self._call.route.may_repeat
        is_allowed &= self.runs < self._call.route.attempts_most
        if is_allowed and self._has_time(now):
            if retries.spend(self._call.service, now):
                return TryAgain()
        is_answer = outcome is Outcome.FAILED
        return GiveUp(ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN, is_answer)

    def refuse(self, kind: ErrorKind) -> GiveUp:
        """No upstream may be chosen: end, saying whether any may have run it."""
        if self.may_have_run:
            return GiveUp(ErrorKind.UPSTREAM_FAILED, Ran.UNKNOWN)
        return GiveUp(kind, Ran.NO)

    def _retry_or_refuse(
        self,
        is_allowed: bool,
        retries: RetryWindow,
        now: float,
        *,
        is_sent: bool = True,
    ) -> TryAgain | GiveUp:
        if is_allowed and self._has_time(now):
            # What never left this process is no arrival at the service.
            if not is_sent or retries.spend(self._call.service, now):
                return TryAgain()
        return self.refuse(ErrorKind.OVERLOADED)

    def _has_time(self, now: float) -> bool:
        return self._call.deadline - now > LEAST_REMAINING
