"""Limits on requests a second at a front: heard, told to the leader, and kept alone."""

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
from scalebend.core.request_limits import RequestLimits
from scalebend.core.send_budget import OwnTurn, SendBudget
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.request_limits import (
    HeardLimit,
    RequestLimit,
    describe_rate,
)

logger = structlog.get_logger(__name__)


class FrontLimits:
    """What one front knows of limits, and may send without the leader's word."""

    def __init__(self, front: InstanceId, now: float) -> None:
        self._limits = RequestLimits()
        self._fronts = 1
        self._number: int | None = None
        # Until the leader gives out numbers: they differ, but for some by chance.
        self._drawn = zlib.crc32(front.encode())
        self._heard_at = now
        self.budget = SendBudget(self._limits, OwnTurn(1, 0, now))
        self.placement = LimitedPlacement(self.budget)

    def get(self, upstream: UpstreamId) -> RequestLimit:
        """The limit in force at an upstream."""
        return self._limits.get(upstream)

    def is_limited(self, upstream: UpstreamId) -> bool:
        """Whether an upstream takes only so many requests a second."""
        return self._limits.is_limited(upstream)

    def count_limited(self) -> int:
        """Upstreams with a limit in force."""
        return self._limits.count_limited()

    def hear(
        self, heard: HeardLimit, now: float, *, is_led: bool
    ) -> ObservedLimits | None:
        """Take what an answer said; return what the leader is to be told.

        The leader decides when a limit is raised or ends, and all are told; a front
        without one decides for itself.
        """
        known = self._limits.get(heard.upstream)
        if heard.rate == known.rate:
            return None
        if heard.rate < known.rate or not is_led:
            changed = self._limits.hear(heard)
            self._note_changes([changed] if changed is not None else [], now)
        return ObservedLimits([heard]) if is_led else None

    def take(self, news: LimitUpdates, now: float) -> None:
        """A control instance told what it knows."""
        self._note_changes(self._limits.merge(news.limits), now)

    def note_place(self, place: FrontNumber) -> None:
        """The leader told which of how many fronts this one is."""
        self._fronts = place.fronts
        self._number = place.number

    def note_fronts(self, fronts: int) -> None:
        """A control instance told how many fronts it sees."""
        if self._number is None:
            self._fronts = max(self._fronts, fronts)

    def note_leader_heard(self, now: float) -> None:
        """The leader is there, and grants: this front's own turns begin after it."""
        self._heard_at = now
        if self._limits.count_limited():
            self._count_turns(now)

    def grant(self, question: SendPermitRequest, now: float) -> SendPermitReply:
        """Take one of this front's own turns, if its time has come."""
        upstream, wait = self.budget.grant(question.upstreams, question.timeout_s, now)
        return SendPermitReply(question.request_id, upstream, wait)

    def build_news(self) -> LimitUpdates | None:
        """What a new leader is to be told."""
        limits = self._limits.list_all()
        return LimitUpdates(limits) if limits else None

    def expire(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Forget upstreams that are gone for long, and prompts that were sent."""
        self._limits.retain(upstreams, now)
        self.budget.refresh(now)
        self.placement.expire(now)

    def _note_changes(self, changed: list[RequestLimit], now: float) -> None:
        for limit in changed:
            logger.info(
                "request limit known",
                upstream=limit.upstream,
                rate=describe_rate(limit.rate),
                revision=limit.revision,
            )
        if changed:
            self._count_turns(now)
            self.budget.refresh(now)

    def _count_turns(self, now: float) -> None:
        number = self._number
        if number is None:
            number = self._drawn % self._fronts
        turn = OwnTurn(self._fronts, number, self._heard_at)
        self.budget.set_share(turn, now)
