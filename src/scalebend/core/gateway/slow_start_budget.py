"""Send permits within the ceilings of replicas that may be cold.

Adds to the limits that upstreams name a part that does not depend on who knows what:
the leader grants its part of each ceiling whether or not fronts are lost, and each
replica is assigned to a few fronts, which send a request each there without the leader.
So the sum over all fronts stays within the bound while links, fronts or leaders fail;
see ``docs/design/slow-start.md``.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable

import msgspec
import structlog

from scalebend.core.gateway.front_slots import SLOT_LIFETIME_S
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S
from scalebend.core.gateway.slow_start import (
    CEILING_BURST_S,
    UNCOORDINATED_INTERVAL_S,
    Ceiling,
    SlowStarts,
)
from scalebend.core.rate_limits import RateLimits
from scalebend.core.send_budget import SendBudget, Share, Spacing
from scalebend.models.ids import ServiceName, UpstreamId

logger = structlog.get_logger(__name__)

MAX_CEILING_WAIT_S = REPLAN_INTERVAL_S
"""Time for which a permit may be planned ahead. The next leader does not know of it and
grants nothing meanwhile, so it has to be short."""

NO_PERMIT_RETRY_S = 0.4
"""Time after which to ask again where no permit is foreseen: another leader has usually
been elected by then, or this front been assigned a number."""


class GrantedCeilings(msgspec.Struct):
    """Permits of the leader, for all fronts that ask it."""

    starts: SlowStarts
    began: float
    """When this process began to grant; all permits were used up then."""

    spacings: dict[UpstreamId, Spacing] = msgspec.field(default_factory=dict)
    """Of the replicas that were sent something within the last burst."""

    def restart(self, now: float) -> None:
        self.spacings.clear()
        self.began = now + MAX_CEILING_WAIT_S

    def compute_wait(self, upstream: UpstreamId, now: float) -> float:
        ceiling = self.starts.get(upstream)
        if ceiling is None:
            return math.inf if self.starts.is_unknown(upstream) else 0.0
        return self._get(upstream, ceiling, now).compute_wait(now)

    def spend(self, upstream: UpstreamId, at: float) -> None:
        ceiling = self.starts.get(upstream)
        if ceiling is not None:
            spacing = self.spacings[upstream] = self._get(upstream, ceiling, at)
            spacing.spend(at)

    def expire(self, now: float) -> None:
        """Forget replicas that have all their permits again."""
        idle = [one for one, spacing in self.spacings.items() if spacing.due <= now]
        for upstream in idle:
            del self.spacings[upstream]

    def is_starting(self, service: ServiceName | None, now: float) -> bool:
        """Whether replicas of a service, or of any, lack a first permit."""
        return now - self.began < self.starts.compute_longest_interval(service)

    def list_exhausted(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> list[UpstreamId]:
        self.expire(now)
        if self.is_starting(None, now):
            # Just after the begin of a term, those that got nothing lack permits, too.
            return [one for one in upstreams if self.compute_wait(one, now) > 0.0]
        spacings = self.spacings.items()
        return [one for one, spacing in spacings if spacing.due - spacing.burst > now]

    def _get(self, upstream: UpstreamId, ceiling: Ceiling, now: float) -> Spacing:
        is_cold = self.starts.is_cold(upstream, now)
        interval = 1.0 / (ceiling.cold_rate if is_cold else ceiling.rate)
        held = self.spacings.get(upstream)
        if held is not None and held.interval == interval:
            return held
        burst = max(CEILING_BURST_S, interval)
        if held is None:
            return Spacing(interval, burst, self.began + burst + interval)
        used = max(0.0, held.due - now) / held.interval
        return Spacing(interval, burst, now + used * interval)


class AssignedCeilings(msgspec.Struct):
    """Permits of one front without the leader, at the replicas assigned to it."""

    starts: SlowStarts
    fronts: int = 1
    number: int | None = None
    """Slot that the leader assigned to this front; ``None`` before the first."""

    valid_until: float = math.inf
    """When the slot ends unless the leader confirms it again."""

    offered: tuple[int, int] | None = None
    """Number of slots and slot that the present leader named."""

    due: dict[UpstreamId, float] = msgspec.field(default_factory=dict)
    """When the next request may be sent to a replica, for those sent one lately."""

    def offer_slot(self, fronts: int, number: int | None) -> None:
        """Store the slot that the leader named, ``None`` if it named none."""
        self.offered = (fronts, number) if number is not None else None

    def confirm_slot(self, asked_at: float) -> None:
        """Adopt the slot that the leader named: a quorum confirmed that it leads.

        A slot isn't used before, since a frozen leader might have named it, and not
        long after the last time, since other fronts get it then.
        """
        if self.offered is None:
            return
        if self.offered != (self.fronts, self.number):
            slots, slot = self.offered
            logger.info("front slot changed", slot=slot, slots=slots, held=self.number)
        self.fronts, self.number = self.offered
        self.valid_until = asked_at + SLOT_LIFETIME_S

    def restart(self, now: float) -> None:
        """Keep what was sent: it counts until its interval has passed."""

    def compute_wait(self, upstream: UpstreamId, now: float) -> float:
        ceiling = self.starts.get(upstream)
        if ceiling is None:
            return math.inf if self.starts.is_unknown(upstream) else 0.0
        if now >= self.valid_until or not self._is_assigned(upstream, ceiling):
            return math.inf
        wait = max(0.0, self.due.get(upstream, now) - now)
        # Before a later permit, a leader usually replies again.
        return wait if wait <= NO_PERMIT_RETRY_S else math.inf

    def spend(self, upstream: UpstreamId, at: float) -> None:
        if self.starts.get(upstream) is not None:
            due = max(at, self.due.get(upstream, at))
            self.due[upstream] = due + UNCOORDINATED_INTERVAL_S

    def list_exhausted(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> list[UpstreamId]:
        self.expire(now)
        return [one for one in upstreams if self.compute_wait(one, now) > 0.0]

    def expire(self, now: float) -> None:
        """Forget replicas that may be sent another request."""
        for upstream in [one for one, due in self.due.items() if due <= now]:
            del self.due[upstream]

    def _is_assigned(self, upstream: UpstreamId, ceiling: Ceiling) -> bool:
        if self.number is None or ceiling.uncoordinated_fronts == 0:
            return False
        groups = math.ceil(self.fronts / ceiling.uncoordinated_fronts)
        return (self.number + zlib.crc32(upstream.encode())) % groups == 0


Ceilings = GrantedCeilings | AssignedCeilings


class SlowStartBudget(SendBudget):
    """Send permits within named limits and ceilings; one send needs both."""

    def __init__(self, limits: RateLimits, share: Share, ceilings: Ceilings) -> None:
        super().__init__(limits, share)
        self.ceilings = ceilings

    @property
    def starts(self) -> SlowStarts:
        """The ceilings that hold, and which replicas are known to be cold."""
        return self.ceilings.starts

    def restart(self, now: float) -> None:
        """Forget all grants, and begin with every limit and ceiling used up."""
        super().restart(now)
        self.ceilings.restart(now)

    def refresh(self, now: float) -> None:
        """Adopt new and changed limits; forget ceilings that are not reached."""
        super().refresh(now)
        self.ceilings.expire(now)

    def compute_wait(self, upstream: UpstreamId, now: float) -> float:
        """Seconds until a request may be sent; infinite if that is not foreseen."""
        named = super().compute_wait(upstream, now)
        return max(named, self.ceilings.compute_wait(upstream, now))

    def grant(
        self, upstreams: Iterable[UpstreamId], max_wait: float, now: float
    ) -> tuple[UpstreamId | None, float]:
        """Take the first permit of any upstream within ``max_wait`` seconds."""
        candidates = list(upstreams)
        if any(self.starts.get(one) is not None for one in candidates):
            max_wait = min(max_wait, MAX_CEILING_WAIT_S)
        granted, wait = super().grant(candidates, max_wait, now)
        if granted is not None:
            self.ceilings.spend(granted, now + wait)
        return granted, min(wait, NO_PERMIT_RETRY_S) if math.isinf(wait) else wait

    def list_unavailable(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> tuple[UpstreamId, ...]:
        """Upstreams without a free permit, by named limits or ceilings."""
        at_ceiling = self.ceilings.list_exhausted(upstreams, now)
        return (*self.list_exhausted(now), *at_ceiling)
