"""How long an engine takes to read a prompt and to play one pass.

An engine works in passes. A pass reads what waits, in even parts of each step, and,
while any request writes, plays a fixed number of steps; the events of all writers
come at its end. Reading inside a pass therefore delays every writer's next event.
All times here are in seconds, all sizes in tokens.
"""

from __future__ import annotations

from scalebend.models.routing import EngineProfile

_MILLI = 1e-3

QUICK_READ = 0.1
"""Seconds of reading below which a prompt is never split: the answers of several
replicas to wait for would cost more than their help saves."""


def compute_read_time(profile: EngineProfile, tokens: int) -> float:
    """Time that one engine takes to read a prompt alone.

    Attention looks at each pair of a token and an earlier one, hence the square.
    """
    linear = tokens / profile.read_tokens_per_second
    pairs = tokens * tokens / 2.0
    return linear + pairs * profile.pairs_ms_per_million * 1e-6 * _MILLI


def compute_pass_time(profile: EngineProfile, contexts: list[int]) -> float:
    """Time of one pass without reading, with writers of these context sizes."""
    if not contexts:
        return 0.0
    step_ms = profile.step_ms
    for context in contexts:
        step_ms += profile.per_sequence_ms
        step_ms += profile.context_ms_per_thousand * context / 1000.0
    return profile.steps_per_pass * step_ms * _MILLI
