"""Sends one admitted request to upstreams until one answers, and passes that on."""

from __future__ import annotations

from collections.abc import Awaitable

import aiohttp
import msgspec
import structlog
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from scalebend.core.gateway.attempts import Attempts, GiveUp, TryAgain
from scalebend.core.gateway.event_cursor import EventCursor, GarbledEventsError
from scalebend.core.gateway.timeouts import (
    compute_event_timeout,
    compute_first_byte_timeout,
)
from scalebend.edges.gateway.answer_news import hear_answer
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.running_attempts import RunningAttempt
from scalebend.edges.gateway.silence import (
    SilentError,
    own_answer,
    read_available,
    read_whole,
    wait_for_task,
)
from scalebend.edges.gateway.upstream_choice import Target, UpstreamChoice
from scalebend.edges.gateway.upstream_client import build_timeout
from scalebend.exceptions import ErrorKind, RefusedError, UpstreamError
from scalebend.models.calls import AnswerHeaders, Call, Outcome
from scalebend.models.ids import Fingerprint, UpstreamId
from scalebend.models.request_limits import UNLIMITED, RequestLimit
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import (
    build_upstream_headers,
    copy_answer_headers,
    read_answer_headers,
)

logger = structlog.get_logger(__name__)

QUICK_TARGET = 0.5
"""Seconds; requests with a shorter target are let in first at the engines."""

QUICK_URGENCY = 3
USUAL_URGENCY = 5
"""Urgency at the engines, 0 to 9, the lowest first; 5 is what they assume."""


_REFUSALS = (ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM, ErrorKind.ENDS_UPSTREAMS)
"""Kinds with which a request ends that no upstream was sent."""

_CUT_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
    OSError,
)
"""The connection ended. What remains are answers that are no HTTP or no events: who
sends such is not at its end."""


class StreamBrokenError(Exception):
    """A stream that the caller already reads cannot be finished."""


class _Ended(msgspec.Struct, frozen=True):
    """How one attempt ended; ``answer`` is the upstream's own, if it gave one."""

    outcome: Outcome
    answer: web.StreamResponse | None = None
    detail: str = ""
    faulty: UpstreamId | None = None
    """The upstream at fault, where it is another than the one that answered."""

    is_cut: bool = False
    """Whether the connection ended before the answer did, as when a process ends."""

    @property
    def is_group_damaged(self) -> bool:
        """Whether one that takes part was found missing; others may be, too."""
        if self.outcome is Outcome.NOT_SENT:
            return True
        is_unused = self.outcome in (Outcome.REJECTED, Outcome.LEFT)
        return is_unused and self.faulty is not None


