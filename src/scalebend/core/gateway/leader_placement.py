"""Places engine work for all fronts, from an exact list of what is open.

The list belongs to one term: whoever begins to lead learns it anew from the fronts, and
places nothing before it was told, or waited for it a little.
"""

from __future__ import annotations

from collections.abc import Iterable

import structlog

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.messages import PlacementReply
from scalebend.core.gateway.route_table import RouteTable
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.placement import (
    Declined,
    EngineWork,
    OpenJob,
    ReplicaPace,
    is_job_of,
)

logger = structlog.get_logger(__name__)

LEARNING_TIME = 0.15
"""Seconds for which a new leader waits for the open jobs of all fronts before it places
any: fronts hear of it within a tick and answer at once; one that is silent holds nobody
up for longer. Meanwhile fronts place alone."""


class LeaderPlacement:
    """What one control instance knows of open jobs, which is of use while it leads."""

    def __init__(self, limits: LimitExchange, now: float) -> None:
        self.scheduler = EngineScheduler()
        self._limits = limits
        self._unheard: set[InstanceId] = set()
        self._learns_until = now

    def start_term(self, fronts: Iterable[InstanceId], now: float) -> None:
        """This instance begins to lead, or ceases to: ``fronts`` tell what is open."""
        self.scheduler = EngineScheduler()
        self._limits.start_term(now)
        self._unheard = set(fronts)
        self._learns_until = now + LEARNING_TIME

    def is_learning(self, now: float) -> bool:
        """Whether fronts may have jobs open that are not known yet."""
        return bool(self._unheard) and now < self._learns_until

    def remove_front(self, front: InstanceId) -> None:
        """The link to a front was lost: if it runs, it tells its jobs anew."""
        self._unheard.discard(front)
        self.scheduler.forget_front(lambda job: is_job_of(front, job))

    def note_heard(self, front: InstanceId) -> None:
        """A front has told all jobs that it has open."""
        self._unheard.discard(front)

    def adopt(self, jobs: Iterable[OpenJob], table: RouteTable, now: float) -> None:
        """Learn of jobs that others placed."""
        for job in jobs:
            profile = table.find_engine(job.work.service)
            if profile is not None:
                self.scheduler.adopt(job, profile, now)

    def note_inspection(
        self, paces: Iterable[ReplicaPace], silent: Iterable[UpstreamId], now: float
    ) -> None:
        """Replicas told how slow they are, or did not answer."""
        for pace in paces:
            self.scheduler.note_pace(pace, now)
        for upstream in silent:
            self.scheduler.note_failure(upstream, now)

    def place(
        self,
        work: EngineWork,
        table: RouteTable,
        directory: EndpointDirectory,
        now: float,
        *,
        may_grant: bool,
    ) -> PlacementReply:
        """Choose replicas; limited ones are left out unless it ``may_grant``."""
        profile = table.find_engine(work.service)
        if profile is None or self.is_learning(now):
            return PlacementReply(work.job)
        endpoints = directory.list_usable(work.service)
        placed = self._limits.place(
            self.scheduler, work, endpoints, profile, now, may_grant=may_grant
        )
        if isinstance(placed, Declined):
            return PlacementReply(work.job, declined=placed)
        return PlacementReply(work.job, placed)

    def log_summary(self, fronts: int, now: float) -> None:
        """Write what is believed of the engines to the log."""
        summary = self.scheduler.summarise(now)
        logger.info(
            "engine beliefs",
            open=summary.open_jobs,
            writing=summary.writing,
            slow=summary.slow,
            suspect=summary.suspect,
            fronts=fronts,
        )
