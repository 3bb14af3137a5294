"""Requests a load report from a replica, and tells a paused replica from a dead one.

A dead host accepts no new connection, which a paused process still does, by its kernel.
An open connection shows neither, and may itself be dead. So a report that does not
come over a pooled connection is requested over a new one as well.
"""

from __future__ import annotations

import asyncio
from enum import Enum

import aiohttp
import structlog

from scalebend.edges.connection_checks import MAX_TIMER_DELAY_S
from scalebend.edges.gateway.response_reading import (
    OversizedResponseError,
    read_whole,
)
from scalebend.edges.gateway.upstream_client import UpstreamSessions, build_timeout
from scalebend.models.placement import ReplicaReport
from scalebend.platform.reports import REPORT_PATH, decode_report

logger = structlog.get_logger(__name__)

REPORT_TIMEOUT_S = 0.4
"""Timeout of a report, which needs no slot at the replica."""

MAX_REPORT_BYTES = 64 * 1024
"""Maximum size of a report, which lists few figures for each reservation."""

SECOND_REQUEST_AFTER_S = 0.25
"""Time after which the report is requested over a new connection as well, which leaves
that one time to come about."""


class NoReport(Enum):
    """Why there is no report of a replica."""

    UNREACHED = "unreached"
    """It accepted no connection."""

    BROKEN = "broken"
    """The connection ended before the response."""

    SILENT = "silent"
    """It accepted the connection, or may have while this process stood still, and sent
    nothing yet."""

    UNREADABLE = "unreadable"
    """The response is not a report, which says nothing about the replica."""


Report = ReplicaReport | NoReport


WITHOUT_RESPONSE = (NoReport.UNREACHED, NoReport.BROKEN, NoReport.SILENT)


async def fetch_report(sessions: UpstreamSessions, address: str) -> Report:
    """Return the report of the replica at an address, or why there is none."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    until = began + REPORT_TIMEOUT_S
    pooled = asyncio.create_task(_request(sessions, address, until, may_pool=True))
    tasks = [pooled]
    try:
        await asyncio.wait(tasks, timeout=SECOND_REQUEST_AFTER_S)
        if pooled.done() and pooled.result() is not NoReport.BROKEN:
            return pooled.result()
        # A stall of this process may leave too little time for a connection.
        is_late = loop.time() - began >= SECOND_REQUEST_AFTER_S + MAX_TIMER_DELAY_S
        requesting = _request(
            sessions, address, until, may_pool=False, has_stalled=is_late
        )
        single = asyncio.create_task(requesting)
        tasks.append(single)
        for ended in asyncio.as_completed(tasks):
            report = await ended
            if report not in WITHOUT_RESPONSE:
                return report
        return single.result()
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _request(
    sessions: UpstreamSessions,
    address: str,
    until: float,
    *,
    may_pool: bool,
    has_stalled: bool = False,
) -> Report:
    """Request a report until a point in time of the event loop's clock.

    ``has_stalled``: whether this process stood still just before.
    """
    session = sessions.choose(may_pool=may_pool)
    loop = asyncio.get_running_loop()
    began = loop.time()
    left = max(0.001, until - began)
    timeout = build_timeout(REPORT_TIMEOUT_S, left)
    assert timeout.sock_connect is not None
    # A stall before the first step leaves less time than planned.
    connect_until = min(began + timeout.sock_connect, until)
    connected = asyncio.Event()
    try:
        async with session.get(
            f"http://{address}{REPORT_PATH}",
            timeout=timeout,
            trace_request_ctx=connected.set,
        ) as response:
            body = await read_whole(response.content.readany, MAX_REPORT_BYTES)
            report = decode_report(body)
    except OversizedResponseError:
        report = None
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        result = NoReport.UNREACHED
        is_timeout = isinstance(error, TimeoutError)
        has_stalled |= loop.time() >= connect_until + MAX_TIMER_DELAY_S
        if connected.is_set() or (is_timeout and has_stalled):
            result = NoReport.SILENT if is_timeout else NoReport.BROKEN
        logger.info(
            "report request failed",
            address=address,
            error=str(error),
            result=result.value,
            is_new_connection=not may_pool,
        )
        return result
    if report is None:
        logger.info("report not readable", address=address)
        return NoReport.UNREADABLE
    return report
