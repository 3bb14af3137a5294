"""Chooses the single replica that prefills a whole prompt.

The most occupied replica that is on time is chosen, so that idle ones stay free for
long prompts; if none is on time, the one that starts soonest.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Iterator
from itertools import chain, groupby, islice

from scalebend.core.gateway.engine_costs import MIN_SPLIT_PREFILL_S
from scalebend.core.gateway.engine_view import EngineView, Occupancy
from scalebend.core.gateway.placement_plan import (
    MAX_GROUP_CANDIDATES,
    TARGET_SHARE,
    Plan,
)
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.models.placement import Placement

MAX_PER_OCCUPANCY = 4
"""Replicas of the same occupancy that are considered when none is on time."""

RANK_COUNT = 2**32
"""Exclusive upper bound of replica ranks."""


def place_single(plan: Plan, view: EngineView) -> Placement:
    """Place the whole prompt on one replica, after the prefill pending there."""
    wait = (
        view.batch_step_time
        + view.pending_prefill
        + plan.prefill_time * view.pace
        + plan.first_event_delay
    )
    start = view.pending_prefill if plan.prefill_time > MIN_SPLIT_PREFILL_S else 0.0
    endpoint = view.endpoint
    return Placement(endpoint.upstream, endpoint.address, (), wait, start)


def is_on_time(plan: Plan, view: EngineView, limit: float) -> bool:
    """Whether a replica has room and prefills the prompt within ``limit`` seconds."""
    return (
        view.jobs < plan.profile.slots
        and view.free_tokens >= plan.memory_tokens
        and view.compute_batch_headroom(limit) >= plan.prefill_time
        and view.endpoint.upstream not in plan.excluded
    )


def choose_on_time(plan: Plan, pool: ReplicaPool) -> EngineView | None:
    """Return the most occupied replica that prefills the whole prompt on time.

    Replicas on degraded paths come last. Replicas whose jobs allow longer event gaps
    are left to long prompts.
    """
    if plan.is_uncoordinated or not pool.has_healthy:
        return choose_on_time_from(plan, pool.list_views(plan.excluded))
    gap = plan.work.event_gap
    slots = plan.profile.slots

    def rank_occupancy(occupancy: Occupancy) -> tuple[bool, bool, int]:
        return (
            occupancy.is_overdue,
            occupancy.count_jobs_beyond(gap) > 0,
            -occupancy.count_jobs_within(gap),
        )

    occupancies = [one for one in pool.list_occupancies() if one.jobs < slots]
    occupancies.sort(key=rank_occupancy)
    for _, not_overdue in groupby(occupancies, key=lambda one: one.is_overdue):
        alike = [list(equal) for _, equal in groupby(not_overdue, key=rank_occupancy)]
        for is_avoided in (False, True) if plan.avoided_zones else (False,):
            for equal in alike:
                view = _choose_among_equal(plan, pool, equal, is_avoided=is_avoided)
                if view is not None:
                    return view
    return None


def _choose_among_equal(
    plan: Plan, pool: ReplicaPool, occupancies: list[Occupancy], *, is_avoided: bool
) -> EngineView | None:
    """Return the replica with the least pending prefill among equal occupancies.

    Only replicas whose path is degraded, or only the others, are considered.
    """
    limit = plan.work.target * TARGET_SHARE
    without_prefill = []
    for occupancy in occupancies:
        for views in _list_by_zone(plan, pool, occupancy, is_avoided=is_avoided):
            for view in views:
                if is_on_time(plan, view, limit):
                    without_prefill.append(view)
                    break
    if without_prefill:
        return max(
            without_prefill, key=lambda view: (plan.is_near(view.endpoint), view.rank)
        )
    prefilling = chain.from_iterable(
        pool.iterate_prefilling(one) for one in occupancies
    )
    fitting = [
        view
        for view in prefilling
        if plan.is_avoided(view.endpoint) == is_avoided
        and is_on_time(plan, view, limit)
    ]
    return max(
        fitting,
        key=lambda view: (
            -view.pending_prefill,
            plan.is_near(view.endpoint),
            view.rank,
        ),
        default=None,
    )


def _list_by_zone(
    plan: Plan, pool: ReplicaPool, occupancy: Occupancy, *, is_avoided: bool
) -> list[Iterator[EngineView]]:
    """List the replicas without prefill of each zone, those of high rank first."""
    if plan.front_zone is None:
        return [pool.iterate_without_prefill(occupancy, reverse=True)]
    return [
        pool.iterate_zone_without_prefill(occupancy, zone)
        for zone in pool.list_zones_without_prefill(occupancy)
        if (zone in plan.avoided_zones) == is_avoided
    ]


def choose_on_time_from(plan: Plan, views: Iterable[EngineView]) -> EngineView | None:
    """Make the choice of :func:`choose_on_time` by examining each of ``views``."""
    limit = plan.work.target * TARGET_SHARE
    gap = plan.work.event_gap
    fitting = [view for view in views if is_on_time(plan, view, limit)]
    not_overdue = [v for v in fitting if not v.occupancy.is_overdue] or fitting
    reached = [v for v in not_overdue if not plan.is_avoided(v.endpoint)] or not_overdue
    equal = [v for v in reached if not v.occupancy.count_jobs_beyond(gap)] or reached
    if plan.is_uncoordinated:
        return max(
            equal, key=lambda view: _compute_rendezvous_score(plan, view), default=None
        )
    return max(
        equal,
        key=lambda view: (
            view.occupancy.count_jobs_within(gap),
            -view.pending_prefill,
            plan.is_near(view.endpoint),
            view.rank,
        ),
        default=None,
    )


def _compute_rendezvous_score(plan: Plan, view: EngineView) -> float:
    """Compute a weighted rendezvous score, with free slots as the weight.

    The hash covers the job: with one hash per scheduler, consecutive jobs would all go
    to the same replica until it is full.
    """
    free = plan.profile.slots - view.jobs
    uniform = (zlib.crc32(plan.work.job.encode(), view.rank) + 1) / (RANK_COUNT + 1)
    return free / -math.log(uniform)


def choose_least_wait(plan: Plan, pool: ReplicaPool) -> EngineView | None:
    """Return the replica that starts soonest, full ones last; none is on time."""
    sample = list(sample_by_jobs(plan, pool)) or pool.list_views(plan.excluded)
    fitting = [
        view for view in sample if view.free_tokens >= plan.memory_tokens
    ] or sample
    slots = plan.profile.slots
    return min(
        fitting,
        key=lambda view: (
            max(0, view.jobs + 1 - slots),
            view.batch_step_time + view.pending_prefill + plan.prefill_time * view.pace,
            view.rank,
        ),
        default=None,
    )


def sample_by_jobs(plan: Plan, pool: ReplicaPool) -> Iterator[EngineView]:
    """Yield a few replicas of each occupancy, those with a free slot first."""
    excluded = plan.excluded
    left = MAX_GROUP_CANDIDATES
    for occupancy in sorted(pool.list_occupancies(), key=lambda one: one.jobs):
        if left <= 0:
            return
        without_prefill = pool.iterate_without_prefill(occupancy)
        found = chain(
            islice(without_prefill, MAX_PER_OCCUPANCY),
            pool.iterate_prefilling(occupancy),
        )
        for view in islice(found, left):
            left -= 1
            if view.endpoint.upstream not in excluded:
                yield view
