"""Places engine work so that replicas that named a limit get no more than they take.

A replica without room is left out like one that must not be used. Long prompts, whose
turn may come much later and which several replicas read, leave all limited ones alone
while others can read them.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from scalebend.core.gateway.engine_costs import (
    MIN_SPLIT_PREFILL_S,
    compute_prefill_time,
)
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.patience import PATIENT_PART
from scalebend.core.gateway.placement_aging import REPLAN_PERIOD_S
from scalebend.core.send_budget import SendBudget
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement
from scalebend.models.routing import EngineProfile

LONGEST_WAIT = REPLAN_PERIOD_S
"""Seconds for which a prompt waits for room: after this it would ask again, and lose
its place to those that came later."""


class LimitedPlacement:
    """Choices of one scheduler within one budget."""

    def __init__(self, budget: SendBudget) -> None:
        self._budget = budget
        self._waiting: dict[JobId, tuple[UpstreamId, float]] = {}
        """Where prompts that wait for their turn are to be sent, and when."""

    def place(
        self,
        scheduler: EngineScheduler,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
    ) -> Placement | Declined:
        """Choose replicas within their limits, and count the request at the first."""
        limited = self._budget.list_limited()
        if not limited:
            return scheduler.place(work, endpoints, profile, now)
        self._forget(work.job, now)
        closed = self._budget.list_closed(now)
        is_quick = (
            compute_prefill_time(profile, work.prompt_tokens) <= MIN_SPLIT_PREFILL_S
        )
        spared = closed if is_quick else limited
        placed = scheduler.place(work, endpoints, profile, now, spared)
        if isinstance(placed, Declined) and not is_quick:
            placed = scheduler.place(work, endpoints, profile, now, closed)
        if isinstance(placed, Declined):
            placed = self._place_later(scheduler, work, endpoints, profile, now, placed)
        if isinstance(placed, Placement):
            self._count(work.job, placed, now)
        return placed

    def _place_later(
        self,
        scheduler: EngineScheduler,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
        declined: Declined,
    ) -> Placement | Declined:
        """All that could take it have no room: wait for the first, or come back."""
        usable = [e.upstream for e in endpoints if e.upstream not in work.excluded]
        closed = set(self._budget.list_closed(now))
        if not usable or not closed.issuperset(usable):
            return declined
        soonest, wait = self._budget.find_soonest(usable, now)
        if wait > min(LONGEST_WAIT, PATIENT_PART * work.target):
            return Declined(wait)
        others = [one for one in closed if one != soonest]
        placed = scheduler.place(work, endpoints, profile, now, others)
        if isinstance(placed, Declined):
            return Declined(max(wait, placed.retry_after))
        return msgspec.structs.replace(
            placed,
            start_in=placed.start_in + wait,
            first_token_in=placed.first_token_in + wait,
        )

    def _count(self, job: JobId, placement: Placement, now: float) -> None:
        due = now + placement.start_in
        self._budget.spend(placement.upstream, due)
        if placement.start_in > 0.0:
            self._waiting[job] = (placement.upstream, due)

    def _forget(self, job: JobId, now: float) -> None:
        """A prompt that still waits is placed anew; others have been sent."""
        upstream, due = self._waiting.pop(job, (None, now))
        if upstream is not None and due > now:
            self._budget.refund(upstream)

    def expire(self, now: float) -> None:
        """Forget prompts whose turn has come."""
        for job in [job for job, (_, due) in self._waiting.items() if due <= now]:
            del self._waiting[job]
