"""Kinds of prompts by their prefill, and what their responses cost the engines."""

from __future__ import annotations

from scalebend.core.gateway.engine_costs import (
    MIN_SPLIT_PREFILL_S,
    compute_batch_step_time,
    compute_prefill_time,
)
from scalebend.core.gateway.group_placement import MAX_LATE_PREFILL_S
from scalebend.models.placement import EngineWork
from scalebend.models.routing import EngineProfile


def compute_cost(work: EngineWork, profile: EngineProfile) -> float:
    """Compute the engine time of a response in seconds, decoding shared by a batch."""
    step = compute_batch_step_time(profile, [work.prompt_tokens])
    steps = work.expected_tokens / max(1, profile.decode_steps_per_batch_step)
    prefill = compute_prefill_time(profile, work.prompt_tokens)
    return prefill + steps * step / max(1, profile.slots)


def is_quick(work: EngineWork, profile: EngineProfile) -> bool:
    """Whether a prompt is never split, so that it needs little but a slot."""
    return compute_prefill_time(profile, work.prompt_tokens) <= MIN_SPLIT_PREFILL_S


def is_never_late(work: EngineWork, profile: EngineProfile) -> bool:
    """Whether a prompt without a booking is declined rather than served late."""
    return compute_prefill_time(profile, work.prompt_tokens) > MAX_LATE_PREFILL_S
