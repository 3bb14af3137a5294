"""When a refused caller may come back, and what happens when it does.

Load answered: prompts for which no engine has room when they arrive, from callers that
come back once, or at once and more often. Each refused request gets a place in a
schedule: the moment at which room for it is expected behind those booked before. Who
has a place is not refused again for want of that room, but held until it is there.

Bookings are soft state of one leader's term: a new leader starts without any.
"""

from __future__ import annotations

from enum import Enum
from itertools import islice

import msgspec
import structlog

from scalebend.core.gateway.engine_costs import (
    MIN_SPLIT_PREFILL_S,
    compute_prefill_time,
)
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S
from scalebend.core.gateway.placement_plan import NO_REPLICA_RETRY_S
from scalebend.core.gateway.room_forecast import (
    MAX_REPLICAS,
    EngineFleet,
    QueuedAhead,
    compute_shortest_prefill,
    forecast_room,
    is_servable,
)
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import Fingerprint, ServiceName
from scalebend.models.placement import Declined, EngineWork, Placement
from scalebend.models.routing import Routing

logger = structlog.get_logger(__name__)

HEEDED_SHARE = 1.0 / 3.0
"""Share of its remaining time up to which a caller heeds `Retry-After`."""

MIN_RETRY_S = NO_REPLICA_RETRY_S
"""Shortest `Retry-After`; in less, hardly any request ends."""

SPACING_S = 0.05
"""Time between two returns: several callers that meet the leader in the same instant
would be placed in no order."""

KEEP_S = 1.5
"""Time after its moment for which others leave room for a booking: a caller that heeds
it connects anew and meets a front within that."""

MAX_BOOKINGS = 500
"""Bookings that are kept; beyond them, callers are refused without one. Each placement
of a long prompt compares itself with all of them."""

MAX_REFUSAL_WAIT_SHARE = 0.25
"""Share of the target after which a request is no longer refused while it can still be
served: until then, its caller loses little by coming back."""

MAX_IDLE_SHARE = 0.5
"""Share of the slots that must be taken before a request is refused: a caller that is
turned away from a half idle fleet is lost for nothing."""

HOLD_S = 1.0
"""Start of a held request from now. Its front asks again several times before that, so
that a reply that is lost, or a change of the leader, does not send it."""

PREFILL_SHARE = 0.7
"""Share of the remaining time that the prefill of a held request may take; the rest is
for decoding and for delays."""

URGENT_SHARE = 0.45
"""Share of its time that is left when a late request comes first again. Until then,
those that can still be on time go before it: it earns the same at any later moment."""

OVERDUE_S = 3.0
"""Time past its moment after which smaller long prompts yield to a held one, too: it
needs several replicas at once, and each of them would delay it again."""

MIN_YIELDING_PREFILL_S = 1.0
"""Prefill time from which on a prompt yields to a larger one that is overdue; shorter
ones fit into gaps that the larger one can't use."""


class Outcome(Enum):
    """What became of a prompt that had no room."""

    BOOKED = "booked"
    """Refused, with a place in the schedule."""

    HELD = "held"
    REFUSED = "refused"
    """Refused without a place."""


class Booking(msgspec.Struct):
    """Place of one request in the schedule; clock times in seconds."""

    service: ServiceName
    prefill_s: float
    """Its prefill on one engine."""

    tokens: int
    due: float
    """When room for it is expected."""

    until: float
    """When others no longer leave room for it, unless its caller asks again."""

    deadline: float
    """When it is forgotten: whoever comes back before is not refused again."""

    on_time_until: float
    """When its target has passed."""

    urgent_from: float
    """When it comes first again, although its target has passed."""

    is_held: bool = False
    """Whether its caller came back and waits."""

    def is_first(self, now: float) -> bool:
        """Whether its time has come: to be on time, or at all."""
        is_patient = self.on_time_until < now < self.urgent_from
        return self.due <= now and not is_patient


def has_booked_returns(routing: Routing) -> bool:
    """Whether callers of several customers compete for the engines.

    Others are refused as the scheduler says.
    """
    return len(routing.customers) > 1


