"""Which engines of a model prefill and which decode.

Every instance orders a model's engines the same way and gives the first ones to
prefill. How many follows the load that the instance sees: the border moves.
Engines that announce one role only stay in it.
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

FEWEST_TO_SPLIT = 4
"""Engines of a model below which each does both."""

FEWEST_FOR_LONG = 3
"""Prefill engines open to long prompts, however few those are."""

LONG_ROOM = 1.25
"""Engines given to long prompts, relative to the work that they are."""

TYPICAL_BATCH = 24
"""Decoding attempts that an engine of the decode lane is planned to hold."""

MEMORY_USE = 0.7
"""Part of the decode lane's memory that is planned to be in use."""

START_SHARE = 0.5


class Lanes(msgspec.Struct, frozen=True):
    """A model's candidates by lane; both hold all of them when they are few.

    ``most_memory`` is the largest memory of a decode engine, in tokens.
    """

    prefill: list[Candidate]
    decode: list[Candidate]
    is_split: bool
    most_memory: int = 0

    def list_for_long(self, long_share: float) -> list[Candidate]:
        """Prefill engines that long prompts may use: as many as their work needs.

        Memory of the others stays free for prompts that end soon.
        """
        wanted = math.ceil(long_share * LONG_ROOM * len(self.prefill))
        return self.prefill[-max(FEWEST_FOR_LONG, wanted) :]


class _Work(msgspec.Struct):
    """Decayed engine-seconds of a model's recent requests."""

    at: float
    prefill: float = 0.0
    long_prefill: float = 0.0
    decode: float = 0.0


class LaneBorder:
    """Shares of prefill, and of long prompts in it, in a model's recent work."""

    def __init__(self) -> None:
        self._work: dict[ModelName, _Work] = {}

    def note(
        self,
        model: ModelName,
        prefill: float,
        decode: float,
        now: float,
        *,
        is_long: bool,
    ) -> None:
        """Count a request's engine-seconds of prefill and of decode."""
        work = self._work.setdefault(model, _Work(now))
        elapsed = now - work.at
        work.at = now
        work.prefill = decay(work.prefill, elapsed) + prefill
        work.decode = decay(work.decode, elapsed) + decode
        work.long_prefill = decay(work.long_prefill, elapsed)
        work.long_prefill += prefill if is_long else 0.0

    def read_share(self, model: ModelName) -> float:
        """Part of the engines that should prefill."""
        work = self._work.get(model)
        if work is None or work.prefill + work.decode <= 0.0:
            return START_SHARE
        return work.prefill / (work.prefill + work.decode)

    def read_long_share(self, model: ModelName) -> float:
        """Part of the prefill engines' work that long prompts are."""
        work = self._work.get(model)
        if work is None or work.prefill <= 0.0:
            return 0.0
        return work.long_prefill / work.prefill


def compute_decode_seconds(request: Request, view: ReplicaView) -> float:
    """Engine-seconds of decoding: its part of a batch, or of the memory if larger."""
    duration = request.output_tokens * view.step_time
    batch_part = 1.0 / TYPICAL_BATCH
    memory_part = request.memory_tokens / (view.memory_tokens * MEMORY_USE)
    return duration * max(batch_part, memory_part)


def split_lanes(candidates: list[Candidate], prefill_share: float) -> Lanes:
    """Divide a model's engines by the share of prefill in the load."""
    both = [c for c in candidates if c.role is EngineRole.BOTH]
    prefill = [c for c in candidates if c.role is EngineRole.PREFILL]
    decode = [c for c in candidates if c.role is EngineRole.DECODE]
    if len(candidates) < FEWEST_TO_SPLIT:
        return Lanes(both + prefill, both + decode, False)
    wanted = round(prefill_share * len(candidates)) - len(prefill)
    fewest = 0 if prefill else 1
    most = len(both) if decode else len(both) - 1
    count = max(fewest, min(most, wanted))
    ordered = sorted(both, key=_order)
    decode += ordered[count:]
    most_memory = max((c.view.memory_tokens for c in decode), default=0)
    return Lanes(prefill + ordered[:count], decode, True, most_memory)


def _order(candidate: Candidate) -> int:
    return xxhash.xxh3_64_intdigest(candidate.view.upstream.encode())
