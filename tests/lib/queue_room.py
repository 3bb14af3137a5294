"""A leader's room and queue for one service, without messages."""

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.queued_placement import QueuedPlacement
from scalebend.core.gateway.service_room import EngineRoom
from scalebend.models.placement import JobStage
from tests.lib.gateway_builders import PROFILE, SERVICE, build_endpoint


class QueueRoom:
    """Some replicas, their scheduler and the queue; the test drives the clock."""

    def __init__(self, replicas, profile=PROFILE):
        self.profile = profile
        self.endpoints = tuple(
            build_endpoint(number) for number in range(1, replicas + 1)
        )
        self.scheduler = EngineScheduler()
        self.limits = LimitExchange()
        self.queue = QueuedPlacement()

    def build_room(self, now):
        return EngineRoom(
            self.scheduler,
            self.limits,
            SERVICE,
            self.endpoints,
            self.profile,
            now,
            may_grant=True,
        )

    def place(self, work, now=0.0, *, may_wait=True):
        return self.queue.place(work, self.build_room(now), now, may_wait=may_wait)

    def advance(self, now):
        released = self.queue.advance(lambda _: self.build_room(now), now)
        return {one.work.job: one.placed for one in released}

    def end(self, job, now):
        self.queue.remove(job, has_started=self.scheduler.is_decoding(job))
        self.queue.record_change()
        self.scheduler.record_stage(JobStage(job, is_ended=True), now)
