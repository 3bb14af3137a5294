"""Chooses the replicas for one piece of work.

A prompt goes to a single replica if one can prefill it on time, and then to the most
occupied such replica. Otherwise it goes to the prefill group that finishes first, now
or in a gap between prefills that are already scheduled. If even that is late, the
prompt runs on a few idle replicas or is declined.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Iterator
from itertools import chain, groupby, islice

import msgspec

from scalebend.core.gateway.engine_costs import MIN_SPLIT_PREFILL_S
from scalebend.core.gateway.engine_view import IDLE, EngineView, Occupancy
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, EngineWork, Helper, Placement
from scalebend.models.routing import EngineProfile

MAX_HELPERS = 16
"""Prefill helpers that one prompt may have; a limit of the platform."""

TARGET_SHARE = 0.6
"""Share of the target for the first token that a placement may plan to use."""

REPLICA_COST_S = 0.015
UNCOORDINATED_REPLICA_COST_S = 0.080
"""Seconds by which each further replica must bring the end of the prefill forward;
larger for uncoordinated schedulers, whose large groups would overlap."""

DECODE_DELAY_WEIGHT = 0.05
"""Seconds that a group's prefill must gain for each second by which it delays a
decoding job."""

MAX_GROUP_STARTS = 24
"""Start times that are tried for one group."""

MAX_GROUP_CANDIDATES = 64
"""Replicas that are considered for one group when few are idle."""

MAX_PER_OCCUPANCY = 4
"""Replicas of the same occupancy that are considered when none is on time."""

MEMORY_MARGIN_TOKENS = 4_000
"""KV cache memory of an engine that is never planned for."""

MAX_UNSPLIT_PREFILL_S = 0.4
"""Prefill time up to which a single replica is tried before a group: one part then
stays below the event gap of long responses."""

PREDICTION_SLACK = 1.5
"""A first token predicted within this multiple of the target may still be on time:
predictions are conservative, and queued prompts are placed again."""

MAX_LATE_PREFILL_S = 6.0
"""Prefill time on one engine up to which a prompt runs although it will be late. Longer
ones would hold so many replicas that a burst of quick prompts finds none free."""

LATE_PREFILL_SHARE = 0.7
"""Share of the remaining time that the prefill of a late prompt may take; the rest is
for decoding and for delays."""

RANK_COUNT = 2**32
"""Exclusive upper bound of replica ranks."""

NO_REPLICA_RETRY_S = 0.25
NO_MEMORY_RETRY_S = 0.5
MIN_LATE_RETRY_S = 0.3
MAX_LATE_RETRY_S = 2.0
"""`Retry-After` of a declined request if no replica is known or no memory is free. If
the request would be late, it is the predicted lateness within the two bounds."""


class Plan(msgspec.Struct, frozen=True):
    """One piece of work and what is computed from it alone; times in seconds."""

    work: EngineWork
    profile: EngineProfile
    prefill_time: float
    """Time that one engine takes for the whole prefill."""

    first_event_delay: float
    """Time from the end of the prefill to the first event."""

    memory_tokens: int
    """KV cache memory for the prompt and its response, with a margin."""

    max_part_s: float
    """Longest prefill of one part while replicas are free."""

    reserved_quick_slots: float
    """Slots that are reserved for quick requests."""

    excluded: frozenset[UpstreamId] = frozenset()
    """Replicas that must not be used."""

    is_uncoordinated: bool = False
    """Whether other schedulers place at the same time without seeing these choices."""

    @property
    def replica_cost_s(self) -> float:
        """Seconds by which each further replica must shorten the prefill."""
        return UNCOORDINATED_REPLICA_COST_S if self.is_uncoordinated else REPLICA_COST_S


class _PrefillGroup(msgspec.Struct, frozen=True):
    """Replicas that prefill one prompt together, from ``start`` seconds on."""

    views: list[EngineView]
    start: float
    cost: float
    """End of the prefill in seconds, plus the costs that rank groups."""


def choose_replicas(plan: Plan, pool: ReplicaPool) -> Placement | Declined:
    """Choose replicas for the plan's work, or say when to retry."""
    if plan.prefill_time <= max(
        MIN_SPLIT_PREFILL_S, min(MAX_UNSPLIT_PREFILL_S, plan.max_part_s)
    ):
        single = choose_on_time(plan, pool)
        if single is not None:
            return _place_single(plan, single)
    if plan.prefill_time <= MIN_SPLIT_PREFILL_S:
        single = _choose_least_wait(plan, pool)
        return _place_single(plan, single) if single else Declined(NO_REPLICA_RETRY_S)
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
    healthy = _sample_by_jobs(isolated, pool)
    if plan.prefill_time <= MIN_SPLIT_PREFILL_S:
        limit = plan.work.target * TARGET_SHARE
        for view in healthy:
            if _is_on_time(isolated, view, limit):
                return _place_single(isolated, view)
        return None
    if next(healthy, None) is None:
        return None
    placement = choose_replicas(isolated, pool)
    return placement if isinstance(placement, Placement) else None


