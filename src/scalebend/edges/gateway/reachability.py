"""Finds out whether silent upstreams accept new connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec
import structlog

from scalebend.core.gateway.silences import Reachability
from scalebend.core.upstream_reach import FailureKind
from scalebend.edges.gateway.upstream_sockets import CONNECT_TIMEOUT_S
from scalebend.edges.upstream_dialer import LOCAL_ERRORS, MAX_TIMER_DELAY_S
from scalebend.utils.addresses import parse_address

if TYPE_CHECKING:
    from scalebend.edges.gateway.front_runtime import FrontRuntime

logger = structlog.get_logger(__name__)

CHECK_LIFETIME_S = 0.4
"""Time for which a check counts: requests at the same upstream fall silent together."""


class _Check(msgspec.Struct, frozen=True):
    """A check of one upstream that began at ``at``, clock time in seconds."""

    at: float
    task: asyncio.Task[object]


class ReachabilityChecks:
    """Recent checks of a front, by the addresses of the upstreams."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self._runtime = runtime
        self._checks: dict[str, _Check] = {}

    async def check(self, address: str, sent_at: float) -> Reachability:
        """Tell whether an upstream accepts a new connection.

        A request that was sent at ``sent_at``, since the direct way is lost, went
        through a peer, which closes its tunnels if it ends.
        """
        reach = self._runtime.instance.reach
        if reach.is_older_than_isolation(sent_at):
            return Reachability.UNREACHED
        if reach.is_behind_tunnel(address):
            return Reachability.REACHED
        self._expire(self._runtime.now())
        check = self._checks.get(address)
        if check is None:
            task = self._runtime.spawn(_connect(self._runtime, address))
            check = self._checks[address] = _Check(self._runtime.now(), task)
        result = await asyncio.shield(check.task)
        assert isinstance(result, Reachability)
        return result

    def _expire(self, now: float) -> None:
        for address, check in list(self._checks.items()):
            if now - check.at >= CHECK_LIFETIME_S:
                del self._checks[address]


async def _connect(runtime: FrontRuntime, address: str) -> Reachability:
    """Open a connection to an upstream, and close it.

    The kernel of a host accepts it even if the upstream itself pauses.
    """
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
