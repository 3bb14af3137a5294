"""``scalebend demo``: serves a mixed load in one process and checks the responses."""

from __future__ import annotations

import asyncio
import contextlib
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec

from scalebend.commands.ask import print_stream
from scalebend.commands.client import fetch
from scalebend.edges.admin import ApplyResponse
from scalebend.edges.http_server import drain, serve_instance
from scalebend.edges.logs import configure_logs
from scalebend.edges.runtime import Runtime
from scalebend.models.configuration import (
    Configuration,
    ConfigurationChange,
    Customer,
    Model,
    Service,
    ServiceCall,
)
from scalebend.models.ids import (
    AvailabilityZone,
    ChangeId,
    ConfigurationVersion,
    CustomerId,
    InstanceId,
    ModelName,
    Region,
    ServiceName,
    UpstreamId,
)
from scalebend.models.settings import Listen, LogFormat, Logging, Role, Settings
from scalebend.models.upstream import LoadedModel
from scalebend.standins.engine_model import EngineParameters
from scalebend.standins.engine_server import (
    EngineOptions,
    EngineServer,
    build_word,
    serve_engine,
)
from scalebend.standins.load import Band, draw_tokens, find_band
from scalebend.standins.ports import find_free_ports
from scalebend.standins.service_server import (
    ServiceOptions,
    ServiceServer,
    serve_service,
)
from scalebend.utils.keys import hash_key
from scalebend.utils.quantiles import compute_quantile

ENGINE_COUNT = 5
TIME_SCALE = 0.2
"""Duration of an engine step relative to that of the engine model."""

SHORT_REQUEST_COUNT = 80
LOAD_DURATION_S = 12.0
TIME_LIMIT_S = 40.0
ORDER_COUNT = 12
MEMORY_RELEASE_TIMEOUT_S = 10.0
MODEL = ModelName("lamp-notes")
SERVICE = ServiceName("work-orders")
AVAILABILITY_ZONE = AvailabilityZone("pelotas")
CUSTOMERS = {
    "keepers": 1.0,
    "inspectors": 2.0,
    "archive": 1.0,
    "quarry-desk": 1.0,
}
PARAMETERS = EngineParameters(memory_tokens=400_000, concurrency=32)


class Sample(msgspec.Struct, frozen=True):
    """Outcome of one request; times in seconds, ``error`` is a kind or empty."""

    customer: str
    prompt_tokens: int
    first_token: float
    duration: float
    error: str = ""
    is_expected: bool = True


class BandRow(msgspec.Struct, frozen=True):
    """One row of the printed table; times in seconds."""

    band: str
    requests: int
    first_token_p50: float
    first_token_p95: float
    slowdown_p50: float | None
    failed: dict[str, int]


class Report(msgspec.Struct, frozen=True):
    """Outcome of the demo; ``broken`` describes the promises that were broken."""

    rows: list[BandRow]
    idle_short: float
    orders: int
    orders_run_twice: int
    memory_left: int
    overfilled: int
    broken: list[str]


class _Fleet(msgspec.Struct):
    runtime: Runtime
    url: str
    engines: list[EngineServer]
    service: ServiceServer


def run(*, prompt: Path | None, seed: int, as_json: bool) -> int:
    """Run the demo; return 1 if a promise was broken."""
    extra_prompt = None
    if prompt is not None:
        try:
            extra_prompt = prompt.read_text()
        except (OSError, UnicodeDecodeError) as error:
            print(f"{prompt}: {error}", file=sys.stderr)
            return 2
        if not extra_prompt:
            print(f"{prompt}: expected a prompt, the file is empty", file=sys.stderr)
            return 2
    configure_logs(Logging(LogFormat.CONSOLE, "error"))
    report = asyncio.run(_run(extra_prompt, seed))
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        _print_report(report)
    return 1 if report.broken else 0


