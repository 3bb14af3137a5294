"""Finds out whether silent upstreams accept new connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from scalebend.core.gateway.silences import Reachability
from scalebend.core.upstream_reach import FailureKind
from scalebend.edges.connection_checks import Acceptance, check_acceptance

if TYPE_CHECKING:
    from scalebend.edges.gateway.front_runtime import FrontRuntime

_REACHABILITIES = {
    Acceptance.ACCEPTED: Reachability.REACHED,
    Acceptance.NOT_ACCEPTED: Reachability.UNREACHED,
    Acceptance.UNKNOWN: Reachability.UNKNOWN,
}

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

        A request that was sent at ``sent_at``, after the direct way was lost, went
        through a peer, which closes its tunnels if it ends.
        """
        reach = self._runtime.instance.reach
        is_direct = reach.is_older_than_isolation(sent_at)
        if reach.is_behind_tunnel(address) and not is_direct:
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
    began = runtime.now()
    acceptance = await check_acceptance(address)
    match acceptance:
        case Acceptance.ACCEPTED:
            runtime.instance.reach.record_connection(began)
        case Acceptance.NOT_ACCEPTED:
            now = runtime.now()
            runtime.instance.record_direct_failure(address, FailureKind.CONNECT, now)
    return _REACHABILITIES[acceptance]
