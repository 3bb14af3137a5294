"""Control processes that are killed during the very first start form a group later.

Guards against a deployment that takes no document ever after.
"""

import asyncio
import time

import pytest

from tests.functional.test_acknowledged_documents import open_system
from tests.lib.gateway_system import SERVICE
from tests.lib.platform_processes import CONTROLS, Processes
from tests.lib.platform_replicas import build_document

ACKNOWLEDGED_WITHIN_S = 6.0


@pytest.mark.parametrize("killed_after", [0.1, 0.2, 0.3, 0.35, 0.4, 0.45, 0.5, 0.6])
async def test_document_is_acknowledged_after_a_kill_of_all(tmp_path, killed_after):
    processes = Processes(tmp_path)
    processes.has_faults = False
    controls = processes.names[:CONTROLS]
    try:
        for name in controls:
            processes.start(name)
        await asyncio.sleep(killed_after)
        for process in processes.running.values():
            process.kill()
        for name in controls:
            processes.kill(name)
        for name in controls:
            processes.start(name)
        started_at = time.monotonic()
        async with open_system(processes) as system:
            assert await system.put(build_document(1, [SERVICE])) == 200
        assert time.monotonic() - started_at < ACKNOWLEDGED_WITHIN_S
    finally:
        for name in list(processes.running):
            processes.kill(name)
