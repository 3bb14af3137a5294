"""Finds out whether a silent upstream accepts new connections."""

from __future__ import annotations

from scalebend.core.gateway.silences import Reachability
from scalebend.core.upstream_reach import FailureKind
from scalebend.edges.connection_checks import Acceptance, check_acceptance
from scalebend.edges.gateway.front_runtime import FrontRuntime

_REACHABILITIES = {
    Acceptance.ACCEPTED: Reachability.REACHED,
    Acceptance.NOT_ACCEPTED: Reachability.UNREACHED,
    Acceptance.UNKNOWN: Reachability.UNKNOWN,
}


async def check_reachability(
    runtime: FrontRuntime, address: str, sent_at: float
) -> Reachability:
    """Open a connection to an upstream, and close it.

    The kernel of a host accepts it even if the upstream itself pauses. A request that
    was sent at ``sent_at``, after the direct way was lost, went through a peer, which
    closes its tunnels if it ends.
    """
    reach = runtime.instance.reach
    if reach.is_behind_tunnel(address) and not reach.is_older_than_isolation(sent_at):
        return Reachability.REACHED
    began = runtime.now()
    acceptance = await check_acceptance(address)
    match acceptance:
        case Acceptance.ACCEPTED:
            reach.record_connection(began)
        case Acceptance.NOT_ACCEPTED:
            now = runtime.now()
            runtime.instance.record_direct_failure(address, FailureKind.CONNECT, now)
    return _REACHABILITIES[acceptance]
