"""Signals to a front, in series and overlapping, leave its requests alone."""

import asyncio
import json
import signal

from tests.lib.gateway_system import run_system
from tests.lib.platform_replicas import EVENTS

CALLS = 8


def change_settings(processes, name):
    """Change settings that wait for the next start, and those that don't."""
    path = processes.folder / name / "node.json"
    settings = json.loads(path.read_text())
    settings["Seeds"] = settings["Seeds"][1:] + settings["Seeds"][:1]
    settings["HeartbeatMs"] += 100
    path.write_text(json.dumps(settings))


def send_event(replicas):
    """Have each stream send one event: a silence would call for second attempts."""
    for replica in replicas:
        replica.gate.set()
        replica.gate.clear()


async def test_signals_leave_requests_under_way_alone(tmp_path):
    """Guards against connections closed by a reload, or by a second stop signal."""
    async with run_system(tmp_path) as system:
        for replica in system.replicas:
            replica.gate.clear()
        calls = [asyncio.create_task(system.call("stream")) for _ in range(CALLS)]
        while sum(len(replica.ran) for replica in system.replicas) < CALLS:
            await asyncio.sleep(0.01)
        signals = [*[signal.SIGHUP] * 4, *[signal.SIGTERM, signal.SIGHUP] * 3]
        for position, number in enumerate(signals):
            change_settings(system.processes, "front-0")
            system.processes.signal("front-0", number)
            await asyncio.sleep(0.1)
            if position % 3 == 2:
                send_event(system.replicas)
        for replica in system.replicas:
            replica.gate.set()
        for status, body, _ in await asyncio.gather(*calls):
            assert status == 200
            assert body.count(b"id: ") == EVENTS
        assert sum(len(replica.ran) for replica in system.replicas) == CALLS
        process = system.processes.running["front-0"]
        assert await asyncio.to_thread(process.wait, 10.0) == 0
        events = [line["event"] for line in system.processes.read_log("front-0")]
        assert "settings reloaded" in events
        assert events.count("drain begins") == 1
