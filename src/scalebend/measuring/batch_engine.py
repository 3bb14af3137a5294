"""Model of an engine that runs batch steps, in simulated time.

A batch step prefills queued prompts up to a number of tokens and decodes a fixed number
of tokens for each running request, whose events arrive at its end. A part of a prompt
that a prefill group shares takes precedence over whole prompts, the newest first.
"""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.engine_costs import compute_batch_step_time
from scalebend.measuring.placement_scenario import Engines


class PrefillWork(msgspec.Struct):
    """A prompt, or a part of one, that waits for prefill on an engine."""

    job: int
    seconds: float
    tokens: int
    is_grouped: bool


class DecodeWork(msgspec.Struct):
    """A response that an engine decodes."""

    job: int
    context: int
    events_left: int


class BatchStepResult(msgspec.Struct, frozen=True):
    """Jobs whose prefill a batch step completed, and jobs that got an event."""

    prefilled: list[int]
    decoded: list[int]


class BatchEngine:
    """One engine; the caller advances it batch step by batch step."""

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
        """Number of running and queued requests whose lead replica this is."""
        return len(self._lead_jobs) + len(self._queued)

    @property
    def is_idle(self) -> bool:
        """Whether no batch step is running."""
        return self._current_step is None

    def add_prefill(self, prefill: PrefillWork, *, is_lead: bool) -> None:
        """Add a prompt or a part of one; it is queued while all slots are taken."""
        if is_lead and len(self._lead_jobs) >= self._slots:
            self._queued.append(prefill)
            return
        if is_lead:
            self._lead_jobs.add(prefill.job)
        (self._grouped if prefill.is_grouped else self._ordinary).append(prefill)

    def start_decoding(self, decode: DecodeWork) -> None:
        """Decode from the next batch step on; the whole prompt was prefilled."""
        self._decoding[decode.job] = decode

    def is_decoding(self, job: int) -> bool:
        """Whether more events of a request will follow."""
        return job in self._decoding

    def cancel(self, job: int) -> None:
        """Remove the work of a cancelled request."""
        for queue in (self._grouped, self._ordinary, self._queued):
            queue[:] = [prefill for prefill in queue if prefill.job != job]
        self._decoding.pop(job, None)
        self._release_slot(job)

    def crash(self) -> set[int]:
        """Lose all work and return the jobs that had some here."""
        prefills = (*self._grouped, *self._ordinary, *self._queued)
        affected = {prefill.job for prefill in prefills} | set(self._decoding)
        if self._current_step is not None:
            affected |= {prefill.job for prefill in self._current_step}
        self._grouped, self._ordinary, self._queued = [], [], []
        self._decoding, self._lead_jobs, self._current_step = {}, set(), None
        self.incarnation += 1
        return affected

    def begin_batch_step(self) -> float | None:
        """Begin a batch step and return its seconds; ``None`` if there is no work."""
        selected = self._pop_prefills()
        if not selected and not self._decoding:
            return None
        self._current_step = selected
        contexts = [decode.context for decode in self._decoding.values()]
        steps = compute_batch_step_time(self._profile, contexts)
        return steps + sum(prefill.seconds for prefill in selected)

    def _pop_prefills(self) -> list[PrefillWork]:
        """Remove the prefill of one batch step from the queues and return it."""
        tokens_left = self._max_prefill_tokens
        selected = []
        while tokens_left > 0 and (self._grouped or self._ordinary):
            queue, position = (
                (self._grouped, -1) if self._grouped else (self._ordinary, 0)
            )
            prefill = queue.pop(position)
            if prefill.tokens <= tokens_left:
                tokens_left -= prefill.tokens
                selected.append(prefill)
                continue
            share = tokens_left / prefill.tokens
            seconds = prefill.seconds * share
            remainder = PrefillWork(
                prefill.job,
                prefill.seconds - seconds,
                prefill.tokens - tokens_left,
                prefill.is_grouped,
            )
            queue.insert(len(queue) if queue is self._grouped else 0, remainder)
            selected.append(
                PrefillWork(prefill.job, seconds, tokens_left, prefill.is_grouped)
            )
            tokens_left = 0
        return selected

    def end_batch_step(self) -> BatchStepResult:
        """End the running batch step and return what it completed."""
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
