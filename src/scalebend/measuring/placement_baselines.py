"""Baselines for the scheduler: a simple placement, and an upper bound."""

from __future__ import annotations

from scalebend.core.gateway.engine_costs import (
    compute_batch_step_time,
    compute_prefill_time,
)
from scalebend.core.gateway.placement_plan import MAX_HELPERS
from scalebend.measuring.placement_results import Result
from scalebend.models.endpoints import Endpoint
from scalebend.models.placement import EngineWork, Helper, Placement
from scalebend.models.routing import EngineProfile

TOKENS_PER_HELPER = 60_000
"""Prompt tokens for which the simple placement adds one prefill helper."""


def place_baseline(
    work: EngineWork, endpoint: Endpoint, available: list[Endpoint]
) -> Placement:
    """Place at ``endpoint``, with as many next ones as helpers as the prompt needs."""
    helper_count = min(MAX_HELPERS, work.prompt_tokens // TOKENS_PER_HELPER)
    position = available.index(endpoint)
    others = (available[position + 1 :] + available[:position])[:helper_count]
    helpers = tuple(Helper(one.upstream, one.address) for one in others)
    return Placement(endpoint.upstream, endpoint.address, helpers, 0.0)


def serve_on_idle_fleet(
    result: Result, profile: EngineProfile, engines: int, hop_time_s: float
) -> None:
    """Record the result of a request that has ``engines`` idle engines to itself.

    No placement can give a better one. ``hop_time_s`` is the time in seconds from a
    caller to its front, and from there to an engine.
    """
    arrival = result.arrival
    prefill_time = compute_prefill_time(profile, arrival.prompt)
    width = min(MAX_HELPERS + 1, engines)
    step_time = compute_batch_step_time(profile, [arrival.prompt])
    result.first_event = prefill_time / width + step_time + 3 * hop_time_s
    result.longest_gap = step_time
    result.is_complete = True
