"""Replicas that crash when they start certain requests, and come back."""

import asyncio
import contextlib
import time

import aiohttp
from aiohttp import web

from scalebend.platform.headers import build_response_headers
from tests.lib.platform_replicas import Replica

WRITE_DELAY_S = 0.03
"""Seconds from the start of a request until the replica crashes under it."""


class FragileReplica(Replica):
    """Crashes when it starts a certain request, and aborts all others it runs."""

    restart_delay_s = 0.8
    """Seconds until a crashed replica is back."""

    registers_at_start = True

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.open_transports = set()
        self.restarts = 0
        self.is_up = True
        self.tasks = set()

    def is_crashed_by(self, request, body):
        raise NotImplementedError

    async def handle(self, request):
        if not self.is_up:
            request.transport.abort()
            return web.Response()
        body = await request.read()
        self.open_transports.add(request.transport)
        if self.is_crashed_by(request, body):
            self.ran.append((request, body))
            await self.begin_to_write(request)
            self.crash()
            return web.Response()
        response = await super().handle(request)
        self.open_transports.discard(request.transport)
        return response

    async def register(self, session, state="ready"):
        if self.is_up:
            await super().register(session, state)

    async def begin_to_write(self, request):
        await asyncio.sleep(WRITE_DELAY_S)

    def crash(self):
        self.is_up = False
        for transport in self.open_transports:
            transport.abort()
        self.open_transports.clear()
        task = asyncio.create_task(self.restart())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def restart(self):
        await asyncio.sleep(self.restart_delay_s)
        self.restarts += 1
        self.begin_incarnation()
        self.sequence = 0
        self.is_up = True
        if self.registers_at_start:
            async with aiohttp.ClientSession() as session:
                await self.register(session)

    def begin_incarnation(self):
        self.id = f"{self.id.partition('-of-')[0]}-of-{self.restarts}"


class PartFragileReplica(FragileReplica):
    """Crashes when it begins to write a response to a prompt with a certain part."""

    restart_delay_s = 3.0
    guilty_part = "badc0de5"

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.guilty_at = []
        """When requests with the part arrived."""

        self.crashed_at = []

    def is_crashed_by(self, request, body):
        return self.guilty_part in request.headers.get("X-Prompt-Prefix", "")

    async def begin_to_write(self, request):
        self.guilty_at.append(time.monotonic())
        if "stream" in request.path:
            await self.write_head(request)
        await super().begin_to_write(request)

    async def write_head(self, request):
        echo = build_response_headers(request.headers["X-Request-Id"], "s")
        response = web.StreamResponse(headers=echo)
        response.content_type = "text/event-stream"
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)

    def crash(self):
        # Of several such requests at once, the first one crashes the replica.
        if self.is_up:
            self.crashed_at.append(time.monotonic())
            super().crash()


class SameNamePartFragileReplica(PartFragileReplica):
    """Comes back soon under its own name, and registers only when it is due."""

    restart_delay_s = 0.3
    registers_at_start = False

    def __init__(self, number, service, controls):
        super().__init__(number, service, controls)
        self.begin_incarnation()

    def begin_incarnation(self):
        self.born = time.time_ns() // 1_000_000
