"""Places engine work within the rate limits of replicas.

A replica without a free send permit is excluded. Long prompts, which may start much
later and are read by several replicas, avoid all rate-limited replicas as long as
others can read them. Replicas that are known to be cold are used if no other one has
room in time.
"""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S
from scalebend.core.gateway.slow_start_budget import (
    NO_PERMIT_RETRY_S,
    SlowStartBudget,
)
from scalebend.core.gateway.timeouts import ROOM_WAIT_SHARE
from scalebend.core.gateway.work_kinds import is_quick
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement
from scalebend.models.routing import EngineProfile

MAX_WAIT_S = REPLAN_INTERVAL_S
"""Maximum wait of a prompt for a send permit: after the replan interval it would be
placed anew and lose its position to later ones."""


class LimitedPlacement:
    """Places the work of one scheduler within one send budget."""

    def __init__(self, budget: SlowStartBudget) -> None:
        self._budget = budget
        self._pending: dict[JobId, tuple[UpstreamId, float]] = {}
        """Upstream and send time of prompts that were placed but not yet sent."""

    def place(
        self,
        scheduler: EngineScheduler,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
    ) -> Placement | Declined:
        """Choose replicas within their limits; count the send at the lead replica."""
        limited = self._budget.list_limited()
        if not limited and not self._budget.starts.applies_to(work.service):
            return scheduler.place(work, endpoints, profile, now)
        self.withdraw(work.job, now)
        exhausted = self._list_exhausted(endpoints, now)
        cold = self._list_cold(work, endpoints, now)
        is_long = not is_quick(work, profile)
        avoided = (*exhausted, *limited, *cold) if is_long else (*exhausted, *cold)
        placed = scheduler.place(work, endpoints, profile, now, avoided)
        has_others = bool(cold) or is_long
        if has_others and not _is_in_time(placed, work, has_cold=bool(cold)):
            late = placed
            placed = scheduler.place(work, endpoints, profile, now, exhausted)
            if isinstance(placed, Declined) and isinstance(late, Placement):
                placed = scheduler.place(work, endpoints, profile, now, avoided)
        if isinstance(placed, Declined):
            placed = self._place_later(
                scheduler, work, endpoints, profile, now, placed, set(exhausted)
            )
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
        exhausted: set[UpstreamId],
    ) -> Placement | Declined:
        """Wait for the first send permit if every usable replica lacks one."""
        usable = [e.upstream for e in endpoints if e.upstream not in work.excluded]
        if not usable or not exhausted.issuperset(usable):
            return declined
        soonest, wait = self._budget.find_soonest(usable, now)
        if wait > min(MAX_WAIT_S, ROOM_WAIT_SHARE * work.target):
            return Declined(min(wait, NO_PERMIT_RETRY_S) if soonest is None else wait)
        others = [one for one in exhausted if one != soonest]
        placed = scheduler.place(work, endpoints, profile, now, others)
        if isinstance(placed, Declined):
            return Declined(max(wait, placed.retry_after))
        return msgspec.structs.replace(
            placed,
            start_in=placed.start_in + wait,
            first_token_in=placed.first_token_in + wait,
        )

    def _list_cold(
        self, work: EngineWork, endpoints: Sequence[Endpoint], now: float
    ) -> tuple[UpstreamId, ...]:
        """Cold replicas to avoid: none if there are no others."""
        starts = self._budget.starts
        if not starts.applies_to(work.service):
            return ()
        reported = set(starts.list_cold(now))
        cold = tuple(e.upstream for e in endpoints if e.upstream in reported)
        return cold if len(cold) < len(endpoints) else ()

    def _list_exhausted(
        self, endpoints: Sequence[Endpoint], now: float
    ) -> tuple[UpstreamId, ...]:
        return self._budget.list_unavailable([e.upstream for e in endpoints], now)

    def _count(self, job: JobId, placement: Placement, now: float) -> None:
        due = now + placement.start_in
        self._budget.spend(placement.upstream, due)
        if placement.start_in <= REPLAN_INTERVAL_S:
            # A prompt that starts later is placed anew before.
            for upstream in placement.upstreams:
                self._budget.ceilings.spend(upstream, due)
        if placement.start_in > 0.0:
            self._pending[job] = (placement.upstream, due)

    def withdraw(self, job: JobId, now: float) -> None:
        """Refund the send of a prompt whose placement is undone before it was sent."""
        upstream, due = self._pending.pop(job, (None, now))
        if upstream is not None and due > now:
            self._budget.refund(upstream)

    def expire(self, now: float) -> None:
        """Forget prompts whose send time has passed."""
        for job in [job for job, (_, due) in self._pending.items() if due <= now]:
            del self._pending[job]


def _is_in_time(
    placed: Placement | Declined, work: EngineWork, *, has_cold: bool
) -> bool:
    """Whether work was placed, and in time if cold replicas may still be tried."""
    if isinstance(placed, Declined):
        return False
    return not has_cold or placed.first_token_in <= work.target
