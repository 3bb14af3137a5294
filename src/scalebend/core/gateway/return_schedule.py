"""When a refused caller may come back, and at which position it then waits.

Load answered: prompts for which no engine has room when they arrive, from callers that
come back once, or at once and more often. Each refused request gets a booking: the
moment at which room for it is expected, and the position of its first arrival. Whoever
has one is not refused again for want of that room, but waits for it in the leader's
queue. See docs/design/returns.md.

Bookings are soft state of one leader's term: a new leader starts without any.
"""

from __future__ import annotations

from collections import Counter
from enum import Enum
from itertools import pairwise

import msgspec
import structlog

from scalebend.core.gateway.engine_costs import compute_prefill_time
from scalebend.core.gateway.placement_plan import (
    NO_REPLICA_RETRY_S,
    TARGET_SHARE,
    compute_memory,
)
from scalebend.core.gateway.placement_queue import (
    LATE_SHARE,
    PRIORITY_STEP_S,
    Position,
)
from scalebend.core.gateway.room_forecast import (
    EngineFleet,
    QueuedAhead,
    compute_latest_start,
)
from scalebend.core.gateway.work_kinds import is_never_late
from scalebend.models.ids import CustomerId, Fingerprint, ServiceName
from scalebend.models.placement import EngineWork, JobId

logger = structlog.get_logger(__name__)

HEEDED_SHARE = 1.0 / 3.0
"""Share of its remaining time up to which a caller heeds `Retry-After`."""

MIN_RETRY_S = NO_REPLICA_RETRY_S
"""Shortest `Retry-After`; in less, hardly any request ends."""

SPACING_S = 0.05
"""Time between two returns where there is time for it, so that those who come back find
the room that was forecast for them."""

KEEP_S = 1.5
"""Time after its moment for which a booking counts in the forecasts of others: a caller
that heeds it connects anew and meets a front within that."""

PLACED_KEEP_S = 3.0
"""Time for which a placed booking is kept: copies of the request that are open at once
come within it, and an engine that rejects the request does so within it."""

MAX_BOOKINGS = 500
"""Bookings that are kept; beyond them, callers are refused without one. Each refusal
looks through all moments that callers were told."""


class Outcome(Enum):
    """What became of a prompt that had no room."""

    BOOKED = "booked"
    """Refused, with a booking."""

    HELD = "held"
    """Came back, and waits at its booked position."""

    PLACED = "placed"
    """Came back, and was placed."""

    EXPIRED = "expired"
    """Did not come back before its deadline."""

    REFUSED = "refused"
    """Refused without a booking."""


class Booking(msgspec.Struct, eq=False):
    """Position of one refused request; clock times in seconds."""

    fingerprint: Fingerprint
    service: ServiceName
    customer: CustomerId | None
    prefill_s: float
    """Its prefill on one engine."""

    tokens: int
    """Memory that it needs."""

    due: float
    """When its caller was told to return."""

    deadline: float
    position: Position
    job: JobId | None = None
    """Its arrival that was placed, or else the first that waits, if any."""

    placed_at: float | None = None

    def is_expected(self, now: float) -> bool:
        """Whether its caller is away and may still come back in time for its room."""
        return self.job is None and now <= self.due + KEEP_S


