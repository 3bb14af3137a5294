"""HTTP of a front: admits requests of callers; serves readiness and metrics."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator
from typing import NamedTuple

import structlog
from aiohttp import web

from scalebend.core.fingerprints import build_part_id, compute_fingerprint
from scalebend.core.gateway.key_lease import LEASE_MARGIN_S
from scalebend.edges.gateway.caller_stream import CallerLeftError, StreamBrokenError
from scalebend.edges.gateway.crash_evidence import CrashEvidence
from scalebend.edges.gateway.forwarder import Forwarder
from scalebend.edges.gateway.front_dialing import FrontDialing
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.hedged_forwarder import HedgedForwarder
from scalebend.edges.gateway.http_listener import Listener, listen, serve_metrics
from scalebend.edges.gateway.open_requests import OpenRequest, OpenRequests
from scalebend.edges.gateway.sockets import Listeners
from scalebend.edges.gateway.upstream_choice import DEFAULT_RETRY_AFTER_S
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.edges.problems import build_problem_response
from scalebend.edges.upstream_dialer import UpstreamDialer
from scalebend.exceptions import (
    ErrorKind,
    Ran,
    RefusedError,
    RequestError,
    ScalebendError,
    UpstreamError,
)
from scalebend.models.calls import Call, CallerHeaders
from scalebend.models.crashes import RequestIdentity
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.routing import Route, RoutedCustomer
from scalebend.platform.headers import (
    REQUEST_ID,
    format_retry_after,
    read_caller_headers,
)

logger = structlog.get_logger(__name__)

STOPPING_RETRY_AFTER_S = 0.05
"""``Retry-After`` while this front stops: another front takes the retry."""

STARTING_RETRY_AFTER_S = 1.0
"""``Retry-After`` of a front that was never ready: after a restart of all processes a
leader is elected and leases are granted within this time."""


class CallerHandler:
    """Admits requests of callers and responds to them."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self._runtime = runtime
        self.requests = OpenRequests(runtime)

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handle one request."""
        runtime = self._runtime
        opened = OpenRequest(read_caller_headers(request.headers), runtime.now())
        with self.requests.hold(opened):
            response = await self._respond(request, opened)
        if runtime.is_closing_connections():
            response.force_close()
        return response

    async def _respond(
        self, request: web.BaseRequest, opened: OpenRequest
    ) -> web.StreamResponse:
        try:
            async with opened.timeout:
                response = await self._forward(request, opened)
                await self._write(request, response)
            self._log(opened, response.status, None, opened.forwarder)
            return response
        except ScalebendError as error:
            return self._build_failure(opened, error)
        except StreamBrokenError:
            return self._break_off(request, opened)
        except CallerLeftError as error:
            self._log_end(request, opened, error)
            return _abort(request)
        except asyncio.CancelledError as error:
            if not _is_cancelled():
                return self._fail(request, opened, error)
            self._log_end(request, opened, error)
            raise
        except Exception as error:
            if opened.timeout.expired() and isinstance(error, TimeoutError):
                return self._end(request, opened)
            if isinstance(error, ConnectionError) and _is_closed(request):
                self._log_end(request, opened, error)
                return _abort(request)
            return self._fail(request, opened, error)

    async def _forward(
        self, request: web.BaseRequest, opened: OpenRequest
    ) -> web.StreamResponse:
        await self._runtime.wait_for_first_lease()
        opened.route = self._find_route(request)
        call = opened.call = self._admit(request, opened, opened.route)
        self._check_time_left(call)
        body = await self._read_body(request, call)
        identity = opened.identity = _identify_request(call, request.host, body)
        evidence = CrashEvidence(self._runtime, identity)
        forwarder = HedgedForwarder(self._runtime, call, request, body, evidence)
        opened.forwarder = forwarder
        return await forwarder.forward()

    async def _write(
        self, request: web.BaseRequest, response: web.StreamResponse
    ) -> None:
        """Write a response; the library would, after the request counts as done."""
        if self._runtime.is_closing_connections():
            response.force_close()
        await response.prepare(request)
        await response.write_eof()

    # Ends without a response of an upstream

    def _build_failure(
        self, opened: OpenRequest, error: ScalebendError
    ) -> web.Response:
        response = _build_error_response(error, opened.headers)
        self._log(opened, response.status, error)
        return response

    def _break_off(
        self, request: web.BaseRequest, opened: OpenRequest
    ) -> web.StreamResponse:
        """End a stream that has begun; without its final chunk, it is incomplete."""
        self._log(opened, 0, None)
        return _abort(request)

    def _fail(
        self, request: web.BaseRequest, opened: OpenRequest, error: BaseException
    ) -> web.StreamResponse:
        """Respond to a request that failed for a reason that nobody foresaw."""
        logger.error(
            "request failed unexpectedly",
            request=opened.headers.request,
            **_describe_identity(opened.identity),
            exc_info=error,
            **_describe_events(opened.forwarder),
            **_describe_attempts(opened.forwarder),
        )
        if _has_begun(request):
            return self._break_off(request, opened)
        ran = Ran.UNKNOWN if opened.may_have_run else Ran.NO
        internal = ScalebendError("an unexpected error", ran=ran)
        return self._build_failure(opened, internal)

    def _end(self, request: web.BaseRequest, opened: OpenRequest) -> web.StreamResponse:
        """Respond to a request that this front ended because it stops."""
        has_begun = _has_begun(request)
        outcome = "refused" if not opened.may_have_run else "failed"
        self._runtime.metrics.count_stopped_request(
            "broken off" if has_begun else outcome
        )
        logger.warning(
            "request ended by the stop",
            request=opened.headers.request,
            **_describe_identity(opened.identity),
            outcome="broken off" if has_begun else outcome,
            elapsed=round(self._runtime.now() - opened.at, 3),
            duration=opened.duration,
            **_describe_events(opened.forwarder),
            **_describe_attempts(opened.forwarder),
        )
        if has_begun:
            return self._break_off(request, opened)
        if not opened.may_have_run:
            return self._build_failure(opened, _build_stopping_error())
        error = UpstreamError(
            "this front stopped before the response",
            kind=ErrorKind.TIME_LIMIT,
            ran=Ran.UNKNOWN,
        )
        return self._build_failure(opened, error)

    def _log_end(
        self, request: web.BaseRequest, opened: OpenRequest, error: BaseException
    ) -> None:
        """Log a request without a response, and whether its caller left."""
        runtime = self._runtime
        # The listener closes the connections of the handlers that it cancels.
        has_left = _is_closed(request) and not self.requests.is_closed
        runtime.metrics.count_unanswered_request(has_caller_left=has_left)
        logger.log(
            logging.INFO if has_left else logging.ERROR,
            "caller left" if has_left else "request ended without a response",
            request=opened.headers.request,
            **_describe_identity(opened.identity),
            error=f"{type(error).__name__}: {error}",
            draining=runtime.instance.is_draining,
            elapsed=round(runtime.now() - opened.at, 3),
            **_describe_events(opened.forwarder),
            **_describe_attempts(opened.forwarder),
        )

    # Admission

    def _find_route(self, request: web.BaseRequest) -> Route:
        instance = self._runtime.instance
        self._check_admission(self._runtime.now())
        self._check_stopping(self._runtime.now())
        path = request.raw_path.partition("?")[0]
        route = instance.table.find_route(request.host, path)
        if route is None:
            raise RequestError("no route has this path", kind=ErrorKind.NOT_FOUND)
        return route

    def _admit(
        self,
        request: web.BaseRequest,
        opened: OpenRequest,
        route: Route,
    ) -> Call:
        table = self._runtime.instance.table
        timeout_s = route.timeout
        if opened.headers.wait is not None:
            timeout_s = min(timeout_s, opened.headers.wait)
        deadline = opened.at + timeout_s
        if self._runtime.drain is not None:
            # Placements and upstreams plan with the time that is left.
            deadline = min(deadline, self._runtime.drain.end)
        customer = self._identify(opened.headers, route)
        return Call(
            headers=opened.headers,
            route=route,
            service=table.choose_service(route, self._runtime.chooser),
            customer=customer.name if customer is not None else None,
            method=request.method,
            target=request.raw_path,
            arrived=opened.at,
            deadline=deadline,
            priority=_choose_priority(customer, route),
        )

    def _identify(self, headers: CallerHeaders, route: Route) -> RoutedCustomer | None:
        table = self._runtime.instance.table
        customer = table.find_customer(headers.key)
        if customer is not None:
            return customer
        if table.routing.needs_key and not route.is_public:
            raise RequestError("the key is unknown", kind=ErrorKind.UNKNOWN_KEY)
        return None

    async def _read_body(self, request: web.BaseRequest, call: Call) -> bytes:
        if not request.can_read_body:
            return b""
        max_bytes = self._runtime.instance.table.routing.limits.body_bytes
        size = request.content_length
        if size is not None and size > max_bytes:
            raise _build_too_large_error(max_bytes)
        try:
            async with asyncio.timeout_at(call.deadline):
                body = await request.read()
        except TimeoutError:
            raise RequestError("the body did not arrive in time") from None
        except web.HTTPRequestEntityTooLarge:
            raise _build_too_large_error(max_bytes) from None
        except web.RequestPayloadError:
            raise RequestError("the body can't be read") from None
        if len(body) > max_bytes:
            raise _build_too_large_error(max_bytes)
        self._check_time_left(call)
        # The API key may have been revoked while the body arrived.
        self._check_admission(self._runtime.now() + LEASE_MARGIN_S / 2)
        return body

    def _check_stopping(self, now: float) -> None:
        drain = self._runtime.drain
        if drain is not None and not drain.may_admit(now):
            raise _build_stopping_error()

    def _check_time_left(self, call: Call) -> None:
        """Refuse a request that can't be completed before this front ends."""
        drain, now = self._runtime.drain, self._runtime.now()
        if drain is None:
            return
        duration_s = self.requests.estimate(call, now)
        if not drain.has_time(duration_s, now):
            raise _build_stopping_error()

    def _check_admission(self, now: float) -> None:
        instance = self._runtime.instance
        if instance.may_admit(now):
            return
        retry_after_s = (
            DEFAULT_RETRY_AFTER_S if instance.has_been_ready else STARTING_RETRY_AFTER_S
        )
        raise RefusedError(
            "the routing document of this front may be outdated",
            kind=ErrorKind.NOT_READY,
            retry_after=retry_after_s,
        )

    def _log(
        self,
        opened: OpenRequest,
        status: int,
        error: ScalebendError | None,
        forwarder: Forwarder | None = None,
    ) -> None:
        runtime = self._runtime
        route = opened.route
        elapsed = runtime.now() - opened.at
        kind = route.kind.value if route is not None else "none"
        runtime.metrics.count_request(kind, status, elapsed)
        logger.info(
            "request answered",
            request=opened.headers.request,
            **_describe_identity(opened.identity),
            route=route.name if route is not None else None,
            status=status,
            kind=error.kind.value if error is not None else None,
            ran=error.ran.value if error is not None else None,
            elapsed=round(elapsed, 3),
            target=route.target_latency if route is not None else None,
            event_gap=route.event_gap if route is not None else None,
            **_describe_events(forwarder),
            **_describe_attempts(opened.forwarder),
            routing=runtime.instance.table.routing.version,
        )


