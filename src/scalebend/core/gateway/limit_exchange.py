"""Limits on requests a second at a control instance: known, told, granted as leader.

Every front tells the leader what upstreams say, and the leader tells all fronts, so
that they do not have to meet a limit to keep it. The leader alone grants sends; see
:mod:`scalebend.core.send_budget` for what fronts do that it does not hear.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence

import structlog

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.limited_placement import LimitedPlacement
from scalebend.core.gateway.messages import (
    FrontNumber,
    LimitUpdates,
    SendPermitReply,
    SendPermitRequest,
)
from scalebend.core.request_limits import RequestLimits
from scalebend.core.send_budget import GrantedPart, SendBudget
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.placement import Declined, EngineWork, Placement
from scalebend.models.request_limits import (
    HeardLimit,
    RequestLimit,
    describe_rate,
)
from scalebend.models.routing import EngineProfile

logger = structlog.get_logger(__name__)

SPREAD_PERIOD = 0.05
"""Seconds from one message to all fronts to the next: when a whole service falls into
need, hundreds of answers say so within a moment."""

MISSING_MEMORY = 60.0
"""Seconds for which a front that was lost keeps its part. One that is cut off may go on
serving callers that long; one that stopped costs the others its part until then, an
eighth with eight fronts."""

GRANT_LIFE = 0.4
"""Seconds since a quorum confirmed that this instance leads for which it grants: less
than another one needs to be elected."""


class LimitExchange:
    """What one control instance knows of limits, and grants while it leads."""

    def __init__(self) -> None:
        self.limits = RequestLimits()
        self.budget = SendBudget(self.limits, GrantedPart(1.0))
        self.placement = LimitedPlacement(self.budget)
        self._linked: dict[InstanceId, None] = {}
        self._missing: dict[InstanceId, float] = {}
        self._news: dict[UpstreamId, RequestLimit] = {}
        self._is_resized = False
        """Whether fronts have another place among each other than they were told."""

        self._send_at = -math.inf

    @property
    def is_any(self) -> bool:
        """Whether any upstream has a limit."""
        return self.limits.count_limited() > 0

    # Fronts

    def add_front(self, front: InstanceId, now: float) -> None:
        """A front was linked."""
        self._linked[front] = None
        self._missing.pop(front, None)
        self._share_out(now)

    def remove_front(self, front: InstanceId, now: float) -> None:
        """The link to a front was lost: it may still send on its own."""
        if front in self._linked:
            del self._linked[front]
            self._missing[front] = now
            self._share_out(now)

    def start_term(self, now: float) -> None:
        """This instance begins to lead: what the last leader granted is not known."""
        self.budget.restart(now)

    def expire(self, now: float) -> None:
        """Give the parts of fronts that are gone for long to the others."""
        gone = [f for f, at in self._missing.items() if now - at >= MISSING_MEMORY]
        for front in gone:
            del self._missing[front]
        if gone:
            self._share_out(now)
        self.placement.expire(now)

    def retain(self, upstreams: Iterable[UpstreamId], now: float) -> None:
        """Forget upstreams that are gone for long."""
        self.limits.retain(upstreams, now)
        self.budget.refresh(now)

    def _share_out(self, now: float) -> None:
        linked = len(self._linked)
        if linked:
            part = linked / (linked + len(self._missing))
            self.budget.set_share(GrantedPart(part), now)
        self._is_resized = True

    # News

    def hear(self, front: InstanceId, heard: Iterable[HeardLimit], now: float) -> None:
        """A front passed on what answers said."""
        for one in heard:
            changed = self.limits.hear(one)
            if changed is not None:
                self._note_change(changed, front, now)

    def merge(
        self, front: InstanceId, limits: Iterable[RequestLimit], now: float
    ) -> None:
        """A front told all that it knows."""
        for changed in self.limits.merge(limits):
            self._note_change(changed, front, now)

    def _note_change(self, limit: RequestLimit, source: InstanceId, now: float) -> None:
        logger.info(
            "request limit changed",
            upstream=limit.upstream,
            rate=describe_rate(limit.rate),
            revision=limit.revision,
            source=source,
            fronts=len(self._linked),
            missing=len(self._missing),
        )
        self.budget.refresh(now)
        self._news[limit.upstream] = limit

    def send_due(self, now: float, *, is_leader: bool) -> list[ToFront]:
        """As leader, tell all fronts what is new, and their places if there is need."""
        if not is_leader:
            self._news.clear()
            return []
        is_due = self._news or (self._is_resized and self.is_any)
        if not is_due or now < self._send_at:
            return []
        self._send_at = now + SPREAD_PERIOD
        actions = self._tell_places() if self._is_resized else []
        if self._news:
            # One message for all, which is encoded once.
            news = LimitUpdates(list(self._news.values()))
            self._news.clear()
            actions += [ToFront(front, news) for front in self._linked]
        return actions

    def greet(self, front: InstanceId) -> list[ToFront]:
        """Tell a front that was just linked all limits, before it sends anything."""
        limits = self.limits.list_all()
        return [ToFront(front, LimitUpdates(limits))] if limits else []

    def _tell_places(self) -> list[ToFront]:
        self._is_resized = False
        fronts = len(self._linked) + len(self._missing)
        return [
            ToFront(front, FrontNumber(fronts, number))
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
        """Place work where limits leave room; at none if this one may not grant."""
        if self.is_any and not may_grant:
            limited = self.budget.list_limited()
            return scheduler.place(work, endpoints, profile, now, limited)
        return self.placement.place(scheduler, work, endpoints, profile, now)

    def answer(
        self, question: SendPermitRequest, now: float, *, may_grant: bool
    ) -> SendPermitReply:
        """Grant a send to one of the upstreams, now or within the asker's patience."""
        if not may_grant:
            _, wait = self.budget.find_soonest(question.upstreams, now)
            # By then it is known who leads.
            return SendPermitReply(question.request_id, None, max(wait, GRANT_LIFE))
        upstream, wait = self.budget.grant(question.upstreams, question.timeout_s, now)
        return SendPermitReply(question.request_id, upstream, wait)