class ReturnSchedule:
    """Bookings of one leader's term."""

    def __init__(self) -> None:
        self._bookings: dict[Fingerprint, Booking] = {}
        self._outcomes: list[Outcome] = []

    @property
    def bookings(self) -> int:
        """Number of requests with a place."""
        return len(self._bookings)

    def pop_outcomes(self) -> list[Outcome]:
        """Return the outcomes since the last call, for the metrics."""
        outcomes, self._outcomes = self._outcomes, []
        return outcomes

    def expire(self, now: float) -> None:
        """Forget the bookings of requests whose deadline has passed."""
        for name in [n for n, one in self._bookings.items() if one.deadline < now]:
            del self._bookings[name]

    # Before the choice of replicas

    def prepare(self, work: EngineWork) -> EngineWork:
        """Return the work with the target by which it is placed.

        A held request keeps its whole target: with less, it would be declined for being
        late, though there is room.
        """
        if work.fingerprint not in self._bookings or work.waited <= 0.0:
            return work
        return msgspec.structs.replace(work, target=work.target + work.waited)

    def must_yield(self, work: EngineWork, fleet: EngineFleet, now: float) -> bool:
        """Whether a prompt would take the room of one with an earlier place.

        Short prompts never yield, and without bookings nothing does.
        """
        if not self._bookings or work.fingerprint is None:
            return False
        prefill = compute_prefill_time(fleet.profile, work.prompt_tokens)
        if prefill <= MIN_SPLIT_PREFILL_S:
            return False
        own = self._bookings.get(work.fingerprint)
        due = own.due if own is not None else now
        is_early = own is not None and now < due
        for name, one in self._bookings.items():
            if (
                one.service != work.service
                or name == work.fingerprint
                or one.due >= due
                or one.until < now
            ):
                continue
            if is_early:
                return True
            if one.is_first(now) and (
                one.prefill_s <= prefill
                or (now - one.due > OVERDUE_S and prefill > MIN_YIELDING_PREFILL_S)
            ):
                return True
        return False

    # After it

    def record_placed(self, work: EngineWork, placement: Placement) -> None:
        """Give up the place of a request that is sent before it is placed again."""
        if work.fingerprint is not None and placement.start_in <= REPLAN_INTERVAL_S:
            self._bookings.pop(work.fingerprint, None)

    def answer(
        self,
        work: EngineWork,
        declined: Declined | None,
        fleet: EngineFleet,
        now: float,
    ) -> Declined | Placement:
        """Refuse work until its place in the schedule, or hold it.

        ``declined`` is the reply of the scheduler, ``None`` if the work yields.
        """
        if declined is None:
            declined = Declined(MIN_RETRY_S)
        if work.fingerprint is None or not _waits_for_room(work, fleet):
            return declined
        self.expire(now)
        if not _can_end(work, fleet):
            self._bookings.pop(work.fingerprint, None)
            self._record(Outcome.REFUSED, work, None, declined.retry_after)
            return declined
        booking = self._bookings.get(work.fingerprint)
        if booking is not None and booking.is_held:
            return _hold(work, booking, fleet, now)
        room_in = forecast_room(work, fleet, now, self._sum_ahead(work, now))
        if booking is None:
            if len(self._bookings) >= MAX_BOOKINGS:
                self._record(Outcome.REFUSED, work, room_in, declined.retry_after)
                return declined
            booking = self._bookings[work.fingerprint] = _book(work, fleet, now)
            if _may_refuse(work, fleet):
                booking.due = self._find_free(
                    booking, now + (room_in or 0.0), work, now
                )
                booking.until = booking.due + KEEP_S
                retry_after = booking.due - now
                self._record(Outcome.BOOKED, work, room_in, retry_after)
                return Declined(retry_after)
        self._record(Outcome.HELD, work, room_in, 0.0)
        return _hold(work, booking, fleet, now)

    def _find_free(
        self, booking: Booking, wanted: float, work: EngineWork, now: float
    ) -> float:
        """Find a clock time at which no other caller was told to return.

        It is the first from ``wanted`` on, or the last that the caller heeds.
        """
        others = (one for one in self._bookings.values() if one is not booking)
        taken = sorted(one.due for one in others if one.service == booking.service)
        earliest = now + MIN_RETRY_S
        moment = max(earliest, wanted)
        for due in taken:
            if abs(due - moment) < SPACING_S:
                moment = due + SPACING_S
        latest = max(earliest, now + work.remaining * HEEDED_SHARE)
        if moment <= latest:
            return moment
        moment = latest
        for due in reversed(taken):
            if abs(due - moment) < SPACING_S:
                moment = due - SPACING_S
        return max(earliest, moment)

    def _sum_ahead(self, work: EngineWork, now: float) -> QueuedAhead:
        ahead = [
            one
            for name, one in self._bookings.items()
            if one.service == work.service
            and name != work.fingerprint
            and one.until >= now
        ]
        return QueuedAhead(
            sum(one.prefill_s for one in ahead), sum(one.tokens for one in ahead)
        )

    def _record(
        self,
        outcome: Outcome,
        work: EngineWork,
        room_in: float | None,
        retry_after: float,
    ) -> None:
        self._outcomes.append(outcome)
        logger.info(
            "no room for prompt",
            job=work.job,
            fingerprint=work.fingerprint,
            outcome=outcome.value,
            prompt=work.prompt_tokens,
            remaining=round(work.remaining, 3),
            waited=round(work.waited, 3),
            room_in=round(room_in, 3) if room_in is not None else None,
            retry_after=round(retry_after, 3),
            bookings=len(self._bookings),
        )


