"""Processes whose timers fail end, so that they are started again."""

import asyncio

import aiohttp
import pytest

from scalebend.edges.essential_tasks import EXIT_STATUS
from scalebend.soak.misbehaving import FAILING_TIMERS_FILE, fail_timers
from tests.lib.cluster import run_cluster
from tests.lib.gateway_system import SERVICE, System
from tests.lib.platform_processes import run_processes
from tests.lib.platform_replicas import build_document

END_TIMEOUT_S = 3.0
"""Time in which a process ends whose timers fail."""


# Guards against a process that stays without timers: it holds its links, so it passes
# for alive, and nobody starts it again.
@pytest.mark.parametrize("name", ["control-0", "front-0", "relay-0"])
async def test_process_ends_with_its_timers(tmp_path, name):
    with run_processes(tmp_path) as processes:
        async with aiohttp.ClientSession() as session:
            system = System(processes, session)
            assert await system.put(build_document(1, [SERVICE])) == 200
            if name not in processes.running:
                processes.start(name)
                await asyncio.sleep(1.0)
            fail_timers(processes.folder / name)
            process = processes.running[name]
            status = await asyncio.to_thread(process.wait, END_TIMEOUT_S)
            del processes.running[name]
            assert status == EXIT_STATUS
            ends = [
                line
                for line in processes.read_log(name)
                if line["event"] == "process ends without an essential task"
            ]
            assert len(ends) == 1
            assert ends[0]["task"] == "timers"
            assert ends[0]["error"].startswith("OverflowError: timers fail")

            (processes.folder / name / FAILING_TIMERS_FILE).unlink()
            processes.start(name)
            assert await system.put(build_document(2, [SERVICE])) == 200
            await system.wait_ready()


async def test_own_interface_ends_with_its_timers(tmp_path):
    async with run_cluster(tmp_path) as cluster:
        name = cluster.names[-1]
        fail_timers(cluster.find_faults_folder(name))
        process = cluster.processes[name]
        async with asyncio.timeout(END_TIMEOUT_S):
            assert await process.wait() == EXIT_STATUS
        log = (tmp_path / f"{name}.log").read_text()
        assert "process ends without an essential task" in log
