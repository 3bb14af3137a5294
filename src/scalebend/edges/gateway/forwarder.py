"""Forwards one admitted request to upstreams, with retries, and their response."""

from __future__ import annotations

import contextlib

import aiohttp
import msgspec
import structlog
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from scalebend.core.attempt_progress import AttemptProgress
from scalebend.core.gateway.attempts import Attempts, GiveUp, TryAgain
from scalebend.core.gateway.event_cursor import EventCursor, GarbledEventsError
from scalebend.core.gateway.hedging import Refusal
from scalebend.core.gateway.response_proof import judge_response
from scalebend.edges.gateway.attempt_result import AttemptResult, build_interrupted
from scalebend.edges.gateway.caller_stream import CallerStream, StreamBrokenError
from scalebend.edges.gateway.crash_evidence import CrashEvidence
from scalebend.edges.gateway.engine_priorities import choose_urgency
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.held_requests import HeldRequest
from scalebend.edges.gateway.path_watch import PathWatch, watch_path
from scalebend.edges.gateway.response_headers import apply_response_head
from scalebend.edges.gateway.response_reading import (
    cancel_on_failure,
    is_framed,
    skip_rejection_body,
)
from scalebend.edges.gateway.running_attempts import RunningAttempt
from scalebend.edges.gateway.silence_watch import SilenceWatch
from scalebend.edges.gateway.unproven_responses import discard_response
from scalebend.edges.gateway.upstream_choice import Target, UpstreamChoice
from scalebend.edges.gateway.upstream_client import (
    allow_repetition,
    build_timeout,
    find_peer,
)
from scalebend.exceptions import ErrorKind, RefusedError, UpstreamError
from scalebend.models.calls import Call, Outcome, ResponseHeaders
from scalebend.models.ids import InstanceId, PoolId, UpstreamId
from scalebend.models.rate_limits import UNLIMITED, RateLimit
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import (
    build_upstream_headers,
    copy_response_headers,
    read_response_headers,
)

logger = structlog.get_logger(__name__)

_REFUSAL_KINDS = (ErrorKind.OVERLOADED, ErrorKind.NO_UPSTREAM, ErrorKind.ENDS_UPSTREAMS)
"""Error kinds of requests that no upstream accepted."""


