"""``scalebend measure-overhead``: compares scalebend with a minimal proxy.

Caller, proxy and upstream run in one process. The cost of the caller and the upstream
is measured without a proxy and subtracted.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import statistics
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import msgspec
from aiohttp import web

from scalebend.commands.client import fetch
from scalebend.edges.admin import ApplyResponse
from scalebend.edges.http_server import serve_instance
from scalebend.edges.logs import configure_logs
from scalebend.edges.runtime import Runtime
from scalebend.models.configuration import (
    Configuration,
    ConfigurationChange,
    Customer,
    Model,
)
from scalebend.models.ids import (
    AvailabilityZone,
    ChangeId,
    ConfigurationVersion,
    CustomerId,
    Incarnation,
    InstanceId,
    ModelName,
    Region,
    UpstreamId,
)
from scalebend.models.settings import Listen, LogFormat, Logging, Role, Settings
from scalebend.models.upstream import Announcement, LoadedModel, UpstreamFamily
from scalebend.standins.announcer import Silence, announce_periodically
from scalebend.standins.ports import find_free_ports
from scalebend.utils.keys import hash_key

MODEL = ModelName("m")
ROUNDS = 9
REQUESTS_PER_ROUND = 200
SHORT_STREAM_CHUNKS = 4
LONG_STREAM_CHUNKS = 204
CONCURRENT_STREAMS = 40
CHUNK_INTERVAL_S = 0.002
OPEN_STREAMS = 500
PAGE_BYTES = 4096


class Overhead(msgspec.Struct, frozen=True):
    """Processor time in microseconds, memory in MiB.

    ``bare`` is the minimal proxy, ``real`` is scalebend.
    """

    bare_request: float
    real_request: float
    request_ratio: float
    bare_chunk: float
    real_chunk: float
    chunk_ratio: float
    idle_memory: float
    open_streams: int
    memory_with_streams: float


def run(*, as_json: bool) -> int:
    """Measure and print the costs of both proxies."""
    configure_logs(Logging(LogFormat.JSON, "error"))
    result = asyncio.run(_run())
    if as_json:
        print(json.dumps(msgspec.to_builtins(result)))
        return 0
    print("processor time of the proxy   bare       scalebend   ratio")
    print(
        f"per request                   {result.bare_request:6.0f} µs  "
        f"{result.real_request:6.0f} µs   {result.request_ratio:.2f}"
    )
    print(
        f"per streamed chunk            {result.bare_chunk:6.1f} µs  "
        f"{result.real_chunk:6.1f} µs   {result.chunk_ratio:.2f}"
    )
    print(
        f"memory of the whole process: {result.idle_memory:.0f} MiB idle, "
        f"{result.memory_with_streams:.0f} MiB with {result.open_streams} streams open "
        "(caller, proxy and upstream together)"
    )
    return 0


async def _run() -> Overhead:
    async with contextlib.AsyncExitStack() as stack:
        upstream = await stack.enter_async_context(_serve(_stream_chunks))
        bare = await stack.enter_async_context(_serve_bare(upstream))
        real = await stack.enter_async_context(_serve_real(upstream))
        connector = aiohttp.TCPConnector(limit=0)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=connector)
        )
        urls = {"direct": upstream, "bare": bare, "real": real}
        idle_memory = _read_memory_mib()
        requests: dict[str, list[float]] = {name: [] for name in urls}
        chunks: dict[str, list[float]] = {name: [] for name in urls}
        for _ in range(ROUNDS):
            for name, url in urls.items():
                requests[name].append(await _measure_requests(session, url))
                chunks[name].append(await _measure_chunks(session, url))
        memory = await _measure_open_memory(session, real)
    bare_request, real_request = _subtract_direct(requests)
    bare_chunk, real_chunk = _subtract_direct(chunks)
    return Overhead(
        bare_request * 1e6,
        real_request * 1e6,
        real_request / bare_request,
        bare_chunk * 1e6,
        real_chunk * 1e6,
        real_chunk / bare_chunk,
        idle_memory,
        OPEN_STREAMS,
        memory,
    )


def _subtract_direct(processor_times: dict[str, list[float]]) -> tuple[float, float]:
    """Return the costs of bare and real above direct, as medians over the rounds."""
    direct = statistics.median(processor_times["direct"])
    bare = statistics.median(processor_times["bare"])
    real = statistics.median(processor_times["real"])
    return bare - direct, real - direct


def _read_memory_mib() -> float:
    with open("/proc/self/statm") as file:
        pages = int(file.read().split()[1])
    return pages * PAGE_BYTES / 2**20


async def _measure_requests(session: aiohttp.ClientSession, url: str) -> float:
    started = time.process_time()
    for _ in range(REQUESTS_PER_ROUND):
        await _send_request(session, url, 1, 0.0)
    return (time.process_time() - started) / REQUESTS_PER_ROUND


async def _measure_chunks(session: aiohttp.ClientSession, url: str) -> float:
    processor_times = []
    for count in (SHORT_STREAM_CHUNKS, LONG_STREAM_CHUNKS):
        started = time.process_time()
        requests = [
            _send_request(session, url, count, CHUNK_INTERVAL_S)
            for _ in range(CONCURRENT_STREAMS)
        ]
        await asyncio.gather(*requests)
        processor_times.append(time.process_time() - started)
    return (processor_times[1] - processor_times[0]) / (
        CONCURRENT_STREAMS * (LONG_STREAM_CHUNKS - SHORT_STREAM_CHUNKS)
    )


async def _measure_open_memory(session: aiohttp.ClientSession, url: str) -> float:
    requests = [_send_request(session, url, 30, 0.1) for _ in range(OPEN_STREAMS)]
    tasks = [asyncio.create_task(work) for work in requests]
    await asyncio.sleep(2.0)
    memory = _read_memory_mib()
    await asyncio.gather(*tasks)
    return memory


async def _send_request(
    session: aiohttp.ClientSession, url: str, chunks: int, gap: float
) -> None:
    body = msgspec.json.encode(
        {
            "model": MODEL,
            "prompt": "x" * 4_000,
            "max_tokens": chunks,
            "gap": gap,
            "stream": True,
        }
    )
    headers = {"Authorization": "Bearer k", "X-Time-Limit": "60"}
    async with session.post(
        f"{url}/v1/completions", data=body, headers=headers
    ) as response:
        if response.status != 200:
            raise RuntimeError(await response.text())
        async for _ in response.content.iter_any():
            pass


Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@contextlib.asynccontextmanager
async def _serve(handler: Handler) -> AsyncIterator[str]:
    app = web.Application(client_max_size=2**24)
    app.router.add_route("*", "/{path:.*}", handler)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    finally:
        await runner.cleanup()


class _Fields(msgspec.Struct):
    max_tokens: int
    gap: float


async def _stream_chunks(request: web.Request) -> web.StreamResponse:
    if request.method == "DELETE":
        return web.Response(status=204)
    fields = msgspec.json.decode(await request.read(), type=_Fields)
    response = web.StreamResponse()
    response.content_type = "text/event-stream"
    await response.prepare(request)
    for number in range(fields.max_tokens):
        if fields.gap:
            await asyncio.sleep(fields.gap)
        choice = b'{"choices":[{"index":0,"text":"word "}]}'
        await response.write(b"id: %d\ndata: %s\n\n" % (number, choice))
    end = fields.max_tokens
    await response.write(b"id: %d\ndata: [DONE]\n\n" % end)
    return response


@contextlib.asynccontextmanager
async def _serve_bare(upstream: str) -> AsyncIterator[str]:
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False
    ) as session:

        async def pass_through(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            async with session.post(
                upstream + request.path, data=body
            ) as upstream_response:
                response = web.StreamResponse(status=upstream_response.status)
                response.content_type = upstream_response.content_type
                await response.prepare(request)
                async for data in upstream_response.content.iter_any():
                    await response.write(data)
                return response

        async with _serve(pass_through) as url:
            yield url


@contextlib.asynccontextmanager
async def _serve_real(upstream: str) -> AsyncIterator[str]:
    with tempfile.TemporaryDirectory() as folder:
        ports = find_free_ports(3)
        url = f"http://127.0.0.1:{ports[0]}"
        settings = Settings(
            instance=InstanceId("measured"),
            region=Region("r"),
            availability_zone=AvailabilityZone("z"),
            listen=Listen(*[f"127.0.0.1:{port}" for port in ports]),
            roles=[Role.ENTRY, Role.CONTROL],
            data_folder=folder,
        )
        async with serve_instance(settings) as runtime:
            address = upstream.removeprefix("http://")
            task = asyncio.create_task(_announce(url, address))
            await _wait_and_configure(runtime, url)
            yield url
            task.cancel()


async def _announce(url: str, address: str) -> None:
    count = 0

    def build() -> Announcement:
        nonlocal count
        count += 1
        return Announcement(
            upstream=UpstreamId("engine"),
            family=UpstreamFamily.ENGINE,
            address=address,
            incarnation=Incarnation(os.getpid()),
            availability_zone=AvailabilityZone("z"),
            sequence=count,
            models=[LoadedModel(MODEL)],
            memory_tokens=100_000_000,
            concurrency=10_000,
            prefill_rate=1e9,
        )

    await announce_periodically(build, [url], "", Silence())


async def _wait_and_configure(runtime: Runtime, url: str) -> None:
    for _ in range(200):
        is_ready = runtime.instance.read_readiness(runtime.now()).is_ready
        if is_ready and len(runtime.instance.catalog):
            break
        await asyncio.sleep(0.05)
    configuration = Configuration(
        customers=[Customer(CustomerId("c"), [hash_key("k")])],
        models=[Model(MODEL)],
    )
    change = ConfigurationChange(
        ConfigurationVersion(0), ChangeId("overhead"), configuration
    )
    path = f"{url}/admin/configuration"
    await fetch("POST", path, "", ApplyResponse, msgspec.json.encode(change))