def _abort(request: web.BaseRequest) -> web.StreamResponse:
    """Reset the connection of a caller; the response returned is not sent."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=502)


def _is_closed(request: web.BaseRequest) -> bool:
    """Whether the connection of the caller is closed."""
    return request.transport is None or request.transport.is_closing()


def _has_begun(request: web.BaseRequest) -> bool:
    """Whether a part of a response has been sent."""
    return request.writer.output_size > 0


def _is_cancelled() -> bool:
    """Whether the running task is being cancelled, not only one that it waits for."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _choose_priority(customer: RoutedCustomer | None, route: Route) -> int:
    """Return the rank of the customer; that of the route if the customer has none."""
    if customer is not None and customer.priority is not None:
        return customer.priority
    return route.priority


def _identify_request(call: Call, host: str, body: bytes) -> RequestIdentity:
    headers = call.headers
    return RequestIdentity(
        compute_fingerprint(call.customer, call.method, host, call.target, body),
        tuple(build_part_id(headers.model, part) for part in headers.shared_parts),
    )


def _describe_identity(identity: RequestIdentity | None) -> dict[str, object]:
    """Return the log fields that tell which requests have something in common."""
    if identity is None:
        return {"fingerprint": None}
    return {"fingerprint": identity.fingerprint, "parts": identity.logged_parts}