async def _run(extra_prompt: str | None, seed: int) -> Report:
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(_start_fleet())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        idle_duration = await _measure_idle_duration(session, fleet.url)
        _print_progress(f"idle fleet: a short request takes {idle_duration:.2f} s")
        started = time.monotonic()
        samples, orders = await _run_load(session, fleet, seed, extra_prompt)
        _print_progress(f"load done after {time.monotonic() - started:.1f} s")
        memory_left = await _wait_for_memory_release(fleet.engines)
        is_clean = await drain(fleet.runtime, 5.0)
        return _build_report(
            fleet, samples, orders, idle_duration, memory_left, is_clean
        )


@contextlib.asynccontextmanager
async def _start_fleet() -> AsyncIterator[_Fleet]:
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        ports = find_free_ports(3)
        url = f"http://127.0.0.1:{ports[0]}"
        settings = Settings(
            instance=InstanceId("pelotas-1"),
            region=Region("rs-litoral"),
            availability_zone=AVAILABILITY_ZONE,
            listen=Listen(*[f"127.0.0.1:{port}" for port in ports]),
            roles=[Role.ENTRY, Role.CONTROL],
            data_folder=folder,
        )
        runtime = await stack.enter_async_context(serve_instance(settings))
        engines = [
            await stack.enter_async_context(
                serve_engine(
                    EngineOptions(
                        upstream=UpstreamId(f"engine-{number}"),
                        availability_zone=AVAILABILITY_ZONE,
                        models=[LoadedModel(MODEL)],
                        parameters=PARAMETERS,
                        time_scale=TIME_SCALE,
                    ),
                    [url],
                )
            )
            for number in range(ENGINE_COUNT)
        ]
        options = ServiceOptions(UpstreamId("orders-1"), AVAILABILITY_ZONE, SERVICE)
        service = await stack.enter_async_context(serve_service(options, [url]))
        await _wait_ready(runtime, ENGINE_COUNT + 1)
        await _apply_configuration(url)
        _print_progress(f"one instance, {ENGINE_COUNT} engines and one service are up")
        yield _Fleet(runtime, url, engines, service)


async def _wait_ready(runtime: Runtime, upstreams: int) -> None:
    for _ in range(200):
        is_ready = runtime.instance.read_readiness(runtime.now()).is_ready
        if is_ready and len(runtime.instance.catalog) == upstreams:
            return
        await asyncio.sleep(0.05)
    raise TimeoutError("the fleet did not become ready")


async def _apply_configuration(url: str) -> None:
    configuration = Configuration(
        customers=[
            Customer(CustomerId(name), [hash_key(name)], weight=weight)
            for name, weight in CUSTOMERS.items()
        ],
        services=[Service(SERVICE, [ServiceCall("POST", "/orders", False)])],
        models=[Model(MODEL)],
    )
    change = ConfigurationChange(
        ConfigurationVersion(0), ChangeId("demo"), configuration, "demo"
    )
    path = f"{url}/admin/configuration"
    await fetch("POST", path, "", ApplyResponse, msgspec.json.encode(change))


async def _measure_idle_duration(session: aiohttp.ClientSession, url: str) -> float:
    samples = [
        await _send_request(
            session, url, "keepers", f"idle {number} ".ljust(8_000, "x"), 24
        )
        for number in range(3)
    ]
    return sorted(sample.duration for sample in samples)[1]


