"""What an instance provides for the dialer of its upstream connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from scalebend.core.catalog import Catalog
from scalebend.core.control_state import ListedInstance
from scalebend.core.gateway.peer_assignment import choose_peers
from scalebend.core.upstream_reach import FailureKind, UpstreamReach
from scalebend.edges.metrics import Metrics
from scalebend.models.ids import AvailabilityZone
from scalebend.models.tunnels import TunnelPeer, TunnelReply
from scalebend.models.upstream import Announcement

if TYPE_CHECKING:
    from scalebend.edges.gateway.upstream_client import StrictResponseHandler
    from scalebend.edges.peer_tunnels import TunnelOpener


class InstanceDialing:
    """Implements :class:`~scalebend.edges.upstream_dialer.DialerHost`."""

    def __init__(
        self,
        me: ListedInstance,
        catalog: Catalog,
        opener: TunnelOpener,
        spawn: Callable[[Coroutine[Any, Any, None]], object],
        metrics: Metrics,
    ) -> None:
        self.reach = UpstreamReach(me.availability_zone)
        self._me = me
        self._catalog = catalog
        self._opener = opener
        self._spawn = spawn
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()

    def update_peers(self, live: list[ListedInstance]) -> None:
        """Replace the instances through which tunnels may be opened."""
        self.reach.peers.replace(
            choose_peers(_build_peer(self._me), map(_build_peer, live))
        )

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.time()

    def spawn(self, work: Coroutine[Any, Any, Any]) -> object:
        """Run ``work`` as a background task."""
        return self._spawn(work)

    def knows_address(self, address: str) -> bool:
        """Whether a known upstream has this address."""
        return self._find_at(address) is not None

    def find_zone(self, address: str) -> AvailabilityZone | None:
        """Return the zone of the upstream at an address, if known."""
        announcement = self._find_at(address)
        return announcement.availability_zone if announcement is not None else None

    def _find_at(self, address: str) -> Announcement | None:
        for record in self._catalog:
            if record.announcement.address == address:
                return record.announcement
        return None

    def record_direct_failure(self, address: str, kind: FailureKind) -> None:
        """Record that a direct connection failed."""
        self.reach.record_failure(address, kind, self.now())

    def count_reply(self, reply: TunnelReply | None) -> None:
        """Count the reply of a peer; ``None`` if there was none."""
        name = "none" if reply is None else reply.value
        self._metrics.incr(f"tunnels.used.{name}")

    def count_abandoned(self, connections: int) -> None:
        """Count open connections that were given up."""
        self._metrics.incr("connections.abandoned", connections)

    async def open_tunnel(
        self, peer: TunnelPeer, address: str, handler: StrictResponseHandler
    ) -> TunnelReply | None:
        """Connect ``handler`` through another instance."""
        return await self._opener.open(peer, address, handler)


def _build_peer(listed: ListedInstance) -> TunnelPeer:
    return TunnelPeer(listed.instance, listed.availability_zone, listed.peers)
