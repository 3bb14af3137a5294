"""Places engine work for all fronts, from an exact list of open jobs.

The list belongs to one term: a new leader learns it from the fronts, and places nothing
until all fronts have reported or a short timeout has passed.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

import structlog

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.hedging import Room, is_fit
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.messages import PlacementReply
from scalebend.core.gateway.placement_plan import NO_REPLICA_RETRY_S
from scalebend.core.gateway.route_table import RouteTable
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.placement import (
    Declined,
    EngineWork,
    OpenJob,
    Placement,
    ReplicaPace,
    is_job_of,
)
from scalebend.models.routing import EngineProfile

logger = structlog.get_logger(__name__)

LEARNING_TIMEOUT_S = 0.15
"""Time for which a new leader waits for the open jobs of all fronts before it places
any. Meanwhile fronts are uncoordinated."""


class LeaderPlacement:
    """Open jobs that one control instance knows; used while it leads."""

    def __init__(self, limits: LimitExchange, now: float) -> None:
        self.scheduler = EngineScheduler()
        self._limits = limits
        self._unreported: set[InstanceId] = set()
        self._learning_until = now

    def start_term(self, fronts: Iterable[InstanceId], now: float) -> None:
        """Begin or end leading; ``fronts`` are expected to report their open jobs."""
        self.scheduler = EngineScheduler()
        self._limits.start_term(now)
        self._unreported = set(fronts)
        self._learning_until = now + LEARNING_TIMEOUT_S

    def is_learning(self, now: float) -> bool:
        """Whether fronts may have open jobs that are not known yet."""
        return bool(self._unreported) and now < self._learning_until

    def remove_front(self, front: InstanceId) -> None:
        """Remove a front whose link was lost.

        It reports its jobs anew if it still runs.
        """
        self._unreported.discard(front)
        self.scheduler.forget_front(lambda job: is_job_of(front, job))

    def record_front_report(self, front: InstanceId) -> None:
        """Record that a front has reported all its open jobs."""
        self._unreported.discard(front)

    def adopt(self, jobs: Iterable[OpenJob], table: RouteTable, now: float) -> None:
        """Add jobs that others placed."""
        for job in jobs:
            profile = table.find_engine(job.work.service)
            if profile is not None:
                self.scheduler.adopt(job, profile, now)

    def record_inspection(
        self,
        paces: Iterable[ReplicaPace],
        unresponsive: Iterable[UpstreamId],
        now: float,
    ) -> None:
        """Record the paces that replicas reported, and those that were unresponsive."""
        for pace in paces:
            self.scheduler.record_pace(pace, now)
        for upstream in unresponsive:
            self.scheduler.record_failure(upstream, now)

    def place(
        self,
        work: EngineWork,
        table: RouteTable,
        directory: EndpointDirectory,
        now: float,
        *,
        may_grant: bool,
    ) -> PlacementReply:
        """Choose replicas; rate-limited ones are left out unless it ``may_grant``."""
        profile = table.find_engine(work.service)
        if profile is None or self.is_learning(now):
            return PlacementReply(work.job)
        endpoints = directory.list_usable(work.service)
        if work.is_second:
            return self._place_second(work, endpoints, profile, now)
        placed = self._limits.place(
            self.scheduler, work, endpoints, profile, now, may_grant=may_grant
        )
        if isinstance(placed, Declined):
            return self._decline(work, placed)
        return PlacementReply(work.job, placed)

    def _place_second(
        self,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
    ) -> PlacementReply:
        """Place a second attempt into idle room; it never waits and moves nothing.

        Rate-limited replicas are left out: their permits are for first attempts.
        """
        room = Room(self.scheduler.open_jobs, profile.slots * len(endpoints))
        if room.is_idle and not self._is_work_waiting():
            limited = self._limits.budget.list_limited()
            placed = self.scheduler.place(work, endpoints, profile, now, limited)
            if isinstance(placed, Placement) and is_fit(work, placed):
                return PlacementReply(work.job, placed)
            self.scheduler.forget(work.job)
        logger.info(
            "no room for a second attempt",
            job=work.job,
            open=room.jobs,
            slots=room.slots,
        )
        return PlacementReply(work.job, declined=Declined(NO_REPLICA_RETRY_S))

    def _is_work_waiting(self) -> bool:
        """Whether work waits at the leader, which a second attempt must not overtake.

        Nothing does: what finds no room is declined.
        """
        return False

    def record_overdue(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Record replicas at which a front waits for an overdue first token."""
        for upstream in upstreams:
            if self.scheduler.record_overdue(upstream, now):
                logger.info("replica left out for overdue tokens", upstream=upstream)

    def _decline(self, work: EngineWork, declined: Declined) -> PlacementReply:
        """Reply that no replica may take the work now."""
        return PlacementReply(work.job, declined=declined)

    def log_summary(self, fronts: int, now: float) -> None:
        """Log the scheduler's state."""
        summary = self.scheduler.summarise(now)
        logger.info(
            "engine beliefs",
            open=summary.open_jobs,
            writing=summary.decoding,
            slow=summary.slow,
            suspect=summary.suspect,
            fronts=fronts,
        )
