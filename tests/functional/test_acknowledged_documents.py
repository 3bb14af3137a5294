"""An acknowledged document is read back after all processes were killed at once."""

import asyncio
import contextlib
import shutil
import time

import aiohttp
import pytest

from tests.lib.gateway_system import SERVICE, System
from tests.lib.platform_processes import CONTROLS, run_processes
from tests.lib.platform_replicas import build_document

SERVED_WITHIN_S = 12.0
"""The bound of the deployments for service after such a fault."""

CATCH_UP_S = 4.0
"""Seconds after its start in which a machine counts as lost."""


@contextlib.asynccontextmanager
async def open_system(processes):
    timeout = aiohttp.ClientTimeout(total=2.0)
    connector = aiohttp.TCPConnector(force_close=True)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        yield System(processes, session)


async def read_from_all(system, names, seconds):
    """Return the document as each control process reads it back, with its redirects."""
    documents = {}
    end = time.monotonic() + seconds
    while time.monotonic() < end and len(documents) < len(names):
        for name in set(names) - set(documents):
            url = f"http://{system.processes.find_control(name)}/config"
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with system.session.get(url) as answer:
                    if answer.status == 200:
                        documents[name] = await answer.read()
        await asyncio.sleep(0.05)
    return documents


def kill_all(processes, lost):
    names = list(processes.running)
    for process in processes.running.values():
        process.kill()
    for name in names:
        processes.kill(name)
    for name in lost:
        shutil.rmtree(processes.folder / name / "data")
    return names


# Guards against a control group that comes back, and that nobody finds: seeds without
# a disk forget its members.
@pytest.mark.parametrize("lost", [(), ("control-0",), ("control-1",), ("control-2",)])
@pytest.mark.parametrize("has_relay", [False, True])
async def test_document_survives_a_kill_of_all_and_a_lost_disk(
    tmp_path, has_relay, lost
):
    with run_processes(tmp_path, has_only_relay_as_seed=has_relay) as processes:
        async with open_system(processes) as system:
            assert await system.put(build_document(1, [SERVICE])) == 200
            await asyncio.sleep(CATCH_UP_S)
            document = build_document(2, [SERVICE])
            assert await system.put(document) == 200
            for front in (0, 1):
                await system.wait_ready(front=front)
            names = kill_all(processes, lost)
            for name in names:
                processes.start(name)
            started_at = time.monotonic()
            controls = processes.names[:CONTROLS]
            read = await read_from_all(system, controls, SERVED_WITHIN_S)
            assert read == dict.fromkeys(controls, document)
            for front in (0, 1):
                rest = started_at + SERVED_WITHIN_S - time.monotonic()
                await system.wait_ready(front=front, seconds=rest)
