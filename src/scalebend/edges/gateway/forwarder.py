"""Sends one admitted request to upstreams until one answers, and passes that on."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Iterator

import aiohttp
import msgspec
import structlog
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from scalebend.core.gateway.attempts import Attempts, GiveUp, TryAgain
from scalebend.core.gateway.event_cursor import EventCursor, GarbledEventsError
from scalebend.core.gateway.patience import (
    compute_event_patience,
    compute_first_patience,
    compute_inspection_delay,
)
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.reservations import hold_memory
from scalebend.exceptions import ErrorKind, RefusedError, UpstreamError
from scalebend.models.calls import AnswerHeaders, Call, LoadReading, Outcome
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.placement import Declined, EngineWork, JobId, Placement
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import (
    build_upstream_headers,
    copy_answer_headers,
    read_answer_headers,
)

logger = structlog.get_logger(__name__)

RETRY_LATER = 0.25
"""Seconds after which a refused caller may come back: engines end several short
requests in that time."""

LEAST_WAIT = 0.01
"""Seconds below which a placement's pause is not worth a timer."""

LARGEST_ANSWER = 16 * 1024 * 1024
"""Bytes of an answer that is held whole before it is passed on."""

QUICK_TARGET = 0.5
"""Seconds; requests with a shorter target are let in first at the engines."""

QUICK_URGENCY = 3
USUAL_URGENCY = 5
"""Urgency at the engines, 0 to 9, the lowest first; 5 is what they assume."""


class StreamBrokenError(Exception):
    """A stream that the caller already reads cannot be finished."""


class _Target(msgspec.Struct, frozen=True):
    """Where one attempt goes."""

    upstream: UpstreamId
    address: str
    helpers: list[str]
    predicted: float | None = None
    job: JobId | None = None
    placement: Placement | None = None
    is_gone: bool = False
    """Whether it must not be sent to any more, so that another is to be chosen."""

    def find_faulty(self, address: str | None) -> UpstreamId:
        """The upstream at ``address`` among those that took part."""
        helpers = self.placement.helpers if self.placement is not None else ()
        for helper in helpers:
            if helper.address == address:
                return helper.upstream
        return self.upstream


class _Ended(msgspec.Struct, frozen=True):
    """How one attempt ended; ``answer`` is the upstream's own, if it gave one."""

    outcome: Outcome
    answer: web.StreamResponse | None = None
    detail: str = ""
    faulty_address: str | None = None
    """The upstream at fault, where it is another than the one that answered."""


class _SilentError(Exception):
    """Nothing came from the upstream in the time that a sound one takes."""