def _describe_events(forwarder: Forwarder | None) -> dict[str, float]:
    """Return the log fields of the timing of a stream; none for other responses."""
    if forwarder is None or forwarder.stream.first_event is None:
        return {}
    return {
        "first_event": round(forwarder.stream.first_event, 3),
        "longest_gap": round(forwarder.stream.longest_gap, 3),
    }


def _describe_attempts(forwarder: Forwarder | None) -> dict[str, object]:
    """Return the log fields of the attempts; none if the request was not admitted."""
    if forwarder is None:
        return {}
    return {
        "upstream": forwarder.upstream,
        "sent": forwarder.send_count,
        "peer": forwarder.peer,
    }


def _build_stopping_error() -> RefusedError:
    return RefusedError(
        "this front is stopping",
        kind=ErrorKind.NOT_READY,
        retry_after=STOPPING_RETRY_AFTER_S,
    )


def _build_too_large_error(max_bytes: int) -> RequestError:
    return RequestError(
        f"the body may have {max_bytes} bytes", kind=ErrorKind.BODY_TOO_LARGE
    )


def _build_error_response(
    error: ScalebendError, headers: CallerHeaders
) -> web.Response:
    response = build_problem_response(error, headers.request)
    if headers.request:
        response.headers[REQUEST_ID] = headers.request
    if error.retry_after is not None and error.ran is Ran.NO:
        response.headers["Retry-After"] = format_retry_after(error.retry_after)
    return response


class Calls(NamedTuple):
    """What serves the callers; ``listener`` is to be stopped first."""

    listener: Listener
    requests: OpenRequests


@contextlib.asynccontextmanager
async def serve_calls(
    settings: GatewaySettings, listeners: Listeners, runtime: FrontRuntime
) -> AsyncIterator[Calls]:
    """Serve callers, readiness and metrics.

    At the end of the block, requests that are still open are ended with a response.
    """
    assert settings.callers_address is not None
    assert settings.readiness_address is not None

    async def answer_ready(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/metrics":
            return await serve_metrics(runtime.metrics, request)
        is_ready = runtime.instance.is_ready(runtime.now())
        return web.Response(status=200 if is_ready else 503)

    handler = CallerHandler(runtime)
    callers = listeners.pop(settings.callers_address)
    readiness = listeners.pop(settings.readiness_address)
    async with (
        open_upstream_sessions(UpstreamDialer(FrontDialing(runtime))) as sessions,
        runtime.use_sessions(sessions),
        listen(callers, handler.handle, decodes_bodies=False) as listener,
        listen(readiness, answer_ready),
    ):
        try:
            yield Calls(listener, handler.requests)
        finally:
            handler.requests.close()
