"""Chooses the replicas that prefill one prompt together, in equal parts.

The group that finishes first is chosen, now or in a gap between prefills that are
already scheduled. A prompt that would be late runs on a few idle replicas or is
declined.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from itertools import chain, islice

import msgspec

from scalebend.core.gateway.engine_view import IDLE, EngineView
from scalebend.core.gateway.placement_plan import (
    MAX_GROUP_CANDIDATES,
    MAX_HELPERS,
    MEMORY_MARGIN_TOKENS,
    NO_MEMORY_RETRY_S,
    NO_REPLICA_RETRY_S,
    Plan,
)
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.models.placement import Declined, Helper, Placement

DECODE_DELAY_WEIGHT = 0.05
"""Seconds that a group's prefill must gain for each second by which it delays a
decoding job."""

MAX_GROUP_STARTS = 24
"""Start times that are tried for one group."""

PREDICTION_SLACK = 1.5
"""A first token predicted within this multiple of the target may still be on time:
predictions count each part that is not prefilled yet as a quarter longer, and queued
prompts are placed again."""

MAX_LATE_PREFILL_S = 6.0
"""Prefill time on one engine up to which a prompt runs although it will be late. Longer
ones would hold so many replicas that a burst of quick prompts finds none free."""

LATE_PREFILL_SHARE = 0.7
"""Share of the remaining time that the prefill of a late prompt may take; the rest is
for decoding and for delays."""

MIN_LATE_RETRY_S = 0.3
MAX_LATE_RETRY_S = 2.0
"""Bounds of the `Retry-After` of a request that would be late: its predicted lateness
within them."""


class _PrefillGroup(msgspec.Struct, frozen=True):
    """Replicas that prefill one prompt together, from ``start`` seconds on."""

    views: list[EngineView]
    start: float
    cost: float
    """End of the prefill in seconds, plus the costs that rank groups."""


def _count_reserved_idle(plan: Plan, pool: ReplicaPool) -> int:
    """Count the idle replicas to reserve for quick requests."""
    needed_replicas = math.ceil(plan.reserved_quick_slots / plan.profile.slots)
    return max(0, needed_replicas - pool.quick_replicas)


def place_on_idle(plan: Plan, pool: ReplicaPool) -> Placement | None:
    """Place the prompt on idle replicas if there are as many as it may use."""
    max_replicas = MAX_HELPERS + 1
    if (
        pool.count_without_prefill(IDLE) - _count_reserved_idle(plan, pool)
        < max_replicas
    ):
        return None
    usable = (
        view
        for view in pool.iterate_without_prefill(IDLE)
        if view.helper_parts < plan.profile.slots
        and view.endpoint.upstream not in plan.excluded
    )
    views = list(islice(usable, max_replicas))
    if plan.avoided_zones:
        views.sort(key=lambda view: plan.is_avoided(view.endpoint))
    counts = [
        n
        for n in range(1, max_replicas + 1)
        if plan.prefill_time / n <= plan.max_part_s
    ]
    if len(views) < max_replicas or not counts:
        return None
    count = min(counts, key=lambda n: plan.prefill_time / n + plan.replica_cost_s * n)
    placement = _build_placement(plan, _PrefillGroup(views[:count], 0.0, 0.0))
    if placement is None or placement.first_token_in > plan.work.target:
        return None
    return placement


def choose_prefill_group(plan: Plan, pool: ReplicaPool) -> Placement | Declined:
    """Choose the prefill group and the start time with which the prefill ends first."""
    views = _sample_for_group(plan, pool) or pool.list_views(plan.excluded)
    if not views:
        return Declined(NO_REPLICA_RETRY_S)
    candidates = _list_candidates(plan, pool, views)
    placement = _place_first_possible(plan, _list_groups(plan, candidates, views))
    if placement is None:
        return Declined(NO_MEMORY_RETRY_S, lacks_memory=True)
    if placement.first_token_in <= plan.work.target * PREDICTION_SLACK:
        return placement
    return _place_late(plan, candidates, placement)


def _sample_for_group(plan: Plan, pool: ReplicaPool) -> list[EngineView]:
    """List replicas to consider: the fewest jobs first, those with quick jobs last."""
    occupancies = pool.list_occupancies()
    occupancies.sort(key=lambda one: (one.is_quick, one.jobs))
    views = chain.from_iterable(map(pool.iterate_views, occupancies))
    excluded = plan.excluded
    usable = (view for view in views if view.endpoint.upstream not in excluded)
    return list(islice(usable, MAX_GROUP_CANDIDATES))


def _list_groups(
    plan: Plan, candidates: list[EngineView], views: list[EngineView]
) -> Iterator[_PrefillGroup | None]:
    """Yield groups to try, best first: a group may turn out to lack memory."""
    yield (
        _find_earliest_end(plan, candidates, plan.max_part_s)
        or _find_earliest_end(plan, candidates, math.inf)
    )
    with_memory = [
        view for view in candidates if view.free_tokens >= plan.memory_tokens
    ]
    yield _find_earliest_end(plan, with_memory, math.inf)
    yield _choose_least_pending(plan, candidates)
    yield _choose_least_pending(plan, views)


def _place_first_possible(
    plan: Plan, groups: Iterator[_PrefillGroup | None]
) -> Placement | None:
    for group in groups:
        placement = _build_placement(plan, group) if group is not None else None
        if placement is not None:
            return placement
    return None


def _place_late(
    plan: Plan, candidates: list[EngineView], placement: Placement
) -> Placement | Declined:
    """Place a prompt that cannot be on time, or decline it.

    It runs on a few idle replicas so that the others stay free: a late response is
    worth the same at any time before its deadline.
    """
    late_by = placement.first_token_in - plan.work.target
    declined = Declined(max(MIN_LATE_RETRY_S, min(late_by, MAX_LATE_RETRY_S)))
    if plan.prefill_time > MAX_LATE_PREFILL_S:
        return declined
    max_wait = plan.work.remaining * LATE_PREFILL_SHARE
    idle = [v for v in candidates if v.occupancy.event_gap is None and not v.intervals]
    for count in range(1, min(len(idle), MAX_HELPERS + 1) + 1):
        if plan.prefill_time / count <= max_wait:
            late = _build_placement(plan, _PrefillGroup(idle[:count], 0.0, 0.0))
            if late is not None:
                return late
    if placement.first_token_in <= max_wait:
        return placement
    return declined


def _list_candidates(
    plan: Plan, pool: ReplicaPool, views: list[EngineView]
) -> list[EngineView]:
    """List the replicas of ``views`` that may prefill a part, by rank."""
    slots = plan.profile.slots
    usable = [view for view in views if view.jobs < slots > view.helper_parts]
    ranked = sorted(usable or views, key=lambda view: view.rank)
    # Replicas outside ``views`` are not used by the group and count as reserved.
    reserved = _count_reserved_idle(plan, pool) - pool.count_without_quick(
        apart_from=views
    )
    # Quick requests take idle replicas from the other end of the rank order.
    others = [view for view in reversed(ranked) if not view.occupancy.is_quick]
    others.sort(key=lambda view: (view.pending_prefill, view.jobs))
    left_out = others[: max(0, min(reserved, len(others) - 1))]
    left_out_names = {view.endpoint.upstream for view in left_out}
    return [view for view in ranked if view.endpoint.upstream not in left_out_names]


def _find_earliest_end(
    plan: Plan, candidates: list[EngineView], max_part_s: float
) -> _PrefillGroup | None:
    """Return the group with the lowest cost: an early end with few replicas.

    A group may start whenever a scheduled prefill ends, including in gaps before later
    scheduled prefills, which keep their start times (conservative backfilling).
    """
    # Replicas with the fewest jobs first, those with quick jobs last.
    ranked = sorted(candidates, key=lambda view: (view.occupancy.is_quick, view.jobs))
    # Rounded up to a millisecond: just before, the replica would still be busy.
    ends = {math.ceil(1e3 * b.end) / 1e3 for view in candidates for b in view.intervals}
    best: _PrefillGroup | None = None
    for start in sorted({0.0, *ends})[:MAX_GROUP_STARTS]:
        if best is not None and start >= best.cost:
            break
        headrooms = [view.compute_part_headroom(start) for view in ranked]
        largest = sorted(headrooms, reverse=True)
        for count in range(1, min(len(headrooms), MAX_HELPERS + 1) + 1):
            part = plan.prefill_time / count
            if largest[count - 1] < part or part > max_part_s:
                continue
            group = _build_candidate_group(plan, ranked, headrooms, start, count)
            if best is None or group.cost < best.cost:
                best = group
    return best


def _build_candidate_group(
    plan: Plan,
    ranked: list[EngineView],
    headrooms: list[float],
    start: float,
    count: int,
) -> _PrefillGroup:
    """Build the group of the first replicas with headroom for a part, with its cost."""
    part = plan.prefill_time / count
    fitting = [
        view
        for view, headroom in zip(ranked, headrooms, strict=True)
        if headroom >= part
    ]
    chosen = fitting[:count]
    delayed_jobs = sum(view.jobs for view in chosen)
    cost = (
        start
        + part
        + plan.replica_cost_s * count
        + DECODE_DELAY_WEIGHT * part * delayed_jobs
    )
    return _PrefillGroup(chosen, start, cost)


def _choose_least_pending(plan: Plan, views: list[EngineView]) -> _PrefillGroup:
    """Build a group that starts after all scheduled prefills, where those end first."""
    without_quick = [view for view in views if not view.occupancy.is_quick] or views
    ranked = sorted(
        without_quick, key=lambda view: view.pending_prefill + view.batch_step_time
    )
    counts = range(1, min(len(ranked), MAX_HELPERS + 1) + 1)
    best = min(
        counts, key=lambda n: ranked[n - 1].pending_prefill + plan.prefill_time / n
    )
    chosen = ranked[:best]
    start = max(view.pending_prefill for view in chosen)
    return _PrefillGroup(chosen, start, start + plan.prefill_time / best)


def _choose_lead(plan: Plan, chosen: list[EngineView]) -> EngineView:
    """Choose the lead replica: one with enough memory and the least pending prefill.

    Only its path to the front matters, since helpers send nothing there.
    """
    fitting = [view for view in chosen if view.free_tokens >= plan.memory_tokens]
    if not fitting:
        return max(chosen, key=lambda view: (view.free_tokens, -view.pending_prefill))
    return min(
        fitting,
        key=lambda view: (
            plan.is_avoided(view.endpoint),
            view.pending_prefill,
            view.jobs,
            -view.free_tokens,
            not plan.is_near(view.endpoint),
        ),
    )


def _build_placement(plan: Plan, group: _PrefillGroup) -> Placement | None:
    chosen = group.views
    lead = _choose_lead(plan, chosen)
    others = [view for view in chosen if view is not lead]
    part = plan.prefill_time / len(chosen)
    # An engine prefills the newest part first, so no part may queue on a replica.
    start = group.start
    wait = start + max(view.batch_step_time + part * view.pace for view in chosen)
    missing_tokens = plan.memory_tokens - lead.free_tokens
    helpers = []
    for view in others:
        tokens = 0
        if missing_tokens > 0:
            tokens = max(
                0, min(missing_tokens, view.free_tokens - MEMORY_MARGIN_TOKENS)
            )
            missing_tokens -= tokens
        endpoint = view.endpoint
        helpers.append(Helper(endpoint.upstream, endpoint.address, tokens))
    if missing_tokens > 0:
        return None
    endpoint = lead.endpoint
    wait += plan.first_event_delay
    return Placement(endpoint.upstream, endpoint.address, tuple(helpers), wait, start)
