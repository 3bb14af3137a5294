"""Which engines of a model prefill and which decode.

Every instance orders a model's engines the same way and gives the first ones to
prefill. How many follows the load that the instance sees: the border moves.
Engines that announce one role only stay in it.
"""

from __future__ import annotations

import msgspec
import xxhash

from scalebend.core.routing import Candidate
from scalebend.core.shares import decay
from scalebend.models.ids import ModelName
from scalebend.models.upstream import EngineRole
from scalebend.models.work import ReplicaView, Request

FEWEST_TO_SPLIT = 4
"""Engines of a model below which each does both."""

TYPICAL_BATCH = 24
"""Decoding attempts that an engine of the decode lane is planned to hold."""

MEMORY_USE = 0.7
"""Part of the decode lane's memory that is planned to be in use."""

START_SHARE = 0.5


class Lanes(msgspec.Struct, frozen=True):
    """A model's candidates by lane; both hold all of them when they are few."""

    prefill: list[Candidate]
    decode: list[Candidate]
    is_split: bool


class LaneBorder:
    """Share of prefill in the work of recent requests, per model."""

    def __init__(self) -> None:
        self._work: dict[ModelName, tuple[float, float, float]] = {}

    def note(self, model: ModelName, prefill: float, decode: float, now: float) -> None:
        """Count a request's engine-seconds of prefill and of decode."""
        known_prefill, known_decode, at = self._work.get(model, (0.0, 0.0, now))
        self._work[model] = (
            decay(known_prefill, now - at) + prefill,
            decay(known_decode, now - at) + decode,
            now,
        )

    def read_share(self, model: ModelName) -> float:
        """Part of the engines that should prefill."""
        prefill, decode, _ = self._work.get(model, (0.0, 0.0, 0.0))
        if prefill + decode <= 0.0:
            return START_SHARE
        return prefill / (prefill + decode)


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
    return Lanes(prefill + ordered[:count], decode + ordered[count:], True)


def _order(candidate: Candidate) -> int:
    return xxhash.xxh3_64_intdigest(candidate.view.upstream.encode())
