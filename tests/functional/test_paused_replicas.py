"""Replicas whose processes pause for a second: they answer nothing, not even reports.

Guards against fronts and leaders that take such a pause for a failure of the replica,
of the path, or of a front's own network.
"""

import asyncio

from tests.lib.gateway_load import keep_registered
from tests.lib.gateway_system import run_system
from tests.lib.silent_replicas import (
    SilenceCallers,
    SilentReplica,
    build_silence_document,
)

PAUSE_S = 1.3
BETWEEN_S = 0.5
VERDICTS = {
    "process is isolated",
    "lost connections abandoned",
    "replica left out for overdue tokens",
    "data lost on a path",
}


class PausingReplica(SilentReplica):
    """A replica whose whole process pauses."""

    async def handle(self, request):
        await self.gate.wait()
        return await super().handle(request)

    async def pause(self):
        self.gate.clear()
        await asyncio.sleep(PAUSE_S)
        self.gate.set()


async def pause_in_turn(replicas):
    """Pause one replica after the other, then all of them together."""
    await asyncio.sleep(1.0)
    for replica in replicas:
        await replica.pause()
        await asyncio.sleep(BETWEEN_S)
    await asyncio.gather(*(replica.pause() for replica in replicas))


def list_verdicts(system):
    """List what fronts and control instances concluded from failures."""
    verdicts = []
    for name in system.processes.starts:
        for line in system.processes.read_log(name):
            is_verdict = line["event"] in VERDICTS
            if line["event"] == "replicas inspected":
                is_verdict = bool(line["unresponsive"])
            if line["event"] == "upstreams ejected":
                is_verdict = bool(line["upstreams"])
            if is_verdict:
                verdicts.append((name, line))
    return verdicts


async def test_paused_processes_are_blamed_by_nobody_and_cost_no_answer(tmp_path):
    async with run_system(tmp_path, 4, PausingReplica) as system:
        assert await system.put(build_silence_document(2)) == 200
        async with keep_registered(system):
            callers = SilenceCallers(system, 0.0)
            async with asyncio.TaskGroup() as group:
                pausing = group.create_task(pause_in_turn(system.replicas))
                group.create_task(callers.run(4 * (PAUSE_S + BETWEEN_S) + 4.0))
            assert pausing.done()
            assert callers.list_unanswered() == []
            assert list_verdicts(system) == []
            reports = [
                line
                for name in ("front-0", "front-1")
                for line in system.processes.read_log(name)
                if line["event"] == "report request failed"
            ]
            # Otherwise the pauses met no report.
            assert reports
