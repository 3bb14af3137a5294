"""Chooses replicas for one piece of work.

A prompt goes to one replica if there is one that reads it in time, the fullest such
one; else to the group that ends the reading first, now or after parts that are planned;
if even that is late, to few replicas that nobody uses, or back to its caller.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Iterator
from itertools import chain, groupby, islice

import msgspec

from scalebend.core.gateway.engine_costs import QUICK_READ
from scalebend.core.gateway.engine_view import IDLE, EngineView, Occupancy
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, EngineWork, Helper, Placement
from scalebend.models.routing import EngineProfile

MOST_HELPERS = 16
"""Replicas beside the first that may read one prompt; the platform's limit."""

TARGET_PART = 0.6
"""Part of the target for the first token that a placement may plan to use."""

PART_COST = 0.015
PART_COST_ALONE = 0.080
"""Seconds by which a group must end sooner to be worth one more replica; more for
schedulers that do not see each other's choices, whose groups would meet."""

DISTURBANCE = 0.05
"""Seconds by which a group must end sooner to be worth each second by which it delays
the events of one who writes."""

MOST_STARTS = 24
"""Starts that are looked at for one group: far more parts than wait in a busy fleet."""

MOST_CANDIDATES = 64
"""Replicas that are looked at for one group where few are idle: nearly four times as
many as a group may have, so that those left out would hardly be taken."""

MOST_ALIKE = 4
"""Replicas with the same occupancy that are looked at when nothing is in time: they
differ only by the sizes of what they write, some milliseconds."""

MEMORY_MARGIN = 4_000
"""Tokens of an engine's memory that are never planned for."""

SINGLE_READ = 0.4
"""Seconds of reading up to which one replica is tried before several: one part then
stays below the event gap of whoever writes long answers."""

PREDICTION_SLACK = 1.5
"""Times the target up to which a predicted first token may still turn out in time:
predictions count each part that is not read yet as a quarter longer, and prompts that
wait ask again. With 1.0, 20 of 435 long prompts were declined, with 1.5 only 11."""

LATE_READ_MOST = 6.0
"""Seconds of reading of one engine up to which a prompt is read though it will be late.
Longer ones hold so many replicas that a burst of quick prompts finds no place: without
this bound 0.987 instead of 0.994 of the quick worth, 30 seeds."""

LATE_DEADLINE = 0.7
"""Part of the time left that the reading of a late prompt may take; the rest is for its
answer and for what comes between."""

RANKS = 2**32
"""Ranks of replicas are below this."""

NO_REPLICA_PAUSE = 0.25
MEMORY_PAUSE = 0.5
LEAST_PAUSE = 0.3
LONGEST_PAUSE = 2.0
"""Seconds after which a declined request may come back: no replica known, no memory,
and least and longest where it would be late, by as much as it would be late."""


class Plan(msgspec.Struct, frozen=True):
    """One piece of work with what follows from it alone."""

    work: EngineWork
    profile: EngineProfile
    read: float
    """Seconds that one engine takes to read the prompt."""

    first_event: float
    """Seconds from the end of reading to the first event."""

    memory: int
    """Tokens of memory that the prompt and its answer need, with a margin."""

    longest_part: float
    """Seconds of reading in one part where replicas are free."""

    quick_slots: float
    """Slots that are kept for quick requests."""

    excluded: frozenset[UpstreamId] = frozenset()
    """Replicas that must not be used for it."""

    is_alone: bool = False
    """Whether others choose at the same time, and do not see each other's choices."""

    @property
    def part_cost(self) -> float:
        """Seconds by which one more replica must bring the end nearer."""
        return PART_COST_ALONE if self.is_alone else PART_COST


class _Group(msgspec.Struct, frozen=True):
    """Replicas that read one prompt together, from ``start`` seconds on."""

    views: list[EngineView]
    start: float
    cost: float
    """When the reading ends, and a little for each replica; in seconds."""


def choose(plan: Plan, pool: ReplicaPool) -> Placement | Declined:
    """Choose replicas for the plan's work, or say when to come back."""
    if plan.read <= max(QUICK_READ, min(SINGLE_READ, plan.longest_part)):
        single = choose_in_time(plan, pool)
        if single is not None:
            return _place_alone(plan, single)
    if plan.read <= QUICK_READ:
        single = _choose_least_wait(plan, pool)
        return _place_alone(plan, single) if single else Declined(NO_REPLICA_PAUSE)
    return place_on_idle(plan, pool) or choose_group(plan, pool)


