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
        self._most_tokens = engines.chunk_tokens * engines.steps_per_pass
        self._joint: list[Reading] = []
        self._ordinary: list[Reading] = []
        self._waiting: list[Reading] = []
        self._writing: dict[int, Writing] = {}
        self._pass: list[Reading] | None = None
        self._firsts: set[int] = set()
        self.incarnation = 0

    @property
    def open_jobs(self) -> int:
        """Requests that run or wait here as the first engine."""
        return len(self._firsts) + len(self._waiting)

    @property
    def is_idle(self) -> bool:
        """Whether no pass is under way."""
        return self._pass is None

    def add(self, reading: Reading, *, is_first: bool) -> None:
        """A prompt or part arrived."""
        if is_first and len(self._firsts) >= self._slots:
            self._waiting.append(reading)
            return
        if is_first:
            self._firsts.add(reading.job)
        (self._joint if reading.is_joint else self._ordinary).append(reading)

    def write(self, writing: Writing) -> None:
        """The whole prompt was read: answer from the next pass on."""
        self._writing[writing.job] = writing

    def is_decoding(self, job: int) -> bool:
        """Whether more events of a request are to come."""
        return job in self._writing

    def drop(self, job: int) -> None:
        """A request was cancelled."""
        for queue in (self._joint, self._ordinary, self._waiting):
            queue[:] = [reading for reading in queue if reading.job != job]
        self._writing.pop(job, None)
        self._end(job)

    def crash(self) -> set[int]:
        """Everything here is lost; return the jobs that had a part of it."""
        readings = (*self._joint, *self._ordinary, *self._waiting)
        lost = {reading.job for reading in readings} | set(self._writing)
        if self._pass is not None:
            lost |= {reading.job for reading in self._pass}
        self._joint, self._ordinary, self._waiting = [], [], []
        self._writing, self._firsts, self._pass = {}, set(), None
        self.incarnation += 1
        return lost

    def begin_pass(self) -> float | None:
        """Seconds that the next pass takes; ``None`` when there is nothing to do."""
        chosen = self._choose_reading()
        if not chosen and not self._writing:
            return None
        self._pass = chosen
        contexts = [writing.context for writing in self._writing.values()]
        steps = compute_batch_step_time(self._profile, contexts)
        return steps + sum(reading.seconds for reading in chosen)

    def _choose_reading(self) -> list[Reading]:
        """Take from the queues what one pass reads; a rest stays there."""
        left = self._most_tokens
        chosen = []
        while left > 0 and (self._joint or self._ordinary):
            queue, position = (self._joint, -1) if self._joint else (self._ordinary, 0)
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
            queue.insert(len(queue) if queue is self._joint else 0, rest)
            chosen.append(Reading(reading.job, seconds, left, reading.is_joint))
            left = 0
        return chosen

    def end_pass(self) -> PassEnded:
        """The pass is over."""
        assert self._pass is not None
        resting = {one.job for one in (*self._joint, *self._ordinary)}
        read = [one.job for one in self._pass if one.job not in resting]
        self._pass = None
        written = []
        for writing in list(self._writing.values()):
            writing.events_left -= 1
            written.append(writing.job)
            if writing.events_left <= 0:
                del self._writing[writing.job]
                self._end(writing.job)
        return PassEnded(read, written)

    def _end(self, job: int) -> None:
        self._firsts.discard(job)
        while self._waiting and len(self._firsts) < self._slots:
            reading = self._waiting.pop(0)
            self._firsts.add(reading.job)
            (self._joint if reading.is_joint else self._ordinary).append(reading)
