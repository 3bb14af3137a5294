"""Placement of a front's engine work: by the leader, in its queue, or alone."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from scalebend.core.gateway.hedging import is_fit
from scalebend.core.gateway.messages import PlacementReply
from scalebend.core.gateway.placement_aging import (
    REPLAN_INTERVAL_S,
    age_placement,
    age_work,
    postpone_placement,
)
from scalebend.core.gateway.placement_queue import compute_wait_limit
from scalebend.core.gateway.placement_repair import drop_replicas
from scalebend.core.gateway.slow_start_budget import NO_PERMIT_RETRY_S
from scalebend.models.placement import (
    Decision,
    Declined,
    EngineWork,
    Placement,
)

if TYPE_CHECKING:
    from scalebend.core.gateway.front_instance import FrontInstance
    from scalebend.edges.gateway.front_runtime import FrontRuntime

logger = structlog.get_logger(__name__)

QUEUE_RENEWAL_S = 0.5
"""Time after which the leader is asked again about a job that waits there, which also
tells a new leader: short against the wait, with few messages while many wait."""

LEADER_RETRY_INTERVAL_S = 0.1
"""Interval at which a front asks for a placement that it can't decide itself: a new
leader begins to grant about twice this time after its election."""

MIN_START_DELAY_S = 0.01
"""Shorter delays of a placement are skipped: not worth a timer."""


class PlacementCalls:
    """Asks the leader where work runs, and decides without its reply."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self._runtime = runtime

    @property
    def _instance(self) -> FrontInstance:
        return self._runtime.instance

    def _now(self) -> float:
        return self._runtime.now()

    async def place(self, work: EngineWork) -> Decision:
        """Ask the leader for a placement; place uncoordinated if it does not reply.

        Without the leader a front has few of the replicas with ceilings, so it asks
        again for a short time rather than decline.
        """
        until = self._now() + NO_PERMIT_RETRY_S
        waited_before = work.waited
        decision = await self._place_once(work)
        while (
            decision.leader is None
            and isinstance(decision.placed, Declined)
            and self._instance.limits.starts.applies_to(work.service)
            and self._now() + LEADER_RETRY_INTERVAL_S < until
        ):
            await asyncio.sleep(LEADER_RETRY_INTERVAL_S)
            work = age_work(work, decision.waited + LEADER_RETRY_INTERVAL_S)
            decision = await self._place_once(work)
        waited = work.waited - waited_before + decision.waited
        return msgspec.structs.replace(decision, waited=waited)

    async def _place_once(self, work: EngineWork) -> Decision:
        work = self._instance.exclude_in_backoff(work, self._now())
        before = work.waited
        leader = self._instance.leader
        asked_at = self._now()
        reply = await self._runtime.leader_calls.place(leader, work)
        placed = _read_placed(reply)
        if placed is None and reply is not None and reply.is_queued:
            work, placed = await self._wait_in_queue(work)
            leader = self._instance.leader
            # The permit of what the leader released is as old as its reply.
            asked_at = self._now()
        is_uncoordinated = placed is None
        if placed is None:
            leader = None
            asked_at = self._now()
            placed = self._instance.place(work, self._now())
        if isinstance(placed, Placement):
            self._runtime.permits.record(work.job, placed, asked_at)
            self._runtime.execute(
                self._instance.open_job(
                    work, placed, self._now(), is_uncoordinated=is_uncoordinated
                )
            )
        elif is_uncoordinated:
            # A leader whose reply came late may hold the job or count it.
            self._runtime.record_job_end(work.job)
        self._runtime.metrics.count_placement("front" if is_uncoordinated else "leader")
        return Decision(placed, leader, work.waited - before)

    async def _wait_in_queue(
        self, work: EngineWork
    ) -> tuple[EngineWork, Placement | Declined | None]:
        """Wait until the leader has room; ``None`` if this front has to decide.

        The leader is asked again at an interval, which announces the work to a new one.
        """
        outcome = "left"
        try:
            while True:
                started_at = self._now()
                reply = await self._runtime.leader_calls.await_release(
                    work.job, min(QUEUE_RENEWAL_S, work.remaining)
                )
                work = age_work(work, self._now() - started_at)
                if reply is None:
                    reply = await self._ask_again(work)
                placed = _read_placed(reply)
                if placed is not None:
                    is_placed = isinstance(placed, Placement)
                    outcome = "placed" if is_placed else "declined"
                    return work, placed
                is_queued = reply is not None and reply.is_queued
                if not is_queued and not self._may_keep_waiting(work):
                    outcome = "alone"
                    return work, None
        finally:
            self._runtime.metrics.count_queued_request(outcome)
            if outcome in ("left", "alone"):
                self._runtime.record_job_end(work.job)

    async def _ask_again(self, work: EngineWork) -> PlacementReply | None:
        """Ask the leader anew about work that waits; ``None`` without its reply."""
        return await self._runtime.leader_calls.place(
            self._instance.leader,
            self._instance.exclude_in_backoff(work, self._now()),
            may_back_off=False,
        )

    def _may_keep_waiting(self, work: EngineWork) -> bool:
        """Whether to wait for the next leader, because this front has no room either.

        The front knows less than a leader, but places in its stead.
        """
        if compute_wait_limit(work) <= 0.0:
            return False
        return not self._instance.has_room(work, self._now())

    async def place_second(self, work: EngineWork) -> Placement | None:
        """Ask the leader for idle room; ``None`` without any, or without a leader."""
        work = self._instance.exclude_in_backoff(work, self._now())
        reply = await self._runtime.leader_calls.place(
            self._instance.leader, work, may_back_off=False
        )
        placement = reply.placement if reply is not None else None
        if placement is None or not is_fit(work, placement):
            return None
        self._runtime.execute(
            self._instance.open_job(
                work, placement, self._now(), is_uncoordinated=False
            )
        )
        return placement

    async def wait_for_start(
        self, work: EngineWork, placement: Placement
    ) -> Placement | Declined:
        """Wait until the prompt may be sent.

        Meanwhile, ask the leader periodically for a new placement.
        """
        while placement.start_in > REPLAN_INTERVAL_S:
            started_at = self._now()
            interval = REPLAN_INTERVAL_S
            if self._runtime.leader_calls.is_queued(work.job):
                interval = min(QUEUE_RENEWAL_S, placement.start_in)
            reply = await self._runtime.leader_calls.await_release(work.job, interval)
            asked_at = self._now()
            if reply is None:
                reply = await self._ask_again(age_work(work, asked_at - started_at))
            waited = self._now() - started_at
            work = age_work(work, waited)
            placed = _read_placed(reply)
            if isinstance(placed, Declined):
                return placed
            if placed is None:
                placement = age_placement(placement, waited)
                if reply is not None and reply.is_queued:
                    # The leader gave the planned room to a more urgent job.
                    placement = postpone_placement(placement, QUEUE_RENEWAL_S)
                continue
            placement = placed
            self._runtime.permits.record(work.job, placement, asked_at)
            self._instance.record_replanned(work, placement, self._now())
        if self._runtime.leader_calls.is_queued(work.job):
            # The leader is lost or silent: the prompt starts as it was planned.
            self._runtime.leader_calls.forget_queued(work.job)
            self._runtime.execute(
                self._instance.replace_job(work.job, placement, self._now())
            )
        if placement.start_in >= MIN_START_DELAY_S:
            await asyncio.sleep(min(placement.start_in, max(0.0, work.remaining)))
        return placement

    def drop_unusable(self, work: EngineWork, placement: Placement) -> Placement | None:
        """Return the placement without unusable replicas; ``None`` to place anew."""
        unusable = self._instance.list_unusable(placement, self._now())
        if not unusable:
            return placement
        kept = drop_replicas(placement, unusable)
        if kept is not None and kept.upstream != placement.upstream:
            # There is no send permit for the new lead replica.
            if self._instance.limits.needs_permit(kept.upstream):
                kept = None
        logger.info(
            "replicas of a placement left",
            job=work.job,
            left=sorted(unusable),
            staying=len(kept.upstreams) if kept is not None else 0,
        )
        if kept is not None:
            self._runtime.execute(
                self._instance.replace_job(work.job, kept, self._now())
            )
        return kept


def _read_placed(reply: PlacementReply | None) -> Placement | Declined | None:
    """Return what the leader decided, if it did."""
    return reply.placement or reply.declined if reply is not None else None
