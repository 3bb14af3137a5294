"""A stand-in engine over HTTP, for the demo and the tests.

It implements docs/interface-upstreams.md: streamed completions, resumption,
cancellation, orders, and announcements to an instance. The response to a prompt is
deterministic, so that a caller can check that it got a complete response to its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import ssl
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from aiohttp import web

from scalebend.core.prefixes import compute_prefixes, list_boundaries
from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    Incarnation,
    UpstreamId,
)
from scalebend.models.orders import Order
from scalebend.models.upstream import (
    Announcement,
    Load,
    LoadedModel,
    UpstreamFamily,
    UpstreamState,
)
from scalebend.standins.announcer import Silence, announce_periodically
from scalebend.standins.engine_model import (
    EngineModel,
    EngineParameters,
    Finished,
    FirstToken,
)

FINISHED_RETENTION_S = 10.0
"""How long a finished stream can still be resumed."""

BYTES_PER_TOKEN = 4


class EngineOptions(msgspec.Struct, frozen=True):
    """Identity and capacity of an engine; a ``time_scale`` below 1 makes it faster."""

    upstream: UpstreamId
    availability_zone: AvailabilityZone
    models: list[LoadedModel]
    parameters: EngineParameters = EngineParameters()
    time_scale: float = 1.0
    kind: str = "standin"
    checks_fencing: bool = True
    announce_key: str = ""


def build_word(prompt: bytes, offset: int) -> str:
    """Return the token at ``offset`` of the response to ``prompt``."""
    seed = hashlib.sha256(prompt).hexdigest()[:12]
    return f"{seed}-{offset} "


class _Stream(msgspec.Struct):
    """Generated tokens of one attempt; ``changed`` is set when there are more."""

    prompt: bytes
    output_tokens: int
    prompt_tokens: int
    cached_tokens: int
    changed: asyncio.Event
    generated: int = 0
    is_cancelled: bool = False
    is_prefill_only: bool = False


class EngineServer:
    """A stand-in engine whose attributes make it fail in tests."""

    def __init__(self, options: EngineOptions, incarnation: int = 1) -> None:
        self.options = options
        self.model = EngineModel(options.parameters)
        self.models = list(options.models)
        self.incarnation = Incarnation(incarnation)
        self.state = UpstreamState.SERVING
        self.fencing_number = 0
        self.address = ""
        self._announcements = 0
        self.silence = Silence()
        self.started: list[str] = []
        self.imported: list[str] = []
        self.drop_after: int | None = None
        """Number of events after which a stream is interrupted."""

        self.sends_garbage = False
        self.never_responds = False
        self.drops_every_stream = False
        self.cancellations_to_fail = 0
        """Number of cancellations that still fail, with status 500."""

        self.crashes_on: bytes | None = None
        """A prompt that contains this crashes the engine, which restarts at once."""

        self.crash_count = 0
        self.retry_after: str | None = None
        """If set, every request is rejected with this ``Retry-After`` value."""

        self.rejection_status = 503

        self.rejected_at: list[float] = []
        """Times of the rejections, on the clock of the event loop."""

        self._open_transports: set[asyncio.Transport] = set()
        self._streams: dict[AttemptId, _Stream] = {}
        self._work_added = asyncio.Event()

    def build_app(self) -> web.Application:
        """Return the HTTP application of the engine."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/v1/completions", self._complete)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/v1/requests/{attempt}/stream", self._resume)
        app.router.add_delete("/v1/requests/{attempt}", self._cancel)
        app.router.add_put("/v1/requests/{attempt}/memory", self._reserve_memory)
        app.router.add_get("/v1/requests/{attempt}/kv", self._export)
        app.router.add_post("/v1/orders", self._accept_order)
        return app

    def build_announcement(self) -> Announcement:
        """Return an announcement of the current state of the engine."""
        self._announcements += 1
        parameters = self.options.parameters
        scale = self.options.time_scale
        return Announcement(
            upstream=self.options.upstream,
            family=UpstreamFamily.ENGINE,
            address=self.address,
            incarnation=self.incarnation,
            sequence=self._announcements,
            availability_zone=self.options.availability_zone,
            kind=self.options.kind,
            state=self.state,
            models=self.models,
            memory_tokens=parameters.memory_tokens,
            concurrency=parameters.concurrency,
            prefill_rate=parameters.prefill_rate / scale,
            step_time=parameters.step_time * scale,
            load=Load(running=len(self.model), memory_used=self.model.used_tokens),
            running=list(self.model.list_running()),
            cache_events=self.model.pop_cache_events(),
            fencing_number=self.fencing_number,
        )

    async def run_steps(self) -> None:
        """Run batch steps until cancelled."""
        loop = asyncio.get_running_loop()
        scale = self.options.time_scale
        while True:
            now = loop.time() / scale
            end = self.model.plan(now, max_steps=1)
            if end is None:
                self._work_added.clear()
                await self._work_added.wait()
                continue
            await asyncio.sleep(max(0.0, (end - now) * scale))
            await self.silence.wait_for_end()
            self._apply_events(self.model.complete(max(end, loop.time() / scale)))

    def _apply_events(self, events: list[FirstToken | Finished]) -> None:
        for attempt, stream in list(self._streams.items()):
            generated = self.model.count_generated(attempt)
            if generated > stream.generated:
                stream.generated = generated
                stream.changed.set()
        for event in events:
            match event:
                case FirstToken():
                    pass
                case Finished(attempt, _, output_tokens):
                    stream = self._streams[attempt]
                    stream.generated = output_tokens
                    stream.changed.set()
                    loop = asyncio.get_running_loop()
                    loop.call_later(
                        FINISHED_RETENTION_S, self._streams.pop, attempt, None
                    )

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        attempt = AttemptId(request.headers.get("X-Request-Id", ""))
        body = await request.read()
        if self.never_responds:
            await asyncio.Event().wait()
        if self.sends_garbage:
            return web.Response(body=b"\x00garbage", content_type="text/event-stream")
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
        prompt = bytes(fields.get("prompt") or fields.get("messages") or b"")
        if request.transport is not None:
            self._open_transports.add(request.transport)
        if self.retry_after is not None:
            return self._reject(self.retry_after)
        if self.crashes_on is not None and self.crashes_on in prompt:
            return self._crash_and_restart()
        output = msgspec.json.decode(fields.get("max_tokens", msgspec.Raw(b"16")))
        prompt_tokens = max(1, len(prompt) // BYTES_PER_TOKEN)
        phase = request.headers.get("X-Part", "whole")
        if phase == "decode":
            return await self._import(request, attempt, prompt, prompt_tokens, output)
        sequence = self.model.submit(
            attempt,
            prompt_tokens=prompt_tokens,
            output_tokens=output,
            priority=int(request.headers.get("X-Priority", "0")),
            now=asyncio.get_running_loop().time() / self.options.time_scale,
            prefixes=_list_prefixes(prompt),
            group_size=int(request.headers.get("X-Group-Size", "1")),
            is_prefill_only=phase == "prefill",
        )
        if sequence is None:
            detail = {"kind": "overloaded", "ran": "no"}
            return web.json_response(detail, status=503)
        self.started.append(attempt)
        stream = _Stream(
            prompt, output, prompt_tokens, sequence.cached_tokens, asyncio.Event()
        )
        stream.is_prefill_only = phase == "prefill"
        self._streams[attempt] = stream
        self._work_added.set()
        return await self._send_stream(request, stream, 0)

    def _reject(self, retry_after: str) -> web.Response:
        self.rejected_at.append(asyncio.get_running_loop().time())
        detail = {"kind": "overloaded", "ran": "no"}
        headers = {"Retry-After": retry_after}
        return web.json_response(detail, status=self.rejection_status, headers=headers)

    def _crash_and_restart(self) -> web.Response:
        """Drop all sequences and connections, as a crashed process does."""
        self.crash_count += 1
        self.incarnation = Incarnation(self.incarnation + 1)
        self.model = EngineModel(self.options.parameters)
        self._streams.clear()
        for transport in self._open_transports:
            transport.abort()
        self._open_transports.clear()
        return web.Response(status=500)

    async def _import(
        self,
        request: web.Request,
        attempt: AttemptId,
        prompt: bytes,
        prompt_tokens: int,
        output: int,
    ) -> web.StreamResponse:
        rejection = web.json_response({"kind": "overloaded", "ran": "no"}, status=503)
        if not await self._fetch_kv_cache(request.headers["X-Import-From"]):
            return rejection
        duration = self.model.begin_import(
            attempt, prompt_tokens=prompt_tokens, output_tokens=output
        )
        if duration is None:
            return rejection
        stream = _Stream(prompt, output, prompt_tokens, 0, asyncio.Event(), 1)
        self._streams[attempt] = stream
        await asyncio.sleep(duration * self.options.time_scale)
        now = asyncio.get_running_loop().time() / self.options.time_scale
        if not self.model.finish_import(attempt, now):
            return rejection
        self.imported.append(attempt)
        self._work_added.set()
        return await self._send_stream(request, stream, 1)

    async def _fetch_kv_cache(self, url: str) -> bool:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with aiohttp.ClientSession() as session, session.get(url) as response:
                return response.status == 200
        return False

    async def _export(self, request: web.Request) -> web.Response:
        stream = self._streams.get(AttemptId(request.match_info["attempt"]))
        if stream is None or not stream.generated:
            return web.json_response({"kind": "not-found"}, status=404)
        return web.json_response({"prompt_tokens": stream.prompt_tokens})

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream = self._streams.get(AttemptId(request.match_info["attempt"]))
        if stream is None:
            return web.json_response({"kind": "not-found"}, status=404)
        offset = int(request.headers.get("Last-Event-ID", "-1")) + 1
        return await self._send_stream(request, stream, offset)

    async def _send_stream(
        self, request: web.Request, stream: _Stream, offset: int
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_type = "text/event-stream"
        await response.prepare(request)
        end = stream.output_tokens + 2
        if stream.is_prefill_only and stream.output_tokens > 1:
            end = 1
        while offset < end and not stream.is_cancelled:
            if offset >= stream.generated and stream.generated < stream.output_tokens:
                stream.changed.clear()
                await stream.changed.wait()
                continue
            if self.drop_after is not None and offset >= self.drop_after:
                if not self.drops_every_stream:
                    self.drop_after = None
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(_build_event(stream, offset))
            offset += 1
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        if self.cancellations_to_fail:
            self.cancellations_to_fail -= 1
            return web.Response(status=500)
        attempt = AttemptId(request.match_info["attempt"])
        now = asyncio.get_running_loop().time() / self.options.time_scale
        self.model.cancel(attempt, now)
        stream = self._streams.pop(attempt, None)
        if stream is not None:
            stream.is_cancelled = True
            stream.changed.set()
        return web.Response(status=204)

    async def _reserve_memory(self, request: web.Request) -> web.Response:
        attempt = AttemptId(request.match_info["attempt"])
        fields = msgspec.json.decode(await request.read(), type=dict[str, int])
        if not self.model.reserve_memory(attempt, fields["memory_tokens"]):
            return web.json_response({"ran": "no"}, status=503)
        return web.Response(status=204)

    async def _accept_order(self, request: web.Request) -> web.Response:
        order = msgspec.json.decode(await request.read(), type=Order)
        if self.options.checks_fencing and order.fencing_number < self.fencing_number:
            return web.json_response({"kind": "old-fencing-number"}, status=409)
        self.fencing_number = max(self.fencing_number, order.fencing_number)
        names = {loaded.model for loaded in order.load} | set(order.unload)
        self.models = [m for m in self.models if m.model not in names] + order.load
        return web.Response(status=202)


def _list_prefixes(prompt: bytes) -> tuple[tuple[int, int], ...]:
    hashes = compute_prefixes(prompt)
    sizes = list_boundaries(len(prompt))
    return tuple(
        (prefix, size // BYTES_PER_TOKEN)
        for prefix, size in zip(hashes, sizes, strict=True)
    )


def _build_event(stream: _Stream, offset: int) -> bytes:
    if offset < stream.output_tokens:
        choice = {"index": 0, "text": build_word(stream.prompt, offset)}
        data = msgspec.json.encode({"choices": [choice]})
    elif offset == stream.output_tokens:
        usage = {
            "prompt_tokens": stream.prompt_tokens,
            "completion_tokens": stream.output_tokens,
            "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
        }
        data = msgspec.json.encode({"choices": [], "usage": usage})
    else:
        data = b"[DONE]"
    return b"id: %d\ndata: %s\n\n" % (offset, data)


@contextlib.asynccontextmanager
async def serve_engine(
    options: EngineOptions,
    urls: list[str],
    *,
    incarnation: int = 1,
    port: int = 0,
    context: ssl.SSLContext | None = None,
) -> AsyncIterator[EngineServer]:
    """Run a stand-in engine that announces itself to the instances at ``urls``."""
    engine = EngineServer(options, incarnation)
    runner = web.AppRunner(engine.build_app(), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", port, ssl_context=context)
    await site.start()
    engine.address = f"127.0.0.1:{runner.addresses[0][1]}"
    announcing = announce_periodically(
        engine.build_announcement, urls, options.announce_key, engine.silence
    )
    tasks = [asyncio.create_task(engine.run_steps()), asyncio.create_task(announcing)]
    try:
        yield engine
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await runner.cleanup()