def _place_single(plan: Plan, view: EngineView) -> Placement:
    wait = (
        view.batch_step_time
        + view.pending_prefill
        + plan.prefill_time * view.pace
        + plan.first_event_delay
    )
    start = view.pending_prefill if plan.prefill_time > MIN_SPLIT_PREFILL_S else 0.0
    endpoint = view.endpoint
    return Placement(endpoint.upstream, endpoint.address, (), wait, start)


def _is_on_time(plan: Plan, view: EngineView, limit: float) -> bool:
    return (
        view.jobs < plan.profile.slots
        and view.free_tokens >= plan.memory_tokens
        and view.compute_batch_headroom(limit) >= plan.prefill_time
        and view.endpoint.upstream not in plan.excluded
    )


def choose_on_time(plan: Plan, pool: ReplicaPool) -> EngineView | None:
    """Return the most occupied replica that prefills the whole prompt on time.

    Replicas whose jobs allow longer event gaps are left to long prompts.
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
    for _, equal in groupby(occupancies, key=rank_occupancy):
        view = _choose_among_equal(plan, pool, list(equal))
        if view is not None:
            return view
    return None


def _choose_among_equal(
    plan: Plan, pool: ReplicaPool, occupancies: list[Occupancy]
) -> EngineView | None:
    """Return the replica with the least pending prefill among equal occupancies."""
    limit = plan.work.target * TARGET_SHARE
    without_prefill = []
    for occupancy in occupancies:
        for view in pool.iterate_without_prefill(occupancy, reverse=True):
            if _is_on_time(plan, view, limit):
                without_prefill.append(view)
                break
    if without_prefill:
        return max(without_prefill, key=lambda view: view.rank)
    prefilling = chain.from_iterable(
        pool.iterate_prefilling(one) for one in occupancies
    )
    fitting = [view for view in prefilling if _is_on_time(plan, view, limit)]
    return max(
        fitting, key=lambda view: (-view.pending_prefill, view.rank), default=None
    )


def choose_on_time_from(plan: Plan, views: Iterable[EngineView]) -> EngineView | None:
    """Make the choice of :func:`choose_on_time` by examining each of ``views``."""
    limit = plan.work.target * TARGET_SHARE
    gap = plan.work.event_gap
    fitting = [view for view in views if _is_on_time(plan, view, limit)]
    not_overdue = [v for v in fitting if not v.occupancy.is_overdue] or fitting
    equal = [
        v for v in not_overdue if not v.occupancy.count_jobs_beyond(gap)
    ] or not_overdue
    if plan.is_uncoordinated:
        return max(
            equal, key=lambda view: _compute_rendezvous_score(plan, view), default=None
        )
    return max(
        equal,
        key=lambda view: (
            view.occupancy.count_jobs_within(gap),
            -view.pending_prefill,
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


def _choose_least_wait(plan: Plan, pool: ReplicaPool) -> EngineView | None:
    """Return the replica that starts soonest, full ones last; none is on time."""
    sample = list(_sample_by_jobs(plan, pool)) or pool.list_views(plan.excluded)
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


def _sample_by_jobs(plan: Plan, pool: ReplicaPool) -> Iterator[EngineView]:
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
        return Declined(NO_MEMORY_RETRY_S)
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
    """Choose the lead replica: one with enough memory and the least pending prefill."""
    fitting = [view for view in chosen if view.free_tokens >= plan.memory_tokens]
    if not fitting:
        return max(chosen, key=lambda view: (view.free_tokens, -view.pending_prefill))
    return min(fitting, key=lambda v: (v.pending_prefill, v.jobs, -v.free_tokens))


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
