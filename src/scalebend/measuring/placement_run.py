"""Runs a placement scenario in simulated time and records what callers get.

The scheduler of the gateway places requests: one leader for all, one for each cell of
the fleet, or each front uncoordinated. It is compared with two simple placements and
with the upper bound, in which each request has an idle fleet to itself.
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
    REPLAN_INTERVAL_S,
    age_placement,
    age_work,
)
from scalebend.measuring.batch_engine import BatchEngine, DecodeWork, PrefillWork
from scalebend.measuring.placement_baselines import place_baseline, serve_on_idle_fleet
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

LEADER_ROUND_TRIP_S = 0.003
"""Time from a placement request of a front to the reply, without queueing."""

REPORT_DELAY_S = 0.002
"""Time until the leader receives a report of a front."""

HOP_TIME_S = 0.002
"""Time from a caller to its front, or from a front to an engine, or back."""

HEARTBEAT_INTERVAL_S = 0.5
"""Interval between two heartbeats of the leader to the fronts."""

EXPIRE_INTERVAL_S = 0.5
"""Interval between two searches for jobs whose end was not reported."""

CRASH_DETECTION_S = 0.2
"""Time until a front retries a request whose engine crashed."""


class _Job(msgspec.Struct):
    result: Result
    work: EngineWork
    placement: Placement
    engines: list[int]
    cell: Cell | None
    """Cell whose leader placed the job; ``None`` if its front placed it."""

    placed_at: float
    prefilling: set[int]
    is_decoding: bool = False
    has_ended: bool = False


class PlacementRun:
    """One run of a scenario with one decider and one seed."""

    def __init__(
        self, scenario: PlacementScenario, decider: Decider, seed: int
    ) -> None:
        self._scenario = scenario
        self._decider = decider
        self._rng = random.Random(seed + 1)
        self._profile = scenario.engines.build_profile()
        self._engines = [
            BatchEngine(scenario.engines) for _ in range(scenario.engines.count)
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
        self._readiness = [self._rng.random() for _ in range(scenario.fronts)]
        self.choices = 0
        self.uncoordinated_choices = 0
        """Placements that fronts made without the leader."""

        self.results: list[Result] = []
        for arrival in plan_arrivals(scenario, seed):
            result = Result(arrival)
            self.results.append(result)
            self._call_at(arrival.at + HOP_TIME_S, lambda r=result: self._arrive(r))  # type: ignore[misc]
        for loss in scenario.engine_losses:
            self._call_at(
                loss.at,
                lambda one=loss: self._crash_engines(one.count, one.back_after),  # type: ignore[misc]
            )
        for loss_of_leaders in scenario.leader_losses:
            self._call_at(
                loss_of_leaders.at + loss_of_leaders.length,
                lambda one=loss_of_leaders: self._replace_leaders(
                    self._cells[: one.cells]
                ),  # type: ignore[misc]
            )
        for cut in scenario.front_partitions:
            self._call_at(cut.at, lambda one=cut: self._forget_front_jobs(one.count))  # type: ignore[misc]
            self._call_at(
                cut.at + cut.length, lambda: self._replace_leaders(self._cells)
            )
        for restart in scenario.restarts:
            self._call_at(restart.at, self._restart)
        self._call_at(HEARTBEAT_INTERVAL_S, self._send_heartbeats)
        self._call_at(EXPIRE_INTERVAL_S, self._expire)

    def run(self) -> list[Result]:
        """Run the whole scenario and return the result of each request."""
        if self._decider is Decider.IDLE_FLEET:
            for result in self.results:
                serve_on_idle_fleet(
                    result, self._profile, len(self._engines), HOP_TIME_S
                )
            return self.results
        while self._events:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return self.results

    def _call_at(self, when: float, action: Callable[[], None]) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (when, self._event_count, action))

    def _expire(self) -> None:
        for cell in self._cells:
            cell.scheduler.expire(self._now)
        for front in self._fronts:
            front.expire(self._now)
        if self._now < self._scenario.length + 30.0:
            self._call_at(self._now + EXPIRE_INTERVAL_S, self._expire)

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
                self._call_at(ready_at, lambda: self._arrive(result))
                return
        if arrival.disconnects_after is not None:
            disconnect_at = arrival.at + arrival.disconnects_after
            self._call_at(
                max(disconnect_at, self._now), lambda: self._disconnect_caller(result)
            )
        self._request_placement(result)

    def _request_placement(self, result: Result) -> None:
        """Ask the leader; place uncoordinated if it does not reply in time."""
        front = result.arrival.front
        cell = choose_cell(
            self._cells, lambda one: self._has_no_leader(one, front), self._rng
        )
        if cell is None:
            self._call_at(
                self._now + LEADER_ROUND_TRIP_S, lambda: self._place(result, None)
            )
            return
        decision = cell.queue.place(front, LEADER_ROUND_TRIP_S, self._now)
        leading_cell = cell if decision.is_coordinated else None
        self._call_at(decision.at, lambda: self._place(result, leading_cell))

    def _place(self, result: Result, cell: Cell | None) -> None:
        arrival = result.arrival
        remaining = arrival.at + arrival.kind.deadline - self._now
        if result.has_disconnected or remaining <= 0.0:
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
        if cell is not None and self._has_no_leader(cell, arrival.front):
            cell = None
        placed = self._decide(work, arrival.front, cell)
        if isinstance(placed, Declined):
            self._reject(result, placed.retry_after, remaining)
            return
        engines = [self._numbers[upstream] for upstream in placed.upstreams]
        job = _Job(result, work, placed, engines, cell, self._now, set(engines))
        self._jobs[number] = job
        self._report_open_job(job)
        self._call_at(self._now + remaining, lambda: self._end_at_deadline(number))
        self._await_start(number)

    def _await_start(self, number: int) -> None:
        """Send at the planned start; replan at intervals while it is later."""
        start_in = self._jobs[number].placement.start_in
        if start_in > REPLAN_INTERVAL_S:
            self._call_at(self._now + REPLAN_INTERVAL_S, lambda: self._replan(number))
        else:
            self._call_at(self._now + start_in + HOP_TIME_S, lambda: self._send(number))

    def _replan(self, number: int) -> None:
        job = self._jobs[number]
        if job.has_ended:
            return
        job.work = age_work(job.work, REPLAN_INTERVAL_S)
        cell = job.cell
        if cell is None or self._has_no_leader(cell, job.result.arrival.front):
            job.placement = age_placement(job.placement, REPLAN_INTERVAL_S)
            self._await_start(number)
            return
        placed = self._decide(job.work, job.result.arrival.front, cell)
        if isinstance(placed, Declined):
            job.has_ended = True
            job.result.wasted_wait_s += self._now - job.placed_at
            self._report_stage(job, is_ended=True)
            self._reject(job.result, placed.retry_after, job.work.remaining)
            return
        job.placement = placed
        job.engines = [self._numbers[upstream] for upstream in placed.upstreams]
        job.prefilling = set(job.engines)
        self._report_open_job(job)
        self._await_start(number)

    def _decide(
        self, work: EngineWork, front: int, cell: Cell | None
    ) -> Placement | Declined:
        endpoints = self._endpoints if cell is None else cell.endpoints
        available = [
            e for e in endpoints if self._numbers[e.upstream] not in self._down
        ]
        match self._decider:
            case Decider.RANDOM:
                return place_baseline(work, self._rng.choice(available), available)
            case Decider.FEWEST_OPEN:
                return place_baseline(
                    work, min(available, key=self._count_open), available
                )
        scheduler = self._fronts[front] if cell is None else cell.scheduler
        self.choices += 1
        self.uncoordinated_choices += cell is None
        return scheduler.place(work, available, self._profile, self._now)

    def _report_open_job(self, job: _Job) -> None:
        """Report an open job to its front and to the leaders of its engines."""
        opened = OpenJob(job.work, job.placement, is_decoding=False)
        front = self._fronts[job.result.arrival.front]
        front.forget(job.work.job)
        front.adopt(opened, self._profile, self._now)
        for cell in self._find_reachable_cells(job):
            # The leader processes requests that arrived earlier first.
            reported_at = max(self._now, cell.queue.free_at)
            self._call_at(
                reported_at,
                lambda c=cell: self._adopt_open_job(c, job, opened),  # type: ignore[misc]
            )

    def _adopt_open_job(self, cell: Cell, job: _Job, opened: OpenJob) -> None:
        if not job.has_ended and job.placement == opened.placement:
            cell.scheduler.adopt(opened, self._profile, self._now)

    def _find_reachable_cells(self, job: _Job) -> list[Cell]:
        """Return the cells of a job's engines whose leader its front reaches."""
        numbers = {engine % len(self._cells) for engine in job.engines}
        front = job.result.arrival.front
        return [
            cell
            for cell in self._cells
            if cell.number in numbers and not self._has_no_leader(cell, front)
        ]

    def _count_open(self, endpoint: Endpoint) -> tuple[int, float]:
        number = self._numbers[endpoint.upstream]
        return self._engines[number].open_jobs, self._rng.random()

    def _has_no_leader(self, cell: Cell, front: int) -> bool:
        """Whether a front can reach no leader of a cell now."""
        scenario = self._scenario
        return (
            self._decider is Decider.UNCOORDINATED
            or any(
                self._is_within(one.at, one.length)
                and (one.cells is None or cell.number < one.cells)
                for one in scenario.leader_losses
            )
            or any(
                front < one.count and self._is_within(one.at, one.length)
                for one in scenario.front_partitions
            )
        )

    def _is_within(self, at: float, length: float) -> bool:
        return at <= self._now < at + length

    def _replace_leaders(self, cells: list[Cell]) -> None:
        """Start new leaders, to which reachable fronts report their open jobs."""
        for cell in cells:
            cell.scheduler = EngineScheduler()
        for job in self._jobs.values():
            if job.has_ended:
                continue
            opened = OpenJob(
                job.work, job.placement, job.is_decoding, self._now - job.placed_at
            )
            for cell in self._find_reachable_cells(job):
                cell.scheduler.adopt(opened, self._profile, self._now)

    def _restart(self) -> None:
        """Restart all processes; they lose their state and all open requests."""
        for number, job in self._jobs.items():
            if not job.has_ended:
                self._end_job(number)
        for cell in self._cells:
            cell.scheduler = EngineScheduler()
        self._fronts = [
            EngineScheduler(f"front-{n}", UNCOORDINATED_MAX_PART_S)
            for n in range(self._scenario.fronts)
        ]

    def _forget_front_jobs(self, count: int) -> None:
        """Make leaders forget the jobs of fronts whose links were lost."""
        for number in range(count):
            front = InstanceId(f"front-{number}")
            for cell in self._cells:
                cell.scheduler.forget_front(partial(is_job_of, front))

    def _send_heartbeats(self) -> None:
        """Report the load of busy replicas from the leaders to the fronts."""
        for cell in self._cells:
            cell.publish_load()
        for number, front in enumerate(self._fronts):
            reachable = [
                one for one in self._cells if not self._has_no_leader(one, number)
            ]
            busy = [
                replica
                for cell in reachable
                for replica in cell.scheduler.list_busy(self._now, len(self._engines))
            ]
            if reachable:
                front.record_busy_replicas(busy, self._now)
        if self._now < self._scenario.length:
            self._call_at(self._now + HEARTBEAT_INTERVAL_S, self._send_heartbeats)

    def _reject(self, result: Result, retry_after: float, remaining: float) -> None:
        result.rejections += 1
        if result.rejections > self._scenario.retries:
            return
        delay = min(retry_after, remaining / 3.0) + 2 * HOP_TIME_S
        self._call_at(self._now + delay, lambda: self._arrive(result))

    def _send(self, number: int) -> None:
        job = self._jobs[number]
        if job.has_ended:
            return
        if set(job.engines) & self._down:
            self._place_again(number)
            return
        arrival = job.result.arrival
        width = len(job.engines)
        seconds = compute_prefill_time(self._profile, arrival.prompt) / width
        for engine in job.engines:
            tokens = arrival.prompt // width
            prefill = PrefillWork(number, seconds, tokens, is_grouped=width > 1)
            self._engines[engine].add_prefill(prefill, is_lead=engine == job.engines[0])
            self._start_batch_step(engine)

    def _end_at_deadline(self, number: int) -> None:
        job = self._jobs[number]
        if not job.has_ended:
            job.result.wasted_wait_s += self._now - job.placed_at
            self._end_job(number)

    def _disconnect_caller(self, result: Result) -> None:
        if result.first_event is not None:
            return
        result.has_disconnected = True
        for number, job in list(self._jobs.items()):
            if job.result is result and not job.has_ended:
                self._end_job(number)

    def _end_job(self, number: int) -> None:
        job = self._jobs[number]
        job.has_ended = True
        for engine in job.engines:
            self._engines[engine].cancel(number)
        self._report_stage(job, is_ended=True)

    def _report_stage(self, job: _Job, *, is_ended: bool) -> None:
        load = self._engines[job.engines[0]].open_jobs
        stage = JobStage(job.work.job, is_ended=is_ended, load=load)
        self._fronts[job.result.arrival.front].record_stage(stage, self._now)
        for cell in self._find_reachable_cells(job):
            self._call_at(
                self._now + REPORT_DELAY_S,
                lambda c=cell: c.scheduler.record_stage(stage, self._now),  # type: ignore[misc]
            )

    # Engines

    def _start_batch_step(self, number: int) -> None:
        engine = self._engines[number]
        if not engine.is_idle:
            return
        seconds = engine.begin_batch_step()
        if seconds is not None:
            started = engine.incarnation
            self._call_at(
                self._now + seconds, lambda: self._end_batch_step(number, started)
            )

    def _end_batch_step(self, number: int, incarnation: int) -> None:
        engine = self._engines[number]
        if engine.incarnation != incarnation:
            return
        ended = engine.end_batch_step()
        for job in ended.prefilled:
            self._record_prefill(job, number)
        for job in ended.decoded:
            self._record_event(job)
            if not engine.is_decoding(job):
                self._complete(job)
        self._start_batch_step(number)

    def _record_prefill(self, number: int, engine: int) -> None:
        job = self._jobs[number]
        if job.has_ended:
            return
        job.prefilling.discard(engine)
        if not job.prefilling:
            arrival = job.result.arrival
            events_left = arrival.events
            if engine == job.engines[0]:
                # The batch step that completes the prefill also yields the first token.
                events_left -= 1
                self._record_event(number)
            lead = self._engines[job.engines[0]]
            lead.start_decoding(DecodeWork(number, arrival.prompt, events_left))
            self._start_batch_step(job.engines[0])

    def _record_event(self, number: int) -> None:
        job = self._jobs[number]
        if job.has_ended:
            return
        result = job.result
        seen = self._now + HOP_TIME_S - result.arrival.at
        if not job.is_decoding:
            job.is_decoding = True
            self._report_stage(job, is_ended=False)
        if result.first_event is None:
            result.first_event = seen
        else:
            result.longest_gap = max(result.longest_gap, seen - result.last_event)
        result.last_event = seen

    def _complete(self, number: int) -> None:
        job = self._jobs[number]
        job.has_ended = True
        job.result.is_complete = True
        self._report_stage(job, is_ended=True)

    def _crash_engines(self, count: int, back_after: float) -> None:
        available = [n for n in range(len(self._engines)) if n not in self._down]
        for number in self._rng.sample(available, min(count, len(available))):
            self._down.add(number)
            affected = self._engines[number].crash()
            for job in affected:
                self._place_again(job)
            back = self._now + back_after
            self._call_at(back, lambda n=number: self._down.discard(n))  # type: ignore[misc]

    def _place_again(self, number: int) -> None:
        """Place a request again once its front has detected the engine's crash."""
        job = self._jobs[number]
        if job.has_ended:
            return
        self._end_job(number)
        result = job.result
        self._call_at(
            self._now + CRASH_DETECTION_S, lambda: self._request_placement(result)
        )
