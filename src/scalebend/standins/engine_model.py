"""Model of an engine with continuous batching, in virtual or real time, without I/O.

Each batch step generates one token for every decoding sequence and prefills one chunk
of the prompt with the highest priority. Identical steps between two changes of the
batch are simulated together. docs/measuring.md lists the assumptions.
"""

from __future__ import annotations

import heapq
import math
from collections import OrderedDict

import msgspec

from scalebend.models.ids import AttemptId
from scalebend.models.upstream import CacheEvent
from scalebend.utils.division import divide_up

PREFILL_ONLY_OVERHEAD_S = 0.002
"""Fixed duration of a step without decoding sequences, in addition to its prefill."""

SEQUENCE_OVERHEAD_S = 0.0001
"""Duration that each decoding sequence adds to a step."""


class EngineParameters(msgspec.Struct, frozen=True):
    """Capacity of an engine; rates in tokens per second, memory in tokens.

    ``step_time`` is the duration in seconds of a batch step without its prefill;
    ``chunk_tokens`` and ``idle_chunk_tokens`` are the sizes of a prefill chunk with and
    without decoding sequences; ``transfer_rate`` is that of a KV cache import.
    """

    memory_tokens: int = 400_000
    concurrency: int = 64
    prefill_rate: float = 20_000.0
    step_time: float = 0.02
    chunk_tokens: int = 480
    idle_chunk_tokens: int = 1_024
    transfer_rate: float = 250_000.0


class Sequence(msgspec.Struct):
    """One attempt on the engine.

    ``last_step`` is the number of the batch step that generates the last token.
    """

    attempt: AttemptId
    memory_tokens: int
    output_tokens: int
    priority: int
    cached_tokens: int = 0
    prefill_left: int = 0
    group_size: int = 1
    prefixes: tuple[tuple[int, int], ...] = ()
    first_token: float | None = None
    last_step: int = 0
    is_prefill_only: bool = False
    is_decoding: bool = False


class FirstToken(msgspec.Struct, frozen=True):
    """Event: the prefill ended and the first token was generated."""

    attempt: AttemptId
    at: float


class Finished(msgspec.Struct, frozen=True):
    """Event: the last token was generated."""

    attempt: AttemptId
    at: float
    output_tokens: int


EngineEvent = FirstToken | Finished


class _Span(msgspec.Struct):
    """Identical batch steps in progress; ``step`` is the duration of one."""

    start: float
    step: float
    steps: int
    prefilling: AttemptId | None
    chunk: int