def choose_apart(
    plan: Plan, pool: ReplicaPool, beside: Iterable[UpstreamId]
) -> Placement | None:
    """Choose for work that may end its replica: away from others of that kind.

    ``beside`` are replicas where such work runs. A quick prompt goes to the sound one
    with the fewest jobs. ``None`` where none is left that would be in time.
    """
    excluded = plan.excluded.union(beside)
    apart = msgspec.structs.replace(plan, excluded=excluded)
    sound = _sample_by_jobs(apart, pool)
    if plan.read <= QUICK_READ:
        limit = plan.work.target * TARGET_PART
        for view in sound:
            if _fits_in_time(apart, view, limit):
                return _place_alone(apart, view)
        return None
    if next(sound, None) is None:
        return None
    placement = choose(apart, pool)
    return placement if isinstance(placement, Placement) else None


def _place_alone(plan: Plan, view: EngineView) -> Placement:
    wait = view.pass_time + view.pending + plan.read * view.pace + plan.first_event
    start = view.pending if plan.read > QUICK_READ else 0.0
    endpoint = view.endpoint
    return Placement(endpoint.upstream, endpoint.address, (), wait, start)


def _fits_in_time(plan: Plan, view: EngineView, limit: float) -> bool:
    return (
        view.jobs < plan.profile.slots
        and view.free_tokens >= plan.memory
        and view.compute_room(limit) >= plan.read
        and view.endpoint.upstream not in plan.excluded
    )


def choose_in_time(plan: Plan, pool: ReplicaPool) -> EngineView | None:
    """A replica that reads the whole prompt in time; the fullest such one.

    Replicas that write for longer gaps are left to the long prompts.
    """
    if plan.is_alone or not pool.has_sound:
        return choose_in_time_of(plan, pool.list_views(plan.excluded))
    gap = plan.work.event_gap
    slots = plan.profile.slots

    def rank_occupancy(occupancy: Occupancy) -> tuple[bool, bool, int]:
        return (
            occupancy.is_overdue,
            occupancy.count_loose(gap) > 0,
            -occupancy.count_tight(gap),
        )

    occupancies = [one for one in pool.list_occupancies() if one.jobs < slots]
    occupancies.sort(key=rank_occupancy)
    for _, alike in groupby(occupancies, key=rank_occupancy):
        view = _choose_among_alike(plan, pool, list(alike))
        if view is not None:
            return view
    return None


def _choose_among_alike(
    plan: Plan, pool: ReplicaPool, occupancies: list[Occupancy]
) -> EngineView | None:
    """The replica with the least to read, of those with equally good occupancies."""
    limit = plan.work.target * TARGET_PART
    settled = []
    for occupancy in occupancies:
        for view in pool.iterate_settled(occupancy, reverse=True):
            if _fits_in_time(plan, view, limit):
                settled.append(view)
                break
    if settled:
        return max(settled, key=lambda view: view.rank)
    reading = chain.from_iterable(pool.iterate_reading(one) for one in occupancies)
    fitting = [view for view in reading if _fits_in_time(plan, view, limit)]
    return max(fitting, key=lambda view: (-view.pending, view.rank), default=None)


def choose_in_time_of(plan: Plan, views: Iterable[EngineView]) -> EngineView | None:
    """The same choice with a look at each of ``views``."""
    limit = plan.work.target * TARGET_PART
    gap = plan.work.event_gap
    fitting = [view for view in views if _fits_in_time(plan, view, limit)]
    answering = [v for v in fitting if not v.occupancy.is_overdue] or fitting
    alike = [v for v in answering if not v.occupancy.count_loose(gap)] or answering
    if plan.is_alone:
        return max(alike, key=lambda view: _compute_pull(plan, view), default=None)
    return max(
        alike,
        key=lambda view: (view.occupancy.count_tight(gap), -view.pending, view.rank),
        default=None,
    )


def _compute_pull(plan: Plan, view: EngineView) -> float:
    """Weighted rendezvous: over all jobs a replica is taken as often as it has free
    slots.

    Each job draws anew. With one draw for all jobs of a chooser, several in a row went
    to its favourite until that was full: 0.94 instead of 0.95 of the worth with 81
    fronts alone for 1.5 s at a time, 0.82 instead of 0.85 in the worst windows.
    """
    free = plan.profile.slots - view.jobs
    drawn = (zlib.crc32(plan.work.job.encode(), view.rank) + 1) / (RANKS + 1)
    return free / -math.log(drawn)


def _choose_least_wait(plan: Plan, pool: ReplicaPool) -> EngineView | None:
    """Nothing is in time: the replica that starts soonest, a full one last."""
    sample = list(_sample_by_jobs(plan, pool)) or pool.list_views(plan.excluded)
    fitting = [view for view in sample if view.free_tokens >= plan.memory] or sample
    slots = plan.profile.slots
    return min(
        fitting,
        key=lambda view: (
            max(0, view.jobs + 1 - slots),
            view.pass_time + view.pending + plan.read * view.pace,
            view.rank,
        ),
        default=None,
    )


