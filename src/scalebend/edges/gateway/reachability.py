"""Finds out whether a silent upstream accepts new connections."""

from __future__ import annotations

import asyncio

import structlog

from scalebend.core.gateway.silences import Reachability
from scalebend.core.upstream_reach import FailureKind
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.upstream_sockets import CONNECT_TIMEOUT_S
from scalebend.edges.upstream_dialer import LOCAL_ERRORS, MAX_TIMER_DELAY_S
from scalebend.utils.addresses import parse_address

logger = structlog.get_logger(__name__)


async def check_reachability(
    runtime: FrontRuntime, address: str, sent_at: float
) -> Reachability:
    """Open a connection to an upstream, and close it.

    The kernel of a host accepts it even if the upstream itself pauses. A request that
    was sent at ``sent_at``, since the direct way is lost, went through a peer, which
    closes its tunnels if it ends.
    """
    reach = runtime.instance.reach
    if reach.is_older_than_isolation(sent_at):
        return Reachability.UNREACHED
    if reach.is_behind_tunnel(address):
        return Reachability.REACHED
    parsed = parse_address(address)
    began = runtime.now()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(parsed.host, parsed.port)
    except (OSError, TimeoutError) as error:
        is_late = runtime.now() - began >= CONNECT_TIMEOUT_S + MAX_TIMER_DELAY_S
        is_local = error.errno in LOCAL_ERRORS
        logger.info(
            "silent upstream not reached",
            address=address,
            error=f"{type(error).__name__}: {error}",
            stalled=is_late,
        )
        if is_late or is_local:
            return Reachability.UNKNOWN
        runtime.instance.record_direct_failure(
            address, FailureKind.CONNECT, runtime.now()
        )
        return Reachability.UNREACHED
    writer.close()
    return Reachability.REACHED
