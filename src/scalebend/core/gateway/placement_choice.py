"""Chooses the replicas for one piece of work.

A prompt goes to a single replica if one can prefill it on time, otherwise to a prefill
group.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from scalebend.core.gateway.engine_costs import MIN_SPLIT_PREFILL_S
from scalebend.core.gateway.group_placement import (
    choose_prefill_group,
    place_on_idle,
)
from scalebend.core.gateway.placement_plan import (
    NO_REPLICA_RETRY_S,
    TARGET_SHARE,
    Plan,
)
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.core.gateway.single_placement import (
    choose_least_wait,
    choose_on_time,
    is_on_time,
    place_single,
    sample_by_jobs,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, Placement

MAX_UNSPLIT_PREFILL_S = 0.4
"""Prefill time up to which a single replica is tried before a group: one part then
stays below the event gap of long responses."""


def choose_replicas(plan: Plan, pool: ReplicaPool) -> Placement | Declined:
    """Choose replicas for the plan's work, or say when to retry."""
    if plan.work.is_second:
        # Packed among other requests, its first token would hardly come on time. An
        # unhealthy replica is the last resort of requests that run nowhere else.
        is_possible = next(sample_by_jobs(plan, pool), None) is not None
        single = choose_least_wait(plan, pool) if is_possible else None
        return place_single(plan, single) if single else Declined(NO_REPLICA_RETRY_S)
    if plan.prefill_time <= max(
        MIN_SPLIT_PREFILL_S, min(MAX_UNSPLIT_PREFILL_S, plan.max_part_s)
    ):
        single = choose_on_time(plan, pool)
        if single is not None:
            return place_single(plan, single)
    if plan.prefill_time <= MIN_SPLIT_PREFILL_S:
        single = choose_least_wait(plan, pool)
        return place_single(plan, single) if single else Declined(NO_REPLICA_RETRY_S)
    return place_on_idle(plan, pool) or choose_prefill_group(plan, pool)


def choose_isolated(
    plan: Plan, pool: ReplicaPool, with_suspects: Iterable[UpstreamId]
) -> Placement | None:
    """Choose for a suspect request, isolated from other suspect requests.

    ``with_suspects`` are replicas that run suspect requests. A quick prompt goes to the
    healthy replica with the fewest jobs. Returns ``None`` if no other replica is on
    time.
    """
    excluded = plan.excluded.union(with_suspects)
    isolated = msgspec.structs.replace(plan, excluded=excluded)
    healthy = sample_by_jobs(isolated, pool)
    if plan.prefill_time <= MIN_SPLIT_PREFILL_S:
        limit = plan.work.target * TARGET_SHARE
        for view in healthy:
            if is_on_time(isolated, view, limit):
                return place_single(isolated, view)
        return None
    if next(healthy, None) is None:
        return None
    placement = choose_replicas(isolated, pool)
    return placement if isinstance(placement, Placement) else None