async def _run_load(
    session: aiohttp.ClientSession, fleet: _Fleet, seed: int, extra_prompt: str | None
) -> tuple[list[Sample], list[str]]:
    chooser = random.Random(seed)
    tasks = []
    for number in range(SHORT_REQUEST_COUNT):
        customer = chooser.choice(["keepers", "keepers", "quarry-desk"])
        tokens = draw_tokens(chooser, 1_000, 3_500)
        tasks.append(
            (chooser.uniform(0, LOAD_DURATION_S), customer, tokens, 24, number)
        )
    plan = [(8_000, 16), (20_000, 8), (60_000, 4), (250_000, 2), (950_000, 1)]
    for tokens, count in plan:
        for number in range(count):
            customer = chooser.choice(["inspectors", "archive"])
            at = chooser.uniform(0, LOAD_DURATION_S / 2)
            tasks.append((at, customer, tokens, 24, number))
    done: list[Sample] = []

    async def send_later(
        at: float, customer: str, tokens: int, output: int, number: int
    ) -> None:
        await asyncio.sleep(at)
        prompt_start = f"{customer} {number} {tokens} "
        prompt = prompt_start + chooser.choice("abcdefgh") * (
            tokens * 4 - len(prompt_start) - 8
        )
        done.append(await _send_request(session, fleet.url, customer, prompt, output))

    async def show_progress() -> None:
        while True:
            await asyncio.sleep(2.0)
            used_tokens = sum(engine.model.used_tokens for engine in fleet.engines)
            _print_progress(
                f"{len(done)} of {len(tasks)} answered, {used_tokens:,} tokens held"
            )

    progress = asyncio.create_task(show_progress())
    jobs = [send_later(*task) for task in tasks]
    orders = [_send_order(session, fleet.url, f"order-{n}") for n in range(ORDER_COUNT)]
    extra_sample, sent, _ = await asyncio.gather(
        _send_extra_prompt(session, fleet.url, extra_prompt),
        asyncio.gather(*orders),
        asyncio.gather(*jobs),
    )
    progress.cancel()
    if extra_sample is not None:
        done.append(extra_sample)
    return done, sent


async def _send_request(
    session: aiohttp.ClientSession, url: str, customer: str, prompt: str, output: int
) -> Sample:
    fields = {
        "model": MODEL,
        "prompt": prompt,
        "max_tokens": output,
        "stream": True,
    }
    headers = {
        "Authorization": f"Bearer {customer}",
        "X-Time-Limit": str(TIME_LIMIT_S),
    }
    tokens = len(prompt) // 4
    body = msgspec.json.encode(fields)
    started = time.monotonic()
    first = 0.0
    events = b""
    async with session.post(
        f"{url}/v1/completions", data=body, headers=headers
    ) as response:
        if response.status != 200:
            kind = (await response.json(content_type=None))["type"]
            return Sample(customer, tokens, 0.0, time.monotonic() - started, kind)
        async for data in response.content.iter_any():
            first = first or time.monotonic() - started
            events += data
    duration = time.monotonic() - started
    encoded_prompt = msgspec.json.encode(prompt)
    is_expected = _is_expected_response(events, encoded_prompt, output)
    error = "cut-answer" if b"data: [DONE]" not in events else ""
    return Sample(customer, tokens, first, duration, error, is_expected)


def _is_expected_response(events: bytes, encoded_prompt: bytes, output: int) -> bool:
    position = 0
    for offset in range(output):
        word = build_word(encoded_prompt, offset).encode()
        position = events.find(word, position)
        if position < 0 or events.count(word) != 1:
            return False
    return True


