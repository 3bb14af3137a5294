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
from scalebend.core.gateway.path_evidence import LeaderPaths
from scalebend.core.gateway.placement_plan import NO_REPLICA_RETRY_S
from scalebend.core.gateway.queued_placement import QueuedPlacement
from scalebend.core.gateway.route_table import RouteTable
from scalebend.core.gateway.service_room import EngineRoom
from scalebend.core.gateway.waiting_line import Queued
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import InstanceId, ServiceName, UpstreamId
from scalebend.models.placement import (
    Declined,
    EngineWork,
    JobStage,
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
        self.queue = QueuedPlacement()
        self.paths = LeaderPaths()
        self._limits = limits
        self._unreported: set[InstanceId] = set()
        self._learning_until = now

    def start_term(self, fronts: Iterable[InstanceId], now: float) -> None:
        """Begin or end leading; ``fronts`` are expected to report their open jobs."""
        self.scheduler = EngineScheduler()
        self.queue = QueuedPlacement()
        self.paths = LeaderPaths()
        self.scheduler.paths = self.paths.health
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
        self.paths.remove_front(front)
        self.scheduler.forget_front(lambda job: is_job_of(front, job))
        self.queue.remove_front(front)

    def record_front_report(self, front: InstanceId) -> None:
        """Record that a front has reported all its open jobs."""
        self._unreported.discard(front)

    def adopt(self, jobs: Iterable[OpenJob], table: RouteTable, now: float) -> None:
        """Add jobs that others placed."""
        for job in jobs:
            profile = table.find_engine(job.work.service)
            if profile is not None:
                self.queue.record_open(job.work, now)
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

    def record_stages(self, stages: Iterable[JobStage], now: float) -> None:
        """Record first tokens and ends of jobs, queued ones included."""
        for stage in stages:
            if stage.is_ended:
                has_started = self.scheduler.is_decoding(stage.job)
                self.queue.remove(stage.job, has_started=has_started)
                self.queue.record_change()
            self.scheduler.record_stage(stage, now)

    def place(
        self,
        work: EngineWork,
        table: RouteTable,
        directory: EndpointDirectory,
        now: float,
        *,
        may_grant: bool,
        may_wait: bool = False,
    ) -> PlacementReply:
        """Choose replicas; rate-limited ones are left out unless it ``may_grant``.

        If the document ranks customers, a request that ``may_wait`` is queued while
        there is no room for it; :meth:`release` returns the replies that follow.
        """
        room = self._find_room(work.service, table, directory, now, may_grant=may_grant)
        if room is None or self.is_learning(now):
            return PlacementReply(work.job)
        if self._is_left_to_fronts(work.service, now, may_grant=may_grant):
            return PlacementReply(work.job)
        if work.is_second:
            return self._place_second(work, room.endpoints, room.profile, now)
        if table.has_ranked_customers:
            return self._place_in_order(work, room, may_wait=may_wait)
        placed = room.place(work)
        if isinstance(placed, Declined):
            return self._decline(work, placed)
        return PlacementReply(work.job, placed)

    def _place_in_order(
        self, work: EngineWork, room: EngineRoom, *, may_wait: bool
    ) -> PlacementReply:
        placed = self.queue.place(work, room, room.now, may_wait=may_wait)
        match placed:
            case Queued(plan, expected):
                return PlacementReply(work.job, plan, is_queued=True, queued=expected)
            case Declined():
                return self._decline(work, placed)
        return PlacementReply(work.job, placed)

    def release(
        self,
        table: RouteTable,
        directory: EndpointDirectory,
        now: float,
        *,
        may_grant: bool,
    ) -> list[PlacementReply]:
        """Return the replies to queued requests that wait no longer."""
        if not self.queue.waiting or self.is_learning(now):
            return []

        def find_room(service: ServiceName) -> EngineRoom | None:
            if self._is_left_to_fronts(service, now, may_grant=may_grant):
                return None
            return self._find_room(service, table, directory, now, may_grant=may_grant)

        return [
            self._decline(one.work, one.placed)
            if isinstance(one.placed, Declined)
            else PlacementReply(one.work.job, one.placed)
            for one in self.queue.advance(find_room, now)
        ]

    def _is_left_to_fronts(
        self, service: ServiceName, now: float, *, may_grant: bool
    ) -> bool:
        """Whether fronts use their own parts of the ceilings of a service for now."""
        limits = self._limits
        if not limits.starts.applies_to(service):
            return False
        return not may_grant or limits.ceilings.is_starting(service, now)

    def _find_room(
        self,
        service: ServiceName,
        table: RouteTable,
        directory: EndpointDirectory,
        now: float,
        *,
        may_grant: bool,
    ) -> EngineRoom | None:
        """Return the room of a service; ``None`` if it has no engines."""
        profile = table.find_engine(service)
        if profile is None:
            return None
        return EngineRoom(
            self.scheduler,
            self._limits,
            service,
            directory.list_usable(service),
            profile,
            now,
            may_grant,
        )

    def _place_second(
        self,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
    ) -> PlacementReply:
        """Place a second attempt into idle room; it never waits and moves nothing.

        Rate-limited and cold replicas are left out: their permits are for first
        attempts.
        """
        room = Room(self.scheduler.open_jobs, profile.slots * len(endpoints))
        if room.is_idle and not self._is_work_waiting():
            avoided = self._limits.list_reserved(endpoints, now)
            placed = self.scheduler.place(work, endpoints, profile, now, avoided)
            if isinstance(placed, Placement) and is_fit(work, placed):
                self._limits.ceilings.spend(placed.upstream, now)
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
        """Whether work waits, which a second attempt must not overtake."""
        return bool(self.queue.waiting)

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
            bookings=self.queue.returns.bookings,
        )
