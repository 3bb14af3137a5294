"""What a front provides for the dialer of its upstream connections."""

from __future__ import annotations

from collections.abc import Coroutine
from typing import TYPE_CHECKING, Any

from scalebend.core.upstream_reach import FailureKind
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.tunnel_client import open_tunnel
from scalebend.models.ids import AvailabilityZone
from scalebend.models.tunnels import TunnelPeer, TunnelReply

if TYPE_CHECKING:
    from scalebend.edges.gateway.upstream_client import StrictResponseHandler


class FrontDialing:
    """Implements :class:`~scalebend.edges.upstream_dialer.DialerHost` for a front."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self.reach = runtime.instance.reach
        self._runtime = runtime

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._runtime.now()

    def spawn(self, work: Coroutine[Any, Any, object]) -> object:
        """Run ``work`` as a background task."""
        return self._runtime.spawn(work)

    def find_zone(self, address: str) -> AvailabilityZone | None:
        """Return the zone of the upstream at an address, if known."""
        return self._runtime.instance.directory.find_zone(address)

    def record_direct_failure(self, address: str, kind: FailureKind) -> None:
        """Record that a direct connection failed."""
        self._runtime.instance.record_direct_failure(address, kind, self.now())

    def count_reply(self, reply: TunnelReply | None) -> None:
        """Count the reply of a peer; ``None`` if there was none."""
        self._runtime.metrics.count_tunnel_used(reply)

    def count_abandoned(self, connections: int) -> None:
        """Count open connections that were given up."""
        self._runtime.metrics.count_abandoned(connections)

    async def open_tunnel(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        """Connect ``handler`` through another front."""
        return await open_tunnel(peer, address, handler)
