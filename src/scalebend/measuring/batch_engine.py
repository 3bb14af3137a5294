"""An engine that works in passes, in virtual time.

A pass reads what waits, up to a number of tokens, and plays a fixed number of steps for
whoever writes; their events come at its end. A part of a prompt that is read together
with others goes ahead of ordinary reading, the newest first.
"""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.engine_costs import compute_batch_step_time
from scalebend.measuring.placement_scenario import Engines


class PrefillWork(msgspec.Struct):
    """A prompt, or a part of one, that an engine reads."""

    job: int
    seconds: float
    tokens: int
    is_grouped: bool


class DecodeWork(msgspec.Struct):
    """An answer that an engine writes."""

    job: int
    context: int
    events_left: int


class BatchStepResult(msgspec.Struct, frozen=True):
    """What a pass brought: prompts read, and events written, by job."""

    prefilled: list[int]
    decoded: list[int]


class BatchEngine:
    """One engine."""

    def __init__(self, engines: Engines) -> None:
        self._profile = engines.build_profile()
        self._slots = engines.slots
        self._max_prefill_tokens = engines.chunk_tokens * engines.steps_per_pass
        self._grouped: list[PrefillWork] = []
        self._ordinary: list[PrefillWork] = []
        self._queued: list[PrefillWork] = []
        self._decoding: dict[int, DecodeWork] = {}
        self._current_step: list[PrefillWork] | None = None
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

    def add_prefill(self, prefill: PrefillWork, *, is_lead: bool) -> None:
        """A prompt or part arrived."""
        if is_lead and len(self._lead_jobs) >= self._slots:
            self._queued.append(prefill)
            return
        if is_lead:
            self._lead_jobs.add(prefill.job)
        (self._grouped if prefill.is_grouped else self._ordinary).append(prefill)

    def start_decoding(self, decode: DecodeWork) -> None:
        """The whole prompt was read: answer from the next pass on."""
        self._decoding[decode.job] = decode

    def is_decoding(self, job: int) -> bool:
        """Whether more events of a request are to come."""
        return job in self._decoding

    def cancel(self, job: int) -> None:
        """A request was cancelled."""
        for queue in (self._grouped, self._ordinary, self._queued):
            queue[:] = [prefill for prefill in queue if prefill.job != job]
        self._decoding.pop(job, None)
        self._release_slot(job)

    def crash(self) -> set[int]:
        """Everything here is lost; return the jobs that had a part of it."""
        prefills = (*self._grouped, *self._ordinary, *self._queued)
        lost = {prefill.job for prefill in prefills} | set(self._decoding)
        if self._current_step is not None:
            lost |= {prefill.job for prefill in self._current_step}
        self._grouped, self._ordinary, self._queued = [], [], []
        self._decoding, self._lead_jobs, self._current_step = {}, set(), None
        self.incarnation += 1
        return lost

    def begin_batch_step(self) -> float | None:
        """Seconds that the next pass takes; ``None`` when there is nothing to do."""
        chosen = self._take_prefills()
        if not chosen and not self._decoding:
            return None
        self._current_step = chosen
        contexts = [decode.context for decode in self._decoding.values()]
        steps = compute_batch_step_time(self._profile, contexts)
        return steps + sum(prefill.seconds for prefill in chosen)

    def _take_prefills(self) -> list[PrefillWork]:
        """Take from the queues what one pass reads; a rest stays there."""
        left = self._max_prefill_tokens
        chosen = []
        while left > 0 and (self._grouped or self._ordinary):
            queue, position = (
                (self._grouped, -1) if self._grouped else (self._ordinary, 0)
            )
            prefill = queue.pop(position)
            if prefill.tokens <= left:
                left -= prefill.tokens
                chosen.append(prefill)
                continue
            part = left / prefill.tokens
            seconds = prefill.seconds * part
            rest = PrefillWork(
                prefill.job,
                prefill.seconds - seconds,
                prefill.tokens - left,
                prefill.is_grouped,
            )
            queue.insert(len(queue) if queue is self._grouped else 0, rest)
            chosen.append(PrefillWork(prefill.job, seconds, left, prefill.is_grouped))
            left = 0
        return chosen

    def end_batch_step(self) -> BatchStepResult:
        """The pass is over."""
        assert self._current_step is not None
        unfinished = {one.job for one in (*self._grouped, *self._ordinary)}
        prefilled = [one.job for one in self._current_step if one.job not in unfinished]
        self._current_step = None
        decoded = []
        for decode in list(self._decoding.values()):
            decode.events_left -= 1
            decoded.append(decode.job)
            if decode.events_left <= 0:
                del self._decoding[decode.job]
                self._release_slot(decode.job)
        return BatchStepResult(prefilled, decoded)

    def _release_slot(self, job: int) -> None:
        self._lead_jobs.discard(job)
        while self._queued and len(self._lead_jobs) < self._slots:
            prefill = self._queued.pop(0)
            self._lead_jobs.add(prefill.job)
            (self._grouped if prefill.is_grouped else self._ordinary).append(prefill)