class ReturnSchedule:
    """Bookings of one leader's term."""

    def __init__(self) -> None:
        self._bookings: dict[Fingerprint, Booking] = {}
        self._jobs: dict[JobId, Booking] = {}
        """Bookings whose request waits or was placed, by its present job."""

        self._customers: Counter[CustomerId | None] = Counter()
        self._outcomes: list[Outcome] = []

    @property
    def bookings(self) -> int:
        """Number of requests with a position, those just placed included."""
        return len(self._bookings)

    def pop_outcomes(self) -> list[Outcome]:
        """Return the outcomes since the last call, for the metrics."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    # Inputs

    def record_waiting(self, booking: Booking, job: JobId) -> None:
        """Record that the request came back and waits at its position.

        Copies of it wait there, too; the first of them has the booking.
        """
        if booking.job is None:
            booking.job = job
            self._jobs[job] = booking

    def record_placed(self, booking: Booking, work: EngineWork, now: float) -> None:
        """Record that the request was placed; its position is used up."""
        if booking.placed_at is None:
            self.record(Outcome.PLACED, work)
        if booking.job is not None:
            self._jobs.pop(booking.job, None)
        booking.job = work.job
        self._jobs[work.job] = booking
        booking.placed_at = now

    def record_end(self, job: JobId, *, has_started: bool) -> None:
        """Record that a job ended, was rejected, or that its caller left.

        A placed request that no engine has ``has_started`` gets its position back.
        """
        booking = self._jobs.pop(job, None)
        if booking is None:
            return
        if booking.placed_at is None:
            self._remove(booking)
        elif not has_started:
            booking.job = booking.placed_at = None

    def drop(self, booking: Booking) -> None:
        """Give up the position of a request that is refused for good."""
        self._remove(booking)

    def expire(self, now: float) -> None:
        """Forget bookings whose deadline has passed, and those placed before long."""
        for one in list(self._bookings.values()):
            if one.placed_at is not None:
                if now - one.placed_at > PLACED_KEEP_S:
                    self._remove(one)
            elif one.deadline < now:
                self._expire(one, now)

    # Decisions

    def find(self, work: EngineWork) -> Booking | None:
        """Return the booking of a request that came back.

        After one of its copies was placed, others have no position.
        """
        return None if self.has_copy(work) else self._find(work)

    def has_copy(self, work: EngineWork) -> bool:
        """Whether another copy of the request was just placed."""
        booking = self._find(work)
        return (
            booking is not None
            and booking.placed_at is not None
            and booking.job != work.job
        )

    def book(
        self, work: EngineWork, room_in: float, fleet: EngineFleet, now: float
    ) -> float | None:
        """Book a return, and return the seconds after which the caller may come back.

        ``None`` if there are too many bookings, altogether or of this customer.
        """
        if work.fingerprint is None or not self._make_room(work.customer, now):
            return None
        due = self._find_free(work, now + room_in, now)
        booking = _build_booking(work, due, fleet, now)
        self._bookings[work.fingerprint] = booking
        self._customers[work.customer] += 1
        return due - now

    def sum_ahead(self, service: ServiceName, rank: float, now: float) -> QueuedAhead:
        """Sum up what is expected back with a position up to ``rank``."""
        ahead = [
            one
            for one in self._bookings.values()
            if one.service == service
            and one.is_expected(now)
            and one.position.compute_rank(now) <= rank
        ]
        return QueuedAhead(
            sum(one.prefill_s for one in ahead), sum(one.tokens for one in ahead)
        )

    def record(
        self,
        outcome: Outcome,
        work: EngineWork,
        room_in: float | None = None,
        retry_after: float | None = None,
    ) -> None:
        """Count and log what became of a request without room."""
        self._outcomes.append(outcome)
        logger.info(
            "no room for prompt",
            job=work.job,
            fingerprint=work.fingerprint,
            outcome=outcome.value,
            prompt=work.prompt_tokens,
            customer=work.customer,
            remaining=round(work.remaining, 3),
            waited=round(work.waited, 3),
            room_in=round(room_in, 3) if room_in is not None else None,
            retry_after=round(retry_after, 3) if retry_after is not None else None,
            bookings=len(self._bookings),
        )

    def _find(self, work: EngineWork) -> Booking | None:
        if work.fingerprint is None:
            return None
        booking = self._bookings.get(work.fingerprint)
        if booking is None or booking.service != work.service:
            return None
        return booking

    def _make_room(self, customer: CustomerId | None, now: float) -> bool:
        """Return whether a customer may have one more booking.

        It may have as many as are free, so that no customer takes all. Bookings whose
        callers stay away are given up first.
        """
        if len(self._bookings) + self._customers[customer] < MAX_BOOKINGS:
            return True
        for one in list(self._bookings.values()):
            if one.job is None and not one.is_expected(now):
                self._expire(one, now)
        return len(self._bookings) + self._customers[customer] < MAX_BOOKINGS

    def _expire(self, booking: Booking, now: float) -> None:
        self._remove(booking)
        self._outcomes.append(Outcome.EXPIRED)
        logger.info(
            "booked return expired",
            fingerprint=booking.fingerprint,
            customer=booking.customer,
            overdue=round(now - booking.due, 3),
            bookings=len(self._bookings),
        )

    def _remove(self, booking: Booking) -> None:
        if booking.job is not None:
            self._jobs.pop(booking.job, None)
        del self._bookings[booking.fingerprint]
        self._customers[booking.customer] -= 1
        if not self._customers[booking.customer]:
            del self._customers[booking.customer]

    def _find_free(self, work: EngineWork, wanted: float, now: float) -> float:
        """Find a clock time to return at: ``wanted`` or the first free one after it.

        If the caller does not heed so late a moment, it is the middle of the longest
        gap in the later half of the time that it heeds.
        """
        taken = sorted(
            one.due
            for one in self._bookings.values()
            if one.service == work.service and one.is_expected(now)
        )
        earliest = now + MIN_RETRY_S
        latest = max(earliest, now + work.remaining * HEEDED_SHARE)
        moment = max(earliest, wanted)
        for due in taken:
            if abs(due - moment) < SPACING_S:
                moment = due + SPACING_S
        if moment <= latest:
            return moment
        first = (earliest + latest) / 2.0
        within = [due for due in taken if first < due < latest]
        if latest - max(within, default=first) >= SPACING_S and latest not in taken:
            return latest
        before, after = max(
            pairwise([first, *within, latest]), key=lambda gap: gap[1] - gap[0]
        )
        return (before + after) / 2.0


def _build_booking(
    work: EngineWork, due: float, fleet: EngineFleet, now: float
) -> Booking:
    assert work.fingerprint is not None
    target = work.target + work.waited
    on_time_until = now + work.target
    latest_start = now + compute_latest_start(work, fleet)
    patience = LATE_SHARE * max(0.0, latest_start - on_time_until)
    step = PRIORITY_STEP_S * work.priority
    position = Position(
        rank=now - work.waited + (1.0 - TARGET_SHARE) * target + step,
        on_time_until=on_time_until,
        late_rank=on_time_until + patience + step,
        target=target,
        is_served_late=not is_never_late(work, fleet.profile),
    )
    return Booking(
        work.fingerprint,
        work.service,
        work.customer,
        compute_prefill_time(fleet.profile, work.prompt_tokens),
        compute_memory(work),
        due,
        now + work.remaining,
        position,
    )
