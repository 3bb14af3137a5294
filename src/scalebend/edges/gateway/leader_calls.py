"""Questions of a front to the leader, each with a time limit."""

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

_Answer = PlacementReply | SendPermitReply


class LeaderCalls:
    """Questions that wait for their answers; a leader that is late is left in peace."""

    def __init__(self, send: Callable[[InstanceId, LinkMessage], object]) -> None:
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._waiting: dict[JobId | SendPermitId, asyncio.Future[_Answer]] = {}
        self._paused_until = 0.0

    def take(self, message: LinkMessage) -> bool:
        """Take a message, if it is an answer; one that is late is dropped."""
        match message:
            case PlacementReply(job=name):
                future = self._waiting.pop(name, None)
            case SendPermitReply(request_id=number):
                future = self._waiting.pop(number, None)
            case _:
                return False
        if future is not None and not future.done():
            future.set_result(message)
        return True

    def note_leader_changed(self) -> None:
        """Another one leads: that the last did not answer says nothing of it."""
        self._paused_until = 0.0

    async def place(
        self, leader: InstanceId | None, work: EngineWork, *, may_pause: bool = True
    ) -> PlacementReply | None:
        """Where work should run; ``None`` if the leader does not answer in time."""
        question = PlacementRequest(work)
        answer = await self._ask(leader, work.job, question, may_pause=may_pause)
        return answer if isinstance(answer, PlacementReply) else None

    async def request_send(
        self, leader: InstanceId | None, question: SendPermitRequest
    ) -> SendPermitReply | None:
        """Whether a request may be sent to a limited upstream."""
        name = question.request_id
        answer = await self._ask(leader, name, question, may_pause=True)
        return answer if isinstance(answer, SendPermitReply) else None

    async def _ask(
        self,
        leader: InstanceId | None,
        name: JobId | SendPermitId,
        question: PlacementRequest | SendPermitRequest,
        *,
        may_pause: bool,
    ) -> _Answer | None:
        if leader is None or self._loop.time() < self._paused_until:
            return None
        future: asyncio.Future[_Answer] = self._loop.create_future()
        self._waiting[name] = future
        self._send(leader, question)
        try:
            async with asyncio.timeout(PLACEMENT_TIMEOUT_S):
                return await future
        except TimeoutError:
            if may_pause:
                self._paused_until = self._loop.time() + LEADER_BACKOFF_S
            logger.info("leader did not place in time", leader=leader, job=name)
            return None
        finally:
            self._waiting.pop(name, None)
