"""Ordered index of a service's usable replicas, so that a choice examines few of them.

Most views do not change between two choices: those of replicas that only decode. They
are kept in buckets of equal occupancy, sorted by rank; replicas in a bucket differ only
in memory and rank. Views of replicas that prefill change with the clock and are rebuilt
for each choice. The cost of a choice therefore follows the number of replicas that
prefill, not the size of the fleet.
"""

from __future__ import annotations

import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence

import msgspec

from scalebend.core.gateway.engine_view import EngineView, Occupancy
from scalebend.core.gateway.replica_load import ReplicaLoad
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, UpstreamId
from scalebend.models.routing import EngineProfile

_NO_LOAD = ReplicaLoad()
"""Load of a replica of which nothing is known."""


class _Bucket(msgspec.Struct, eq=False):
    """Healthy replicas with the same occupancy."""

    occupancy: Occupancy
    without_prefill: list[tuple[int, UpstreamId]] = msgspec.field(default_factory=list)
    """Replicas without scheduled prefill, by rank."""

    by_zone: dict[AvailabilityZone, list[tuple[int, UpstreamId]]] = msgspec.field(
        default_factory=dict
    )
    """The same replicas by availability zone."""

    prefilling: dict[UpstreamId, None] = msgspec.field(default_factory=dict)


class _Member(msgspec.Struct):
    endpoint: Endpoint
    rank: int
    view: EngineView | None = None
    viewed_at: float = 0.0
    bucket: _Bucket | None = None
    """Where it is indexed; ``None`` if it is unhealthy or new."""

    zone: AvailabilityZone | None = None
    """Zone under which it is indexed."""


