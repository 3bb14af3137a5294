"""Admits long prompts without room to the queue, or refuses them with a booking.

Load answered: more long prompts than there will be room for in time. Whoever would wait
for nothing is told so on arrival, and when to come back; see docs/design/returns.md.
"""

from __future__ import annotations

from scalebend.core.gateway.engine_costs import compute_prefill_time
from scalebend.core.gateway.placement_plan import compute_memory
from scalebend.core.gateway.placement_queue import compute_rank
from scalebend.core.gateway.return_schedule import Outcome, ReturnSchedule
from scalebend.core.gateway.room_forecast import (
    EngineFleet,
    Outlooks,
    QueuedAhead,
    compute_latest_start,
    is_servable,
)
from scalebend.core.gateway.service_room import EngineRoom
from scalebend.core.gateway.waiting_line import WaitingLine
from scalebend.core.gateway.work_kinds import is_quick
from scalebend.models.placement import Declined, EngineWork

MAX_REFUSAL_WAIT_SHARE = 0.25
"""Share of the target after which a request is no longer refused while it may wait:
until then, its caller loses little by coming back."""

MAX_IDLE_SHARE = 0.5
"""Share of the slots that must be taken, if nothing waits, before a request is refused:
a caller that is turned away from a half idle fleet is lost for nothing."""


class Admission:
    """Refusals of one leader's term, and what is known of when there is room."""

    def __init__(self) -> None:
        self.returns = ReturnSchedule()
        self._outlooks = Outlooks()

    def forecast(
        self,
        line: WaitingLine,
        work: EngineWork,
        rank: float,
        room: EngineRoom,
        now: float,
    ) -> float | None:
        """Forecast the seconds until there is room for a prompt of this rank.

        What waits or is expected back before it gets room first. ``None`` if it has no
        room even on idle replicas.
        """
        fleet = room.describe_fleet()
        tokens = line.sum_memory_before(rank)
        if work.job in line.long:
            tokens = max(0, tokens - compute_memory(work))
        prefill = compute_prefill_time(fleet.profile, work.prompt_tokens)
        # At the cost for each token of this prompt: those that wait are long, too.
        waiting_s = prefill * tokens / compute_memory(work)
        away = self.returns.sum_ahead(work.service, rank, now)
        ahead = QueuedAhead(waiting_s + away.prefill_s, tokens + away.tokens)
        return self._outlooks.forecast_room(work, fleet, now, ahead)

    def may_refuse(self, line: WaitingLine, work: EngineWork, room: EngineRoom) -> bool:
        """Whether the caller loses little by coming back."""
        if work.waited > MAX_REFUSAL_WAIT_SHARE * work.target:
            return False
        if line.waiting:
            return True
        fleet = room.describe_fleet()
        loads = (fleet.loads.get(one.upstream) for one in fleet.endpoints)
        jobs = sum(len(load.parts) for load in loads if load is not None)
        return jobs >= MAX_IDLE_SHARE * fleet.profile.slots * len(fleet.endpoints)

    def refuse(
        self,
        line: WaitingLine,
        work: EngineWork,
        declined: Declined,
        room: EngineRoom,
        now: float,
    ) -> Declined:
        """Refuse work for which there is no room, with a booking if one helps.

        It does not help what comes back for the second time, or cannot be served.
        """
        fleet = room.describe_fleet()
        if work.fingerprint is None or not _waits_for_room(work, room, fleet):
            return declined
        room_in = retry_after = None
        booking = self.returns.find(work)
        if booking is not None:
            self.returns.drop(booking)
        elif can_be_served(work, fleet) and not self.returns.has_copy(work):
            room_in = self.forecast(line, work, compute_rank(work, now), room, now)
            if room_in is not None:
                retry_after = self.returns.book(work, room_in, fleet, now)
        if retry_after is None:
            self.returns.record(Outcome.REFUSED, work, room_in, declined.retry_after)
            return declined
        self.returns.record(Outcome.BOOKED, work, room_in, retry_after)
        return Declined(retry_after, declined.lacks_memory)


def can_be_served(work: EngineWork, fleet: EngineFleet) -> bool:
    """Whether there is time and memory for the work, if all replicas were idle."""
    return is_servable(work, fleet) and compute_latest_start(work, fleet) > 0.0


def _waits_for_room(work: EngineWork, room: EngineRoom, fleet: EngineFleet) -> bool:
    """Whether room is what the work lacks.

    Short prompts are declined only where no replica may have them. Where replicas are
    rate limited, send permits may be missing instead.
    """
    return (
        not is_quick(work, fleet.profile)
        and any(one.upstream not in work.excluded for one in fleet.endpoints)
        and not room.is_rate_limited()
    )