class Forwarder:
    """One request of a caller."""

    def __init__(
        self, runtime: FrontRuntime, call: Call, request: web.BaseRequest, body: bytes
    ) -> None:
        self._runtime = runtime
        self._call = call
        self._request = request
        self._body = body
        self._attempts = Attempts(call)
        self._cursor = EventCursor(call.headers.last_event)
        self._stream: web.StreamResponse | None = None
        self._load: LoadReading | None = None
        self._has_failed = True
        self._event_at = 0.0
        self.first_event: float | None = None
        """Seconds from the request's arrival to the first event passed on."""

        self.longest_gap = 0.0
        """Longest pause between events passed on, in seconds."""

        self._retry_after = RETRY_LATER
        self._lateness: asyncio.TimerHandle | None = None

    async def forward(self) -> web.StreamResponse:
        """Return the answer for the caller, or raise what it is refused with."""
        runtime, call = self._runtime, self._call
        runtime.instance.retries.note_request(call.service, runtime.now())
        while True:
            async with self._choose() as target:
                if target is None:
                    decision = self._attempts.refuse(ErrorKind.NO_UPSTREAM)
                    return self._give_up(decision, None)
                ended = await self._attempt(target)
            runtime.metrics.count_attempt(ended.outcome.value)
            if ended.outcome is Outcome.ANSWERED:
                assert ended.answer is not None
                return ended.answer
            judged = self._judge(target, ended)
            if isinstance(judged, GiveUp):
                return self._give_up(judged, ended.answer)

    def _judge(self, target: _Target, ended: _Ended) -> TryAgain | GiveUp:
        runtime = self._runtime
        if ended.outcome in (Outcome.NOT_SENT, Outcome.SILENT):
            runtime.instance.balancer.note_unreachable(target.upstream, runtime.now())
        # Silence alone may be a queue: reports tell whether the replica is alive.
        if ended.outcome is Outcome.NOT_SENT:
            runtime.note_replica_failure(target.upstream)
        faulty = target.find_faulty(ended.faulty_address)
        decision: TryAgain | GiveUp = self._attempts.decide(
            ended.outcome, faulty, runtime.instance.retries, runtime.now()
        )
        logger.info(
            "attempt ended",
            request=self._call.headers.request,
            upstream=target.upstream,
            address=target.address,
            outcome=ended.outcome.value,
            faulty=faulty,
            detail=ended.detail,
            last_event=self._cursor.last_event,
            decision=type(decision).__name__,
        )
        return decision

    def _give_up(
        self, decision: GiveUp, answer: web.StreamResponse | None
    ) -> web.StreamResponse:
        if self._stream is not None:
            raise StreamBrokenError
        if decision.passes_answer and answer is not None:
            return answer
        if decision.kind in (ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM):
            raise RefusedError(
                "no upstream took the request",
                kind=decision.kind,
                ran=decision.ran,
                retry_after=self._retry_after,
            )
        raise UpstreamError(
            "no upstream answered whole", kind=decision.kind, ran=decision.ran
        )

    # Choice

    @contextlib.asynccontextmanager
    async def _choose(self) -> AsyncIterator[_Target | None]:
        """Choose an upstream and count the request there until the block ends."""
        service = self._runtime.instance.table.services.get(self._call.service)
        prompt = self._call.headers.prompt
        if service is not None and service.engine is not None and prompt is not None:
            async with self._choose_engines() as target:
                yield target
            return
        with self._choose_service() as target:
            yield target

    @contextlib.contextmanager
    def _choose_service(self) -> Iterator[_Target | None]:
        runtime = self._runtime
        instance = runtime.instance
        endpoint = instance.balancer.choose(
            instance.directory.list_usable(self._call.service),
            self._attempts.excluded,
            runtime.settings.availability_zone,
            runtime.chooser,
            runtime.now(),
        )
        if endpoint is None:
            yield None
            return
        instance.balancer.note_sent(endpoint.upstream)
        self._load = None
        self._has_failed = True
        try:
            yield _Target(endpoint.upstream, endpoint.address, [])
        finally:
            instance.balancer.note_ended(
                endpoint.upstream,
                self._load,
                runtime.now(),
                has_failed=self._has_failed,
            )

    @contextlib.asynccontextmanager
    async def _choose_engines(self) -> AsyncIterator[_Target | None]:
        runtime = self._runtime
        work = self._build_work()
        decision = await runtime.place(work)
        placement = decision.placed
        if isinstance(placement, Declined):
            self._log_declined(work, placement, decision.leader)
            self._retry_after = placement.retry_after
            yield None
            return
        self._log_placement(work, placement, decision.leader)
        try:
            await self._wait_for_turn(placement)
            kept = runtime.keep_staying(work, placement)
            if kept is None:
                yield _Target(placement.upstream, placement.address, [], is_gone=True)
                return
            placement = kept
            async with hold_memory(runtime, work, placement) as helpers:
                self._lateness = asyncio.get_running_loop().call_later(
                    compute_inspection_delay(
                        placement.first_token_in - placement.start_in
                    ),
                    lambda: runtime.spawn(runtime.inspect(placement)),
                )
                yield _Target(
                    placement.upstream,
                    placement.address,
                    helpers,
                    placement.first_token_in - placement.start_in,
                    work.job,
                    placement,
                )
        finally:
            self._stop_lateness()
            runtime.note_job_ended(work.job)

    async def _wait_for_turn(self, placement: Placement) -> None:
        if placement.start_in >= LEAST_WAIT:
            remaining = self._call.deadline - self._runtime.now()
            await asyncio.sleep(min(placement.start_in, max(0.0, remaining)))

    def _stop_lateness(self) -> None:
        if self._lateness is not None:
            self._lateness.cancel()
            self._lateness = None

    def _build_work(self) -> EngineWork:
        call = self._call
        route, prompt = call.route, call.headers.prompt
        assert prompt is not None
        return EngineWork(
            job=self._runtime.build_job_id(),
            service=call.service,
            prompt_tokens=prompt.prompt,
            output_tokens=prompt.output_most,
            expected_tokens=prompt.output_expected,
            target=route.target_latency,
            event_gap=route.event_gap or route.target_latency,
            remaining=call.deadline - self._runtime.now(),
            excluded=tuple(self._attempts.excluded),
        )

    def _log_declined(
        self, work: EngineWork, declined: Declined, leader: InstanceId | None
    ) -> None:
        logger.info(
            "engines declined",
            request=self._call.headers.request,
            job=work.job,
            prompt=work.prompt_tokens,
            excluded=len(work.excluded),
            retry_after=declined.retry_after,
            leader=leader,
        )

    def _log_placement(
        self, work: EngineWork, placement: Placement, leader: InstanceId | None
    ) -> None:
        logger.info(
            "engines chosen",
            request=self._call.headers.request,
            job=work.job,
            prompt=work.prompt_tokens,
            upstream=placement.upstream,
            address=placement.address,
            helpers=[helper.upstream for helper in placement.helpers],
            predicted=round(placement.first_token_in, 3),
            start_in=round(placement.start_in, 3),
            leader=leader,
            routing=self._runtime.instance.table.routing.version,
        )

    # One attempt

    async def _attempt(self, target: _Target) -> _Ended:
        if target.is_gone:
            return _Ended(Outcome.LEFT, detail="a replica began to leave")
        try:
            async with asyncio.timeout_at(self._call.deadline):
                return await self._exchange(target)
        except TimeoutError:
            return _Ended(Outcome.TIMED_OUT)
        except aiohttp.ClientConnectorError as error:
            return _Ended(Outcome.NOT_SENT, detail=str(error))
        except aiohttp.ConnectionTimeoutError:
            return _Ended(Outcome.NOT_SENT, detail="connection timed out")
        except _SilentError:
            return _Ended(Outcome.SILENT)
        except (aiohttp.ClientError, OSError, GarbledEventsError) as error:
            return _Ended(Outcome.BROKEN, detail=f"{type(error).__name__}: {error}")

    async def _exchange(self, target: _Target) -> _Ended:
        call = self._call
        session = self._runtime.sessions.choose(may_repeat=call.route.may_repeat)
        patience = self._compute_patience(target)
        sending = session.request(
            call.method,
            URL(f"http://{target.address}{call.target}", encoded=True),
            headers=self._build_headers(target),
            data=self._body or None,
            allow_redirects=False,
        )
        answer = await self._await_head(target, sending, patience)
        async with answer:
            read = read_answer_headers(answer.status, answer.headers)
            return await self._take_answer(target, answer, read, patience)

    async def _await_head(
        self,
        target: _Target,
        sending: Awaitable[aiohttp.ClientResponse],
        patience: float | None,
    ) -> aiohttp.ClientResponse:
        """Wait for the head, longer where the replica says that requests queue."""
        task = asyncio.ensure_future(sending)
        try:
            while True:
                done, _ = await asyncio.wait({task}, timeout=patience)
                if done:
                    return task.result()
                if not self._runtime.is_queueing(target.upstream):
                    raise _SilentError
        finally:
            if not task.done():
                task.cancel()

    def _build_headers(self, target: _Target) -> CIMultiDict[str]:
        call = self._call
        urgency = None
        if target.job is not None:
            is_quick = call.route.target_latency <= QUICK_TARGET
            urgency = QUICK_URGENCY if is_quick else USUAL_URGENCY
        return build_upstream_headers(
            self._request.headers,
            call,
            target.upstream,
            remaining=call.deadline - self._runtime.now(),
            last_event=self._cursor.last_event,
            helpers=target.helpers,
            urgency=urgency,
        )

    def _compute_patience(self, target: _Target) -> float | None:
        if not self._call.route.may_repeat:
            return None
        return compute_first_patience(self._call.route, target.predicted)

    async def _take_answer(
        self,
        target: _Target,
        answer: aiohttp.ClientResponse,
        read: AnswerHeaders,
        patience: float | None,
    ) -> _Ended:
        self._load = read.load
        if read.request is not None and read.request != self._call.headers.request:
            answer.close()
            return _Ended(Outcome.BROKEN, detail="answer to another request")
        if read.has_not_run and answer.status >= 400:
            await _read_whole(answer, patience)
            detail = f"status {answer.status}"
            return _Ended(Outcome.REJECTED, None, detail, read.faulty_address)
        is_stream = self._call.route.kind is RouteKind.STREAMING
        if is_stream and answer.status == 200:
            return await self._pass_events(target, answer)
        body = await _read_whole(answer, patience)
        passed = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=copy_answer_headers(answer.headers),
            body=body,
        )
        if answer.status >= 500:
            return _Ended(Outcome.FAILED, passed, detail=f"status {answer.status}")
        self._has_failed = False
        return _Ended(Outcome.ANSWERED, passed)

    async def _pass_events(
        self, target: _Target, answer: aiohttp.ClientResponse
    ) -> _Ended:
        cursor = self._cursor
        cursor.restart()
        between = compute_event_patience(self._call.route)
        patience = compute_first_patience(self._call.route, target.predicted)
        is_first = True
        while True:
            async with _within(patience):
                data = await answer.content.readany()
            if not data:
                break
            passed = cursor.feed(data)
            if not passed.data:
                continue
            if is_first and target.job is not None:
                self._stop_lateness()
                self._runtime.note_first_token(target.job, self._load)
            is_first = False
            patience = between
            self._note_events()
            stream = self._stream or await self._open_stream(answer)
            await stream.write(passed.data)
        if cursor.has_partial:
            return _Ended(Outcome.BROKEN, detail="ended inside an event")
        stream = self._stream or await self._open_stream(answer)
        await stream.write_eof()
        return _Ended(Outcome.ANSWERED, stream)

    def _note_events(self) -> None:
        now = self._runtime.now()
        if self.first_event is None:
            self.first_event = now - self._call.arrived
        else:
            self.longest_gap = max(self.longest_gap, now - self._event_at)
        self._event_at = now

    async def _open_stream(self, answer: aiohttp.ClientResponse) -> web.StreamResponse:
        call = self._call
        stream = web.StreamResponse(
            status=answer.status,
            reason=answer.reason,
            headers=copy_answer_headers(answer.headers),
        )
        if self._runtime.instance.is_draining:
            stream.force_close()
        self._stream = stream
        await stream.prepare(self._request)
        if call.headers.prompt is not None:
            elapsed = self._runtime.now() - call.arrived
            self._runtime.metrics.observe_first_event(
                call.headers.prompt.prompt, elapsed
            )
        return stream


@contextlib.asynccontextmanager
async def _within(patience: float | None) -> AsyncIterator[None]:
    """Raise when the block takes longer than ``patience`` seconds."""
    timer = asyncio.timeout(patience)
    try:
        async with timer:
            yield
    except TimeoutError:
        if timer.expired():
            raise _SilentError from None
        raise


async def _read_whole(answer: aiohttp.ClientResponse, patience: float | None) -> bytes:
    parts: list[bytes] = []
    size = 0
    while True:
        async with _within(patience):
            data = await answer.content.readany()
        if not data:
            return b"".join(parts)
        parts.append(data)
        size += len(data)
        if size > LARGEST_ANSWER:
            raise aiohttp.ClientPayloadError("the answer is too large")
