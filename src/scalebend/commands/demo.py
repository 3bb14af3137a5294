"""``scalebend demo``: the main job in one process, checked and measured."""

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
from scalebend.edges.admin import ApplyAnswer
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

ENGINES = 5
TIME_SCALE = 0.2
"""The stand-in engines run five times faster than their model's clock."""

SHORT_REQUESTS = 80
LOAD_SECONDS = 12.0
TIME_LIMIT = 40.0
ORDERS = 12
MEMORY_GRACE = 10.0
MODEL = ModelName("lamp-notes")
SERVICE = ServiceName("work-orders")
ZONE = AvailabilityZone("pelotas")
CUSTOMERS = {
    "keepers": 1.0,
    "inspectors": 2.0,
    "archive": 1.0,
    "quarry-desk": 1.0,
}
PARAMETERS = EngineParameters(memory_tokens=400_000, concurrency=32)


class Sample(msgspec.Struct, frozen=True):
    """What one caller saw; times in seconds, ``error`` a kind or empty."""

    customer: str
    prompt_tokens: int
    first_token: float
    duration: float
    error: str = ""
    is_right: bool = True


class BandRow(msgspec.Struct, frozen=True):
    """One row of the closing table."""

    band: str
    requests: int
    first_token_p50: float
    first_token_p95: float
    slowdown_p50: float | None
    failed: dict[str, int]


class Report(msgspec.Struct, frozen=True):
    """Outcome of the demo; ``broken`` lists promises that did not hold."""

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
    """Run the demo; exit code 1 when a promise was broken."""
    extra = None
    if prompt is not None:
        try:
            extra = prompt.read_text()
        except (OSError, UnicodeDecodeError) as error:
            print(f"{prompt}: {error}", file=sys.stderr)
            return 2
        if not extra:
            print(f"{prompt}: expected a prompt, the file is empty", file=sys.stderr)
            return 2
    configure_logs(Logging(LogFormat.CONSOLE, "error"))
    report = asyncio.run(_run(extra, seed))
    if as_json:
        print(msgspec.json.encode(report).decode())
    else:
        _print_report(report)
    return 1 if report.broken else 0


async def _run(extra: str | None, seed: int) -> Report:
    async with contextlib.AsyncExitStack() as stack:
        fleet = await stack.enter_async_context(_start_fleet())
        session = await stack.enter_async_context(aiohttp.ClientSession())
        idle = await _measure_idle(session, fleet.url)
        _say(f"idle fleet: a short request takes {idle:.2f} s")
        started = time.monotonic()
        samples, orders = await _run_load(session, fleet, seed, extra)
        _say(f"load done after {time.monotonic() - started:.1f} s")
        left = await _await_memory(fleet.engines)
        is_clean = await drain(fleet.runtime, 5.0)
        return _build_report(fleet, samples, orders, idle, left, is_clean)


@contextlib.asynccontextmanager
async def _start_fleet() -> AsyncIterator[_Fleet]:
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        ports = find_free_ports(3)
        url = f"http://127.0.0.1:{ports[0]}"
        settings = Settings(
            instance=InstanceId("pelotas-1"),
            region=Region("rs-litoral"),
            availability_zone=ZONE,
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
                        availability_zone=ZONE,
                        models=[LoadedModel(MODEL)],
                        parameters=PARAMETERS,
                        time_scale=TIME_SCALE,
                    ),
                    [url],
                )
            )
            for number in range(ENGINES)
        ]
        options = ServiceOptions(UpstreamId("orders-1"), ZONE, SERVICE)
        service = await stack.enter_async_context(serve_service(options, [url]))
        await _wait_ready(runtime, ENGINES + 1)
        await _apply_configuration(url)
        _say(f"one instance, {ENGINES} engines and one service are up")
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
    await fetch("POST", path, "", ApplyAnswer, msgspec.json.encode(change))


async def _measure_idle(session: aiohttp.ClientSession, url: str) -> float:
    samples = [
        await _ask(session, url, "keepers", f"idle {number} ".ljust(8_000, "x"), 24)
        for number in range(3)
    ]
    return sorted(sample.duration for sample in samples)[1]


async def _run_load(
    session: aiohttp.ClientSession, fleet: _Fleet, seed: int, extra: str | None
) -> tuple[list[Sample], list[str]]:
    chooser = random.Random(seed)
    tasks = []
    for number in range(SHORT_REQUESTS):
        customer = chooser.choice(["keepers", "keepers", "quarry-desk"])
        tokens = draw_tokens(chooser, 1_000, 3_500)
        tasks.append((chooser.uniform(0, LOAD_SECONDS), customer, tokens, 24, number))
    plan = [(8_000, 16), (20_000, 8), (60_000, 4), (250_000, 2), (950_000, 1)]
    for tokens, count in plan:
        for number in range(count):
            customer = chooser.choice(["inspectors", "archive"])
            at = chooser.uniform(0, LOAD_SECONDS / 2)
            tasks.append((at, customer, tokens, 24, number))
    done: list[Sample] = []

    async def ask_later(
        at: float, customer: str, tokens: int, output: int, number: int
    ) -> None:
        await asyncio.sleep(at)
        head = f"{customer} {number} {tokens} "
        prompt = head + chooser.choice("abcdefgh") * (tokens * 4 - len(head) - 8)
        done.append(await _ask(session, fleet.url, customer, prompt, output))

    async def show_progress() -> None:
        while True:
            await asyncio.sleep(2.0)
            held = sum(engine.model.used_tokens for engine in fleet.engines)
            _say(f"{len(done)} of {len(tasks)} answered, {held:,} tokens held")

    progress = asyncio.create_task(show_progress())
    jobs = [ask_later(*task) for task in tasks]
    orders = [_send_order(session, fleet.url, f"order-{n}") for n in range(ORDERS)]
    answer, sent, _ = await asyncio.gather(
        _ask_extra(session, fleet.url, extra),
        asyncio.gather(*orders),
        asyncio.gather(*jobs),
    )
    progress.cancel()
    if answer is not None:
        done.append(answer)
    return done, sent


