"""A control leader that is suspended for about its own timeout."""

import asyncio
import contextlib
import json
import signal

import aiohttp

from scalebend.soak.deployment import run_deployment
from scalebend.soak.layout import build_layout
from scalebend.soak.observations import Observations
from scalebend.soak.operator import CALL_TIMEOUT_S, Operator
from scalebend.soak.runner import START_TIMEOUT_S

SUSPENSIONS = 6

STALL_S = 0.7
"""Longer than the minimum time without replies after which a leader steps down."""

PAUSE_S = 1.5


def read_events(folder, event):
    """Return the log lines with this event, oldest first, with their processes."""
    found = []
    for path in folder.glob("control-*/log-*"):
        for line in path.read_text().splitlines():
            if f'"event":"{event}"' in line:
                found.append({"process": path.parent.name, **json.loads(line)})
    return sorted(found, key=lambda line: line["timestamp"])


# Guards against a leader that steps down on waking, before it reads the replies that
# arrived while it was stopped.
async def test_leader_reads_waiting_replies_before_it_steps_down(tmp_path):
    layout = build_layout(3, 1, 0)
    observations = Observations()
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with contextlib.AsyncExitStack() as stack:
        deployment = await stack.enter_async_context(
            run_deployment(tmp_path, layout, observations)
        )
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        addresses = {c: deployment.get_call_address(c) for c in layout.controls}
        operator = Operator(addresses, observations, seed=1)
        async with asyncio.timeout(START_TIMEOUT_S):
            await operator.change(session)
        for _ in range(SUSPENSIONS):
            leader = read_events(tmp_path, "elected")[-1]["process"]
            deployment.signal(leader, signal.SIGSTOP)
            await asyncio.sleep(STALL_S)
            deployment.signal(leader, signal.SIGCONT)
            await asyncio.sleep(PAUSE_S)
        await operator.change(session)
    assert read_events(tmp_path, "leadership lost without a quorum") == []
    assert len(read_events(tmp_path, "event loop stalled")) >= SUSPENSIONS