def _waits_for_room(work: EngineWork, fleet: EngineFleet) -> bool:
    """Whether the work may be booked or held.

    Short prompts are declined only where no replica may have them.
    """
    prefill = compute_prefill_time(fleet.profile, work.prompt_tokens)
    return prefill > MIN_SPLIT_PREFILL_S and bool(_list_usable(work, fleet))


def _list_usable(work: EngineWork, fleet: EngineFleet) -> list[Endpoint]:
    """List some replicas that may have the work; bounds the cost at any fleet size."""
    excluded = work.excluded
    usable = (one for one in fleet.endpoints if one.upstream not in excluded)
    return list(islice(usable, MAX_REPLICAS))


def _can_end(work: EngineWork, fleet: EngineFleet) -> bool:
    """Whether there is time and memory for the work, if all replicas were idle."""
    shortest = compute_shortest_prefill(work, fleet)
    return is_servable(work, fleet) and shortest <= PREFILL_SHARE * work.remaining


def _may_refuse(work: EngineWork, fleet: EngineFleet) -> bool:
    """Whether the caller loses little by coming back."""
    if work.waited > MAX_REFUSAL_WAIT_SHARE * work.target:
        return False
    loads = (fleet.loads.get(one.upstream) for one in fleet.endpoints)
    jobs = sum(len(load.parts) for load in loads if load is not None)
    return jobs >= MAX_IDLE_SHARE * fleet.profile.slots * len(fleet.endpoints)


def _book(work: EngineWork, fleet: EngineFleet, now: float) -> Booking:
    time = work.waited + work.remaining
    return Booking(
        work.service,
        compute_prefill_time(fleet.profile, work.prompt_tokens),
        work.prompt_tokens + work.output_tokens,
        due=now,
        until=now + KEEP_S,
        deadline=now + work.remaining,
        on_time_until=now + work.target,
        urgent_from=now + work.remaining - URGENT_SHARE * time,
    )


def _hold(
    work: EngineWork, booking: Booking, fleet: EngineFleet, now: float
) -> Placement:
    """Place the work later than its front asks again.

    It takes no memory or slot meanwhile. A front that loses its leader sends it to the
    replica with the fewest jobs.
    """
    booking.is_held = True
    booking.until = max(booking.due, now) + KEEP_S

    def count_jobs(endpoint: Endpoint) -> int:
        load = fleet.loads.get(endpoint.upstream)
        return len(load.parts) if load is not None else 0

    endpoint = min(_list_usable(work, fleet), key=count_jobs)
    prefill = compute_prefill_time(fleet.profile, work.prompt_tokens)
    return Placement(endpoint.upstream, endpoint.address, (), HOLD_S + prefill, HOLD_S)