def _sample_by_jobs(plan: Plan, pool: ReplicaPool) -> Iterator[EngineView]:
    """Some replicas of each occupancy, those with a free slot first."""
    excluded = plan.excluded
    left = MOST_CANDIDATES
    for occupancy in sorted(pool.list_occupancies(), key=lambda one: one.jobs):
        if left <= 0:
            return
        settled = pool.iterate_settled(occupancy)
        found = chain(islice(settled, MOST_ALIKE), pool.iterate_reading(occupancy))
        for view in islice(found, left):
            left -= 1
            if view.endpoint.upstream not in excluded:
                yield view


def _count_kept(plan: Plan, pool: ReplicaPool) -> int:
    """Idle replicas that are kept, so that quick requests find a place whatever long
    ones do."""
    wanted = math.ceil(plan.quick_slots / plan.profile.slots)
    return max(0, wanted - pool.quick_replicas)


def place_on_idle(plan: Plan, pool: ReplicaPool) -> Placement | None:
    """Read it on replicas that do nothing, if there are as many as it may use."""
    most = MOST_HELPERS + 1
    if pool.count_settled(IDLE) - _count_kept(plan, pool) < most:
        return None
    usable = (
        view
        for view in pool.iterate_settled(IDLE)
        if view.helping < plan.profile.slots
        and view.endpoint.upstream not in plan.excluded
    )
    views = list(islice(usable, most))
    counts = [n for n in range(1, most + 1) if plan.read / n <= plan.longest_part]
    if len(views) < most or not counts:
        return None
    count = min(counts, key=lambda n: plan.read / n + plan.part_cost * n)
    placement = _build_group(plan, _Group(views[:count], 0.0, 0.0))
    if placement is None or placement.first_token_in > plan.work.target:
        return None
    return placement


def choose_group(plan: Plan, pool: ReplicaPool) -> Placement | Declined:
    """The replicas and the time with which the prompt is read first."""
    views = _sample_for_group(plan, pool) or pool.list_views(plan.excluded)
    if not views:
        return Declined(NO_REPLICA_PAUSE)
    candidates = _list_for_group(plan, pool, views)
    placement = _place_first_possible(plan, _list_groups(plan, candidates, views))
    if placement is None:
        return Declined(MEMORY_PAUSE)
    if placement.first_token_in <= plan.work.target * PREDICTION_SLACK:
        return placement
    return _place_late(plan, candidates, placement)


def _sample_for_group(plan: Plan, pool: ReplicaPool) -> list[EngineView]:
    """Replicas to look at: where nobody writes first, and quick requests' last."""
    occupancies = pool.list_occupancies()
    occupancies.sort(key=lambda one: (one.is_quick, one.jobs))
    views = chain.from_iterable(map(pool.iterate_views, occupancies))
    excluded = plan.excluded
    usable = (view for view in views if view.endpoint.upstream not in excluded)
    return list(islice(usable, MOST_CANDIDATES))


def _list_groups(
    plan: Plan, candidates: list[EngineView], views: list[EngineView]
) -> Iterator[_Group | None]:
    """Groups to try, the best first: replicas together may lack the memory."""
    yield (
        _find_earliest_end(plan, candidates, plan.longest_part)
        or _find_earliest_end(plan, candidates, math.inf)
    )
    with_memory = [view for view in candidates if view.free_tokens >= plan.memory]
    yield _find_earliest_end(plan, with_memory, math.inf)
    yield _choose_least_pending(plan, candidates)
    yield _choose_least_pending(plan, views)


def _place_first_possible(
    plan: Plan, groups: Iterator[_Group | None]
) -> Placement | None:
    for group in groups:
        placement = _build_group(plan, group) if group is not None else None
        if placement is not None:
            return placement
    return None


def _place_late(
    plan: Plan, candidates: list[EngineView], placement: Placement
) -> Placement | Declined:
    """It cannot be in time: read it where it takes the least from those that can.

    Few replicas that nobody uses now leave the others free; a late answer is worth the
    same at any time before its deadline.
    """
    late_by = placement.first_token_in - plan.work.target
    declined = Declined(max(LEAST_PAUSE, min(late_by, LONGEST_PAUSE)))
    if plan.read > LATE_READ_MOST:
        return declined
    latest = plan.work.remaining * LATE_DEADLINE
    idle = [v for v in candidates if v.occupancy.event_gap is None and not v.busy]
    for count in range(1, min(len(idle), MOST_HELPERS + 1) + 1):
        if plan.read / count <= latest:
            late = _build_group(plan, _Group(idle[:count], 0.0, 0.0))
            if late is not None:
                return late
    if placement.first_token_in <= latest:
        return placement
    return declined


