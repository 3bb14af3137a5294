"""Load for the nine instances of this folder; kills the control leader half way.

Usage: load.py PID... (the instances' processes, in the order of their files).
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from collections import Counter
from pathlib import Path

import aiohttp
import msgspec

from scalebend.commands.client import fetch
from scalebend.edges.admin import ApplyAnswer, Status
from scalebend.edges.settings_file import read_configuration, read_settings
from scalebend.models.configuration import ConfigurationChange
from scalebend.models.ids import (
    ChangeId,
    ConfigurationVersion,
    ModelName,
    ServiceName,
    UpstreamId,
)
from scalebend.models.upstream import LoadedModel
from scalebend.standins.engine_model import EngineParameters
from scalebend.standins.engine_server import EngineOptions, serve_engine
from scalebend.standins.service_server import ServiceOptions, serve_service

FOLDER = Path(__file__).parent
ENGINES = 9
REQUESTS = 120
ORDERS = 20
MODEL = ModelName("lamp-notes")
SERVICE = ServiceName("work-orders")


async def main(pids: list[int]) -> int:
    files = sorted(f for f in FOLDER.glob("*.json") if f.name != "configuration.json")
    settings = [read_settings(file) for file in files]
    urls = [f"http://{item.listen.callers}" for item in settings]
    processes = dict(zip([item.instance for item in settings], pids, strict=True))
    async with contextlib.AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        for number in range(ENGINES):
            zone = settings[number % len(settings)].availability_zone
            options = EngineOptions(
                UpstreamId(f"engine-{number}"),
                zone,
                [LoadedModel(MODEL)],
                EngineParameters(memory_tokens=400_000),
                time_scale=0.3,
            )
            turned = urls[number:] + urls[:number]
            await stack.enter_async_context(serve_engine(options, turned))
        service = await stack.enter_async_context(
            serve_service(
                ServiceOptions(
                    UpstreamId("orders"), settings[0].availability_zone, SERVICE
                ),
                urls,
            )
        )
        await wait_ready(urls)
        configuration = read_configuration(FOLDER / "configuration.json")
        change = ConfigurationChange(
            ConfigurationVersion(0), ChangeId("cluster-demo"), configuration, "demo"
        )
        path = f"{urls[0]}/admin/configuration"
        body = msgspec.json.encode(change)
        answer = await fetch("POST", path, "", ApplyAnswer, body)
        print(f"configuration accepted as version {answer.version}")
        await wait_version(urls, answer.version)
        print("in force on nine instances; the load begins")
        status = await fetch("GET", f"{urls[0]}/admin/status", "", Status)
        leader = status.leader or settings[0].instance
        dead = next(
            f"http://{item.listen.callers}"
            for item in settings
            if item.instance == leader
        )
        alive = [url for url in urls if url != dead]
        results: Counter[str] = Counter()
        jobs = [ask(session, alive, n, results) for n in range(REQUESTS)]
        jobs += [order(session, alive, n, results) for n in range(ORDERS)]
        jobs.append(kill_later(processes[leader], leader))
        await asyncio.gather(*jobs)
    twice = sum(count > 1 for count in service.calls.values())
    print(", ".join(f"{name}: {count}" for name, count in sorted(results.items())))
    print(f"orders run twice: {twice}")
    return 1 if twice or results["cut"] else 0


async def wait_ready(urls: list[str]) -> None:
    for _ in range(300):
        with contextlib.suppress(Exception):
            asked = [fetch("GET", f"{u}/admin/status", "", Status) for u in urls]
            statuses = await asyncio.gather(*asked)
            if all(s.is_ready and len(s.upstreams) > ENGINES for s in statuses):
                return
        await asyncio.sleep(0.1)
    raise TimeoutError("the instances did not become ready")


async def wait_version(urls: list[str], version: int) -> None:
    for _ in range(100):
        asked = [fetch("GET", f"{u}/admin/status", "", Status) for u in urls]
        if all(s.version == version for s in await asyncio.gather(*asked)):
            return
        await asyncio.sleep(0.1)
    raise TimeoutError("the configuration is not in force everywhere")


async def kill_later(pid: int, leader: str) -> None:
    await asyncio.sleep(4.0)
    os.kill(pid, signal.SIGKILL)
    print(f"killed the control leader {leader}")


async def ask(
    session: aiohttp.ClientSession, urls: list[str], number: int, results: Counter[str]
) -> None:
    await asyncio.sleep(number * 0.1)
    size = 200_000 if number % 20 == 0 else 8_000
    body = msgspec.json.encode(
        {
            "model": MODEL,
            "prompt": f"{number} ".ljust(size, "x"),
            "max_tokens": 30,
            "stream": True,
        }
    )
    headers = {"Authorization": "Bearer keepers"}
    url = f"{urls[number % len(urls)]}/v1/completions"
    async with session.post(url, data=body, headers=headers) as answer:
        data = await answer.read()
    if answer.status != 200:
        results[f"refused {answer.status}"] += 1
    else:
        results["whole" if b"data: [DONE]" in data else "cut"] += 1


async def order(
    session: aiohttp.ClientSession, urls: list[str], number: int, results: Counter[str]
) -> None:
    await asyncio.sleep(number * 0.5)
    headers = {
        "Authorization": "Bearer keepers",
        "Idempotency-Key": f"order-{number}",
        "X-Order": f"order-{number}",
    }
    for attempt in range(2):
        url = f"{urls[(number + attempt) % len(urls)]}/services/{SERVICE}/orders"
        async with session.post(url, data=b"{}", headers=headers) as answer:
            await answer.read()
            results[f"order {answer.status}"] += 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main([int(pid) for pid in sys.argv[1:]])))
