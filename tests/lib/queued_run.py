"""A placement run whose leader queues what waits, in virtual time."""

import msgspec

from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.placement_aging import age_work, postpone_placement
from scalebend.core.gateway.queued_placement import QueuedPlacement
from scalebend.core.gateway.service_room import EngineRoom
from scalebend.core.gateway.waiting_line import Queued
from scalebend.measuring.placement_cells import SERVICE
from scalebend.measuring.placement_results import Decider
from scalebend.measuring.placement_run import (
    HOP_TIME_S,
    LEADER_ROUND_TRIP_S,
    REPORT_DELAY_S,
    PlacementRun,
)
from scalebend.models.ids import Fingerprint
from scalebend.models.placement import Declined, OpenJob

TICK_S = 0.02


class _Held(Exception):
    def __init__(self, work):
        self.work = work


class QueuedRun(PlacementRun):
    """Fronts wait for a later reply; ``priorities`` maps kinds, 0 by default."""

    def __init__(self, scenario, seed, priorities=None):
        super().__init__(scenario, Decider.LEADER, seed)
        self.queue = QueuedPlacement()
        self._limits = LimitExchange()
        self._priorities = priorities or {}
        self._held = {}
        self._started = set()
        self._granted = None
        self._result = None
        self._tick()

    def _tick(self):
        self._advance()
        if self._now < self._scenario.length + 30.0:
            self._call_at(self._now + TICK_S, self._tick)

    def _build_room(self):
        (cell,) = self._cells
        available = [
            endpoint
            for endpoint in cell.endpoints
            if self._numbers[endpoint.upstream] not in self._down
        ]
        return EngineRoom(
            cell.scheduler,
            self._limits,
            SERVICE,
            available,
            self._profile,
            self._now,
            may_grant=True,
        )

    def _place(self, result, cell):
        self._result = result
        try:
            super()._place(result, cell)
        except _Held as held:
            self._held[held.work.job] = (result, held.work, self._now)

    def _decide(self, work, front, cell):
        if cell is None:
            return super()._decide(work, front, cell)
        self.choices += 1
        if self._granted is not None:
            # The job that waited goes on under the name of this attempt.
            (job, placed), self._granted = self._granted, None
            cell.scheduler.forget(job)
            opened = OpenJob(work, placed, is_decoding=False)
            cell.scheduler.adopt(opened, self._profile, self._now)
            return placed
        if work.waited == 0.0:
            priority = self._priorities.get(self._result.arrival.kind.name, 0)
            work = msgspec.structs.replace(work, priority=priority)
        fingerprint = Fingerprint(str(self._result.arrival.number))
        work = msgspec.structs.replace(work, fingerprint=fingerprint)
        placed = self.queue.place(work, self._build_room(), self._now, may_wait=True)
        if not isinstance(placed, Queued):
            return placed
        if placed.plan is not None:
            return placed.plan
        for job in self._jobs.values():
            if job.work.job == work.job:
                return postpone_placement(job.placement, 0.5)
        raise _Held(work)

    def _replan(self, number):
        self._result = self._jobs[number].result
        if number not in self._started:
            super()._replan(number)

    def _report_stage(self, job, *, is_ended):
        super()._report_stage(job, is_ended=is_ended)
        self._call_at(
            self._now + REPORT_DELAY_S, lambda: self._record_stage(job, is_ended)
        )

    def _record_stage(self, job, is_ended):
        if is_ended:
            self.queue.remove(job.work.job, has_started=job.is_decoding)
            self.queue.record_change()
        self._advance()

    def _advance(self):
        for job, (result, _, _) in list(self._held.items()):
            if result.has_disconnected:
                self.queue.remove(job)
                del self._held[job]
        for one in self.queue.advance(lambda _: self._build_room(), self._now):
            if one.work.job in self._held:
                self._resume(one)
            else:
                self._start(one)

    def _resume(self, released):
        result, work, since = self._held.pop(released.work.job)
        waited = self._now - since
        if isinstance(released.placed, Declined):
            result.wasted_wait_s += waited
            remaining = age_work(work, waited).remaining
            self._reject(result, released.placed.retry_after, remaining)
            return
        (cell,) = self._cells
        self._granted = (released.work.job, released.placed)
        self._place(result, cell)

    def _start(self, released):
        """Send a job whose front waits for its planned start, or end it."""
        number = next(
            number
            for number, job in self._jobs.items()
            if job.work.job == released.work.job
        )
        job = self._jobs[number]
        if job.has_ended:
            return
        self._started.add(number)
        if isinstance(released.placed, Declined):
            waited = self._now - job.placed_at
            job.has_ended = True
            job.result.wasted_wait_s += waited
            self._report_stage(job, is_ended=True)
            remaining = released.work.remaining
            self._reject(job.result, released.placed.retry_after, remaining)
            return
        placed = job.placement = released.placed
        job.engines = [self._numbers[one] for one in placed.upstreams]
        job.prefilling = set(job.engines)
        self._report_open_job(job)
        delay = LEADER_ROUND_TRIP_S / 2.0 + placed.start_in + HOP_TIME_S
        self._call_at(self._now + delay, lambda: self._send(number))
