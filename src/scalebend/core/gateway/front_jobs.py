"""Open engine jobs of one front, with their placements."""

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
    """Open jobs of one front, also counted in its own scheduler.

    A new leader receives all of them, and the own scheduler places work while there is
    no leader. ``profile`` is ``None`` for a service that no longer has engines.
    """

    def __init__(self, scheduler: EngineScheduler) -> None:
        self._scheduler = scheduler
        self._jobs: dict[JobId, OpenJob] = {}
        self._placed_at: dict[JobId, float] = {}

    def open(self, work: EngineWork, placement: Placement, now: float) -> OpenJob:
        """Store a job that was placed now."""
        opened = OpenJob(work, placement, is_decoding=False)
        self._jobs[work.job] = opened
        self._placed_at[work.job] = now
        return opened

    def adopt(self, opened: OpenJob, profile: EngineProfile | None, now: float) -> None:
        """Count a job in the own scheduler that was placed elsewhere."""
        if profile is not None:
            self._scheduler.adopt(opened, profile, now)

    def replan(
        self,
        work: EngineWork,
        placement: Placement,
        profile: EngineProfile | None,
        now: float,
    ) -> None:
        """Store another placement of a job that has not been sent yet."""
        self._scheduler.forget(work.job)
        self.adopt(self.open(work, placement, now), profile, now)

    def replace(
        self,
        job: JobId,
        placement: Placement,
        profile: EngineProfile | None,
        now: float,
    ) -> OpenJob:
        """Store that a job runs on other replicas; its age and stage are kept."""
        opened = msgspec.structs.replace(self._jobs[job], placement=placement)
        self._jobs[job] = opened
        updated = msgspec.structs.replace(opened, age=now - self._placed_at[job])
        self._scheduler.record_stage(JobStage(job, is_ended=True), now)
        self.adopt(updated, profile, now)
        return updated

    def record_stage(self, stage: JobStage, now: float) -> None:
        """Record that a job's first token was seen, or that it ended."""
        self._scheduler.record_stage(stage, now)
        opened = self._jobs.get(stage.job)
        if stage.is_ended:
            self._jobs.pop(stage.job, None)
            self._placed_at.pop(stage.job, None)
        elif opened is not None:
            self._jobs[stage.job] = msgspec.structs.replace(opened, is_decoding=True)

    def find_work(self, job: JobId) -> EngineWork:
        """Return the work of an open job."""
        return self._jobs[job].work

    def list_open(self, now: float) -> list[OpenJob]:
        """All open jobs, with their ages in seconds."""
        return [
            msgspec.structs.replace(opened, age=now - self._placed_at[job])
            for job, opened in self._jobs.items()
        ]