class EngineModel:
    """Batch, KV cache memory and prefix cache of one engine."""

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.used_tokens = 0
        self.memory_rejections = 0
        self._sequences: dict[AttemptId, Sequence] = {}
        self._tombstones: OrderedDict[AttemptId, None] = OrderedDict()
        self._prefill_queue: list[tuple[int, int, AttemptId]] = []
        self._decoding_queue: list[tuple[int, AttemptId]] = []
        self._decoding_count = 0
        self._step_count = 0
        self._submit_count = 0
        self._span: _Span | None = None
        self._prefix_cache: OrderedDict[int, int] = OrderedDict()
        self._prefix_cache_tokens = 0
        self._cache_events: list[CacheEvent] = []
        self._event_sequence = 0

    def __len__(self) -> int:
        return len(self._sequences)

    def list_running(self) -> list[AttemptId]:
        """Return the attempts that have memory reserved."""
        return list(self._sequences)

    def count_cached(self, prefixes: tuple[tuple[int, int], ...]) -> int:
        """Return the tokens of the longest cached prefix; pairs are (hash, tokens)."""
        for prefix, tokens in reversed(prefixes):
            if prefix in self._prefix_cache:
                self._prefix_cache.move_to_end(prefix)
                return tokens
        return 0

    def submit(
        self,
        attempt: AttemptId,
        *,
        prompt_tokens: int,
        output_tokens: int,
        priority: int,
        now: float,
        prefixes: tuple[tuple[int, int], ...] = (),
        group_size: int = 1,
        is_prefill_only: bool = False,
    ) -> Sequence | None:
        """Start an attempt; return ``None`` if it was cancelled or does not fit.

        ``group_size`` is the number of engines in the prefill group. With
        ``is_prefill_only`` the KV cache is kept for export after the first token, until
        the attempt is cancelled.
        """
        generated = 1 if is_prefill_only else output_tokens
        memory = divide_up(prompt_tokens + generated, group_size)
        if not self.reserve_memory(attempt, memory):
            return None
        cached = min(self.count_cached(prefixes), prompt_tokens - 1)
        sequence = self._sequences[attempt]
        sequence.output_tokens = max(1, output_tokens)
        sequence.priority = priority
        sequence.cached_tokens = cached
        sequence.prefill_left = max(1, divide_up(prompt_tokens - cached, group_size))
        sequence.prefixes = prefixes
        sequence.is_prefill_only = is_prefill_only
        self._truncate_span(now)
        self._submit_count += 1
        heapq.heappush(self._prefill_queue, (-priority, self._submit_count, attempt))
        return sequence

    def begin_import(
        self, attempt: AttemptId, *, prompt_tokens: int, output_tokens: int
    ) -> float | None:
        """Reserve memory for a KV cache import; return its duration in seconds.

        Returns ``None`` if the attempt was cancelled or does not fit.
        """
        if not self.reserve_memory(attempt, prompt_tokens + output_tokens):
            return None
        self._sequences[attempt].output_tokens = output_tokens
        return prompt_tokens / self.parameters.transfer_rate

    def finish_import(self, attempt: AttemptId, now: float) -> bool:
        """Start decoding at the second token; false if the attempt was cancelled."""
        sequence = self._sequences.get(attempt)
        if sequence is None:
            return False
        self._truncate_span(now)
        sequence.first_token = now
        self._begin_decoding(sequence)
        return True

    def reserve_memory(self, attempt: AttemptId, memory_tokens: int) -> bool:
        """Reserve memory for an attempt of this engine or as a prefill helper."""
        if attempt in self._tombstones or attempt in self._sequences:
            return False
        if self.used_tokens + memory_tokens > self.parameters.memory_tokens:
            self.memory_rejections += 1
            return False
        self._sequences[attempt] = Sequence(attempt, memory_tokens, 1, 0)
        self.used_tokens += memory_tokens
        self._evict_prefixes()
        return True

    def cancel(self, attempt: AttemptId, now: float) -> None:
        """Stop an attempt, or reject it if it arrives later."""
        self._tombstones[attempt] = None
        while len(self._tombstones) > 10_000:
            self._tombstones.popitem(last=False)
        if attempt in self._sequences:
            self._truncate_span(now)
            self._remove(attempt)

    def plan(self, now: float, max_steps: int | None = None) -> float | None:
        """Begin the next steps if none are in progress; return when they end."""
        if self._span is None:
            self._span = self._build_span(now, max_steps)
        if self._span is None:
            return None
        return self._span.start + self._span.step * self._span.steps

    def complete(self, now: float) -> list[EngineEvent]:
        """Finish the steps in progress if they have ended; return their events."""
        span = self._span
        if span is None or now < span.start + span.step * span.steps - 1e-9:
            return []
        self._span = None
        return self._apply_steps(span, span.steps)

    def pop_cache_events(self) -> list[CacheEvent]:
        """Return the cache events since the last call."""
        events = self._cache_events
        self._cache_events = []
        return events

    def count_generated(self, attempt: AttemptId) -> int:
        """Return the number of tokens generated so far for a running attempt."""
        sequence = self._sequences.get(attempt)
        if sequence is None or sequence.first_token is None:
            return 0
        if not sequence.is_decoding:
            return 1
        return sequence.output_tokens - (sequence.last_step - self._step_count)

    def _build_span(self, now: float, max_steps: int | None) -> _Span | None:
        prefilling = self._find_prefilling()
        decoding = self._decoding_count
        if prefilling is None and not decoding:
            return None
        parameters = self.parameters
        chunk = 0
        steps = max_steps or 1_000_000
        if prefilling is not None:
            left = self._sequences[prefilling].prefill_left
            size = parameters.chunk_tokens if decoding else parameters.idle_chunk_tokens
            chunk = min(size, left)
            steps = min(steps, max(1, left // chunk))
        base = PREFILL_ONLY_OVERHEAD_S
        if decoding:
            self._drop_removed()
            base = parameters.step_time + SEQUENCE_OVERHEAD_S * decoding
            steps = min(steps, self._decoding_queue[0][0] - self._step_count)
        step = base + chunk / parameters.prefill_rate
        return _Span(now, step, steps, prefilling, chunk)

    def _find_prefilling(self) -> AttemptId | None:
        while self._prefill_queue:
            attempt = self._prefill_queue[0][2]
            sequence = self._sequences.get(attempt)
            if sequence is not None and sequence.prefill_left > 0:
                return attempt
            heapq.heappop(self._prefill_queue)
        return None

    def _drop_removed(self) -> None:
        while (
            self._decoding_queue and self._decoding_queue[0][1] not in self._sequences
        ):
            heapq.heappop(self._decoding_queue)

    def _truncate_span(self, now: float) -> None:
        """Shorten the steps in progress to end with the current one."""
        span = self._span
        if span is None:
            return
        done = math.ceil((now - span.start) / span.step - 1e-9)
        span.steps = min(span.steps, max(1, done))

    def _apply_steps(self, span: _Span, steps: int) -> list[EngineEvent]:
        events: list[EngineEvent] = []
        end = span.start + span.step * steps
        self._step_count += steps
        self._drop_removed()
        while self._decoding_queue and self._decoding_queue[0][0] <= self._step_count:
            attempt = heapq.heappop(self._decoding_queue)[1]
            sequence = self._sequences[attempt]
            events.append(Finished(attempt, end, sequence.output_tokens))
            self._remove(attempt)
            self._drop_removed()
        if span.prefilling in self._sequences:
            events += self._advance_prefill(span, steps, end)
        return events

    def _advance_prefill(
        self, span: _Span, steps: int, end: float
    ) -> list[EngineEvent]:
        assert span.prefilling is not None
        sequence = self._sequences[span.prefilling]
        sequence.prefill_left -= span.chunk * steps
        if sequence.prefill_left > 0:
            return []
        sequence.first_token = end
        self._cache_prefixes(sequence)
        attempt = sequence.attempt
        events: list[EngineEvent] = [FirstToken(attempt, end)]
        if sequence.is_prefill_only and sequence.output_tokens > 1:
            return events
        if sequence.output_tokens <= 1:
            events.append(Finished(attempt, end, 1))
            self._remove(attempt)
            return events
        self._begin_decoding(sequence)
        return events

    def _begin_decoding(self, sequence: Sequence) -> None:
        # A sequence joins the batch at the end of the steps in progress.
        running = self._span.steps if self._span is not None else 0
        count = self._step_count + running
        sequence.last_step = count + sequence.output_tokens - 1
        sequence.is_decoding = True
        heapq.heappush(self._decoding_queue, (sequence.last_step, sequence.attempt))
        self._decoding_count += 1

    def _remove(self, attempt: AttemptId) -> None:
        sequence = self._sequences.pop(attempt)
        self.used_tokens -= sequence.memory_tokens
        if sequence.is_decoding:
            self._decoding_count -= 1

    def _cache_prefixes(self, sequence: Sequence) -> None:
        stored = []
        shorter_tokens = 0
        sizes = []
        for prefix, tokens in sequence.prefixes:
            sizes.append((prefix, tokens - shorter_tokens))
            shorter_tokens = tokens
        # The longest is marked as used first, so that it is evicted first: a cached
        # prefix is of no use without the shorter ones.
        for prefix, size in reversed(sizes):
            if prefix not in self._prefix_cache:
                stored.append(prefix)
                self._prefix_cache_tokens += size
                self._prefix_cache[prefix] = size
            self._prefix_cache.move_to_end(prefix)
        if stored:
            self._add_cache_event(stored, [])
        self._evict_prefixes()

    def _evict_prefixes(self) -> None:
        # The prefix cache uses the memory that is not reserved.
        available_tokens = self.parameters.memory_tokens - self.used_tokens
        evicted = []
        while self._prefix_cache and self._prefix_cache_tokens > available_tokens:
            prefix, size = self._prefix_cache.popitem(last=False)
            self._prefix_cache_tokens -= size
            evicted.append(prefix)
        if evicted:
            self._add_cache_event([], evicted)

    def _add_cache_event(self, stored: list[int], evicted: list[int]) -> None:
        self._event_sequence += 1
        self._cache_events.append(CacheEvent(self._event_sequence, stored, evicted))
