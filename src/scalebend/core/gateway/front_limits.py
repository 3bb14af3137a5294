"""Rate limits at a front: read in responses, reported, and kept without a leader."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import structlog

from scalebend.core.gateway.limited_placement import LimitedPlacement
from scalebend.core.gateway.messages import (
    FrontNumber,
    LimitUpdates,
    ObservedLimits,
    SendPermitReply,
    SendPermitRequest,
)
from scalebend.core.gateway.slow_start import SlowStarts
from scalebend.core.gateway.slow_start_budget import AssignedCeilings, SlowStartBudget
from scalebend.core.rate_limits import RateLimits
from scalebend.core.send_budget import UncoordinatedShare
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.rate_limits import (
    ObservedLimit,
    RateLimit,
    describe_rate,
)

logger = structlog.get_logger(__name__)


class FrontLimits:
    """Rate limits known to one front, and what it may send without the leader."""

    def __init__(self, front: InstanceId, starts: SlowStarts, now: float) -> None:
        self._limits = RateLimits()
        self._fronts = 1
        self._number: int | None = None
        # Used until the leader assigns numbers; two fronts may get the same one.
        self._name_hash = zlib.crc32(front.encode())
        self._leader_seen_at = now
        self.starts = starts
        self._ceilings = AssignedCeilings(starts)
        self.budget = SlowStartBudget(
            self._limits, UncoordinatedShare(1, 0, now), self._ceilings
        )
        self.placement = LimitedPlacement(self.budget)

    def get(self, upstream: UpstreamId) -> RateLimit:
        """The limit in force at an upstream."""
        return self._limits.get(upstream)

    def is_limited(self, upstream: UpstreamId) -> bool:
        """Whether a limit is in force at an upstream."""
        return self._limits.is_limited(upstream)

    def needs_permit(self, upstream: UpstreamId) -> bool:
        """Whether each request to an upstream needs a send permit."""
        return self.is_limited(upstream) or self.starts.get(upstream) is not None

    def count_limited(self) -> int:
        """Number of upstreams with a limit in force."""
        return self._limits.count_limited()

    def receive(
        self, observed: ObservedLimit, now: float, *, has_leader: bool
    ) -> ObservedLimits | None:
        """Apply the limit named in a response; return the report for the leader.

        The leader decides when a limit is raised or ends, and publishes it; a front
        without a leader decides for itself.
        """
        known = self._limits.get(observed.upstream)
        if observed.rate == known.rate:
            return None
        if observed.rate < known.rate or not has_leader:
            changed = self._limits.apply(observed)
            self._apply_changes([changed] if changed is not None else [], now)
        return ObservedLimits([observed]) if has_leader else None

    def apply_updates(self, updates: LimitUpdates, now: float) -> None:
        """Merge limits that a control instance published."""
        self._apply_changes(self._limits.merge(updates.limits), now)

    def record_position(self, position: FrontNumber) -> None:
        """Store the number that the leader assigned to this front."""
        self._fronts = position.fronts
        self._number = position.number
        self._ceilings.offer_slot(position.slots, position.slot)

    def confirm_slot(self, asked_at: float) -> None:
        """Record that a quorum confirmed the leader after a lease was asked for."""
        self._ceilings.confirm_slot(asked_at)

    def end_leader(self) -> None:
        """Record that the leader was lost or replaced; another one knows no slots."""
        self._ceilings.offer_slot(0, None)

    def record_front_count(self, fronts: int) -> None:
        """Store how many fronts a control instance sees, until a number is assigned."""
        if self._number is None:
            self._fronts = max(self._fronts, fronts)

    def record_leader_contact(self, now: float) -> None:
        """Record contact with the leader; uncoordinated sends begin only after it."""
        self._leader_seen_at = now
        if self._limits.count_limited():
            self._update_share(now)

    def grant(self, request: SendPermitRequest, now: float) -> SendPermitReply:
        """Grant an uncoordinated send, if one is due within the requested wait."""
        upstream, wait = self.budget.grant(request.upstreams, request.timeout_s, now)
        return SendPermitReply(request.request_id, upstream, wait)

    def build_updates(self) -> LimitUpdates | None:
        """All known limits, for a new leader; ``None`` without any."""
        limits = self._limits.list_all()
        return LimitUpdates(limits) if limits else None

    def expire(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Forget upstreams that have long been absent, and prompts that were sent."""
        self._limits.retain(upstreams, now)
        self.budget.refresh(now)
        self.placement.expire(now)

    def _apply_changes(self, changed: list[RateLimit], now: float) -> None:
        for limit in changed:
            logger.info(
                "request limit known",
                upstream=limit.upstream,
                rate=describe_rate(limit.rate),
                revision=limit.revision,
            )
        if changed:
            self._update_share(now)
            self.budget.refresh(now)

    def _update_share(self, now: float) -> None:
        number = self._number
        if number is None:
            number = self._name_hash % self._fronts
        share = UncoordinatedShare(self._fronts, number, self._leader_seen_at)
        self.budget.set_share(share, now)
