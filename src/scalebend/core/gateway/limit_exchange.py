"""Rate limits at a control instance: collected, published and, as leader, granted.

Every front reports the limits that upstreams name, and the leader publishes them to all
fronts, so that a front knows a limit before it runs into it. Only the leader grants
sends; see :mod:`scalebend.core.send_budget` for what fronts send without it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import structlog

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.front_slots import FrontSlots
from scalebend.core.gateway.limited_placement import LimitedPlacement
from scalebend.core.gateway.messages import (
    FrontNumber,
    LimitUpdates,
    SendPermitReply,
    SendPermitRequest,
)
from scalebend.core.gateway.slow_start import SlowStarts, build_no_slow_starts
from scalebend.core.gateway.slow_start_budget import GrantedCeilings, SlowStartBudget
from scalebend.core.rate_limits import RateLimits
from scalebend.core.send_budget import LeaderShare
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement
from scalebend.models.rate_limits import (
    ObservedLimit,
    RateLimit,
    describe_rate,
)
from scalebend.models.routing import EngineProfile, Routing

logger = structlog.get_logger(__name__)

UPDATE_INTERVAL_S = 0.05
"""Minimum time between two updates to all fronts: when a whole service becomes
overloaded, hundreds of responses say so at almost the same time."""

LOST_FRONT_RETENTION_S = 60.0
"""Time for which a lost front keeps its share of the limits: one that is only cut off
may go on serving callers."""

GRANT_LEASE_S = 0.4
"""Time after a quorum last confirmed this leader during which it may grant: less than
the election of another leader takes."""


class LimitExchange:
    """Rate limits known to one control instance, and its grants while it leads."""

    def __init__(self, starts: SlowStarts | None = None) -> None:
        self.limits = RateLimits()
        self.starts = starts or build_no_slow_starts()
        ceilings = GrantedCeilings(self.starts, -math.inf)
        self.ceilings = ceilings
        self.budget = SlowStartBudget(self.limits, LeaderShare(1.0), ceilings)
        self.placement = LimitedPlacement(self.budget)
        self._slots = FrontSlots()
        self._linked: dict[InstanceId, None] = {}
        self._lost: dict[InstanceId, float] = {}
        self._changed: dict[UpstreamId, RateLimit] = {}
        self._has_new_positions = False
        """Whether the positions of fronts differ from those last sent to them."""

        self._send_at = -math.inf

    @property
    def has_limits(self) -> bool:
        """Whether any upstream has a limit."""
        return self.limits.count_limited() > 0

    def apply_routing(self, routing: Routing) -> None:
        """Adopt the services of a routing document."""
        had_starts = self.starts.has_any
        self.starts.apply(routing)
        if self.starts.has_any != had_starts:
            self._has_new_positions = True

    # Fronts

    def add_front(self, front: InstanceId, now: float) -> None:
        """Count a front that was linked."""
        self._linked[front] = None
        self._lost.pop(front, None)
        self._slots.record_change(now)
        self._update_share(now)

    def remove_front(self, front: InstanceId, now: float) -> None:
        """Reserve a share for a front whose link was lost: it may still send."""
        if front in self._linked:
            del self._linked[front]
            self._lost[front] = now
            self._slots.record_change(now)
            self._update_share(now)

    def start_term(self, now: float) -> None:
        """Begin to lead, without knowing what the previous leader granted."""
        self.budget.restart(now)
        self._slots.restart(now)

    def update_slots(self, now: float) -> None:
        """List the slots of fronts, as a leader that a quorum confirmed."""
        is_needed = self.starts.has_any
        if self._slots.update(self._linked, self._lost, now, is_needed=is_needed):
            self._has_new_positions = True

    def expire(self, now: float) -> None:
        """Release the shares of fronts that have been lost for long."""
        expired = [
            f for f, at in self._lost.items() if now - at >= LOST_FRONT_RETENTION_S
        ]
        for front in expired:
            del self._lost[front]
        if expired:
            self._update_share(now)
        self.placement.expire(now)

    def retain(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Forget upstreams that have long been absent from ``upstreams``."""
        self.limits.retain(upstreams, now)
        self.budget.refresh(now)

    def _update_share(self, now: float) -> None:
        linked = len(self._linked)
        if linked:
            share = linked / (linked + len(self._lost))
            self.budget.set_share(LeaderShare(share), now)
        self._has_new_positions = True

    # Updates

    def receive(
        self, front: InstanceId, observed: Iterable[ObservedLimit], now: float
    ) -> None:
        """Apply limits that a front read in responses."""
        for one in observed:
            changed = self.limits.apply(one)
            if changed is not None:
                self._record_change(changed, front, now)

    def merge(self, front: InstanceId, limits: Iterable[RateLimit], now: float) -> None:
        """Merge all limits that a front knows."""
        for changed in self.limits.merge(limits):
            self._record_change(changed, front, now)

    def _record_change(self, limit: RateLimit, source: InstanceId, now: float) -> None:
        logger.info(
            "request limit changed",
            upstream=limit.upstream,
            rate=describe_rate(limit.rate),
            revision=limit.revision,
            source=source,
            fronts=len(self._linked),
            missing=len(self._lost),
        )
        self.budget.refresh(now)
        self._changed[limit.upstream] = limit

    def send_due(self, now: float, *, is_leader: bool) -> list[ToFront]:
        """As leader, publish changed limits, and new positions if any limit exists."""
        if not is_leader:
            self._changed.clear()
            return []
        needs_positions = self.has_limits or self.starts.has_any
        is_due = self._changed or (self._has_new_positions and needs_positions)
        if not is_due or now < self._send_at:
            return []
        self._send_at = now + UPDATE_INTERVAL_S
        actions = self._send_positions() if self._has_new_positions else []
        if self._changed:
            # One message object for all fronts, so that it is encoded once.
            update = LimitUpdates(list(self._changed.values()))
            self._changed.clear()
            actions += [ToFront(front, update) for front in self._linked]
        return actions

    def send_all(self, front: InstanceId) -> list[ToFront]:
        """Send all limits to a newly linked front, before it sends any request."""
        limits = self.limits.list_all()
        return [ToFront(front, LimitUpdates(limits))] if limits else []

    def _send_positions(self) -> list[ToFront]:
        self._has_new_positions = False
        fronts = len(self._linked) + len(self._lost)
        slots = self._slots
        return [
            ToFront(front, FrontNumber(fronts, number, slots.count, slots.get(front)))
            for number, front in enumerate(self._linked)
        ]

    # Grants

    def place(
        self,
        scheduler: EngineScheduler,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
        *,
        may_grant: bool,
    ) -> Placement | Declined:
        """Place work within the limits, or on unlimited replicas without a lease."""
        if self.has_limits and not may_grant:
            limited = self.budget.list_limited()
            return scheduler.place(work, endpoints, profile, now, limited)
        return self.placement.place(scheduler, work, endpoints, profile, now)

    def withdraw(self, scheduler: EngineScheduler, job: JobId, now: float) -> None:
        """Undo the placement of a job that was not sent."""
        scheduler.forget(job)
        self.placement.withdraw(job, now)

    def list_reserved(
        self, endpoints: Sequence[Endpoint], now: float
    ) -> tuple[UpstreamId, ...]:
        """Replicas whose permits are for first attempts: limited, cold or exhausted."""
        upstreams = [endpoint.upstream for endpoint in endpoints]
        return (
            *self.budget.list_limited(),
            *self.starts.list_cold(now),
            *self.budget.list_unavailable(upstreams, now),
        )

    def grant(
        self, request: SendPermitRequest, now: float, *, may_grant: bool
    ) -> SendPermitReply:
        """Grant a send to one of the upstreams within the requested wait."""
        asked = request.request_id
        if not may_grant:
            _, wait = self.budget.find_soonest(request.upstreams, now)
            # After the lease time it is known which instance leads.
            wait = max(wait, GRANT_LEASE_S) if math.isfinite(wait) else GRANT_LEASE_S
            is_undecided = self._are_left_to_fronts(request.upstreams)
            return SendPermitReply(asked, None, wait, is_undecided)
        upstream, wait = self.budget.grant(request.upstreams, request.timeout_s, now)
        is_undecided = (
            upstream is None
            and self._are_left_to_fronts(request.upstreams)
            and self.ceilings.is_starting(None, now)
        )
        return SendPermitReply(asked, upstream, wait, is_undecided)

    def _are_left_to_fronts(self, upstreams: Iterable[UpstreamId]) -> bool:
        """Whether fronts have parts of their own: of ceilings, not of named limits."""
        return all(
            self.starts.get(one) is not None and not self.limits.is_limited(one)
            for one in upstreams
        )
