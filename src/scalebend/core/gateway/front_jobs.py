"""Engine jobs that one front has open, and where they run as it knows."""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.models.placement import (
    EngineWork,
    JobId,
    JobStage,
    OpenJob,
    Placement,
)
from scalebend.models.routing import EngineProfile


class FrontJobs:
    """Open jobs of one front; its own scheduler learns of those placed elsewhere.

    Whoever leads next is told all of them, and the scheduler places alone if nobody
    does. A job without a ``profile`` is of a service that has no engines any more.
    """

    def __init__(self, scheduler: EngineScheduler) -> None:
        self._scheduler = scheduler
        self._jobs: dict[JobId, OpenJob] = {}
        self._placed_at: dict[JobId, float] = {}

    def open(self, work: EngineWork, placement: Placement, now: float) -> OpenJob:
        """Keep a job that was placed now."""
        opened = OpenJob(work, placement, is_writing=False)
        self._jobs[work.job] = opened
        self._placed_at[work.job] = now
        return opened

    def adopt(self, opened: OpenJob, profile: EngineProfile | None, now: float) -> None:
        """The own scheduler counts a job that it did not place."""
        if profile is not None:
            self._scheduler.adopt(opened, profile, now)

    def replan(
        self,
        work: EngineWork,
        placement: Placement,
        profile: EngineProfile | None,
        now: float,
    ) -> None:
        """A job that waits for its turn was given another placement."""
        self._scheduler.forget(work.job)
        self.adopt(self.open(work, placement, now), profile, now)

    def replace(
        self,
        job: JobId,
        placement: Placement,
        profile: EngineProfile | None,
        now: float,
    ) -> OpenJob:
        """A job runs on other replicas than planned, at the time it was given."""
        opened = msgspec.structs.replace(self._jobs[job], placement=placement)
        self._jobs[job] = opened
        aged = msgspec.structs.replace(opened, age=now - self._placed_at[job])
        self._scheduler.record_stage(JobStage(job, is_ended=True), now)
        self.adopt(aged, profile, now)
        return aged

    def record_stage(self, stage: JobStage, now: float) -> None:
        """A job's first token was seen, or it ended."""
        self._scheduler.record_stage(stage, now)
        opened = self._jobs.get(stage.job)
        if stage.is_ended:
            self._jobs.pop(stage.job, None)
            self._placed_at.pop(stage.job, None)
        elif opened is not None:
            self._jobs[stage.job] = msgspec.structs.replace(opened, is_writing=True)

    def find_work(self, job: JobId) -> EngineWork:
        """What an open job is to do."""
        return self._jobs[job].work

    def list_open(self, now: float) -> list[OpenJob]:
        """All of them, with their ages."""
        return [
            msgspec.structs.replace(opened, age=now - self._placed_at[job])
            for job, opened in self._jobs.items()
        ]
