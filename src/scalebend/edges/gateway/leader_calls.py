"""Requests of a front to the leader, each with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from scalebend.core.gateway.messages import (
    LinkMessage,
    PlacementReply,
    PlacementRequest,
    SendPermitReply,
    SendPermitRequest,
)
from scalebend.core.gateway.timeouts import LEADER_BACKOFF_S, PLACEMENT_TIMEOUT_S
from scalebend.models.ids import InstanceId, SendPermitId
from scalebend.models.placement import EngineWork, JobId

logger = structlog.get_logger(__name__)

_Reply = PlacementReply | SendPermitReply


class LeaderCalls:
    """Sends requests to the leader and awaits replies; backs off after a timeout."""

    def __init__(self, send: Callable[[InstanceId, LinkMessage], object]) -> None:
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._pending: dict[JobId | SendPermitId, asyncio.Future[_Reply]] = {}
        self._queued: dict[JobId, asyncio.Future[PlacementReply | None]] = {}
        """Jobs that wait at the leader, with the reply that follows."""

        self._backoff_until = 0.0

    def receive(self, message: LinkMessage) -> bool:
        """Handle a reply, or drop a late one; return whether the message was one."""
        match message:
            case PlacementReply(job=job):
                future = self._pending.pop(job, None)
                self._record_queued(message, is_awaited=future is not None)
            case SendPermitReply(request_id=request_id):
                future = self._pending.pop(request_id, None)
            case _:
                return False
        if future is not None and not future.done():
            future.set_result(message)
        return True

    def _record_queued(self, reply: PlacementReply, *, is_awaited: bool) -> None:
        if is_awaited and reply.is_queued:
            self._queued.setdefault(reply.job, self._loop.create_future())
        elif is_awaited:
            self._queued.pop(reply.job, None)
        else:
            queued = self._queued.get(reply.job)
            if queued is not None and not queued.done():
                queued.set_result(reply)

    def record_new_leader(self) -> None:
        """End the backoff, and announce to the new leader what waits."""
        self._backoff_until = 0.0
        for queued in self._queued.values():
            if not queued.done():
                queued.set_result(None)

    def is_queued(self, job: JobId) -> bool:
        """Whether a job waits at the leader as far as this front knows."""
        return job in self._queued

    def forget_queued(self, job: JobId) -> None:
        """Forget a job that waits no longer."""
        self._queued.pop(job, None)

    async def await_release(
        self, job: JobId, timeout_s: float
    ) -> PlacementReply | None:
        """Wait for the reply to a queued job; ``None`` when it is time to ask again."""
        queued = self._queued.get(job)
        if queued is None:
            await asyncio.sleep(timeout_s)
            return None
        await asyncio.wait([queued], timeout=timeout_s)
        if not queued.done():
            return None
        reply = queued.result()
        if reply is None:
            self._queued[job] = self._loop.create_future()
        else:
            del self._queued[job]
        return reply

    async def place(
        self, leader: InstanceId | None, work: EngineWork, *, may_back_off: bool = True
    ) -> PlacementReply | None:
        """Return where work should run; ``None`` without a leader's reply in time."""
        request = PlacementRequest(work, may_wait=True)
        reply = await self._request(
            leader, work.job, request, may_back_off=may_back_off
        )
        return reply if isinstance(reply, PlacementReply) else None

    async def request_send_permit(
        self, leader: InstanceId | None, request: SendPermitRequest
    ) -> SendPermitReply | None:
        """Request a send permit; ``None`` without the leader's reply in time."""
        request_id = request.request_id
        reply = await self._request(leader, request_id, request, may_back_off=True)
        return reply if isinstance(reply, SendPermitReply) else None

    async def _request(
        self,
        leader: InstanceId | None,
        request_id: JobId | SendPermitId,
        request: PlacementRequest | SendPermitRequest,
        *,
        may_back_off: bool,
    ) -> _Reply | None:
        if leader is None or self._loop.time() < self._backoff_until:
            return None
        future: asyncio.Future[_Reply] = self._loop.create_future()
        self._pending[request_id] = future
        self._send(leader, request)
        try:
            async with asyncio.timeout(PLACEMENT_TIMEOUT_S):
                return await future
        except TimeoutError:
            if may_back_off:
                self._backoff_until = self._loop.time() + LEADER_BACKOFF_S
            logger.info("leader did not place in time", leader=leader, job=request_id)
            return None
        finally:
            self._pending.pop(request_id, None)
