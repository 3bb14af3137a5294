"""A front's HTTP: it admits requests of callers, and tells readiness and metrics."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
import structlog
from aiohttp import web

from scalebend.core.fingerprints import compute_fingerprint
from scalebend.core.gateway.key_lease import LEASE_MARGIN_S
from scalebend.edges.gateway.forwarder import Forwarder, StreamBrokenError
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.http_listener import answer_metrics, listen
from scalebend.edges.gateway.sockets import Listeners
from scalebend.edges.gateway.upstream_choice import RETRY_LATER
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.edges.problems import build_problem_response
from scalebend.exceptions import (
    ErrorKind,
    Ran,
    RefusedError,
    RequestError,
    ScalebendError,
)
from scalebend.models.calls import Call, CallerHeaders
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.models.ids import CustomerId, Fingerprint
from scalebend.models.routing import Route
from scalebend.platform.headers import (
    REQUEST_ID,
    format_retry_after,
    read_caller_headers,
)

logger = structlog.get_logger(__name__)

LAST_ADMISSION = 2.8
"""Seconds after the stop signal for which requests are still admitted: the balancer
asks every second and needs two failed answers. What comes later may not end in time."""

STOPPING_PAUSE = 0.05
"""Seconds after which a caller may come back: another front will take it."""

STARTING_PAUSE = 1.0
"""Seconds after which a caller may come back to a process that was never ready yet:
where all were restarted, a leader is elected and leases are given by then."""


class _Arrival(msgspec.Struct):
    """What is known so far of a request that came; ``at`` is on the steady clock."""

    headers: CallerHeaders
    at: float
    route: Route | None = None
    fingerprint: Fingerprint | None = None
    forwarder: Forwarder | None = None


class CallerHandler:
    """Admits requests of callers and answers them."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self._runtime = runtime

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        runtime = self._runtime
        arrived = runtime.now()
        arrival = _Arrival(read_caller_headers(request.headers), arrived)
        runtime.open_requests += 1
        runtime.metrics.set_open(runtime.open_requests)
        try:
            await runtime.wait_for_first_lease()
            arrival.route = self._find_route(request)
            call = self._admit(request, arrival, arrival.route)
            body = await self._read_body(request, call)
            arrival.fingerprint = compute_fingerprint(
                call.customer, call.method, request.host, call.target, body
            )
            forwarder = Forwarder(runtime, call, request, body, arrival.fingerprint)
            arrival.forwarder = forwarder
            answer = await forwarder.forward()
            self._log(arrival, answer.status, None, forwarder)
        except ScalebendError as error:
            answer = _build_failure(error, arrival.headers)
            self._log(arrival, answer.status, error)
        except StreamBrokenError:
            answer = web.Response(status=502)
            self._log(arrival, 0, None)
            if request.transport is not None:
                # Without its end mark, the stream cannot be taken for whole.
                request.transport.abort()
        except (ConnectionError, asyncio.CancelledError):
            logger.info(
                "caller left",
                request=arrival.headers.request,
                fingerprint=arrival.fingerprint,
            )
            raise
        finally:
            runtime.open_requests -= 1
            runtime.metrics.set_open(runtime.open_requests)
        if runtime.wants_callers_to_go():
            answer.force_close()
        return answer

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
        arrival: _Arrival,
        route: Route,
    ) -> Call:
        table = self._runtime.instance.table
        wait = route.timeout
        if arrival.headers.wait is not None:
            wait = min(wait, arrival.headers.wait)
        return Call(
            headers=arrival.headers,
            route=route,
            service=table.choose_service(route, self._runtime.chooser),
            customer=self._identify(arrival.headers, route),
            method=request.method,
            target=request.raw_path,
            arrived=arrival.at,
            deadline=arrival.at + wait,
        )

    def _identify(self, headers: CallerHeaders, route: Route) -> CustomerId | None:
        table = self._runtime.instance.table
        customer = table.find_customer(headers.key)
        if customer is not None:
            return customer.name
        if table.routing.needs_key and not route.is_public:
            raise RequestError("the key is unknown", kind=ErrorKind.UNKNOWN_KEY)
        return None

    async def _read_body(self, request: web.BaseRequest, call: Call) -> bytes:
        if not request.can_read_body:
            return b""
        most = self._runtime.instance.table.routing.limits.body_bytes
        size = request.content_length
        if size is not None and size > most:
            raise _too_large(most)
        try:
            async with asyncio.timeout_at(call.deadline):
                body = await request.read()
        except TimeoutError:
            raise RequestError("the body did not arrive in time") from None
        if len(body) > most:
            raise _too_large(most)
        # Time passed while the body came: the key may have been revoked meanwhile.
        self._check_admission(self._runtime.now() + LEASE_MARGIN_S / 2)
        return body

    def _check_stopping(self, now: float) -> None:
        began = self._runtime.drain_began
        if began is not None and now - began > LAST_ADMISSION:
            raise RefusedError(
                "this front stops",
                kind=ErrorKind.NOT_READY,
                retry_after=STOPPING_PAUSE,
            )

    def _check_admission(self, now: float) -> None:
        instance = self._runtime.instance
        if instance.may_admit(now):
            return
        pause = RETRY_LATER if instance.has_been_ready else STARTING_PAUSE
        raise RefusedError(
            "the routing document may be outdated here",
            kind=ErrorKind.NOT_READY,
            retry_after=pause,
        )

    def _log(
        self,
        arrival: _Arrival,
        status: int,
        error: ScalebendError | None,
        forwarder: Forwarder | None = None,
    ) -> None:
        runtime = self._runtime
        route = arrival.route
        elapsed = runtime.now() - arrival.at
        kind = route.kind.value if route is not None else "none"
        runtime.metrics.count_request(kind, status, elapsed)
        logger.info(
            "request answered",
            request=arrival.headers.request,
            fingerprint=arrival.fingerprint,
            route=route.name if route is not None else None,
            status=status,
            kind=error.kind.value if error is not None else None,
            ran=error.ran.value if error is not None else None,
            elapsed=round(elapsed, 3),
            target=route.target_latency if route is not None else None,
            event_gap=route.event_gap if route is not None else None,
            **_describe_events(forwarder),
            **_describe_attempts(arrival.forwarder),
            routing=runtime.instance.table.routing.version,
        )


