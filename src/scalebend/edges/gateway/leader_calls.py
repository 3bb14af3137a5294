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
        self._backoff_until = 0.0

    def receive(self, message: LinkMessage) -> bool:
        """Handle a reply, or drop a late one; return whether the message was one."""
        match message:
            case PlacementReply(job=job):
                future = self._pending.pop(job, None)
            case SendPermitReply(request_id=request_id):
                future = self._pending.pop(request_id, None)
            case _:
                return False
        if future is not None and not future.done():
            future.set_result(message)
        return True

    def reset_backoff(self) -> None:
        """End the backoff, because the leader changed."""
        self._backoff_until = 0.0

    async def place(
        self, leader: InstanceId | None, work: EngineWork, *, may_back_off: bool = True
    ) -> PlacementReply | None:
        """Return where work should run; ``None`` without a leader's reply in time."""
        request = PlacementRequest(work)
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
