"""What the scheduler is compared with: a plain way to place, and a bound."""

from __future__ import annotations

from scalebend.core.gateway.engine_costs import (
    compute_batch_step_time,
    compute_prefill_time,
)
from scalebend.core.gateway.placement_choice import MAX_HELPERS
from scalebend.measuring.placement_results import Result
from scalebend.models.endpoints import Endpoint
from scalebend.models.placement import EngineWork, Helper, Placement
from scalebend.models.routing import EngineProfile

TOKENS_PER_HELPER = 60_000
"""Tokens of a prompt for which the plain way takes one more engine."""


def place_baseline(
    work: EngineWork, endpoint: Endpoint, alive: list[Endpoint]
) -> Placement:
    """``endpoint``, and as many of the next ones in order as the prompt is long."""
    more = min(MAX_HELPERS, work.prompt_tokens // TOKENS_PER_HELPER)
    position = alive.index(endpoint)
    others = (alive[position + 1 :] + alive[:position])[:more]
    helpers = tuple(Helper(one.upstream, one.address) for one in others)
    return Placement(endpoint.upstream, endpoint.address, helpers, 0.0)


def serve_on_idle_fleet(
    result: Result, profile: EngineProfile, engines: int, way: float
) -> None:
    """Note what became of a request that has ``engines`` idle engines for itself.

    No way of deciding beats that.

    ``way`` is the time in seconds from a caller to its front, and on to an engine.
    """
    arrival = result.arrival
    read = compute_prefill_time(profile, arrival.prompt)
    width = min(MAX_HELPERS + 1, engines)
    event = compute_batch_step_time(profile, [arrival.prompt])
    result.first_event = read / width + event + 3 * way
    result.longest_gap = event
    result.is_complete = True