def _describe_events(forwarder: Forwarder | None) -> dict[str, float]:
    """Log fields of a stream's timing; none for other answers."""
    if forwarder is None or forwarder.first_event is None:
        return {}
    return {
        "first_event": round(forwarder.first_event, 3),
        "longest_gap": round(forwarder.longest_gap, 3),
    }


def _describe_attempts(forwarder: Forwarder | None) -> dict[str, object]:
    """Log fields of where a request was sent; none if it was not admitted."""
    if forwarder is None:
        return {}
    return {"upstream": forwarder.upstream, "sent": forwarder.sent}


def _too_large(most: int) -> RequestError:
    return RequestError(
        f"the body may have {most} bytes", kind=ErrorKind.BODY_TOO_LARGE
    )


def _build_failure(error: ScalebendError, headers: CallerHeaders) -> web.Response:
    answer = build_problem_response(error, headers.request)
    if headers.request:
        answer.headers[REQUEST_ID] = headers.request
    if error.retry_after is not None and error.ran is Ran.NO:
        answer.headers["Retry-After"] = format_retry_after(error.retry_after)
    return answer


@contextlib.asynccontextmanager
async def serve_calls(
    settings: GatewaySettings, listeners: Listeners, runtime: FrontRuntime
) -> AsyncIterator[web.SockSite]:
    """Answer callers, and whoever asks for readiness and metrics.

    What is returned is the listener for callers, to be stopped first.
    """
    assert settings.callers_address is not None
    assert settings.readiness_address is not None

    async def answer_ready(request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/metrics":
            return await answer_metrics(runtime.metrics, request)
        is_ready = runtime.instance.is_ready(runtime.now())
        return web.Response(status=200 if is_ready else 503)

    handler = CallerHandler(runtime)
    callers = listeners.take(settings.callers_address)
    readiness = listeners.take(settings.readiness_address)
    async with (
        open_upstream_sessions() as sessions,
        runtime.use_sessions(sessions),
        listen(callers, handler.handle) as site,
        listen(readiness, answer_ready),
    ):
        yield site
