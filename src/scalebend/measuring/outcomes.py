"""What a run leaves: the outcome of each request, and the prefixes of its prompt."""

from __future__ import annotations

import msgspec

from scalebend.core.prefixes import list_boundaries
from scalebend.standins.load import PlannedRequest

BYTES_PER_TOKEN = 4
PREFIX_HASH_STRIDE = 8_000_000
FIRST_PRIVATE_PREFIX = 1_000_000


class Outcome(msgspec.Struct):
    """What became of one planned request; times in seconds of the load's clock."""

    planned: PlannedRequest
    order: str = ""
    first_token: float | None = None
    ended: float | None = None
    error: str = ""
    ran: str = ""
    deadline: float = 0.0
    output_tokens: int = 0
    starts: int = 0


class RunResult(msgspec.Struct):
    """All outcomes of a run and what it left behind."""

    outcomes: list[Outcome]
    memory_left: int
    overfilled: int
    run_twice: int
    used_by_customer: list[tuple[float, str, float]]
    decisions: int
    late_starts_on_draining: int = 0


def build_prefixes(planned: PlannedRequest) -> tuple[tuple[int, int], ...]:
    """Hashes of the prompt's prefixes with their tokens; the first are shared."""
    if planned.prefix is None:
        return ()
    prefixes = []
    for boundary in list_boundaries(planned.prompt_tokens * BYTES_PER_TOKEN):
        tokens = boundary // BYTES_PER_TOKEN
        is_shared = tokens <= planned.prefix_tokens
        owner = planned.prefix if is_shared else FIRST_PRIVATE_PREFIX + planned.number
        prefixes.append((owner * PREFIX_HASH_STRIDE + boundary, tokens))
    return tuple(prefixes)