class Forwarder:
    """One request of a caller."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        request: web.BaseRequest,
        body: bytes,
        fingerprint: Fingerprint,
    ) -> None:
        self._runtime = runtime
        self._call = call
        self._fingerprint = fingerprint
        self._request = request
        self._body = body
        self._attempts = Attempts(call)
        excluded = self._attempts.excluded
        self._choice = UpstreamChoice(runtime, call, fingerprint, excluded)
        self._cursor = EventCursor(call.headers.last_event)
        self._stream: web.StreamResponse | None = None
        self._event_at = 0.0
        self.first_event: float | None = None
        """Seconds from the request's arrival to the first event passed on."""

        self.longest_gap = 0.0
        """Longest pause between events passed on, in seconds."""

        self.sent = 0
        """Times that the request was sent to an upstream."""

        self.upstream: UpstreamId | None = None
        """Where it was sent last."""

    async def forward(self) -> web.StreamResponse:
        """Return the answer for the caller, or raise what it is refused with."""
        runtime, call = self._runtime, self._call
        runtime.instance.retries.record_request(call.service, runtime.now())
        while True:
            hold = self._compute_hold()
            if hold > 0.0:
                runtime.metrics.count_held_request()
                self._choice.retry_after = hold
                decision = self._attempts.refuse(ErrorKind.ENDS_UPSTREAMS)
                return self._give_up(decision, None)
            async with self._choice.choose() as target:
                if target is None:
                    decision = self._attempts.refuse(ErrorKind.NO_UPSTREAM)
                    return self._give_up(decision, None)
                ended = await self._attempt(target)
            runtime.metrics.count_attempt(ended.outcome.value)
            if ended.outcome in (Outcome.ANSWERED, Outcome.FAILED):
                # A whole answer, even of a failure: it survived the request.
                runtime.note_answered(self._fingerprint)
            if ended.outcome is Outcome.ANSWERED:
                runtime.instance.record_outcome(target.upstream, has_failed=False)
                assert ended.answer is not None
                return ended.answer
            judged = self._judge(target, ended)
            if isinstance(judged, GiveUp):
                return self._give_up(judged, ended.answer)
            if ended.is_group_damaged:
                await self._choice.exclude_silent(target)

    def _compute_hold(self) -> float:
        """Seconds for which the request must not be sent, since it ends upstreams."""
        runtime = self._runtime
        return runtime.instance.crashes.compute_quarantine(
            self._fingerprint, runtime.now()
        )

    def _compute_backoff(self) -> float:
        """Seconds until any upstream of the service may be sent a request."""
        runtime = self._runtime
        return runtime.instance.compute_backoff(self._call.service, (), runtime.now())

    def _judge(self, target: Target, ended: _Ended) -> TryAgain | GiveUp:
        runtime = self._runtime
        faulty = ended.faulty or target.upstream
        if ended.is_cut:
            runtime.note_lost(self._fingerprint, faulty)
        if ended.outcome in (Outcome.SILENT, Outcome.TIMED_OUT):
            runtime.note_unanswered(self._fingerprint, target.upstream)
        if ended.outcome in (Outcome.NOT_SENT, Outcome.SILENT):
            runtime.instance.balancer.record_unreachable(target.upstream, runtime.now())
        # Silence alone may be a queue: reports tell whether the replica is alive.
        if ended.outcome is Outcome.NOT_SENT:
            runtime.note_replica_failure(faulty)
        if ended.outcome is Outcome.REJECTED and target.job is not None:
            runtime.record_rejection(faulty)
        if ended.outcome in (Outcome.FAILED, Outcome.BROKEN, Outcome.NOT_SENT):
            runtime.instance.record_outcome(faulty, has_failed=True)
        decision = self._attempts.decide(
            ended.outcome,
            faulty,
            runtime.instance.retries,
            runtime.now(),
            is_helper=faulty != target.upstream,
        )
        logger.info(
            "attempt ended",
            request=self._call.headers.request,
            fingerprint=self._fingerprint,
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
        if decision.passes_response and answer is not None:
            return answer
        if decision.kind in _REFUSALS:
            raise RefusedError(
                "no upstream took the request",
                kind=decision.kind,
                ran=decision.ran,
                retry_after=max(self._choice.retry_after, self._compute_backoff()),
            )
        raise UpstreamError(
            "no upstream answered whole", kind=decision.kind, ran=decision.ran
        )

    # One attempt

    async def _attempt(self, target: Target) -> _Ended:
        if target.lost is not None:
            return _Ended(Outcome.LEFT, detail="not sent", faulty=target.lost)
        if self._compute_hold() > 0.0:
            # It became known while the request waited for its turn.
            return _Ended(Outcome.LEFT, detail="held back")
        if not self._runtime.instance.may_send(target.upstream, self._runtime.now()):
            # It said so after it was chosen: in answers, or by its registration.
            return _Ended(Outcome.LEFT, detail="takes nothing now")
        attempts = self._runtime.attempts
        with attempts.watch(self._call.deadline, target.upstreams) as running:
            try:
                async with running.limit:
                    return await self._exchange(target, running)
            # Also a TimeoutError, but the connector's own: the deadline comes later.
            except aiohttp.ConnectionTimeoutError:
                return _Ended(Outcome.NOT_SENT, detail="connection timed out")
            except aiohttp.ClientConnectorError as error:
                return _Ended(Outcome.NOT_SENT, detail=str(error))
            except SilentError:
                return _Ended(Outcome.SILENT)
            except (aiohttp.ClientError, OSError, GarbledEventsError) as error:
                if not running.limit.expired():
                    detail = f"{type(error).__name__}: {error}"
                    is_cut = isinstance(error, _CUT_ERRORS)
                    return _Ended(Outcome.BROKEN, detail=detail, is_cut=is_cut)
            if running.ended_with is None:
                return _Ended(Outcome.TIMED_OUT)
            detail = f"{running.ended_with} started again"
            return _Ended(
                Outcome.BROKEN, detail=detail, faulty=running.ended_with, is_cut=True
            )

    async def _exchange(self, target: Target, running: RunningAttempt) -> _Ended:
        call = self._call
        # After a connection that broke or fell silent, a pooled one may be as dead.
        may_pool = call.route.may_repeat and not self._attempts.may_have_run
        session = self._runtime.sessions.choose(may_pool=may_pool)
        patience = self._compute_patience(target)
        sending = session.request(
            call.method,
            URL(f"http://{target.address}{call.target}", encoded=True),
            headers=self._build_headers(target),
            data=self._body or None,
            allow_redirects=False,
            timeout=build_timeout(call.deadline - self._runtime.now()),
        )
        limit = self._note_sent(target)
        answer = await self._await_head(target, sending, patience)
        async with answer:
            read = read_answer_headers(answer.status, answer.headers)
            hear_answer(self._runtime, call, limit, read)
            return await self._take_answer(target, running, answer, read, patience)

    def _note_sent(self, target: Target) -> RequestLimit:
        """Count an attempt; return the limit of its upstream as known now."""
        runtime = self._runtime
        limit = runtime.instance.limits.get(target.upstream)
        if limit.rate < UNLIMITED:
            runtime.metrics.count_limited_attempt(is_first=not self.sent)
            logger.info(
                "sent to a limited upstream",
                request=self._call.headers.request,
                upstream=target.upstream,
                rate=limit.rate,
                revision=limit.revision,
                sent_before=self.sent,
            )
        self.sent += 1
        self.upstream = target.upstream
        return limit

    async def _await_head(
        self,
        target: Target,
        sending: Awaitable[aiohttp.ClientResponse],
        patience: float | None,
    ) -> aiohttp.ClientResponse:
        """Wait for the head, longer where the replica says that requests queue."""
        with own_answer(sending) as task:
            while not await wait_for_task(task, patience):
                if not self._runtime.is_queueing(target.upstream):
                    raise SilentError
            return task.result()

    def _build_headers(self, target: Target) -> CIMultiDict[str]:
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

    def _compute_patience(self, target: Target) -> float | None:
        if not self._call.route.may_repeat:
            return None
        return compute_first_byte_timeout(self._call.route, target.predicted)

    async def _take_answer(
        self,
        target: Target,
        running: RunningAttempt,
        answer: aiohttp.ClientResponse,
        read: AnswerHeaders,
        patience: float | None,
    ) -> _Ended:
        self._choice.load = read.load
        if read.request is not None and read.request != self._call.headers.request:
            answer.close()
            return _Ended(Outcome.BROKEN, detail="answer to another request")
        if read.has_not_run and answer.status >= 400:
            await read_whole(answer, patience)
            detail = f"status {answer.status}"
            faulty = target.find_helper(read.faulty_address)
            return _Ended(Outcome.REJECTED, None, detail, faulty)
        is_stream = self._call.route.kind is RouteKind.STREAMING
        if is_stream and answer.status == 200:
            return await self._pass_events(target, running, answer)
        body = await read_whole(answer, patience)
        passed = web.Response(
            status=answer.status,
            reason=answer.reason,
            headers=copy_answer_headers(answer.headers),
            body=body,
        )
        if answer.status >= 500:
            return _Ended(Outcome.FAILED, passed, detail=f"status {answer.status}")
        self._choice.has_failed = False
        return _Ended(Outcome.ANSWERED, passed)

    async def _pass_events(
        self, target: Target, running: RunningAttempt, answer: aiohttp.ClientResponse
    ) -> _Ended:
        cursor = self._cursor
        cursor.restart()
        between = compute_event_timeout(self._call.route)
        patience = compute_first_byte_timeout(self._call.route, target.predicted)
        is_first = True
        while True:
            data = await read_available(answer.content, patience)
            if not data:
                break
            passed = cursor.feed(data)
            if not passed.data:
                continue
            if answer.content.is_eof():
                running.keep_only(())
            elif is_first:
                running.keep_only(target.holders)
            if is_first:
                self._choice.note_first_token(target)
            is_first = False
            patience = between
            self._note_events()
            stream = self._stream or await self._open_stream(answer)
            await stream.write(passed.data)
        if cursor.has_partial:
            return _Ended(Outcome.BROKEN, detail="ended inside an event", is_cut=True)
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
        if self._runtime.wants_callers_to_go():
            stream.force_close()
        self._stream = stream
        await stream.prepare(self._request)
        if call.headers.prompt is not None:
            elapsed = self._runtime.now() - call.arrived
            self._runtime.metrics.observe_first_event(
                call.headers.prompt.prompt, elapsed
            )
        return stream
