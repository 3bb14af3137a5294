"""Estimates how long an engine takes for a prefill and for one batch step.

A batch step runs a fixed number of decode steps while any request decodes, and spreads
the queued prefill evenly over them. Events of all decoding requests come at its end, so
prefill in a batch step delays the next event of each of them. All times are in seconds,
all sizes in tokens.
"""

from __future__ import annotations

from scalebend.models.routing import EngineProfile

_MILLI = 1e-3

MIN_SPLIT_PREFILL_S = 0.1
"""Prefill time below which a prompt is never split: waiting for several replicas would
cost more than they save."""


def compute_prefill_time(profile: EngineProfile, tokens: int) -> float:
    """Compute the time that one engine takes for a prefill with nothing else to do.

    Attention compares each token with all earlier ones, hence the square.
    """
    linear = tokens / profile.prefill_tokens_per_second
    pairs = tokens * tokens / 2.0
    return linear + pairs * profile.attention_ms_per_million_pairs * 1e-6 * _MILLI


def compute_batch_step_time(profile: EngineProfile, contexts: list[int]) -> float:
    """Compute the time of one batch step without prefill, for these context sizes."""
    if not contexts:
        return 0.0
    step_ms = profile.step_ms
    for context in contexts:
        step_ms += profile.per_sequence_ms
        step_ms += profile.context_ms_per_thousand * context / 1000.0
    return profile.decode_steps_per_batch_step * step_ms * _MILLI
