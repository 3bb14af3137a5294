"""What waits at the leader for the engines of one service, and what was answered."""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.customer_use import CustomerUse
from scalebend.core.gateway.placement_queue import PlacementQueue, Waiting
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement

FREED_DECAY_S = 3.0
"""Time constant of the rate at which memory is given back: about one response."""


class Answer(msgspec.Struct, frozen=True):
    placed: Placement | Declined
    at: float


class FreedMemory:
    """Decaying rate at which long prompts give memory back, in tokens."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._at = 0.0

    def record(self, tokens: int, now: float) -> None:
        self._tokens = self._decay(now) + tokens
        self._at = now

    def compute_rate(self, now: float) -> float:
        return self._decay(now) / FREED_DECAY_S

    def _decay(self, now: float) -> float:
        return self._tokens * math.exp(-max(0.0, now - self._at) / FREED_DECAY_S)


class WaitingLine:
    """What waits for one service."""

    def __init__(self, now: float) -> None:
        self.use = CustomerUse(now)
        self.quick = PlacementQueue(self.use)
        self.long = PlacementQueue(self.use)
        self.freed = FreedMemory()
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

    def stop_keeping(self) -> None:
        if self.kept_for is not None:
            self.kept_for.is_kept = False
        self.kept_for = None
        self.kept_free = ()
