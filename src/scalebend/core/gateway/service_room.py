"""Room at the engines of one service, as the leader's queue sees and uses it."""

from __future__ import annotations

import heapq
import math
from collections.abc import Sequence

import msgspec

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.placement_plan import MAX_HELPERS, MEMORY_MARGIN_TOKENS
from scalebend.core.gateway.room_forecast import EngineFleet
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import ServiceName, UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement
from scalebend.models.routing import EngineProfile


class EngineRoom(msgspec.Struct):
    """The scheduler's replicas of one service at ``now``, within rate limits."""

    scheduler: EngineScheduler
    limits: LimitExchange
    service: ServiceName
    endpoints: Sequence[Endpoint]
    profile: EngineProfile
    now: float
    may_grant: bool

    def place(self, work: EngineWork) -> Placement | Declined:
        """Choose replicas and count the job there."""
        return self.limits.place(
            self.scheduler,
            work,
            self.endpoints,
            self.profile,
            self.now,
            may_grant=self.may_grant,
        )

    def withdraw(self, job: JobId) -> None:
        """Undo the placement of a job that was not sent."""
        self.limits.withdraw(self.scheduler, job, self.now)

    def describe_fleet(self) -> EngineFleet:
        """Return the replicas with their loads, for forecasts."""
        return self.scheduler.describe_fleet(self.endpoints, self.profile)

    def is_rate_limited(self) -> bool:
        """Whether any replica of the service is rate limited."""
        limited = set(self.limits.budget.list_limited())
        return any(one.upstream in limited for one in self.endpoints)

    def count_free_slots(self) -> int:
        """Count the free slots of healthy replicas; those of all if none is healthy."""
        pool = self.scheduler.refresh(
            self.service, self.endpoints, self.profile, self.now
        )
        if not pool.has_healthy:
            return self.profile.slots * len(self.endpoints)
        return pool.count_free_slots(self.profile.slots)

    def list_freest(self, tokens: int) -> list[UpstreamId]:
        """Return the fewest replicas that hold ``tokens`` once idle, if there are.

        Those with the most free memory are taken.
        """
        count = math.ceil(tokens / (self.profile.memory_tokens - MEMORY_MARGIN_TOKENS))
        if count > MAX_HELPERS + 1:
            return []
        pool = self.scheduler.refresh(
            self.service, self.endpoints, self.profile, self.now
        )
        views = pool.list_views()
        if len(views) < count:
            return []
        freest = heapq.nlargest(
            count, views, key=lambda view: (view.free_tokens, view.rank)
        )
        return [view.endpoint.upstream for view in freest]