class Forwarder:
    """Forwards one request of a caller."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        request: web.BaseRequest,
        body: bytes,
        evidence: CrashEvidence,
    ) -> None:
        self._runtime = runtime
        self._call = call
        self._evidence = evidence
        self._request = request
        self._body = body
        self._attempts = Attempts(call)
        excluded = self._attempts.excluded
        self._choice = UpstreamChoice(runtime, call, evidence, excluded)
        self._chosen = contextlib.AsyncExitStack()
        """Holds slots, reservations and the job of the current attempt."""

        self._cursor = EventCursor(call.headers.last_event)
        self._progress = AttemptProgress()
        self._held = HeldRequest()
        self.stream = CallerStream(runtime, call, request)
        self._path: PathWatch | None = None
        self._silent: Target | None = None
        """The attempt that was silent when this one started."""

        self._silences: SilenceWatch | None = None
        """Waits for the data of the current attempt."""

        self.send_count = 0
        """Number of times that the request was sent to an upstream."""

        self._settled_count = 0
        """How many of these are known to have run or not; ``Attempts`` has the runs."""

        self.upstream: UpstreamId | None = None
        """The upstream of the last attempt."""

        self.peer: InstanceId | None = None
        """The front through which its response came, if not directly."""

    @property
    def may_have_run(self) -> bool:
        """Whether an upstream may have run the request, or may still do so."""
        is_open = self.send_count > self._settled_count
        return is_open or self._attempts.may_have_run

    async def forward(self) -> web.StreamResponse:
        """Return the response for the caller.

        Raises :class:`RefusedError` if no upstream accepted the request,
        :class:`UpstreamError` if its attempts failed, and :class:`StreamBrokenError`
        if they failed after the start of a stream.
        """
        runtime, call = self._runtime, self._call
        runtime.instance.retries.record_request(call.service, runtime.now())
        while True:
            quarantine_s = self._evidence.compute_quarantine()
            if quarantine_s > 0.0:
                runtime.metrics.count_quarantined_request()
                self._choice.retry_after = quarantine_s
                refusal = self._attempts.refuse(ErrorKind.ENDS_UPSTREAMS)
                return self._give_up(refusal, None)
            result = await self._attempt_once()
            if result is None:
                continue
            target = result.target
            if target is None:
                refusal = self._attempts.refuse(ErrorKind.NO_UPSTREAM)
                return self._give_up(refusal, None)
            runtime.metrics.count_attempt(result.outcome.value)
            if result.outcome in (Outcome.ANSWERED, Outcome.FAILED):
                # Even a complete error response shows that the request crashed nothing.
                self._evidence.record_completed()
                self._record_response(result)
            if result.outcome is Outcome.ANSWERED:
                runtime.instance.record_outcome(
                    target.upstream, runtime.now(), has_failed=False
                )
                assert result.response is not None
                return result.response
            decision = self._decide(target, result)
            if isinstance(decision, GiveUp):
                return self._give_up(decision, result.response)
            if result.has_unavailable_member:
                await self._choice.exclude_unresponsive(target)

    async def _attempt_once(self) -> AttemptResult | None:
        """Choose an upstream and run one attempt there.

        The result has no target if there is no upstream. Returns ``None`` if a part of
        the prompt was quarantined meanwhile.
        """
        sent_before = self.send_count
        with self._runtime.held_requests.watch(
            self._evidence.identity.parts
        ) as self._held:
            try:
                async with (
                    self._held.timeout,
                    contextlib.AsyncExitStack() as self._chosen,
                ):
                    choosing = self._choice.choose()
                    target = await self._chosen.enter_async_context(choosing)
                    if target is None:
                        return AttemptResult(Outcome.NOT_SENT)
                    result = await self._attempt(target)
                    self._choice.is_complete = result.outcome is Outcome.ANSWERED
                    return msgspec.structs.replace(
                        result, target=result.target or target
                    )
            except TimeoutError:
                if not self._held.is_ended:
                    raise
        if self.send_count > sent_before and self.upstream is not None:
            self._attempts.record_lost(None, self.upstream)
        return None

    def _record_response(self, result: AttemptResult) -> None:
        """Record what a complete response says about the parts of the prompt.

        An error may come before the prompt is read, an empty stream before a crash.
        """
        response, progress = result.response, result.progress
        if response is None or response.status >= 400:
            return
        is_stream = self._call.route.kind is RouteKind.STREAMING
        if progress.events or not is_stream:
            self._evidence.record_under_way(progress)

    def _record_failure(self, target: Target, result: AttemptResult) -> UpstreamId:
        """Record a failed attempt; return the upstream at fault."""
        runtime = self._runtime
        faulty = result.faulty or target.upstream
        if result.is_connection_lost:
            self._evidence.record_crash(faulty, result.progress)
        if result.outcome is Outcome.TIMED_OUT:
            self._evidence.record_unanswered(target.upstream, result.progress)
        if result.outcome is Outcome.NOT_SENT:
            runtime.instance.balancer.record_unreachable(target.upstream, runtime.now())
            runtime.record_replica_failure(faulty)
        if result.is_connection_timeout:
            runtime.record_failed_connection(target.upstream)
        if result.outcome is Outcome.REJECTED and target.job is not None:
            runtime.record_rejection(faulty)
        if result.outcome in (Outcome.FAILED, Outcome.INTERRUPTED, Outcome.NOT_SENT):
            runtime.instance.record_outcome(faulty, runtime.now(), has_failed=True)
        return faulty

    def _decide(self, target: Target, result: AttemptResult) -> TryAgain | GiveUp:
        runtime = self._runtime
        faulty = self._record_failure(target, result)
        decision = self._attempts.decide(
            result.outcome,
            faulty,
            runtime.instance.retries,
            runtime.now(),
            is_helper=faulty != target.upstream,
        )
        self._settled_count = self.send_count
        is_stranded = runtime.instance.reach.is_stranded(runtime.now())
        if result.outcome is Outcome.NOT_SENT and is_stranded:
            # Every other upstream is out of reach, too.
            decision = self._attempts.refuse(ErrorKind.NO_UPSTREAM)
        logger.info(
            "attempt ended",
            request=self._call.headers.request,
            fingerprint=self._evidence.identity.fingerprint,
            upstream=target.upstream,
            address=target.address,
            outcome=result.outcome.value,
            faulty=faulty,
            detail=result.detail,
            last_event=self._cursor.last_event,
            parts=self._evidence.identity.logged_parts,
            events=result.progress.events,
            streamed_for=round(result.progress.streamed_for, 3),
            silent_for=self._describe_silence(),
            pending_prefill=round(runtime.compute_pending_prefill(target.upstream), 3),
            decision=type(decision).__name__,
        )
        return decision

    def _describe_silence(self) -> float | None:
        """Return the seconds without progress before the attempt ended."""
        if self._silences is None:
            return None
        return round(self._runtime.now() - self._silences.progress_at, 3)

    def _give_up(
        self, decision: GiveUp, response: web.StreamResponse | None
    ) -> web.StreamResponse:
        if self.stream.is_open:
            raise StreamBrokenError
        if decision.passes_response and response is not None:
            return response
        if decision.kind in _REFUSAL_KINDS:
            instance, now = self._runtime.instance, self._runtime.now()
            backoff_s = instance.compute_backoff(self._call.service, (), now)
            raise RefusedError(
                "no upstream took the request",
                kind=decision.kind,
                ran=decision.ran,
                retry_after=max(self._choice.retry_after, backoff_s),
            )
        raise UpstreamError(
            "no upstream sent a complete response", kind=decision.kind, ran=decision.ran
        )

    # One attempt

    async def _attempt(self, target: Target) -> AttemptResult:
        self._progress = AttemptProgress()
        result = await self._send(target)
        return msgspec.structs.replace(result, progress=self._progress)

    async def _send(self, target: Target) -> AttemptResult:
        if target.unavailable is not None:
            return AttemptResult(
                Outcome.WITHDRAWN, detail="not sent", faulty=target.unavailable
            )
        if self._evidence.compute_quarantine() > 0.0:
            # The quarantine began while the request waited to be sent.
            return AttemptResult(Outcome.WITHDRAWN, detail="held back")
        if not self._runtime.instance.may_send(target.upstream, self._runtime.now()):
            # Backoff or draining began after the upstream was chosen.
            return AttemptResult(Outcome.WITHDRAWN, detail="takes nothing now")
        if self._evidence.is_trial():
            self._held.release()
        pool = PoolId(self._call.service)
        self._progress.parts = self._evidence.record_sent(pool, target.upstream)
        attempts = self._runtime.attempts
        watching = attempts.watch(self._call.deadline, target.upstreams, target.address)
        with watching as running:
            try:
                async with running.timeout:
                    return await self._exchange(target, running)
            # Also a TimeoutError, but of the connector, before the deadline.
            except aiohttp.ConnectionTimeoutError:
                return AttemptResult(
                    Outcome.NOT_SENT,
                    detail="connection timed out",
                    is_connection_timeout=True,
                )
            except aiohttp.ClientConnectorError as error:
                return AttemptResult(Outcome.NOT_SENT, detail=str(error))
            except (aiohttp.ClientError, OSError, GarbledEventsError) as error:
                if not running.timeout.expired():
                    return build_interrupted(error)
            if running.restarted_upstream is None:
                if running.has_connection:
                    return AttemptResult(Outcome.TIMED_OUT)
                detail = "no connection before the deadline"
                return AttemptResult(Outcome.NOT_SENT, detail=detail)
            detail = f"{running.restarted_upstream} started again"
            if not running.has_connection:
                return AttemptResult(
                    Outcome.WITHDRAWN, detail=detail, faulty=running.restarted_upstream
                )
            return AttemptResult(
                Outcome.INTERRUPTED,
                detail=detail,
                faulty=running.restarted_upstream,
                is_connection_lost=True,
            )

    async def _exchange(self, target: Target, running: RunningAttempt) -> AttemptResult:
        call = self._call
        # After a broken or silent connection, pooled ones may be dead, too.
        is_first = not self._attempts.may_have_run and self._silent is None
        may_pool = call.route.is_idempotent and is_first
        session = self._runtime.sessions.choose(may_pool=may_pool)
        sending = session.request(
            call.method,
            URL(f"http://{target.address}{call.target}", encoded=True),
            headers=self._build_headers(target),
            data=self._body or None,
            allow_redirects=False,
            timeout=build_timeout(call.deadline - self._runtime.now()),
            trace_request_ctx=running.record_connection,
        )
        limit = self._record_sent(target)
        sent_at = self._runtime.now()
        silences = self._silences = SilenceWatch(
            self._runtime, call, target, lambda: self._start_beside(target)
        )
        with allow_repetition(is_allowed=self._allows_another_run()):
            with cancel_on_failure(sending) as task:
                response = await silences.wait_for_head(task)
        waited = self._runtime.now() - sent_at
        self.peer = silences.peer = find_peer(response)
        watching = watch_path(self._runtime, call, target.upstream, response, waited)
        async with response:
            with watching as self._path:
                head = read_response_headers(response.status, response.headers)
                verdict = judge_response(
                    head,
                    call.headers.request,
                    accepts_encoding=call.headers.accepts_encoding,
                )
                if not verdict.is_of_upstream:
                    return discard_response(call, target.upstream, response, verdict)
                apply_response_head(self._runtime, call, limit, head)
                return await self._process_response(
                    target, running, response, head, silences
                )

    def _record_sent(self, target: Target) -> RateLimit:
        """Count an attempt; return the currently known rate limit of its upstream."""
        runtime = self._runtime
        limit = runtime.instance.limits.get(target.upstream)
        if limit.rate < UNLIMITED:
            runtime.metrics.count_rate_limited_attempt(is_first=not self.send_count)
            logger.info(
                "sent to a limited upstream",
                request=self._call.headers.request,
                upstream=target.upstream,
                rate=limit.rate,
                revision=limit.revision,
                sent_before=self.send_count,
            )
        starts = runtime.instance.limits.starts
        if starts.is_cold(target.upstream, runtime.now()):
            runtime.metrics.count_cold_attempt()
            logger.info(
                "sent to a cold upstream",
                request=self._call.headers.request,
                upstream=target.upstream,
                sent_before=self.send_count,
            )
        self.send_count += 1
        self.upstream = target.upstream
        return limit

    def _allows_another_run(self) -> bool:
        """Whether the request may run once more besides this attempt."""
        return self._attempts.allows_another_run

    def _start_beside(self, target: Target) -> Refusal | None:
        """Start another attempt beside a silent one; return why not."""
        return Refusal.NO_ATTEMPTS

    def _build_headers(self, target: Target) -> CIMultiDict[str]:
        call = self._call
        return build_upstream_headers(
            self._request.headers,
            call,
            target.upstream,
            remaining=call.deadline - self._runtime.now(),
            last_event=self._cursor.last_event,
            helpers=target.helpers,
            urgency=choose_urgency(self._runtime, call, target),
        )

    async def _process_response(
        self,
        target: Target,
        running: RunningAttempt,
        response: aiohttp.ClientResponse,
        head: ResponseHeaders,
        silences: SilenceWatch,
    ) -> AttemptResult:
        self._choice.load = head.load
        if head.has_not_run:
            await skip_rejection_body(response)
            detail = f"status {response.status}"
            faulty = target.find_helper(head.faulty_address)
            return AttemptResult(Outcome.REJECTED, None, detail, faulty)
        self._evidence.record_response(self._progress)
        is_stream = self._call.route.kind is RouteKind.STREAMING
        if is_stream and response.status == 200:
            return await self._forward_events(target, running, response, silences)
        body = await silences.read_body(response)
        forwarded = web.Response(
            status=response.status,
            reason=response.reason,
            headers=copy_response_headers(response.headers),
            body=body,
        )
        # A stream that has begun has no place for another response.
        if response.status >= 500 or self.stream.is_open:
            return AttemptResult(
                Outcome.FAILED, forwarded, detail=f"status {response.status}"
            )
        self._choice.has_failed = False
        return AttemptResult(Outcome.ANSWERED, forwarded)

    async def _forward_events(
        self,
        target: Target,
        running: RunningAttempt,
        response: aiohttp.ClientResponse,
        silences: SilenceWatch,
    ) -> AttemptResult:
        cursor = self._cursor
        cursor.restart()
        is_first = True
        while True:
            asked_at = self._runtime.now()
            data = await silences.read_next(response.content)
            if not data:
                break
            running.record_data(silences.heard_at)
            if self._path is not None:
                self._path.record_data(data, silences.heard_at - asked_at)
            forwarded = cursor.feed(data)
            if not forwarded.data:
                continue
            silences.record_events()
            self._claim_response()
            if response.content.is_eof():
                running.keep_only(())
            elif is_first:
                running.keep_only(target.decode_upstreams)
            if is_first:
                self._held.release()
                self._record_first_token(target)
            is_first = False
            self._evidence.record_events(self._progress, forwarded.events)
            await self.stream.forward(response, forwarded.data)
            cursor.raise_fault()
        if cursor.is_incomplete:
            return AttemptResult(
                Outcome.INTERRUPTED,
                detail="ended inside an event",
                is_connection_lost=True,
            )
        if self._is_cut_off(response):
            return AttemptResult(
                Outcome.INTERRUPTED,
                detail="ended before any event",
                is_connection_lost=True,
            )
        self._claim_response()
        if comments := cursor.take_comments():
            await self.stream.forward(response, comments)
        return AttemptResult(Outcome.ANSWERED, await self.stream.end(response))

    def _is_cut_off(self, response: aiohttp.ClientResponse) -> bool:
        """Whether a stream without an event ended because its connection did.

        With neither a length nor chunks, the end of the connection ends the response,
        also if the replica crashed.
        """
        return not is_framed(response) and self._cursor.last_event is None

    def _record_first_token(self, target: Target) -> None:
        self._choice.record_first_token(target)

    def _claim_response(self) -> None:
        """Called before anything of a response is forwarded to the caller."""
