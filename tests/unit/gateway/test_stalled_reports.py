"""Load reports that are requested while this process stands still."""

import asyncio
import time

from scalebend.edges.gateway.report_requests import (
    SECOND_REQUEST_AFTER_S,
    NoReport,
    fetch_report,
)
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from tests.lib.raw_upstream import hang_after, run_upstream

STALL_S = 0.3


async def test_paused_replica_is_reached_though_this_process_stood_still():
    """Guards against a replica passing for dead because of a stall of the front."""
    async with open_upstream_sessions() as sessions:
        async with run_upstream(hang_after(b"", print)) as (address, _):
            loop = asyncio.get_running_loop()
            for offset in (-0.002, 0.0, 0.001, 0.002):
                at = SECOND_REQUEST_AFTER_S + offset
                loop.call_later(at, time.sleep, STALL_S)
                assert await fetch_report(sessions, address) is not NoReport.UNREACHED