async def _send_extra_prompt(
    session: aiohttp.ClientSession, url: str, extra_prompt: str | None
) -> Sample | None:
    if extra_prompt is None:
        return None
    body = msgspec.json.encode(
        {"model": MODEL, "prompt": extra_prompt, "max_tokens": 32, "stream": True}
    )
    headers = {"Authorization": "Bearer quarry-desk"}
    started = time.monotonic()
    async with session.post(
        f"{url}/v1/completions", data=body, headers=headers
    ) as response:
        _print_progress(f"your prompt of {len(extra_prompt):,} characters:")
        if response.status != 200:
            text = await response.text()
            print(text, file=sys.stderr)
            kind = msgspec.json.decode(text, type=dict[str, object])["type"]
            return Sample("quarry-desk", len(extra_prompt) // 4, 0.0, 0.0, str(kind))
        first = time.monotonic() - started
        code = await print_stream(response)
    duration = time.monotonic() - started
    error = "cut-answer" if code else ""
    return Sample("quarry-desk", len(extra_prompt) // 4, first, duration, error)


async def _send_order(session: aiohttp.ClientSession, url: str, order: str) -> str:
    """Send a non-idempotent call twice with the same idempotency key."""
    headers = {
        "Authorization": "Bearer inspectors",
        "Idempotency-Key": order,
        "X-Order": order,
    }
    for _ in range(2):
        async with session.post(
            f"{url}/services/{SERVICE}/orders", data=b"{}", headers=headers
        ) as response:
            await response.read()
        await asyncio.sleep(0.2)
    return order


async def _wait_for_memory_release(engines: list[EngineServer]) -> int:
    deadline = time.monotonic() + MEMORY_RELEASE_TIMEOUT_S
    while True:
        memory_left = sum(engine.model.used_tokens for engine in engines)
        if not memory_left or time.monotonic() >= deadline:
            return memory_left
        await asyncio.sleep(0.1)


def _build_report(
    fleet: _Fleet,
    samples: list[Sample],
    orders: list[str],
    idle_duration: float,
    memory_left: int,
    is_clean: bool,
) -> Report:
    run_twice = sum(count > 1 for count in fleet.service.calls.values())
    not_run = sum(order not in fleet.service.calls for order in orders)
    overfilled = sum(engine.model.memory_rejections for engine in fleet.engines)
    broken = []
    if any(sample.duration > TIME_LIMIT_S + 1.0 for sample in samples):
        broken.append("a request went past its time limit")
    if not all(sample.is_expected for sample in samples if not sample.error):
        broken.append("a caller got an answer that is not its own, whole")
    if any(sample.error == "cut-answer" for sample in samples):
        broken.append("an answer was cut")
    if memory_left:
        broken.append(f"{memory_left} tokens of engine memory were not given back")
    if overfilled:
        broken.append(f"engines were overfilled {overfilled} times")
    if run_twice:
        broken.append(f"{run_twice} orders ran twice")
    if not_run:
        broken.append(f"{not_run} orders did not run")
    if not is_clean:
        broken.append("the planned stop cut a request")
    rows = [_build_row(band, samples, idle_duration) for band in Band]
    return Report(
        rows, idle_duration, len(orders), run_twice, memory_left, overfilled, broken
    )


def _build_row(band: Band, samples: list[Sample], idle_duration: float) -> BandRow:
    in_band = [s for s in samples if find_band(s.prompt_tokens) is band]
    first_tokens = sorted(s.first_token for s in in_band if not s.error)
    slowdowns = sorted(s.duration / idle_duration for s in in_band if not s.error)
    failed = Counter(sample.error for sample in in_band if sample.error)
    is_short = band is Band.SHORT and slowdowns
    return BandRow(
        band.label,
        len(in_band),
        compute_quantile(first_tokens, 0.5),
        compute_quantile(first_tokens, 0.95),
        compute_quantile(slowdowns, 0.5) if is_short else None,
        dict(failed),
    )


def _print_report(report: Report) -> None:
    print()
    print("prompt tokens   requests   first token p50   p95        slowdown   failed")
    for row in report.rows:
        slowdown = f"{row.slowdown_p50:.2f}" if row.slowdown_p50 else "-"
        failed = ", ".join(f"{k} {n}" for k, n in row.failed.items()) or "0"
        print(
            f"{row.band:<15} {row.requests:<10} {row.first_token_p50:<8.2f} s        "
            f"{row.first_token_p95:<8.2f} s {slowdown:<10} {failed}"
        )
    print(
        f"orders not to be repeated: {report.orders} sent twice each, "
        f"{report.orders_run_twice} run twice"
    )
    print(f"engine memory held at the end: {report.memory_left} tokens")
    for promise in report.broken:
        print(f"BROKEN: {promise}")
    if not report.broken:
        print("every promise that this run checks was kept")


def _print_progress(text: str) -> None:
    print(f"[demo] {text}", file=sys.stderr, flush=True)