async def _ask(
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
        "X-Time-Limit": str(TIME_LIMIT),
    }
    tokens = len(prompt) // 4
    body = msgspec.json.encode(fields)
    started = time.monotonic()
    first = 0.0
    events = b""
    async with session.post(
        f"{url}/v1/completions", data=body, headers=headers
    ) as answer:
        if answer.status != 200:
            kind = (await answer.json(content_type=None))["type"]
            return Sample(customer, tokens, 0.0, time.monotonic() - started, kind)
        async for data in answer.content.iter_any():
            first = first or time.monotonic() - started
            events += data
    duration = time.monotonic() - started
    raw_prompt = msgspec.json.encode(prompt)
    is_right = _is_right_answer(events, raw_prompt, output)
    error = "cut-answer" if b"data: [DONE]" not in events else ""
    return Sample(customer, tokens, first, duration, error, is_right)


def _is_right_answer(events: bytes, raw_prompt: bytes, output: int) -> bool:
    position = 0
    for offset in range(output):
        word = build_word(raw_prompt, offset).encode()
        position = events.find(word, position)
        if position < 0 or events.count(word) != 1:
            return False
    return True


async def _ask_extra(
    session: aiohttp.ClientSession, url: str, extra: str | None
) -> Sample | None:
    if extra is None:
        return None
    body = msgspec.json.encode(
        {"model": MODEL, "prompt": extra, "max_tokens": 32, "stream": True}
    )
    headers = {"Authorization": "Bearer quarry-desk"}
    started = time.monotonic()
    async with session.post(
        f"{url}/v1/completions", data=body, headers=headers
    ) as answer:
        _say(f"your prompt of {len(extra):,} characters:")
        if answer.status != 200:
            text = await answer.text()
            print(text, file=sys.stderr)
            kind = msgspec.json.decode(text, type=dict[str, object])["type"]
            return Sample("quarry-desk", len(extra) // 4, 0.0, 0.0, str(kind))
        first = time.monotonic() - started
        code = await print_stream(answer)
    duration = time.monotonic() - started
    error = "cut-answer" if code else ""
    return Sample("quarry-desk", len(extra) // 4, first, duration, error)


async def _send_order(session: aiohttp.ClientSession, url: str, order: str) -> str:
    """Send one order that must not run twice, and send it again."""
    headers = {
        "Authorization": "Bearer inspectors",
        "Idempotency-Key": order,
        "X-Order": order,
    }
    for _ in range(2):
        async with session.post(
            f"{url}/services/{SERVICE}/orders", data=b"{}", headers=headers
        ) as answer:
            await answer.read()
        await asyncio.sleep(0.2)
    return order


async def _await_memory(engines: list[EngineServer]) -> int:
    deadline = time.monotonic() + MEMORY_GRACE
    while True:
        left = sum(engine.model.used_tokens for engine in engines)
        if not left or time.monotonic() >= deadline:
            return left
        await asyncio.sleep(0.1)


def _build_report(
    fleet: _Fleet,
    samples: list[Sample],
    orders: list[str],
    idle: float,
    left: int,
    is_clean: bool,
) -> Report:
    twice = sum(count > 1 for count in fleet.service.calls.values())
    missing = sum(order not in fleet.service.calls for order in orders)
    overfilled = sum(engine.model.refused_full for engine in fleet.engines)
    broken = []
    if any(sample.duration > TIME_LIMIT + 1.0 for sample in samples):
        broken.append("a request went past its time limit")
    if not all(sample.is_right for sample in samples if not sample.error):
        broken.append("a caller got an answer that is not its own, whole")
    if any(sample.error == "cut-answer" for sample in samples):
        broken.append("an answer was cut")
    if left:
        broken.append(f"{left} tokens of engine memory were not given back")
    if overfilled:
        broken.append(f"engines were overfilled {overfilled} times")
    if twice:
        broken.append(f"{twice} orders ran twice")
    if missing:
        broken.append(f"{missing} orders did not run")
    if not is_clean:
        broken.append("the planned stop cut a request")
    rows = [_build_row(band, samples, idle) for band in Band]
    return Report(rows, idle, len(orders), twice, left, overfilled, broken)


def _build_row(band: Band, samples: list[Sample], idle: float) -> BandRow:
    mine = [s for s in samples if find_band(s.prompt_tokens) is band]
    whole = sorted(s.first_token for s in mine if not s.error)
    slowdowns = sorted(s.duration / idle for s in mine if not s.error)
    failed = Counter(sample.error for sample in mine if sample.error)
    is_short = band is Band.SHORT and slowdowns
    return BandRow(
        band.label,
        len(mine),
        compute_quantile(whole, 0.5),
        compute_quantile(whole, 0.95),
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


def _say(text: str) -> None:
    print(f"[demo] {text}", file=sys.stderr, flush=True)
