"""Gives room at the engines to waiting requests, in order, with few reservations.

Answers seconds of too little memory, too few slots or too few idle replicas; see
docs/design/placement-queue.md. With room for all, each request is placed as without it.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

from scalebend.core.gateway.admission import Admission, can_be_served
from scalebend.core.gateway.kept_replicas import keep_free, place_around
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S, age_placement
from scalebend.core.gateway.placement_plan import NO_MEMORY_RETRY_S, compute_memory
from scalebend.core.gateway.placement_queue import (
    Waiting,
    compute_rank,
    compute_wait_limit,
)
from scalebend.core.gateway.return_schedule import Booking, Outcome, ReturnSchedule
from scalebend.core.gateway.room_forecast import compute_latest_start
from scalebend.core.gateway.service_room import EngineRoom
from scalebend.core.gateway.waiting_line import (
    Answer,
    Queued,
    Released,
    WaitingLine,
)
from scalebend.core.gateway.work_kinds import compute_cost, is_never_late, is_quick
from scalebend.models.ids import InstanceId, ServiceName
from scalebend.models.placement import (
    Declined,
    EngineWork,
    JobId,
    Placement,
    is_job_of,
)

logger = structlog.get_logger(__name__)

MAX_PLANNED = 8
"""Requests that are tried in one plan; bounds its cost."""

MAX_RESERVED = 2
"""Requests with reserved starts. A reserved start keeps quick prompts off its replicas
before it, so that only the first ones have one."""

MAX_BACKFILLED = 4
"""Small prompts placed ahead of others in one plan."""

MAX_SERVED = 16
"""Quick prompts that get a free slot in one call."""

MIN_PLAN_INTERVAL_S = 0.05
"""Time between two plans, which bounds their cost while jobs end all the time: short
against the target of a long prompt."""

MAX_PLAN_INTERVAL_S = REPLAN_INTERVAL_S
"""Time after which to plan anew without a change: prefills end by the clock, too."""

ANSWER_LIFETIME_S = 1.5
"""Time for which an answer is repeated to a front that asks again: several intervals at
which fronts ask, so that no reply lost with a link makes a second placement."""


class QueuedPlacement:
    """Requests that wait at the leader, and the order in which they get room."""

    def __init__(self) -> None:
        self._lines: dict[ServiceName, WaitingLine] = {}
        self._admission = Admission()

    @property
    def returns(self) -> ReturnSchedule:
        """Positions of the requests that were refused."""
        return self._admission.returns

    @property
    def waiting(self) -> int:
        """Requests that wait."""
        return sum(line.waiting for line in self._lines.values())

    # Inputs

    def remove(self, job: JobId, *, has_started: bool = False) -> None:
        """Remove a request that ended, or whose caller left.

        ``has_started`` is whether its first token was seen.
        """
        self._remove(job)
        self.returns.record_end(job, has_started=has_started)

    def record_open(self, work: EngineWork, now: float) -> None:
        """Remove a request that its front sent to engines."""
        self._remove(work.job)
        booking = self.returns.find(work)
        if booking is not None:
            self.returns.record_placed(booking, work, now)

    def _remove(self, job: JobId) -> None:
        for line in self._lines.values():
            line.remove(job)
            line.answers.pop(job, None)

    def remove_front(self, front: InstanceId) -> None:
        """Remove what a front announced whose link was lost."""
        for line in self._lines.values():
            for queue in (line.quick, line.long):
                for job in [one for one in queue.list_jobs() if is_job_of(front, one)]:
                    line.remove(job)
                    self.returns.record_end(job, has_started=False)

    def record_change(self) -> None:
        """Record that room may have been given back."""
        for line in self._lines.values():
            line.is_changed = True

    # Decisions

    def place(
        self, work: EngineWork, room: EngineRoom, now: float, *, may_wait: bool
    ) -> Placement | Declined | Queued:
        """Place a request, let it wait, or decline it.

        A request that already waits keeps its place, and one that was refused before
        has the position of its first arrival.
        """
        can_return = may_wait
        booking = self.returns.find(work) if may_wait else None
        line = self._lines.get(work.service)
        if line is None:
            line = self._lines[work.service] = WaitingLine(now)
        if may_wait:
            known = self._find_known(line, work, room, now)
            if known is not None:
                return known
        may_wait &= booking is not None or compute_wait_limit(work) > 0.0
        if is_quick(work, room.profile):
            if may_wait and (len(line.quick) or not room.count_free_slots()):
                if line.quick.add(work, now) is not None:
                    return self._log_queued(line, work, Queued(None, None), now)
            may_wait = False
        rank = compute_rank(work, now)
        if booking is not None:
            rank = booking.position.compute_rank(now)
        first = line.long.find_first(now) if may_wait and line.is_changed else None
        if first is not None and line.is_behind(work, rank, first, now):
            # Room may be free that was not offered yet to those that wait.
            waits = self._let_wait(line, work, None, room, now, booking, is_tried=False)
            if waits is not None:
                return waits
        placed, is_restricted = place_around(line, work, rank, room, now)
        if may_wait and (
            placed.start_in > REPLAN_INTERVAL_S
            if isinstance(placed, Placement)
            else placed.lacks_memory or is_restricted or booking is not None
        ):
            plan = placed if isinstance(placed, Placement) else None
            waits = self._let_wait(line, work, plan, room, now, booking)
            if waits is not None:
                return waits
        if isinstance(placed, Placement):
            line.use.charge(work.customer, compute_cost(work, room.profile), now)
            if booking is not None:
                self.returns.record_placed(booking, work, now)
        elif can_return:
            placed = self._admission.refuse(line, work, placed, room, now)
        return placed

    def advance(
        self, find_room: Callable[[ServiceName], EngineRoom | None], now: float
    ) -> list[Released]:
        """Give room to those that wait, and end the waits that are too long."""
        released = []
        for service, line in self._lines.items():
            self._forget_answers(line, now)
            if not line.waiting:
                line.stop_keeping()
                continue
            room = find_room(service)
            if room is None:
                continue
            for one in (
                *self._end_waits(line, room, now),
                *self._serve_quick(line, room, now),
                *self._plan_if_due(line, room, now),
            ):
                line.answers[one.work.job] = Answer(one.placed, now)
                released.append(one)
        return released

    def expire(self, now: float) -> None:
        """Forget customers that received nothing for long, and expired bookings."""
        self.returns.expire(now)
        for line in self._lines.values():
            line.use.expire(now)

    def _find_known(
        self, line: WaitingLine, work: EngineWork, room: EngineRoom, now: float
    ) -> Placement | Declined | Queued | None:
        """Return what is known of a request about which its front asks again."""
        answer = line.answers.get(work.job)
        if answer is not None:
            if isinstance(answer.placed, Declined):
                return answer.placed
            return age_placement(answer.placed, now - answer.at)
        found = line.find(work.job)
        if found is None:
            return None
        queue, entry = found
        queue.renew(work, now)
        if entry.plan is None:
            rank = entry.rank
            expected = self._admission.forecast(line, work, rank, room, now)
            return Queued(None, expected)
        plan = age_placement(entry.plan, now - entry.planned_at)
        if plan.start_in <= REPLAN_INTERVAL_S:
            # The front sends it before the next plan would reach it.
            line.remove(work.job)
            self._release(line, entry, plan, room, now)
            line.answers[work.job] = Answer(plan, now)
            return plan
        return Queued(plan, plan.start_in)

    def _let_wait(
        self,
        line: WaitingLine,
        work: EngineWork,
        plan: Placement | None,
        room: EngineRoom,
        now: float,
        booking: Booking | None,
        *,
        is_tried: bool = True,
    ) -> Queued | None:
        """Let a long prompt wait, with or without a plan; ``None`` if it must not."""
        admission = self._admission
        position = booking.position if booking is not None else None
        max_wait = compute_wait_limit(work)
        if position is not None:
            max_wait = compute_latest_start(work, room.describe_fleet())
        elif is_never_late(work, room.profile):
            max_wait = min(max_wait, work.target)
        expected = plan.start_in if plan is not None else None
        if plan is None:
            if not can_be_served(work, room.describe_fleet()):
                return None
            if not room.list_freest(compute_memory(work)):
                return None
            if is_tried and position is None:
                rank = compute_rank(work, now)
                expected = admission.forecast(line, work, rank, room, now)
                is_too_late = expected is None or expected > max_wait
                if is_too_late and admission.may_refuse(line, work, room):
                    return None
        entry = line.long.add(work, now, max_wait, position)
        if entry is None:
            return None
        if booking is not None:
            self.returns.record_waiting(booking, work.job)
            self.returns.record(Outcome.HELD, work)
        line.is_changed = True
        if plan is not None and len(line.planned) < MAX_RESERVED:
            entry.plan, entry.planned_at = plan, now
            line.planned.append(work.job)
        elif plan is not None:
            room.withdraw(work.job)
        if not is_tried:
            line.untried.append(work.job)
        return self._log_queued(line, work, Queued(entry.plan, expected), now)

    def _log_queued(
        self, line: WaitingLine, work: EngineWork, queued: Queued, now: float
    ) -> Queued:
        expected = queued.expected
        logger.info(
            "request queued",
            job=work.job,
            prompt=work.prompt_tokens,
            priority=work.priority,
            customer=work.customer,
            waited=round(work.waited, 3),
            use=round(line.use.read(work.customer, now), 3),
            waiting=line.waiting,
            expected=round(expected, 3) if expected is not None else None,
        )
        return queued

    # Room for those that wait

    def _end_waits(
        self, line: WaitingLine, room: EngineRoom, now: float
    ) -> list[Released]:
        """Place or decline the requests whose wait has ended."""
        released = []
        for queue in (line.quick, line.long):
            while (entry := queue.find_expired(now)) is not None:
                work = entry.build_work(now)
                line.remove(work.job)
                placed = room.place(work)
                released.append(self._release(line, entry, placed, room, now))
        return released

    def _serve_quick(
        self, line: WaitingLine, room: EngineRoom, now: float
    ) -> list[Released]:
        """Give free slots to quick prompts."""
        released: list[Released] = []
        if not len(line.quick):
            return released
        for _ in range(min(room.count_free_slots(), MAX_SERVED, len(line.quick))):
            entry = line.quick.find_first(now)
            assert entry is not None
            line.remove(entry.work.job)
            placed = room.place(entry.build_work(now))
            released.append(self._release(line, entry, placed, room, now))
        return released

    def _plan_if_due(
        self, line: WaitingLine, room: EngineRoom, now: float
    ) -> list[Released]:
        age = now - line.planned_at
        if not len(line.long) or age < (
            MIN_PLAN_INTERVAL_S if line.is_changed else MAX_PLAN_INTERVAL_S
        ):
            return []
        line.is_changed = False
        line.planned_at = now
        return self._plan(line, room, now)

    def _plan(self, line: WaitingLine, room: EngineRoom, now: float) -> list[Released]:
        """Plan the first long prompts anew, in order; release those that may start."""
        queue = line.long
        for job in line.planned:
            planned = queue.get(job)
            if planned is not None and planned.plan is not None:
                planned.plan = None
                room.withdraw(job)
        line.planned.clear()
        released: list[Released] = []
        kept: list[Waiting] = []
        lacks_any = False
        while len(kept) < MAX_PLANNED and len(released) < MAX_SERVED:
            entry = queue.find_first(now)
            if entry is None:
                break
            queue.remove(entry.work.job)
            work = entry.build_work(now)
            placed, is_restricted = place_around(
                line, work, entry.rank, room, now, entry
            )
            if isinstance(placed, Declined):
                # A very long prompt that would be late is not served at all.
                is_final = (
                    not placed.lacks_memory
                    and not is_restricted
                    and entry.position is None
                    and is_never_late(work, room.profile)
                )
            else:
                is_final = placed.start_in <= REPLAN_INTERVAL_S
            if is_final:
                if line.kept_for is entry:
                    line.stop_keeping()
                released.append(self._release(line, entry, placed, room, now))
                continue
            kept.append(entry)
            if isinstance(placed, Placement):
                if len(line.planned) < MAX_RESERVED:
                    entry.plan, entry.planned_at = placed, now
                    line.planned.append(work.job)
                else:
                    room.withdraw(work.job)
            elif placed.lacks_memory and not lacks_any:
                lacks_any = True
                keep_free(line, entry, room, now)
        if not lacks_any:
            line.stop_keeping()
        for entry in kept:
            queue.put_back(entry)
        if len(kept) == MAX_PLANNED:
            released += self._backfill(line, room, now)
        if kept:
            released += self._decline_hopeless(line, room, now)
        line.untried.clear()
        return released

    def _decline_hopeless(
        self, line: WaitingLine, room: EngineRoom, now: float
    ) -> list[Released]:
        """Decline the last requests added since the last plan that wait too long."""
        released: list[Released] = []
        for job in reversed(line.untried):
            entry = line.long.get(job)
            if entry is None or entry.plan is not None or entry.position is not None:
                continue
            work, rank = entry.build_work(now), entry.rank
            expected = self._admission.forecast(line, work, rank, room, now)
            if expected is not None and now + expected <= entry.limit:
                continue
            if not self._admission.may_refuse(line, work, room):
                continue
            line.remove(job)
            declined = Declined(NO_MEMORY_RETRY_S, lacks_memory=True)
            released.append(self._release(line, entry, declined, room, now))
        return released

    def _backfill(
        self, line: WaitingLine, room: EngineRoom, now: float
    ) -> list[Released]:
        """Start the smallest prompts that wait where they take no reserved room."""
        released: list[Released] = []
        while len(released) < MAX_BACKFILLED:
            entry = line.long.find_smallest()
            if entry is None or entry is line.kept_for or entry.plan is not None:
                break
            work = entry.build_work(now)
            placed, _ = place_around(line, work, entry.rank, room, now, entry)
            if isinstance(placed, Declined):
                break
            if placed.start_in > REPLAN_INTERVAL_S:
                room.withdraw(work.job)
                break
            line.remove(work.job)
            released.append(self._release(line, entry, placed, room, now))
        return released

    def _release(
        self,
        line: WaitingLine,
        entry: Waiting,
        placed: Placement | Declined,
        room: EngineRoom,
        now: float,
    ) -> Released:
        work = entry.build_work(now)
        is_placed = isinstance(placed, Placement)
        if isinstance(placed, Placement):
            line.use.charge(work.customer, compute_cost(work, room.profile), now)
            booking = self.returns.find(work)
            if booking is not None:
                self.returns.record_placed(booking, work, now)
        else:
            placed = self._admission.refuse(line, work, placed, room, now)
        logger.info(
            "queued request placed" if is_placed else "queued request declined",
            job=work.job,
            prompt=work.prompt_tokens,
            priority=work.priority,
            customer=work.customer,
            waited=round(work.waited, 3),
            late=entry.is_late,
            waiting=line.waiting,
        )
        return Released(work, placed)

    def _forget_answers(self, line: WaitingLine, now: float) -> None:
        while line.answers:
            job = next(iter(line.answers))
            if now - line.answers[job].at <= ANSWER_LIFETIME_S:
                return
            del line.answers[job]
