"""A stand-in service over HTTP, such as work orders or permit checks."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator

import msgspec
from aiohttp import web

from scalebend.models.ids import (
    AvailabilityZone,
    Incarnation,
    ServiceName,
    UpstreamId,
)
from scalebend.models.upstream import Announcement, UpstreamFamily, UpstreamState
from scalebend.standins.announcer import Silence, announce_periodically


class ServiceOptions(msgspec.Struct, frozen=True):
    """Identity of a stand-in service; ``delay`` is in seconds before each response."""

    upstream: UpstreamId
    availability_zone: AvailabilityZone
    service: ServiceName
    delay: float = 0.01
    announce_key: str = ""


class ServiceServer:
    """Counts calls by their ``X-Order`` header, to detect repeated execution."""

    def __init__(self, options: ServiceOptions, incarnation: int = 1) -> None:
        self.options = options
        self.incarnation = Incarnation(incarnation)
        self.address = ""
        self._announcements = 0
        self.state = UpstreamState.SERVING
        self.calls: dict[str, int] = {}
        self.silence = Silence()
        self.responses_to_drop = 0
        """Number of executed calls whose response is still to be dropped."""

    def build_app(self) -> web.Application:
        """Return the HTTP application of the service."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    def build_announcement(self) -> Announcement:
        """Return an announcement of the current state of the service."""
        self._announcements += 1
        return Announcement(
            upstream=self.options.upstream,
            family=UpstreamFamily.SERVICE,
            address=self.address,
            incarnation=self.incarnation,
            sequence=self._announcements,
            availability_zone=self.options.availability_zone,
            state=self.state,
            service=self.options.service,
            concurrency=64,
        )

    async def _serve(self, request: web.Request) -> web.Response:
        order = request.headers.get("X-Order", request.path)
        self.calls[order] = self.calls.get(order, 0) + 1
        await request.read()
        await asyncio.sleep(self.options.delay)
        await self.silence.wait_for_end()
        if self.responses_to_drop:
            self.responses_to_drop -= 1
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({"order": order, "run": self.calls[order]})


@contextlib.asynccontextmanager
async def serve_service(
    options: ServiceOptions, urls: list[str], *, incarnation: int = 1
) -> AsyncIterator[ServiceServer]:
    """Run a stand-in service that announces itself to the instances at ``urls``."""
    service = ServiceServer(options, incarnation)
    runner = web.AppRunner(service.build_app(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    service.address = f"127.0.0.1:{runner.addresses[0][1]}"
    task = asyncio.create_task(
        announce_periodically(
            service.build_announcement, urls, options.announce_key, service.silence
        )
    )
    try:
        yield service
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        await runner.cleanup()