def _list_for_group(
    plan: Plan, pool: ReplicaPool, views: list[EngineView]
) -> list[EngineView]:
    """Replicas of ``views`` that may read a part, in the order of rank."""
    slots = plan.profile.slots
    usable = [view for view in views if view.jobs < slots > view.helping]
    ranked = sorted(usable or views, key=lambda view: view.rank)
    # Those that are not looked at are left to quick requests in any case.
    kept = _count_kept(plan, pool) - pool.count_others_than_quick(beside=views)
    # Quick requests open idle replicas from the other end of the rank.
    others = [view for view in reversed(ranked) if not view.occupancy.is_quick]
    others.sort(key=lambda view: (view.pending, view.jobs))
    left_out = others[: max(0, min(kept, len(others) - 1))]
    names = {view.endpoint.upstream for view in left_out}
    return [view for view in ranked if view.endpoint.upstream not in names]


def _find_earliest_end(
    plan: Plan, candidates: list[EngineView], longest_part: float
) -> _Group | None:
    """The group that ends first, a little later if it needs fewer replicas.

    Groups start where a replica's earlier part ends, also in the time left before parts
    that were planned already, which keep their turns (conservative backfilling).
    """
    # Those where nobody writes first, and quick requests' replicas last.
    ranked = sorted(candidates, key=lambda view: (view.occupancy.is_quick, view.jobs))
    # Rounded up: a moment earlier, the replica would still be busy.
    ends = {math.ceil(1e3 * b.end) / 1e3 for view in candidates for b in view.busy}
    best: _Group | None = None
    for start in sorted({0.0, *ends})[:MOST_STARTS]:
        if best is not None and start >= best.cost:
            break
        rooms = [view.compute_part_room(start) for view in ranked]
        largest = sorted(rooms, reverse=True)
        for count in range(1, min(len(rooms), MOST_HELPERS + 1) + 1):
            part = plan.read / count
            if largest[count - 1] < part or part > longest_part:
                continue
            group = _take_fitting(plan, ranked, rooms, start, count)
            if best is None or group.cost < best.cost:
                best = group
    return best


def _take_fitting(
    plan: Plan, ranked: list[EngineView], rooms: list[float], start: float, count: int
) -> _Group:
    """The first replicas with room for a part, and what the group costs."""
    part = plan.read / count
    fitting = [view for view, room in zip(ranked, rooms, strict=True) if room >= part]
    chosen = fitting[:count]
    disturbed = sum(view.jobs for view in chosen)
    cost = start + part + plan.part_cost * count + DISTURBANCE * part * disturbed
    return _Group(chosen, start, cost)


def _choose_least_pending(plan: Plan, views: list[EngineView]) -> _Group:
    """No time was found: after all that is planned, where that ends first."""
    spared = [view for view in views if not view.occupancy.is_quick] or views
    ranked = sorted(spared, key=lambda view: view.pending + view.pass_time)
    counts = range(1, min(len(ranked), MOST_HELPERS + 1) + 1)
    best = min(counts, key=lambda n: ranked[n - 1].pending + plan.read / n)
    chosen = ranked[:best]
    start = max(view.pending for view in chosen)
    return _Group(chosen, start, start + plan.read / best)


def _choose_first(plan: Plan, chosen: list[EngineView]) -> EngineView:
    """The replica that writes: one with the memory, and little to read for others."""
    fitting = [view for view in chosen if view.free_tokens >= plan.memory]
    if not fitting:
        return max(chosen, key=lambda view: (view.free_tokens, -view.pending))
    return min(fitting, key=lambda v: (v.pending, v.jobs, -v.free_tokens))


def _build_group(plan: Plan, group: _Group) -> Placement | None:
    chosen = group.views
    first = _choose_first(plan, chosen)
    others = [view for view in chosen if view is not first]
    part = plan.read / len(chosen)
    # A part that comes later is read first: let none wait on a replica.
    start = group.start
    wait = start + max(view.pass_time + part * view.pace for view in chosen)
    missing = plan.memory - first.free_tokens
    helpers = []
    for view in others:
        tokens = 0
        if missing > 0:
            tokens = max(0, min(missing, view.free_tokens - MEMORY_MARGIN))
            missing -= tokens
        endpoint = view.endpoint
        helpers.append(Helper(endpoint.upstream, endpoint.address, tokens))
    if missing > 0:
        return None
    endpoint = first.endpoint
    wait += plan.first_event
    return Placement(endpoint.upstream, endpoint.address, tuple(helpers), wait, start)
