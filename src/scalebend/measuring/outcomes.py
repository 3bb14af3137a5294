"""Outcomes of the requests of a run, and the prefix hashes of their prompts."""

from __future__ import annotations

import msgspec

from scalebend.core.prefixes import list_boundaries
from scalebend.standins.load import PlannedRequest

BYTES_PER_TOKEN = 4
PREFIX_HASH_STRIDE = 8_000_000
"""Distance between the hashes of two prompts; above the bytes of any prompt."""

FIRST_PRIVATE_PREFIX = 1_000_000
"""First number of prefixes that no other request shares."""


class Outcome(msgspec.Struct):
    """Outcome of one planned request; times are in seconds since the load began."""

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
    """All outcomes of a run, and counts of broken promises.

    ``memory_left`` is in tokens. ``overfilled`` counts requests that engines rejected
    because their memory was full, ``run_twice`` orders that ran more than once, and
    ``late_starts_on_draining`` attempts that started on an engine after it should get
    no more. ``used_by_customer`` holds times, customers and nominal costs.
    """

    outcomes: list[Outcome]
    memory_left: int
    overfilled: int
    run_twice: int
    used_by_customer: list[tuple[float, str, float]]
    decisions: int
    late_starts_on_draining: int = 0


def build_prefixes(planned: PlannedRequest) -> tuple[tuple[int, int], ...]:
    """Return hashes and token counts of the prefixes of a prompt, the shared first."""
    if planned.prefix is None:
        return ()
    prefixes = []
    for boundary in list_boundaries(planned.prompt_tokens * BYTES_PER_TOKEN):
        tokens = boundary // BYTES_PER_TOKEN
        is_shared = tokens <= planned.prefix_tokens
        owner = planned.prefix if is_shared else FIRST_PRIVATE_PREFIX + planned.number
        prefixes.append((owner * PREFIX_HASH_STRIDE + boundary, tokens))
    return tuple(prefixes)
