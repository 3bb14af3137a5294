"""HTTP interface of a control instance for operators and upstreams."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import structlog
from aiohttp import web

from scalebend.edges.essential_tasks import start_essential_task
from scalebend.edges.gateway.control_runtime import (
    ControlRuntime,
    build_no_quorum_error,
)
from scalebend.edges.gateway.evacuation_calls import (
    handle_list,
    handle_order,
    read_order,
)
from scalebend.edges.gateway.http_listener import listen, serve_metrics
from scalebend.edges.gateway.inspection import Inspector
from scalebend.edges.gateway.redirects import redirect_to
from scalebend.edges.gateway.sockets import Listeners
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.edges.problems import build_response
from scalebend.exceptions import ErrorKind, RequestError, ScalebendError
from scalebend.models.gateway_settings import GatewaySettings
from scalebend.platform.evacuations import EVACUATION_PREFIX, EVACUATIONS_PATH
from scalebend.platform.registrations import (
    ACKNOWLEDGEMENT,
    CONFIGURATION_PATH,
    REGISTRATION_PREFIX,
    decode_deregistration,
    decode_registration,
)

logger = structlog.get_logger(__name__)

INSPECTION_INTERVAL_S = 2.5
"""Seconds between two inspections of an engine. Fronts request a report at once when a
first token is late; this finds slow engines earlier, at the cost of more requests."""

MAX_LOGGED_CHARS = 200
"""Maximum length of a logged path and error detail; callers are not authenticated."""


class ControlHandler:
    """Handles requests of operators and upstreams."""

    def __init__(self, runtime: ControlRuntime) -> None:
        self._runtime = runtime

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Respond to one request; a refused one gets an error response."""
        try:
            return await self._dispatch(request)
        except ScalebendError as error:
            logger.info(
                "call refused",
                method=request.method,
                path=request.path[:MAX_LOGGED_CHARS],
                kind=error.kind.value,
                detail=error.detail[:MAX_LOGGED_CHARS],
            )
            return build_response(error)

    async def _dispatch(self, request: web.BaseRequest) -> web.StreamResponse:
        path = request.path
        match request.method:
            case "PUT" if path.startswith(REGISTRATION_PREFIX):
                return await self._register(request)
            case "DELETE" if path.startswith(REGISTRATION_PREFIX):
                return await self._deregister(request)
            case "PUT" if path == CONFIGURATION_PATH:
                return await self._put_configuration(request)
            case "GET" if path == CONFIGURATION_PATH:
                return await self._get_configuration(request)
            case "POST" | "DELETE" if path.startswith(EVACUATION_PREFIX):
                return await self._order_evacuation(request)
            case "GET" if path == EVACUATIONS_PATH:
                return await self._list_evacuations(request)
            case "GET" if path == "/metrics":
                return await serve_metrics(self._runtime.metrics, request)
        raise RequestError(f"{request.method} {path}", kind=ErrorKind.NOT_FOUND)

    async def _register(self, request: web.BaseRequest) -> web.StreamResponse:
        runtime = self._runtime
        name = request.path.removeprefix(REGISTRATION_PREFIX)
        endpoint = decode_registration(name, await request.read())
        runtime.execute(runtime.instance.register(endpoint, runtime.now()))
        return self._acknowledge_registration()

    async def _deregister(self, request: web.BaseRequest) -> web.StreamResponse:
        runtime = self._runtime
        name = request.path.removeprefix(REGISTRATION_PREFIX)
        deregistration = decode_deregistration(name, await request.read())
        runtime.execute(
            runtime.instance.deregister(
                deregistration.name, runtime.now(), deregistration.born
            )
        )
        return self._acknowledge_registration()

    def _acknowledge_registration(self) -> web.StreamResponse:
        # The change is stored in either case, but without a quorum it may not reach
        # every front from here.
        if not self._runtime.instance.may_acknowledge():
            raise build_no_quorum_error()
        return web.Response(body=ACKNOWLEDGEMENT, content_type="application/json")

    async def _put_configuration(self, request: web.BaseRequest) -> web.StreamResponse:
        if (redirect := self._redirect(request)) is not None:
            return redirect
        data = await request.read()
        version = await self._runtime.put_routing(data)
        logger.info("routing acknowledged", held=version, size=len(data))
        return web.Response(body=b"{}", content_type="application/json")

    async def _get_configuration(self, request: web.BaseRequest) -> web.StreamResponse:
        if (redirect := self._redirect(request)) is not None:
            return redirect
        document = await self._runtime.read_document()
        return web.Response(body=document, content_type="application/json")

    async def _order_evacuation(self, request: web.BaseRequest) -> web.StreamResponse:
        order = await read_order(request)
        self._runtime.instance.check_evacuation_members()
        return self._redirect(request) or await handle_order(self._runtime, order)

    async def _list_evacuations(self, request: web.BaseRequest) -> web.StreamResponse:
        # A leader of an earlier version would not know the call.
        if not self._runtime.instance.is_leader:
            self._runtime.instance.check_evacuation_members()
        return self._redirect(request) or await handle_list(self._runtime)

    def _redirect(self, request: web.BaseRequest) -> web.StreamResponse | None:
        """Return a redirect to the leader; ``None`` if this member leads."""
        runtime = self._runtime
        if runtime.instance.is_leader:
            return None
        leader = runtime.instance.member.leader
        if leader is None:
            raise build_no_quorum_error()
        return redirect_to(leader, runtime.settings, request)


async def _inspect_engines(runtime: ControlRuntime) -> None:
    """Request reports of all engines at intervals while this member leads."""
    async with open_upstream_sessions() as sessions:
        inspector = Inspector(sessions)
        while True:
            await asyncio.sleep(INSPECTION_INTERVAL_S)
            if not runtime.instance.is_leader:
                continue
            engines = runtime.instance.list_engines()
            found = await inspector.inspect(engines, runtime.now())
            runtime.instance.record_inspection(
                found.paces, found.unresponsive, runtime.now()
            )


@contextlib.asynccontextmanager
async def serve_calls(
    settings: GatewaySettings, runtime: ControlRuntime
) -> AsyncIterator[None]:
    """Serve requests and inspect the engines until the block ends."""
    assert settings.control_address is not None
    sock = Listeners().pop(settings.control_address)
    task = start_essential_task("engine inspection", _inspect_engines(runtime))
    try:
        async with listen(sock, ControlHandler(runtime).handle):
            try:
                yield
            finally:
                # The listener soon cancels handlers that still wait.
                runtime.refuse_pending()
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
