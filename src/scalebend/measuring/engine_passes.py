"""An engine that works in passes, in virtual time.

A pass reads what waits, up to a number of tokens, and plays a fixed number of steps for
whoever writes; their events come at its end. A part of a prompt that is read together
with others goes ahead of ordinary reading, the newest first.
"""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.engine_costs import compute_batch_step_time
from scalebend.measuring.placement_scenario import Engines


class Reading(msgspec.Struct):
    """A prompt, or a part of one, that an engine reads."""

    job: int
    seconds: float
    tokens: int
    is_joint: bool


class Writing(msgspec.Struct):
    """An answer that an engine writes."""

    job: int
    context: int
    events_left: int


class PassEnded(msgspec.Struct, frozen=True):
    """What a pass brought: prompts read, and events written, by job."""

    read: list[int]
    written: list[int]


class PassEngine:
    """One engine."""

    def __init__(self, engines: Engines) -> None:
        self._profile = engines.build_profile()
        self._slots = engines.slots
        self._max_prefill_tokens = engines.chunk_tokens * engines.steps_per_pass
        self._grouped: list[Reading] = []
        self._ordinary: list[Reading] = []
        self._queued: list[Reading] = []
        self._decoding: dict[int, Writing] = {}
        self._current_step: list[Reading] | None = None
        self._lead_jobs: set[int] = set()
        self.incarnation = 0

    @property
    def open_jobs(self) -> int:
        """Requests that run or wait here as the first engine."""
        return len(self._lead_jobs) + len(self._queued)

    @property
    def is_idle(self) -> bool:
        """Whether no pass is under way."""
        return self._current_step is None

    def add(self, reading: Reading, *, is_first: bool) -> None:
        """A prompt or part arrived."""
        if is_first and len(self._lead_jobs) >= self._slots:
            self._queued.append(reading)
            return
        if is_first:
            self._lead_jobs.add(reading.job)
        (self._grouped if reading.is_joint else self._ordinary).append(reading)

    def write(self, writing: Writing) -> None:
        """The whole prompt was read: answer from the next pass on."""
        self._decoding[writing.job] = writing

    def is_writing(self, job: int) -> bool:
        """Whether more events of a request are to come."""
        return job in self._decoding

    def drop(self, job: int) -> None:
        """A request was cancelled."""
        for queue in (self._grouped, self._ordinary, self._queued):
            queue[:] = [reading for reading in queue if reading.job != job]
        self._decoding.pop(job, None)
        self._release_slot(job)

    def crash(self) -> set[int]:
        """Everything here is lost; return the jobs that had a part of it."""
        readings = (*self._grouped, *self._ordinary, *self._queued)
        lost = {reading.job for reading in readings} | set(self._decoding)
        if self._current_step is not None:
            lost |= {reading.job for reading in self._current_step}
        self._grouped, self._ordinary, self._queued = [], [], []
        self._decoding, self._lead_jobs, self._current_step = {}, set(), None
        self.incarnation += 1
        return lost

    def begin_pass(self) -> float | None:
        """Seconds that the next pass takes; ``None`` when there is nothing to do."""
        chosen = self._take_prefills()
        if not chosen and not self._decoding:
            return None
        self._current_step = chosen
        contexts = [writing.context for writing in self._decoding.values()]
        steps = compute_batch_step_time(self._profile, contexts)
        return steps + sum(reading.seconds for reading in chosen)

    def _take_prefills(self) -> list[Reading]:
        """Take from the queues what one pass reads; a rest stays there."""
        left = self._max_prefill_tokens
        chosen = []
        while left > 0 and (self._grouped or self._ordinary):
            queue, position = (
                (self._grouped, -1) if self._grouped else (self._ordinary, 0)
            )
            reading = queue.pop(position)
            if reading.tokens <= left:
                left -= reading.tokens
                chosen.append(reading)
                continue
            part = left / reading.tokens
            seconds = reading.seconds * part
            rest = Reading(
                reading.job,
                reading.seconds - seconds,
                reading.tokens - left,
                reading.is_joint,
            )
            queue.insert(len(queue) if queue is self._grouped else 0, rest)
            chosen.append(Reading(reading.job, seconds, left, reading.is_joint))
            left = 0
        return chosen

    def end_pass(self) -> PassEnded:
        """The pass is over."""
        assert self._current_step is not None
        resting = {one.job for one in (*self._grouped, *self._ordinary)}
        read = [one.job for one in self._current_step if one.job not in resting]
        self._current_step = None
        written = []
        for writing in list(self._decoding.values()):
            writing.events_left -= 1
            written.append(writing.job)
            if writing.events_left <= 0:
                del self._decoding[writing.job]
                self._release_slot(writing.job)
        return PassEnded(read, written)

    def _release_slot(self, job: int) -> None:
        self._lead_jobs.discard(job)
        while self._queued and len(self._lead_jobs) < self._slots:
            reading = self._queued.pop(0)
            self._lead_jobs.add(reading.job)
            (self._grouped if reading.is_joint else self._ordinary).append(reading)