class ReplicaPool:
    """Views of the replicas of one service at the moment of the last refresh."""

    def __init__(self, rank: Callable[[UpstreamId], int]) -> None:
        """``rank`` gives the order in which equal replicas are chosen."""
        self._rank = rank
        self._endpoints: Sequence[Endpoint] | None = None
        self._profile: EngineProfile | None = None
        self._loads: Mapping[UpstreamId, ReplicaLoad] = {}
        self._now = 0.0
        self._members: dict[UpstreamId, _Member] = {}
        self._buckets: dict[Occupancy, _Bucket] = {}
        self._unhealthy: dict[UpstreamId, None] = {}
        self._stale: dict[UpstreamId, None] = {}
        self._expiries: list[tuple[float, UpstreamId]] = []
        """Heap of the clock times at which kept views expire."""

        self.quick_replicas = 0
        """Healthy replicas on which quick requests decode."""

        self.quick_jobs = 0
        """Jobs on these replicas."""

    # Changes

    def mark_stale(self, upstream: UpstreamId) -> None:
        """Mark the view of a replica as stale."""
        if upstream in self._members:
            self._stale[upstream] = None

    def refresh(
        self,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        loads: Mapping[UpstreamId, ReplicaLoad],
        now: float,
    ) -> None:
        """Update the index to ``now``."""
        self._now = now
        self._loads = loads
        if profile != self._profile:
            self._profile = profile
            self._stale |= dict.fromkeys(self._members)
        # The directory returns a new tuple after a change; a list may change in place.
        if endpoints is not self._endpoints or not isinstance(endpoints, tuple):
            self._sync_members(endpoints)
        while self._expiries and self._expiries[0][0] <= now:
            self.mark_stale(heapq.heappop(self._expiries)[1])
        for upstream in self._stale:
            self._index(upstream)
        self._stale.clear()

    def _sync_members(self, endpoints: Sequence[Endpoint]) -> None:
        self._endpoints = endpoints
        usable = {endpoint.upstream: endpoint for endpoint in endpoints}
        for upstream in [name for name in self._members if name not in usable]:
            self._unindex(upstream)
            del self._members[upstream]
            self._stale.pop(upstream, None)
        for upstream, endpoint in usable.items():
            member = self._members.get(upstream)
            if member is None:
                self._members[upstream] = _Member(endpoint, self._rank(upstream))
                self._stale[upstream] = None
            elif member.endpoint != endpoint:
                member.endpoint = endpoint
                self._stale[upstream] = None

    def _unindex(self, upstream: UpstreamId) -> None:
        member = self._members[upstream]
        bucket = member.bucket
        member.bucket = None
        self._unhealthy.pop(upstream, None)
        if bucket is None:
            return
        if upstream in bucket.prefilling:
            del bucket.prefilling[upstream]
        else:
            key = (member.rank, upstream)
            del bucket.without_prefill[bisect_left(bucket.without_prefill, key)]
            assert member.zone is not None
            in_zone = bucket.by_zone[member.zone]
            del in_zone[bisect_left(in_zone, key)]
            if not in_zone:
                del bucket.by_zone[member.zone]
        if not bucket.without_prefill and not bucket.prefilling:
            del self._buckets[bucket.occupancy]
        self._count_quick(bucket.occupancy, -1)

    def _index(self, upstream: UpstreamId) -> None:
        self._unindex(upstream)
        view = self._build_view(upstream)
        if view.valid_until < math.inf:
            heapq.heappush(self._expiries, (view.valid_until, upstream))
        member = self._members[upstream]
        if not self._loads.get(upstream, _NO_LOAD).is_healthy(self._now):
            self._unhealthy[upstream] = None
            return
        bucket = self._buckets.get(view.occupancy)
        if bucket is None:
            bucket = self._buckets[view.occupancy] = _Bucket(view.occupancy)
        member.bucket = bucket
        if view.is_prefilling:
            bucket.prefilling[upstream] = None
        else:
            key = (member.rank, upstream)
            insort(bucket.without_prefill, key)
            member.zone = member.endpoint.availability_zone
            insort(bucket.by_zone.setdefault(member.zone, []), key)
        self._count_quick(view.occupancy, 1)

    def _count_quick(self, occupancy: Occupancy, change: int) -> None:
        if occupancy.is_quick:
            self.quick_replicas += change
            self.quick_jobs += change * occupancy.jobs

    def _build_view(self, upstream: UpstreamId) -> EngineView:
        assert self._profile is not None
        member = self._members[upstream]
        load = self._loads.get(upstream, _NO_LOAD)
        member.viewed_at = self._now
        member.view = load.build_view(
            member.endpoint, member.rank, self._profile, self._now
        )
        return member.view

    # Views

    @property
    def has_healthy(self) -> bool:
        """Whether any replica is healthy."""
        return bool(self._buckets)

    def list_occupancies(self) -> list[Occupancy]:
        """List the occupancies of healthy replicas."""
        return list(self._buckets)

    def iterate_without_prefill(
        self, occupancy: Occupancy, *, reverse: bool = False
    ) -> Iterator[EngineView]:
        """Yield healthy replicas of this occupancy that do not prefill, by rank."""
        without_prefill = self._buckets[occupancy].without_prefill
        for _, upstream in reversed(without_prefill) if reverse else without_prefill:
            yield self._get_view(upstream)

    def list_zones_without_prefill(
        self, occupancy: Occupancy
    ) -> list[AvailabilityZone]:
        """List the zones of healthy replicas of this occupancy that do not prefill."""
        return list(self._buckets[occupancy].by_zone)

    def iterate_zone_without_prefill(
        self, occupancy: Occupancy, zone: AvailabilityZone
    ) -> Iterator[EngineView]:
        """Yield replicas as :meth:`iterate_without_prefill`, of one zone, reversed."""
        for _, upstream in reversed(self._buckets[occupancy].by_zone[zone]):
            yield self._get_view(upstream)

    def iterate_prefilling(self, occupancy: Occupancy) -> Iterator[EngineView]:
        """Yield healthy replicas of this occupancy that prefill."""
        for upstream in self._buckets[occupancy].prefilling:
            yield self._get_view(upstream)

    def iterate_views(self, occupancy: Occupancy) -> Iterator[EngineView]:
        """Yield healthy replicas of this occupancy, those that prefill last."""
        yield from self.iterate_without_prefill(occupancy)
        yield from self.iterate_prefilling(occupancy)

    def count_without_prefill(self, occupancy: Occupancy) -> int:
        """Count healthy replicas of this occupancy that do not prefill."""
        bucket = self._buckets.get(occupancy)
        return len(bucket.without_prefill) if bucket is not None else 0

    def count_free_slots(self, slots: int) -> int:
        """Count the free slots of healthy replicas with ``slots`` each."""
        return sum(
            max(0, slots - occupancy.jobs)
            * (len(bucket.without_prefill) + len(bucket.prefilling))
            for occupancy, bucket in self._buckets.items()
        )

    def count_without_quick(self, apart_from: Iterable[EngineView]) -> int:
        """Count healthy replicas without quick jobs, ``apart_from`` left out."""
        indexed = sum(
            len(bucket.without_prefill) + len(bucket.prefilling)
            for occupancy, bucket in self._buckets.items()
            if not occupancy.is_quick
        )
        return indexed - sum(not view.occupancy.is_quick for view in apart_from)

    def list_views(self, excluded: Iterable[UpstreamId] = ()) -> list[EngineView]:
        """List healthy replicas except ``excluded``; if none is left, unhealthy
        ones."""
        left_out = set(excluded)
        views = [
            self._get_view(upstream)
            for upstream, member in self._members.items()
            if member.bucket is not None and upstream not in left_out
        ]
        return views or [
            self._get_view(upstream)
            for upstream in self._unhealthy
            if upstream not in left_out
        ]

    def _get_view(self, upstream: UpstreamId) -> EngineView:
        member = self._members[upstream]
        view = member.view
        if view is None or (view.is_prefilling and member.viewed_at != self._now):
            return self._build_view(upstream)
        return view
