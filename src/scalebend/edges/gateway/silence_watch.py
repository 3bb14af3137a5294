"""Waits for the data of one attempt, and follows up on each silence of its upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import aiohttp
import msgspec
import structlog

from scalebend.core.gateway.hedging import Refusal
from scalebend.core.gateway.silences import (
    CheckUpstream,
    KeepWaiting,
    Reachability,
    SilenceLimits,
    SilenceState,
    StartSecond,
    compute_event_limits,
    compute_first_byte_limits,
    decide,
)
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.response_reading import (
    MAX_RESPONSE_BYTES,
    UnresponsiveError,
    read_available,
    read_whole,
    wait_for_task,
)
from scalebend.edges.gateway.upstream_choice import Target
from scalebend.models.calls import Call
from scalebend.models.ids import InstanceId

logger = structlog.get_logger(__name__)

MIN_BODY_RATE = 16 * 1024
"""Rate in bytes per second from which on a body makes progress."""

T = TypeVar("T")

StartBeside = Callable[[], Refusal | None]
"""Starts another attempt beside a silent one; returns why it does not."""


class _Silence(msgspec.Struct):
    """The wait for the next progress of a response, over any number of reads."""

    limits: SilenceLimits
    state: SilenceState


class SilenceWatch:
    """Waits for data of one attempt, for as long as its deadline allows.

    A silence ends with progress of the response, not with any bytes: comments, repeated
    events and a trickle of a body bring the caller nothing.
    """

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        target: Target,
        start_beside: StartBeside,
    ) -> None:
        self._runtime = runtime
        self._call = call
        self._target = target
        self._start_beside = start_beside
        self.peer: InstanceId | None = None
        """The front through which the response comes, if not directly."""

        self._sent_at = self.heard_at = runtime.now()
        """When the request was sent, or its last data arrived."""

        self.progress_at = self._sent_at
        """When the request was sent, or its response last made progress."""

        self._silence: _Silence | None = None
        """The current silence; ``None`` until the response is waited for again."""

        self._has_begun = False
        """Whether an event has been forwarded."""

    async def wait_for_head(
        self, task: asyncio.Future[aiohttp.ClientResponse]
    ) -> aiohttp.ClientResponse:
        """Wait for the head of the response."""

        async def wait(timeout: float | None) -> aiohttp.ClientResponse:
            if not await wait_for_task(task, timeout):
                raise UnresponsiveError
            return task.result()

        response = await self._wait(wait)
        self._end_silence()
        return response

    async def read_next(self, content: aiohttp.StreamReader) -> bytes:
        """Return the next bytes of a stream; empty at the end."""
        return await self._wait(lambda timeout: read_available(content, timeout))

    def record_events(self) -> None:
        """Record that events of a stream are forwarded."""
        self._has_begun = True
        self._end_silence()

    async def read_body(self, response: aiohttp.ClientResponse) -> bytes:
        """Return the whole body.

        Raises :class:`OversizedResponseError` for one over ``MAX_RESPONSE_BYTES``.
        """

        async def read() -> bytes:
            data = await self.read_next(response.content)
            self._record_body(len(data))
            return data

        return await read_whole(read, MAX_RESPONSE_BYTES)

    def _record_body(self, size: int) -> None:
        """Shorten the silence by the time that so many bytes may take."""
        assert self._silence is not None
        state = self._silence.state
        state.lasted -= size / MIN_BODY_RATE
        if state.lasted <= 0.0:
            self._end_silence()

    def _end_silence(self) -> None:
        self.progress_at = self._runtime.now()
        self._silence = None

    def _begin_silence(self) -> _Silence:
        now, predicted = self._runtime.now(), self._target.predicted
        compute = compute_event_limits if self._has_begun else compute_first_byte_limits
        return _Silence(compute(self._call, predicted, now), SilenceState())

    async def _wait(self, wait: Callable[[float | None], Awaitable[T]]) -> T:
        silence = self._silence
        if silence is None:
            silence = self._silence = self._begin_silence()
        else:
            self._record_pause(silence)
        limits, state = silence.limits, silence.state
        while True:
            match decide(limits, state):
                case KeepWaiting(seconds):
                    began = self._runtime.now()
                    try:
                        result = await wait(seconds)
                    except UnresponsiveError:
                        state.lasted += self._runtime.now() - began
                        self._record_pause(silence)
                        continue
                    self.heard_at = self._runtime.now()
                    waited = self.heard_at - began
                    # Time beyond the timeout is a stall of this process.
                    state.lasted += waited if seconds is None else min(waited, seconds)
                    return result
                case CheckUpstream():
                    state.is_checked = True
                    self._runtime.spawn(self._check(state))
                case StartSecond():
                    state.is_acted_on = True
                    self._follow_up(state)

    def _record_pause(self, silence: _Silence) -> None:
        pause_left = self._compute_pause_left(silence.limits)
        silence.state.record_pause(silence.limits, pause_left)

    async def _check(self, state: SilenceState) -> None:
        checks = self._runtime.reachability
        state.reachability = await checks.check(self._target.address, self._sent_at)

    def _compute_pause_left(self, limits: SilenceLimits) -> float:
        """Return the seconds for which the silence is known to last."""
        upstream = self._target.upstream
        if self._runtime.is_queueing(upstream):
            return limits.suspect_after
        return self._runtime.compute_pending_prefill(upstream)

    def _follow_up(self, state: SilenceState) -> None:
        """Start another attempt if that is allowed; log what is known."""
        runtime, upstream = self._runtime, self._target.upstream
        if state.reachability is Reachability.UNREACHED:
            runtime.instance.balancer.record_unreachable(upstream, runtime.now())
        refusal = self._start_beside()
        follow_up = "second attempt" if refusal is None else refusal.value
        runtime.metrics.count_silence(state.reachability.value, follow_up)
        logger.info(
            "upstream is silent",
            request=self._call.headers.request,
            upstream=upstream,
            address=self._target.address,
            lasted=round(state.lasted, 3),
            reachability=state.reachability.value,
            pause_left=round(state.pause_left, 3),
            peer=self.peer,
            follow_up=follow_up,
        )
