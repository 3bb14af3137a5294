"""One caller's request in progress: its attempts at upstreams and its response."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

import aiohttp
import msgspec
import structlog
from aiohttp import web

from scalebend.core.attempt_progress import AttemptProgress
from scalebend.core.catalog import UpstreamRecord
from scalebend.core.claims import StoredResponse
from scalebend.core.flow import (
    AttemptResult,
    Completed,
    Interrupted,
    InvalidResponse,
    NeverStarted,
    Phase,
    Prefilled,
    StartAttempt,
)
from scalebend.edges.gateway.response_heads import InvalidHeadError
from scalebend.edges.gateway.response_reading import (
    OversizedResponseError,
    read_whole,
)
from scalebend.edges.gateway.upstream_client import allow_repetition
from scalebend.edges.problems import build_problem
from scalebend.edges.sse import (
    EventFramer,
    InvalidStreamError,
    Usage,
    list_payloads,
    read_usage,
)
from scalebend.edges.tunnel_errors import PathLostError
from scalebend.exceptions import ScalebendError
from scalebend.models.ids import AttemptId, RequestId, UpstreamId
from scalebend.models.work import Request
from scalebend.utils.decimals import parse_decimal
from scalebend.utils.division import divide_up

logger = structlog.get_logger(__name__)

CLOSE_TIMEOUT_S = 1.0
MAX_BODY_BYTES = 64 * 1024 * 1024
"""Maximum size of a response that is kept until it is complete."""

EVENT_STREAM = "text/event-stream"


class _CallerDisconnectedError(Exception):
    """The caller closed its connection."""


class OutgoingCall(msgspec.Struct, frozen=True):
    """The request to the upstream, without the headers that identify the attempt."""

    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class AttemptReporter(msgspec.Struct, frozen=True):
    """Callbacks through which an exchange reports the progress of an attempt.

    ``backoff_requested`` takes the seconds of an upstream's ``Retry-After``.
    ``scheme`` is ``http`` or ``https``, for all upstreams.
    """

    started: Callable[[AttemptId], None]
    under_way: Callable[[AttemptId], None]
    ended: Callable[[AttemptId, AttemptResult], None]
    caller_disconnected: Callable[[RequestId], None]
    backoff_requested: Callable[[UpstreamId, float], None]
    find_upstream: Callable[[UpstreamId], UpstreamRecord | None]
    scheme: str = "http"


class Exchange:
    """Runs the attempts of one request and writes the response to the caller."""

    def __init__(
        self,
        request: Request,
        call: OutgoingCall,
        http_request: web.Request,
        session: aiohttp.ClientSession,
        reporter: AttemptReporter,
    ) -> None:
        self.request = request
        self.response: web.StreamResponse | None = None
        self.concluded: asyncio.Future[ScalebendError | None] = (
            asyncio.get_running_loop().create_future()
        )
        self.first_token_at: float | None = None
        self.output_tokens = 0
        self.prompt_tokens = 0
        self._call = call
        self._http_request = http_request
        self._session = session
        self._reporter = reporter
        self._framer = EventFramer()
        self._collected: list[bytes] = []
        self._collected_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._start: StartAttempt | None = None

    # Actions of the core

    def start(self, start: StartAttempt) -> None:
        """Start an attempt at the granted replicas."""
        self._start = start
        if start.phase is not Phase.DECODE:
            self._framer = EventFramer()
            self._collected = []
            self._collected_bytes = 0
        self._task = asyncio.create_task(self._run(is_resumed=False))

    def resume(self) -> None:
        """Fetch the rest of the attempt's stream over a new connection."""
        self._framer.restart()
        self._task = asyncio.create_task(self._run(is_resumed=True))

    def abort(self) -> None:
        """Close the connection of the current attempt."""
        if self._task is not None and self._task is not asyncio.current_task():
            self._task.cancel()
        self._task = None

    def conclude(self, error: ScalebendError | None) -> None:
        """Complete ``concluded`` with the outcome of the request."""
        if not self.concluded.done():
            self.concluded.set_result(error)

    # Response to the caller

    async def write_error(self, error: ScalebendError) -> None:
        """End a response that has begun, with the error as its last event."""
        assert self.response is not None
        problem = build_problem(error, self.request.request)
        data = b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
        with contextlib.suppress(ConnectionError, TimeoutError):
            await asyncio.wait_for(self.response.write(data), CLOSE_TIMEOUT_S)
            await asyncio.wait_for(self.response.write_eof(), CLOSE_TIMEOUT_S)

    def build_stored_response(self) -> StoredResponse | None:
        """Return the response to store with a claim; a streamed one has no body."""
        if isinstance(self.response, web.Response):
            body = self.response.body
            data = body if isinstance(body, bytes) else None
            return StoredResponse(
                self.response.status, self.response.content_type, data
            )
        if self.response is not None:
            return StoredResponse(200, EVENT_STREAM, None)
        return None

    # Attempts at upstreams

    async def _run(self, *, is_resumed: bool) -> None:
        assert self._start is not None
        start = self._start
        lead = self._reporter.find_upstream(start.upstreams[0])
        if lead is None:
            result: AttemptResult = NeverStarted("the upstream is no longer registered")
        else:
            try:
                result = await self._run_attempt(start, lead, is_resumed=is_resumed)
            except _CallerDisconnectedError:
                self._reporter.caller_disconnected(self.request.request)
                return
            except Exception as error:
                # Without a result the request would hang until its deadline.
                logger.exception("attempt failed", attempt=start.attempt)
                detail = f"internal: {type(error).__name__}"
                result = Interrupted(detail, may_have_crashed=False)
        self._task = None
        self._reporter.ended(start.attempt, result)

    async def _run_attempt(
        self, start: StartAttempt, lead: UpstreamRecord, *, is_resumed: bool
    ) -> AttemptResult:
        has_prefill_helpers = len(start.upstreams) > 1
        try:
            if (
                has_prefill_helpers
                and not is_resumed
                and not await self._reserve_helpers(start)
            ):
                return NeverStarted(
                    "a prefill helper rejected the reservation",
                    1.0,
                    may_hold_memory=True,
                )
            with allow_repetition(is_allowed=self.request.is_idempotent):
                async with self._send_request(
                    start, lead, is_resumed=is_resumed
                ) as response:
                    backoff_s = _read_retry_after(response)
                    if response.status == 503 and backoff_s is not None:
                        self._reporter.backoff_requested(start.upstreams[0], backoff_s)
                    return await self._read_response(
                        start, response, is_resumed=is_resumed
                    )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            # Nothing of the request was sent, so it cannot have run.
            detail = f"cannot connect: {error}"
            if is_resumed:
                return Interrupted(detail)
            return NeverStarted(detail, may_hold_memory=has_prefill_helpers)
        except (InvalidStreamError, OversizedResponseError) as error:
            return InvalidResponse(str(error))
        except PathLostError as error:
            return Interrupted(str(error), may_have_crashed=False, is_path_lost=True)
        except (InvalidHeadError, aiohttp.ClientResponseError) as error:
            # Only a running upstream sends what is no head.
            logger.warning(
                "response not valid",
                attempt=start.attempt,
                upstreams=start.upstreams,
                error=str(error),
            )
            return Interrupted(str(error), may_have_crashed=False)
        except (aiohttp.ClientError, ConnectionError, TimeoutError) as error:
            return Interrupted(f"connection lost: {type(error).__name__}")

    def _send_request(
        self, start: StartAttempt, lead: UpstreamRecord, *, is_resumed: bool
    ) -> contextlib.AbstractAsyncContextManager[aiohttp.ClientResponse]:
        base = f"{self._reporter.scheme}://{lead.announcement.address}"
        if is_resumed:
            headers = {"Last-Event-ID": str(self._framer.next_offset - 1)}
            url = f"{base}/v1/requests/{start.attempt}/stream"
            return self._session.get(url, headers=headers)
        headers = {
            **self._call.headers,
            "X-Request-Id": start.attempt,
            "X-Priority": str(start.priority),
            "X-Group-Size": str(len(start.upstreams)),
            "X-Part": start.phase.value,
        }
        if start.source is not None:
            headers["X-Import-From"] = self._build_export_url(start)
        return self._session.request(
            self._call.method,
            base + self._call.path,
            data=self._call.body,
            headers=headers,
        )

    def _build_export_url(self, start: StartAttempt) -> str:
        assert start.source is not None
        source = self._reporter.find_upstream(start.source)
        address = source.announcement.address if source is not None else ""
        return f"{self._reporter.scheme}://{address}/v1/requests/{start.attempt}/kv"

    async def _reserve_helpers(self, start: StartAttempt) -> bool:
        parts = len(start.upstreams)
        memory = divide_up(self.request.memory_tokens, parts)
        body = msgspec.json.encode({"memory_tokens": memory})
        for upstream in start.upstreams[1:]:
            record = self._reporter.find_upstream(upstream)
            if record is None:
                return False
            base = f"{self._reporter.scheme}://{record.announcement.address}"
            url = f"{base}/v1/requests/{start.attempt}/memory"
            async with self._session.put(url, data=body) as response:
                if response.status >= 300:
                    return False
        return True

    async def _read_response(
        self, start: StartAttempt, response: aiohttp.ClientResponse, *, is_resumed: bool
    ) -> AttemptResult:
        if self.request.service is not None:
            return await self._read_service_response(start, response)
        if response.status in (429, 503) and not is_resumed:
            return await self._read_rejection(response)
        if response.status >= 500 or (is_resumed and response.status >= 400):
            # An upstream that does not know the attempt has restarted since.
            detail = f"the upstream returned status {response.status}"
            return Interrupted(detail, may_have_crashed=is_resumed)
        if response.status >= 400:
            await self._forward_whole(response)
            return Completed()
        if response.content_type != EVENT_STREAM:
            return InvalidResponse(
                f"the upstream returned content type {response.content_type}"
            )
        return await self._read_events(start, response)

    async def _read_rejection(self, response: aiohttp.ClientResponse) -> AttemptResult:
        body = await response.content.read(4096)
        with contextlib.suppress(msgspec.MsgspecError):
            if msgspec.json.decode(body, type=_UpstreamProblem).ran == "no":
                retry_after = _read_retry_after(response) or 0.0
                return NeverStarted("the upstream rejected the request", retry_after)
        detail = f"the upstream returned status {response.status}"
        return Interrupted(detail, may_have_crashed=False)

    async def _read_service_response(
        self, start: StartAttempt, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        self._reporter.started(start.attempt)
        await self._forward_whole(response)
        return Completed()

    async def _forward_whole(self, response: aiohttp.ClientResponse) -> None:
        body = await read_whole(response.content.readany, MAX_BODY_BYTES)
        self.response = web.Response(
            status=response.status,
            body=body,
            content_type=response.content_type,
            headers={"X-Request-Id": self.request.request},
        )

    async def _read_events(
        self, start: StartAttempt, response: aiohttp.ClientResponse
    ) -> AttemptResult:
        framer = self._framer
        progress = AttemptProgress()
        async for data in response.content.iter_any():
            forwardable = framer.feed(data)
            if not forwardable:
                continue
            now = asyncio.get_running_loop().time()
            if not progress.events:
                self.first_token_at = self.first_token_at or now
                self._reporter.started(start.attempt)
            if progress.record_events(1, now):
                self._reporter.under_way(start.attempt)
            if self.request.is_streamed:
                await self._write_events(forwardable)
            else:
                self._collect(forwardable)
        if start.phase is Phase.PREFILL and framer.next_offset == 1:
            return Prefilled()
        if not framer.is_complete:
            return Interrupted("the stream ended without its end event")
        usage = read_usage(framer.tail)
        self.output_tokens = usage.completion_tokens
        self.prompt_tokens = usage.prompt_tokens
        if self.request.is_streamed:
            assert self.response is not None
            with contextlib.suppress(ConnectionError):
                await self.response.write_eof()
        else:
            self.response = self._assemble_response(usage)
        return Completed(
            usage.completion_tokens,
            usage.prompt_tokens,
            usage.prompt_tokens_details.cached_tokens,
        )

    def _collect(self, events: bytes) -> None:
        self._collected.append(events)
        self._collected_bytes += len(events)
        if self._collected_bytes > MAX_BODY_BYTES:
            raise OversizedResponseError(f"events of more than {MAX_BODY_BYTES} bytes")

    async def _write_events(self, data: bytes) -> None:
        if self.response is None:
            self.response = web.StreamResponse(headers={"Cache-Control": "no-store"})
            self.response.content_type = EVENT_STREAM
            self.response.headers["X-Request-Id"] = self.request.request
            await self.response.prepare(self._http_request)
        try:
            await self.response.write(data)
        except ConnectionError as error:
            raise _CallerDisconnectedError from error

    def _assemble_response(self, usage: Usage) -> web.Response:
        is_chat = self._call.path.startswith("/v1/chat")
        body = assemble_completion(b"".join(self._collected), usage, is_chat=is_chat)
        return web.Response(
            body=body,
            content_type="application/json",
            headers={"X-Request-Id": self.request.request},
        )


def _read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Return the seconds of ``Retry-After``; ``None`` without a valid header."""
    return parse_decimal(response.headers.get("Retry-After"))


class _UpstreamProblem(msgspec.Struct):
    ran: str = "unknown"


class _Delta(msgspec.Struct, frozen=True):
    content: str = ""


class _Choice(msgspec.Struct):
    text: str = ""
    delta: _Delta = _Delta()


class _Event(msgspec.Struct):
    choices: list[_Choice] = msgspec.field(default_factory=list)


def assemble_completion(events: bytes, usage: Usage, *, is_chat: bool) -> bytes:
    """Return the JSON body of a response that is not streamed, from its events."""
    text = []
    for payload in list_payloads(events):
        try:
            event = msgspec.json.decode(payload, type=_Event)
        except msgspec.MsgspecError as error:
            raise InvalidStreamError("an event is not valid JSON") from error
        text += [choice.text or choice.delta.content for choice in event.choices]
    full_text = "".join(text)
    choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
    if is_chat:
        choice["message"] = {"role": "assistant", "content": full_text}
    else:
        choice["text"] = full_text
    kind = "chat.completion" if is_chat else "text_completion"
    return msgspec.json.encode({"object": kind, "choices": [choice], "usage": usage})
