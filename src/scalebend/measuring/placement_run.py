"""Plays a scenario of placement in virtual time and counts what callers got.

The real scheduler decides: one leader that hears of all, one for each cell of the
fleet, or each front alone. Two plain ways stand beside it, and the time that each
request takes on a fleet of its own, which no way of deciding can beat.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from functools import partial

import msgspec

from scalebend.core.gateway.engine_costs import compute_prefill_time
from scalebend.core.gateway.engine_scheduler import (
    UNCOORDINATED_MAX_PART_S,
    EngineScheduler,
)
from scalebend.core.gateway.placement_aging import (
    REPLAN_PERIOD_S,
    age_placement,
    age_work,
)
from scalebend.measuring.engine_passes import PassEngine, Reading, Writing
from scalebend.measuring.placement_baselines import place_simply, serve_alone
from scalebend.measuring.placement_cells import (
    SERVICE,
    Cell,
    build_cells,
    build_endpoints,
    choose_cell,
)
from scalebend.measuring.placement_results import Decider, Result
from scalebend.measuring.placement_scenario import (
    PlacementScenario,
    plan_arrivals,
)
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import InstanceId
from scalebend.models.placement import (
    Declined,
    EngineWork,
    JobStage,
    OpenJob,
    Placement,
    build_job_id,
    is_job_of,
)

ASK_TIME = 0.003
"""Seconds from a front's question to the leader's answer."""

TELL_TIME = 0.002
"""Seconds until the leader knows what a front saw."""

SEND_TIME = 0.002
"""Seconds from a caller to its front, from there to an engine, and back."""

NEWS_PERIOD = 0.5
"""Seconds between two heartbeats of the leader to the fronts."""

EXPIRE_PERIOD = 0.5
"""Seconds between two searches for jobs whose end was not heard."""

LOSS_NOTICED = 0.2
"""Seconds until a front sends a request again whose engine crashed."""


class _Job(msgspec.Struct):
    result: Result
    work: EngineWork
    placement: Placement
    engines: list[int]
    cell: Cell | None
    """Whose leader placed it, or ``None``: its front did."""

    began: float
    unread: set[int]
    is_decoding: bool = False
    is_over: bool = False


class PlacementRun:
    """One run of one decider over one seed."""

    def __init__(
        self, scenario: PlacementScenario, decider: Decider, seed: int
    ) -> None:
        self._scenario = scenario
        self._decider = decider
        self._chance = random.Random(seed + 1)
        self._profile = scenario.engines.build_profile()
        self._engines = [
            PassEngine(scenario.engines) for _ in range(scenario.engines.count)
        ]
        self._endpoints = build_endpoints(self._profile, scenario.engines.count)
        self._numbers = {one.upstream: n for n, one in enumerate(self._endpoints)}
        self._down: set[int] = set()
        self._cells = build_cells(scenario, self._endpoints)
        self._fronts = [
            EngineScheduler(f"front-{n}", UNCOORDINATED_MAX_PART_S)
            for n in range(scenario.fronts)
        ]
        self._jobs: dict[int, _Job] = {}
        self._job_count = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._now = 0.0
        self._readiness = [self._chance.random() for _ in range(scenario.fronts)]
        self.choices = 0
        self.choices_alone = 0
        """Choices that fronts made without the leader."""

        self.results: list[Result] = []
        for arrival in plan_arrivals(scenario, seed):
            result = Result(arrival)
            self.results.append(result)
            self._at(arrival.at + SEND_TIME, lambda r=result: self._arrive(r))  # type: ignore[misc]
        for loss in scenario.engine_losses:
            self._at(loss.at, lambda one=loss: self._lose(one.count, one.back_after))  # type: ignore[misc]
        for lost in scenario.leader_losses:
            self._at(
                lost.at + lost.length,
                lambda one=lost: self._take_lead(self._cells[: one.cells]),  # type: ignore[misc]
            )
        for cut in scenario.fronts_cut:
            self._at(cut.at, lambda one=cut: self._forget_fronts(one.count))  # type: ignore[misc]
            self._at(cut.at + cut.length, lambda: self._take_lead(self._cells))
        for restart in scenario.restarts:
            self._at(restart.at, self._restart)
        self._at(NEWS_PERIOD, self._tell_fronts)
        self._at(EXPIRE_PERIOD, self._expire)

    def run(self) -> list[Result]:
        """Play everything; return what became of each request."""
        if self._decider is Decider.IDLE_FLEET:
            for result in self.results:
                serve_alone(result, self._profile, len(self._engines), SEND_TIME)
            return self.results
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.results

    def _at(self, when: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, action))

    def _expire(self) -> None:
        for cell in self._cells:
            cell.scheduler.expire(self._now)
        for front in self._fronts:
            front.expire(self._now)
        if self._now < self._scenario.length + 30.0:
            self._at(self._now + EXPIRE_PERIOD, self._expire)

    # Requests

    def _arrive(self, result: Result) -> None:
        arrival = result.arrival
        for restart in self._scenario.restarts:
            if not self._is_within(restart.at, restart.length + restart.ready_within):
                continue
            back = restart.at + restart.length
            ready_at = back + restart.ready_within * self._readiness[arrival.front]
            if self._now < back - restart.waiting:
                return
            if self._now < ready_at:
                self._at(ready_at, lambda: self._arrive(result))
                return
        if arrival.leaves_after is not None:
            leave_at = arrival.at + arrival.leaves_after
            self._at(max(leave_at, self._now), lambda: self._leave(result))
        self._ask(result)

    def _ask(self, result: Result) -> None:
        """Ask the leader, or decide alone where it does not answer in time."""
        front = result.arrival.front
        cell = choose_cell(
            self._cells, lambda one: self._is_lost(one, front), self._chance
        )
        if cell is None:
            self._at(self._now + ASK_TIME, lambda: self._place(result, None))
            return
        answer = cell.queue.ask(front, ASK_TIME, self._now)
        asked = cell if answer.is_led else None
        self._at(answer.at, lambda: self._place(result, asked))

    def _place(self, result: Result, cell: Cell | None) -> None:
        arrival = result.arrival
        remaining = arrival.at + arrival.kind.deadline - self._now
        if result.has_left or remaining <= 0.0:
            return
        self._job_count += 1
        number = self._job_count
        name = build_job_id(InstanceId(f"front-{arrival.front}"), 1, number)
        work = EngineWork(
            job=name,
            service=SERVICE,
            prompt_tokens=arrival.prompt,
            output_tokens=arrival.events * self._profile.decode_steps_per_batch_step,
            expected_tokens=arrival.events * self._profile.decode_steps_per_batch_step,
            target=arrival.kind.target,
            event_gap=arrival.kind.event_gap,
            remaining=remaining,
        )
        if cell is not None and self._is_lost(cell, arrival.front):
            cell = None
        placed = self._decide(work, arrival.front, cell)
        if isinstance(placed, Declined):
            self._refuse(result, placed.retry_after, remaining)
            return
        engines = [self._numbers[upstream] for upstream in placed.upstreams]
        job = _Job(result, work, placed, engines, cell, self._now, set(engines))
        self._jobs[number] = job
        self._note_open(job)
        self._at(self._now + remaining, lambda: self._give_up(number))
        self._await_turn(number)

    def _await_turn(self, number: int) -> None:
        """Send when the turn comes; ask now and then whether it comes sooner."""
        start_in = self._jobs[number].placement.start_in
        if start_in > REPLAN_PERIOD_S:
            self._at(self._now + REPLAN_PERIOD_S, lambda: self._ask_again(number))
        else:
            self._at(self._now + start_in + SEND_TIME, lambda: self._send(number))

    def _ask_again(self, number: int) -> None:
        job = self._jobs[number]
        if job.is_over:
            return
        job.work = age_work(job.work, REPLAN_PERIOD_S)
        cell = job.cell
        if cell is None or self._is_lost(cell, job.result.arrival.front):
            job.placement = age_placement(job.placement, REPLAN_PERIOD_S)
            self._await_turn(number)
            return
        placed = self._decide(job.work, job.result.arrival.front, cell)
        if isinstance(placed, Declined):
            job.is_over = True
            job.result.held += self._now - job.began
            self._tell(job, is_ended=True)
            self._refuse(job.result, placed.retry_after, job.work.remaining)
            return
        job.placement = placed
        job.engines = [self._numbers[upstream] for upstream in placed.upstreams]
        job.unread = set(job.engines)
        self._note_open(job)
        self._await_turn(number)

    def _decide(
        self, work: EngineWork, front: int, cell: Cell | None
    ) -> Placement | Declined:
        endpoints = self._endpoints if cell is None else cell.endpoints
        alive = [e for e in endpoints if self._numbers[e.upstream] not in self._down]
        match self._decider:
            case Decider.RANDOM:
                return place_simply(work, self._chance.choice(alive), alive)
            case Decider.FEWEST_OPEN:
                return place_simply(work, min(alive, key=self._count_open), alive)
        scheduler = self._fronts[front] if cell is None else cell.scheduler
        self.choices += 1
        self.choices_alone += cell is None
        return scheduler.place(work, alive, self._profile, self._now)

    def _note_open(self, job: _Job) -> None:
        """Whoever did not place the job hears of it: its front, or the leader."""
        opened = OpenJob(job.work, job.placement, is_decoding=False)
        front = self._fronts[job.result.arrival.front]
        front.forget(job.work.job)
        front.adopt(opened, self._profile, self._now)
        for cell in self._find_told(job):
            # It hears of it after all that it was asked before.
            heard_at = max(self._now, cell.queue.free_at)
            self._at(heard_at, lambda c=cell: self._tell_open(c, job, opened))  # type: ignore[misc]

    def _tell_open(self, cell: Cell, job: _Job, opened: OpenJob) -> None:
        if not job.is_over and job.placement == opened.placement:
            cell.scheduler.adopt(opened, self._profile, self._now)

    def _find_told(self, job: _Job) -> list[Cell]:
        """Cells whose leader hears of a job: those of its engines."""
        numbers = {engine % len(self._cells) for engine in job.engines}
        front = job.result.arrival.front
        return [
            cell
            for cell in self._cells
            if cell.number in numbers and not self._is_lost(cell, front)
        ]

    def _count_open(self, endpoint: Endpoint) -> tuple[int, float]:
        number = self._numbers[endpoint.upstream]
        return self._engines[number].open_jobs, self._chance.random()

    def _is_lost(self, cell: Cell, front: int) -> bool:
        """Whether a front has no leader of this cell to ask now."""
        scenario = self._scenario
        return (
            self._decider is Decider.ALONE
            or any(
                self._is_within(one.at, one.length)
                and (one.cells is None or cell.number < one.cells)
                for one in scenario.leader_losses
            )
            or any(
                front < one.count and self._is_within(one.at, one.length)
                for one in scenario.fronts_cut
            )
        )

    def _is_within(self, at: float, length: float) -> bool:
        return at <= self._now < at + length

    def _take_lead(self, cells: list[Cell]) -> None:
        """New leaders learn what is open from the fronts that reach them."""
        for cell in cells:
            cell.scheduler = EngineScheduler()
        for job in self._jobs.values():
            if job.is_over:
                continue
            opened = OpenJob(
                job.work, job.placement, job.is_decoding, self._now - job.began
            )
            for cell in self._find_told(job):
                cell.scheduler.adopt(opened, self._profile, self._now)

    def _restart(self) -> None:
        """All processes lose what they knew, and their callers what was open."""
        for number, job in self._jobs.items():
            if not job.is_over:
                self._end(number)
        for cell in self._cells:
            cell.scheduler = EngineScheduler()
        self._fronts = [
            EngineScheduler(f"front-{n}", UNCOORDINATED_MAX_PART_S)
            for n in range(self._scenario.fronts)
        ]

    def _forget_fronts(self, count: int) -> None:
        """Leaders lost the links to some fronts, and with them their jobs."""
        for number in range(count):
            front = InstanceId(f"front-{number}")
            for cell in self._cells:
                cell.scheduler.forget_front(partial(is_job_of, front))

    def _tell_fronts(self) -> None:
        """Heartbeats of leaders say which replicas are busy, and with what."""
        for cell in self._cells:
            cell.tell_load()
        for number, front in enumerate(self._fronts):
            heard = [one for one in self._cells if not self._is_lost(one, number)]
            busy = [
                replica
                for cell in heard
                for replica in cell.scheduler.list_busy(self._now, len(self._engines))
            ]
            if heard:
                front.record_busy_replicas(busy, self._now)
        if self._now < self._scenario.length:
            self._at(self._now + NEWS_PERIOD, self._tell_fronts)

    def _refuse(self, result: Result, retry_after: float, remaining: float) -> None:
        result.refusals += 1
        if result.refusals > self._scenario.retries:
            return
        pause = min(retry_after, remaining / 3.0) + 2 * SEND_TIME
        self._at(self._now + pause, lambda: self._arrive(result))

    def _send(self, number: int) -> None:
        job = self._jobs[number]
        if job.is_over:
            return
        if set(job.engines) & self._down:
            self._break(number)
            return
        arrival = job.result.arrival
        width = len(job.engines)
        seconds = compute_prefill_time(self._profile, arrival.prompt) / width
        for engine in job.engines:
            tokens = arrival.prompt // width
            reading = Reading(number, seconds, tokens, is_joint=width > 1)
            self._engines[engine].add(reading, is_first=engine == job.engines[0])
            self._wake(engine)

    def _give_up(self, number: int) -> None:
        job = self._jobs[number]
        if not job.is_over:
            job.result.held += self._now - job.began
            self._end(number)

    def _leave(self, result: Result) -> None:
        if result.first_event is not None:
            return
        result.has_left = True
        for number, job in list(self._jobs.items()):
            if job.result is result and not job.is_over:
                self._end(number)

    def _end(self, number: int) -> None:
        job = self._jobs[number]
        job.is_over = True
        for engine in job.engines:
            self._engines[engine].drop(number)
        self._tell(job, is_ended=True)

    def _tell(self, job: _Job, *, is_ended: bool) -> None:
        load = self._engines[job.engines[0]].open_jobs
        stage = JobStage(job.work.job, is_ended=is_ended, load=load)
        self._fronts[job.result.arrival.front].record_stage(stage, self._now)
        for cell in self._find_told(job):
            self._at(
                self._now + TELL_TIME,
                lambda c=cell: c.scheduler.record_stage(stage, self._now),  # type: ignore[misc]
            )

    # Engines

    def _wake(self, number: int) -> None:
        engine = self._engines[number]
        if not engine.is_idle:
            return
        seconds = engine.begin_pass()
        if seconds is not None:
            started = engine.incarnation
            self._at(self._now + seconds, lambda: self._end_pass(number, started))

    def _end_pass(self, number: int, incarnation: int) -> None:
        engine = self._engines[number]
        if engine.incarnation != incarnation:
            return
        ended = engine.end_pass()
        for job in ended.read:
            self._note_read(job, number)
        for job in ended.written:
            self._note_event(job)
            if not engine.is_decoding(job):
                self._finish(job)
        self._wake(number)

    def _note_read(self, number: int, engine: int) -> None:
        job = self._jobs[number]
        if job.is_over:
            return
        job.unread.discard(engine)
        if not job.unread:
            arrival = job.result.arrival
            events_left = arrival.events
            if engine == job.engines[0]:
                # The pass that ends the reading brings the first token, too.
                events_left -= 1
                self._note_event(number)
            first = self._engines[job.engines[0]]
            first.write(Writing(number, arrival.prompt, events_left))
            self._wake(job.engines[0])

    def _note_event(self, number: int) -> None:
        job = self._jobs[number]
        if job.is_over:
            return
        result = job.result
        seen = self._now + SEND_TIME - result.arrival.at
        if not job.is_decoding:
            job.is_decoding = True
            self._tell(job, is_ended=False)
        if result.first_event is None:
            result.first_event = seen
        else:
            result.longest_gap = max(result.longest_gap, seen - result.last_event)
        result.last_event = seen

    def _finish(self, number: int) -> None:
        job = self._jobs[number]
        job.is_over = True
        job.result.is_whole = True
        self._tell(job, is_ended=True)

    def _lose(self, count: int, back_after: float) -> None:
        alive = [n for n in range(len(self._engines)) if n not in self._down]
        for number in self._chance.sample(alive, min(count, len(alive))):
            self._down.add(number)
            lost = self._engines[number].crash()
            for job in lost:
                self._break(job)
            back = self._now + back_after
            self._at(back, lambda n=number: self._down.discard(n))  # type: ignore[misc]

    def _break(self, number: int) -> None:
        """A request lost an engine: its front places it anew, once it noticed."""
        job = self._jobs[number]
        if job.is_over:
            return
        self._end(number)
        result = job.result
        self._at(self._now + LOSS_NOTICED, lambda: self._ask(result))
