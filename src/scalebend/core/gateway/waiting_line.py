"""What waits at the leader for the engines of one service, and what was answered."""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.customer_use import CustomerUse
from scalebend.core.gateway.placement_plan import compute_memory
from scalebend.core.gateway.placement_queue import (
    PlacementQueue,
    Waiting,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement


class Answer(msgspec.Struct, frozen=True):
    placed: Placement | Declined
    at: float


class Queued(msgspec.Struct, frozen=True):
    """A request that waits."""

    plan: Placement | None
    expected: float | None
    """Seconds until it is expected to start, if known."""


class Released(msgspec.Struct, frozen=True):
    """A request that waits no longer."""

    work: EngineWork
    placed: Placement | Declined


class WaitingLine:
    """What waits for one service."""

    def __init__(self, now: float) -> None:
        self.use = CustomerUse(now)
        self.quick = PlacementQueue(self.use)
        self.long = PlacementQueue(self.use)
        self.planned: list[JobId] = []
        self.answers: dict[JobId, Answer] = {}
        self.is_changed = False
        """Whether room may have been given back, or a request added, since a plan."""

        self.untried: list[JobId] = []
        """Long prompts added since the last plan without a choice for them."""

        self.planned_at = -math.inf
        self.kept_for: Waiting | None = None
        """First request that lacks memory."""

        self.kept_free: tuple[UpstreamId, ...] = ()
        """Replicas kept free for it, chosen at ``kept_since``."""

        self.kept_since = -math.inf

    @property
    def waiting(self) -> int:
        return len(self.quick) + len(self.long)

    def find(self, job: JobId) -> tuple[PlacementQueue, Waiting] | None:
        for queue in (self.quick, self.long):
            entry = queue.get(job)
            if entry is not None:
                return queue, entry
        return None

    def remove(self, job: JobId) -> Waiting | None:
        self.quick.remove(job)
        entry = self.long.remove(job)
        if entry is not None and self.kept_for is entry:
            self.stop_keeping()
        return entry

    def is_behind(
        self, work: EngineWork, rank: float, entry: Waiting, now: float
    ) -> bool:
        """Whether a request has to leave room to one that waits."""
        if rank >= entry.rank:
            return True
        other = entry.work
        return work.priority == other.priority and self.use.is_ahead(
            work.customer, self.use.get_grown(other.customer), now
        )

    def sum_memory_before(self, rank: float) -> int:
        """Sum the tokens that long prompts up to ``rank`` need.

        Those with reserved replicas count there already.
        """
        planned = [self.long.get(job) for job in self.planned]
        reserved = sum(
            compute_memory(one.work)
            for one in planned
            if one is not None and one.rank <= rank
        )
        return max(0, self.long.sum_memory_before(rank) - reserved)

    def stop_keeping(self) -> None:
        if self.kept_for is not None:
            self.kept_for.is_kept = False
        self.kept_for = None
        self.kept_free = ()
