"""Division of a model's engines into a prefill lane and a decode lane.

All instances sort a model's engines by the same hash and assign the first ones to
prefill. The size of the prefill lane follows the load that the instance observes.
Engines that announce a single role keep it.
"""

from __future__ import annotations

import math

import msgspec
import xxhash

from scalebend.core.routing import Candidate
from scalebend.core.shares import decay
from scalebend.models.ids import ModelName
from scalebend.models.upstream import EngineRole
from scalebend.models.work import ReplicaView, Request

MIN_ENGINES_TO_SPLIT = 4
"""With fewer engines of a model, each does both prefill and decode."""

MIN_LONG_PROMPT_ENGINES = 3
"""Prefill engines that always accept long prompts, even if there are few."""

LONG_PROMPT_HEADROOM = 1.25
"""Engines available to long prompts, relative to their share of prefill work."""

PLANNED_BATCH_ATTEMPTS = 24
"""Planned batch size, in attempts, of an engine in the decode lane."""

PLANNED_MEMORY_SHARE = 0.7
"""Planned share of the decode lane's KV cache memory in use."""

INITIAL_PREFILL_SHARE = 0.5
"""Share of engines that prefill before any request was recorded."""


class Lanes(msgspec.Struct, frozen=True):
    """A model's candidates by lane.

    Without a split, engines that announce both roles are in both lanes.
    ``max_memory_tokens`` is the largest KV cache memory of a decode engine in tokens; 0
    without a split.
    """

    prefill: list[Candidate]
    decode: list[Candidate]
    is_split: bool
    max_memory_tokens: int = 0

    def list_for_long_prompts(self, long_share: float) -> list[Candidate]:
        """Return the prefill engines open to long prompts, by their share of the work.

        The memory of the other engines stays available to shorter prompts.
        """
        wanted = math.ceil(long_share * LONG_PROMPT_HEADROOM * len(self.prefill))
        return self.prefill[-max(MIN_LONG_PROMPT_ENGINES, wanted) :]


class _ModelLoad(msgspec.Struct):
    """Decaying sums of a model's recent work, in engine-seconds."""

    updated_at: float
    prefill: float = 0.0
    long_prefill: float = 0.0
    decode: float = 0.0


class LaneShares:
    """Shares of prefill and of long prompts in each model's recent work."""

    def __init__(self) -> None:
        self._loads: dict[ModelName, _ModelLoad] = {}

    def record_request(
        self,
        model: ModelName,
        prefill: float,
        decode: float,
        now: float,
        *,
        is_long: bool,
    ) -> None:
        """Record the prefill and decode work of a request, in engine-seconds."""
        load = self._loads.setdefault(model, _ModelLoad(now))
        elapsed = now - load.updated_at
        load.updated_at = now
        load.prefill = decay(load.prefill, elapsed) + prefill
        load.decode = decay(load.decode, elapsed) + decode
        load.long_prefill = decay(load.long_prefill, elapsed)
        load.long_prefill += prefill if is_long else 0.0

    def compute_prefill_share(self, model: ModelName) -> float:
        """Return the share of the model's engines that should prefill."""
        load = self._loads.get(model)
        if load is None or load.prefill + load.decode <= 0.0:
            return INITIAL_PREFILL_SHARE
        return load.prefill / (load.prefill + load.decode)

    def compute_long_prompt_share(self, model: ModelName) -> float:
        """Return the share of long prompts in the model's prefill work."""
        load = self._loads.get(model)
        if load is None or load.prefill <= 0.0:
            return 0.0
        return load.long_prefill / load.prefill


def compute_decode_seconds(request: Request, view: ReplicaView) -> float:
    """Return engine-seconds of decoding: share of a batch or, if larger, of memory."""
    duration = request.output_tokens * view.step_time
    batch_share = 1.0 / PLANNED_BATCH_ATTEMPTS
    memory_share = request.memory_tokens / (view.memory_tokens * PLANNED_MEMORY_SHARE)
    return duration * max(batch_share, memory_share)


def split_lanes(candidates: list[Candidate], prefill_share: float) -> Lanes:
    """Divide a model's engines into lanes by the share of prefill in the load."""
    both = [c for c in candidates if c.role is EngineRole.BOTH]
    prefill = [c for c in candidates if c.role is EngineRole.PREFILL]
    decode = [c for c in candidates if c.role is EngineRole.DECODE]
    if len(candidates) < MIN_ENGINES_TO_SPLIT:
        return Lanes(both + prefill, both + decode, False)
    wanted = round(prefill_share * len(candidates)) - len(prefill)
    min_count = 0 if prefill else 1
    max_count = len(both) if decode else len(both) - 1
    count = max(min_count, min(max_count, wanted))
    ordered = sorted(both, key=_hash_upstream)
    decode += ordered[count:]
    max_memory_tokens = max((c.view.memory_tokens for c in decode), default=0)
    return Lanes(prefill + ordered[:count], decode, True, max_memory_tokens)


def _hash_upstream(candidate: Candidate) -> int:
    return xxhash.xxh3_64_intdigest(candidate.view.upstream.encode())
