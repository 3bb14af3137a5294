"""Peers through which one process may open tunnels, and what they replied last."""

from __future__ import annotations

import math
from collections.abc import Iterable

from scalebend.models.ids import AvailabilityZone, InstanceId
from scalebend.models.tunnels import TunnelPeer, TunnelReply

PEER_AVOIDANCE_S = 1.0
"""Time for which a peer that could not help is asked last."""


class TunnelPeers:
    """The peers of one process; clock times in seconds."""

    def __init__(self, availability_zone: AvailabilityZone) -> None:
        self._zone = availability_zone
        self._peers: dict[InstanceId, TunnelPeer] = {}
        self._avoided_until: dict[InstanceId, float] = {}
        self.opened_at = -math.inf
        """When a peer last connected to an upstream."""

        self._connecting_at = -math.inf
        """When a peer last told that it reaches an upstream, or that it does not."""

        self._isolated_at = -math.inf
        """When a peer last told that it is isolated itself."""

    @property
    def count(self) -> int:
        """Number of peers."""
        return len(self._peers)

    def replace(self, peers: Iterable[TunnelPeer]) -> None:
        """Replace the peers, as the leader assigned them."""
        self._peers = {peer.instance: peer for peer in peers}
        avoided = self._avoided_until
        self._avoided_until = {
            one: avoided[one] for one in self._peers.keys() & avoided.keys()
        }

    def list_by_preference(
        self, upstream_zone: AvailabilityZone | None, now: float
    ) -> list[TunnelPeer]:
        """List peers in the order in which to ask them.

        A peer in the zone of either end adds no crossing between zones.
        """

        def rank(peer: TunnelPeer) -> tuple[bool, bool]:
            is_avoided = now < self._avoided_until.get(peer.instance, -math.inf)
            is_near = peer.availability_zone in (self._zone, upstream_zone)
            return (is_avoided, not is_near)

        return sorted(self._peers.values(), key=rank)

    def record_reply(
        self, peer: InstanceId, reply: TunnelReply | None, now: float
    ) -> None:
        """Record the reply of a peer; ``None`` if there was none."""
        match reply:
            case TunnelReply.OPENED:
                self.opened_at = self._connecting_at = now
                self._avoided_until.pop(peer, None)
                return
            case TunnelReply.UNREACHABLE:
                self._connecting_at = now
            case TunnelReply.ISOLATED:
                self._isolated_at = now
        self._avoided_until[peer] = now + PEER_AVOIDANCE_S

    def are_isolated(self, now: float) -> bool:
        """Whether the peer that replied last, and recently, is isolated itself."""
        is_recent = now - self._isolated_at < PEER_AVOIDANCE_S
        return is_recent and self._isolated_at > self._connecting_at
