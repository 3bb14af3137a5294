"""HTTP server for callers, upstreams and operators."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

import structlog
from aiohttp import web

from scalebend.core.catalog import check_announcement
from scalebend.edges.admin import AdminHandlers
from scalebend.edges.authorization import read_key
from scalebend.edges.exchange import Exchange
from scalebend.edges.problems import build_response
from scalebend.edges.request_parser import (
    ParsedCall,
    parse_completion,
    parse_service_call,
)
from scalebend.edges.runtime import ClaimedResponseError, Runtime, run_core
from scalebend.edges.tls import build_server_context
from scalebend.exceptions import (
    ErrorKind,
    Ran,
    RefusedError,
    RequestError,
    ScalebendError,
)
from scalebend.models.ids import CustomerId, RequestId
from scalebend.models.settings import Settings
from scalebend.models.upstream import Announcement
from scalebend.utils.addresses import parse_address
from scalebend.utils.documents import decode_document
from scalebend.utils.keys import hash_key, is_known_key

logger = structlog.get_logger(__name__)

MAX_ANNOUNCEMENT_BYTES = 1024 * 1024

_HAS_RESPONSE = web.RequestKey("has_response", bool)
"""Key of a request whose response has begun."""

Parser = Callable[..., ParsedCall]


class CallerHandlers:
    """Handlers of callers' requests, upstreams' announcements and health checks."""

    def __init__(self, runtime: Runtime) -> None:
        self._runtime = runtime
        self._instance = runtime.instance
        self._body_bytes = 0
        self._keys_version = -1
        self._customers: dict[str, CustomerId] = {}

    def add_routes(self, app: web.Application) -> None:
        """Register the endpoints of callers, upstreams and health checks."""
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/models", self._list_models)
        app.router.add_route("*", "/services/{service}/{path:.*}", self._call_service)
        app.router.add_post("/upstreams/announce", self._announce)
        app.router.add_get("/health/live", self._report_live)
        app.router.add_get("/health/ready", self._report_ready)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, parse_completion)

    async def _call_service(self, request: web.Request) -> web.StreamResponse:
        return await self._serve(request, parse_service_call)

    async def _serve(
        self, http_request: web.Request, parse: Parser
    ) -> web.StreamResponse:
        request_id = self._runtime.build_request_id()
        try:
            customer = self._authenticate(http_request)
            self._instance.check_ready(self._runtime.now())
            async with self._read_body(http_request) as body:
                now = self._runtime.now()
                parsed = parse(
                    http_request, body, self._instance, request_id, customer, now
                )
                return await self._run_exchange(http_request, parsed)
        except ScalebendError as error:
            self._runtime.metrics.incr(f"request.failed.{error.kind.value}")
            logger.info(
                "request failed",
                request=request_id,
                kind=error.kind.value,
                ran=error.ran.value,
                detail=error.detail,
            )
            return build_response(error, request_id)

    def _authenticate(self, request: web.Request) -> CustomerId:
        accepted = self._instance.configuration
        if accepted.version != self._keys_version:
            self._keys_version = accepted.version
            self._customers = {
                key_hash: customer.customer
                for customer in accepted.configuration.customers
                for key_hash in customer.key_hashes
            }
        # Looked up by the hash of the key: the timing of the lookup can reveal at
        # most the hash, from which the key cannot be derived.
        customer = self._customers.get(hash_key(read_key(request)))
        if customer is None:
            raise RequestError("the key is unknown", kind=ErrorKind.UNKNOWN_KEY)
        return customer

    @contextlib.asynccontextmanager
    async def _read_body(self, request: web.Request) -> AsyncIterator[bytes]:
        limits = self._instance.settings.limits
        content_length = request.content_length
        size = limits.body_bytes if content_length is None else content_length
        if size > limits.body_bytes:
            raise RequestError(
                f"the body is larger than {limits.body_bytes} bytes",
                kind=ErrorKind.BODY_TOO_LARGE,
            )
        if self._body_bytes + size > limits.body_bytes_sum:
            raise RefusedError(
                "the memory limit for request bodies is reached", retry_after=1.0
            )
        self._body_bytes += size
        try:
            yield await self._read_with_timeout(request, limits.default_time_limit)
        finally:
            self._body_bytes -= size

    async def _read_with_timeout(self, request: web.Request, seconds: float) -> bytes:
        try:
            return await asyncio.wait_for(request.read(), seconds)
        except TimeoutError:
            raise RequestError("the body did not arrive in time") from None
        except web.HTTPRequestEntityTooLarge as error:
            raise RequestError(
                error.text or "the body is too large", kind=ErrorKind.BODY_TOO_LARGE
            ) from None

    async def _run_exchange(
        self, http_request: web.Request, parsed: ParsedCall
    ) -> web.StreamResponse:
        runtime = self._runtime
        exchange = Exchange(
            parsed.request,
            parsed.call,
            http_request,
            runtime.session,
            runtime.build_reporter(),
        )
        runtime.admit(exchange)
        try:
            error = await exchange.concluded
        except asyncio.CancelledError:
            runtime.cancel(parsed.request.request)
            raise
        finally:
            runtime.remove(exchange)
        self._record_metrics(exchange, parsed.prompt_bytes, error)
        return await self._build_caller_response(exchange, error)

    async def _build_caller_response(
        self, exchange: Exchange, error: ScalebendError | None
    ) -> web.StreamResponse:
        if isinstance(error, ClaimedResponseError):
            stored = error.stored
            return web.Response(
                status=stored.status,
                body=stored.body,
                content_type=stored.content_type,
                headers={"X-Repeated": "true"},
            )
        if error is None:
            assert exchange.response is not None
            return exchange.response
        if exchange.response is not None and exchange.response.prepared:
            await exchange.write_error(error)
            return exchange.response
        raise error

    def _record_metrics(
        self, exchange: Exchange, prompt_bytes: int, error: ScalebendError | None
    ) -> None:
        metrics = self._runtime.metrics
        request = exchange.request
        now = self._runtime.now()
        metrics.timing("request.duration", (now - request.arrived) * 1000.0)
        if exchange.first_token_at is not None:
            wait = (exchange.first_token_at - request.arrived) * 1000.0
            metrics.timing("request.first_token", wait)
        if error is None:
            metrics.incr("request.finished")
            metrics.incr("tokens.output", exchange.output_tokens)
        if request.model is not None:
            sizes = self._instance.entry.placement.sizes
            sizes.learn(request.model, prompt_bytes, exchange.prompt_tokens)

    async def _list_models(self, request: web.Request) -> web.Response:
        models = self._instance.configuration.configuration.models
        data = [{"id": model.model, "object": "model"} for model in models]
        return web.json_response({"object": "list", "data": data})

    async def _announce(self, request: web.Request) -> web.Response:
        hashes = self._instance.settings.upstream_key_hashes
        if hashes and not is_known_key(read_key(request), hashes):
            error = RequestError("the key is unknown", kind=ErrorKind.UNKNOWN_KEY)
            return build_response(error)
        try:
            if (request.content_length or 0) > MAX_ANNOUNCEMENT_BYTES:
                raise RequestError(
                    "the announcement is too large", kind=ErrorKind.BODY_TOO_LARGE
                )
            announcement = decode_document(
                await request.read(), Announcement, ErrorKind.INVALID_ANNOUNCEMENT
            )
            check_announcement(announcement)
        except ScalebendError as error:
            return build_response(error)
        self._runtime.announcements.on_next(announcement)
        return web.Response(status=202)

    async def _report_live(self, request: web.Request) -> web.Response:
        return web.Response(text="live\n")

    async def _report_ready(self, request: web.Request) -> web.Response:
        readiness = self._instance.read_readiness(self._runtime.now())
        if readiness.is_ready:
            return web.Response(text="ready\n")
        return web.Response(status=503, text=readiness.reason + "\n")


@web.middleware
async def _convert_errors(
    request: web.Request,
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> web.StreamResponse:
    try:
        return await handler(request)
    except (web.HTTPNotFound, web.HTTPMethodNotAllowed):
        detail = f"{request.method} {request.path}"
        return build_response(RequestError(detail, kind=ErrorKind.NOT_FOUND))
    except ScalebendError as error:
        return build_response(error, RequestId(""))
    except web.HTTPException:
        raise
    except Exception as error:
        logger.exception(
            "request failed unexpectedly", method=request.method, path=request.path
        )
        if _HAS_RESPONSE in request:
            # A second response can't follow: the library closes the connection.
            raise
        detail = f"internal: {type(error).__name__}"
        return build_response(ScalebendError(detail, ran=Ran.UNKNOWN))


async def _record_response(request: web.Request, response: web.StreamResponse) -> None:
    request[_HAS_RESPONSE] = True


def build_app(runtime: Runtime) -> web.Application:
    """Return the HTTP application of an instance."""
    limits = runtime.instance.settings.limits
    app = web.Application(
        client_max_size=limits.body_bytes, middlewares=[_convert_errors]
    )
    app.on_response_prepare.append(_record_response)
    CallerHandlers(runtime).add_routes(app)
    AdminHandlers(runtime).add_routes(app)
    return app


@contextlib.asynccontextmanager
async def serve_instance(
    settings: Settings, *, seed: int = 0
) -> AsyncIterator[Runtime]:
    """Run an instance with its HTTP server."""
    address = parse_address(settings.listen.callers)
    async with run_core(settings, seed=seed) as runtime:
        runner = web.AppRunner(
            build_app(runtime),
            handler_cancellation=True,
            access_log=None,
            shutdown_timeout=2.0,
        )
        await runner.setup()
        try:
            site = web.TCPSite(
                runner,
                address.host,
                address.port,
                ssl_context=build_server_context(settings.caller_tls),
            )
            await site.start()
            logger.info("instance started", instance=settings.instance)
            yield runtime
        finally:
            await runner.cleanup()


async def drain(runtime: Runtime, max_wait_s: float) -> bool:
    """Drain for up to ``max_wait_s`` seconds; return whether all requests ended.

    Those that did not are ended with an answer.
    """
    runtime.drain()
    deadline = runtime.now() + max_wait_s
    while runtime.count_open() and runtime.now() < deadline:
        await asyncio.sleep(0.05)
    is_clean = runtime.count_open() == 0
    runtime.end_open()
    # Peers must receive the hand-over before this process exits.
    await asyncio.sleep(1.0 if runtime.instance.settings.peers else 0.0)
    return is_clean
