"""The usable replicas of one service, kept in order, so that a choice looks at few.

Most replicas do not change between two choices: what they write was started before, and
what they had to read is read. Their views are kept, in buckets of the same occupancy:
such replicas are equal but for memory and rank, so a sorted list tells which is next.
Only replicas that read are looked at anew each time, since their reading ends by the
clock. A choice therefore costs by what is being read, not by the size of the fleet.
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
from scalebend.models.ids import UpstreamId
from scalebend.models.routing import EngineProfile

_UNKNOWN = ReplicaLoad()
"""A replica of which nothing is known."""


class _Bucket(msgspec.Struct, eq=False):
    """Sound replicas with the same occupancy."""

    occupancy: Occupancy
    settled: list[tuple[int, UpstreamId]] = msgspec.field(default_factory=list)
    """Those that read nothing, by rank."""

    reading: dict[UpstreamId, None] = msgspec.field(default_factory=dict)


class _Member(msgspec.Struct):
    endpoint: Endpoint
    rank: int
    view: EngineView | None = None
    viewed_at: float = 0.0
    bucket: _Bucket | None = None
    """Where it is indexed; ``None`` for one that is unsound or new."""


class ReplicaPool:
    """Views of the replicas of one service at the moment of the last refresh."""

    def __init__(self, rank: Callable[[UpstreamId], int]) -> None:
        """``rank`` gives the order in which equal replicas are taken."""
        self._rank = rank
        self._endpoints: Sequence[Endpoint] | None = None
        self._profile: EngineProfile | None = None
        self._loads: Mapping[UpstreamId, ReplicaLoad] = {}
        self._now = 0.0
        self._members: dict[UpstreamId, _Member] = {}
        self._buckets: dict[Occupancy, _Bucket] = {}
        self._unsound: dict[UpstreamId, None] = {}
        self._stale: dict[UpstreamId, None] = {}
        self._changes: list[tuple[float, UpstreamId]] = []
        """Heap of the times at which a kept view ends by the clock."""

        self.quick_replicas = 0
        """Sound replicas that write for quick requests."""

        self.quick_jobs = 0
        """Jobs on these."""

    # Changes

    def touch(self, upstream: UpstreamId) -> None:
        """Something of a replica changed."""
        if upstream in self._members:
            self._stale[upstream] = None

    def refresh(
        self,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        loads: Mapping[UpstreamId, ReplicaLoad],
        now: float,
    ) -> None:
        """Bring what is known up to ``now``."""
        self._now = now
        self._loads = loads
        if profile != self._profile:
            self._profile = profile
            self._stale |= dict.fromkeys(self._members)
        # A tuple never changes: the directory hands out a new one.
        if endpoints is not self._endpoints or not isinstance(endpoints, tuple):
            self._keep_to(endpoints)
        while self._changes and self._changes[0][0] <= now:
            self.touch(heapq.heappop(self._changes)[1])
        for upstream in self._stale:
            self._index(upstream)
        self._stale.clear()

    def _keep_to(self, endpoints: Sequence[Endpoint]) -> None:
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
        self._unsound.pop(upstream, None)
        if bucket is None:
            return
        if upstream in bucket.reading:
            del bucket.reading[upstream]
        else:
            del bucket.settled[bisect_left(bucket.settled, (member.rank, upstream))]
        if not bucket.settled and not bucket.reading:
            del self._buckets[bucket.occupancy]
        self._count_quick(bucket.occupancy, -1)

    def _index(self, upstream: UpstreamId) -> None:
        self._unindex(upstream)
        view = self._build_view(upstream)
        if view.stable_until < math.inf:
            heapq.heappush(self._changes, (view.stable_until, upstream))
        member = self._members[upstream]
        if not self._loads.get(upstream, _UNKNOWN).is_sound(self._now):
            self._unsound[upstream] = None
            return
        bucket = self._buckets.get(view.occupancy)
        if bucket is None:
            bucket = self._buckets[view.occupancy] = _Bucket(view.occupancy)
        member.bucket = bucket
        if view.is_reading:
            bucket.reading[upstream] = None
        else:
            insort(bucket.settled, (member.rank, upstream))
        self._count_quick(view.occupancy, 1)

    def _count_quick(self, occupancy: Occupancy, change: int) -> None:
        if occupancy.is_quick:
            self.quick_replicas += change
            self.quick_jobs += change * occupancy.jobs

    def _build_view(self, upstream: UpstreamId) -> EngineView:
        assert self._profile is not None
        member = self._members[upstream]
        load = self._loads.get(upstream, _UNKNOWN)
        member.viewed_at = self._now
        member.view = load.build_view(
            member.endpoint, member.rank, self._profile, self._now
        )
        return member.view

    # Views

    @property
    def has_sound(self) -> bool:
        """Whether any replica is sound."""
        return bool(self._buckets)

    def list_occupancies(self) -> list[Occupancy]:
        """Companies that sound replicas have now."""
        return list(self._buckets)

    def iterate_settled(
        self, occupancy: Occupancy, *, reverse: bool = False
    ) -> Iterator[EngineView]:
        """Sound replicas with this occupancy that read nothing, by rank."""
        settled = self._buckets[occupancy].settled
        for _, upstream in reversed(settled) if reverse else settled:
            yield self._get_view(upstream)

    def iterate_reading(self, occupancy: Occupancy) -> Iterator[EngineView]:
        """Sound replicas with this occupancy that read."""
        for upstream in self._buckets[occupancy].reading:
            yield self._get_view(upstream)

    def iterate_views(self, occupancy: Occupancy) -> Iterator[EngineView]:
        """Sound replicas with this occupancy, those that read last."""
        yield from self.iterate_settled(occupancy)
        yield from self.iterate_reading(occupancy)

    def count_settled(self, occupancy: Occupancy) -> int:
        """Sound replicas with this occupancy that read nothing."""
        bucket = self._buckets.get(occupancy)
        return len(bucket.settled) if bucket is not None else 0

    def count_others_than_quick(self, beside: Iterable[EngineView]) -> int:
        """Sound replicas that do not write for quick requests, ``beside`` left out."""
        indexed = sum(
            len(bucket.settled) + len(bucket.reading)
            for occupancy, bucket in self._buckets.items()
            if not occupancy.is_quick
        )
        return indexed - sum(not view.occupancy.is_quick for view in beside)

    def list_views(self, excluded: Iterable[UpstreamId] = ()) -> list[EngineView]:
        """Sound replicas but for those ``excluded``; all others if there are none."""
        left_out = set(excluded)
        views = [
            self._get_view(upstream)
            for upstream, member in self._members.items()
            if member.bucket is not None and upstream not in left_out
        ]
        return views or [
            self._get_view(upstream)
            for upstream in self._unsound
            if upstream not in left_out
        ]

    def _get_view(self, upstream: UpstreamId) -> EngineView:
        member = self._members[upstream]
        view = member.view
        if view is None or (view.is_reading and member.viewed_at != self._now):
            return self._build_view(upstream)
        return view
