"""Assigns a few peers to each front, through which it may reach upstreams.

Each front gets some of its own availability zone and more of the others, since all
fronts of a zone may be partitioned together. Rendezvous hashing spreads the tunnels
of many fronts, and a front that joins or leaves changes the lists of a few others.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.messages import FrontPeers
from scalebend.core.rendezvous import Weight, weigh_instance
from scalebend.models.ids import InstanceId
from scalebend.models.tunnels import TunnelPeer

PEERS_IN_ZONE = 4
PEERS_ELSEWHERE = 8
"""Peers of a front in its own zone and in others: if half of all fronts are partitioned
at random, one front in 4,000 has no healthy peer."""

SEND_INTERVAL_S = 0.5
"""Minimum time between two sends: fronts that start together cause few lists."""


def choose_peers(me: TunnelPeer, others: Iterable[TunnelPeer]) -> list[TunnelPeer]:
    """Choose the peers of one process among all others."""
    assignment = _Assignment()
    for other in others:
        if other.instance != me.instance:
            assignment.offer(me, other)
    return assignment.list_peers()


class _Assignment(msgspec.Struct):
    near: list[tuple[Weight, TunnelPeer]] = msgspec.field(default_factory=list)
    """Peers in the zone of the front, of highest weight first."""

    far: list[tuple[Weight, TunnelPeer]] = msgspec.field(default_factory=list)

    def list_peers(self) -> list[TunnelPeer]:
        return [peer for _, peer in (*self.near, *self.far)]

    def offer(self, me: TunnelPeer, other: TunnelPeer) -> bool:
        """Add ``other`` to the peers of ``me`` if it is among the highest."""
        is_near = other.availability_zone == me.availability_zone
        chosen = self.near if is_near else self.far
        limit = PEERS_IN_ZONE if is_near else PEERS_ELSEWHERE
        weight = weigh_instance(me.instance, other.instance)
        if len(chosen) >= limit and weight < chosen[-1][0]:
            return False
        chosen.append((weight, other))
        chosen.sort(key=lambda one: one[0], reverse=True)
        del chosen[limit:]
        return True


class PeerAssignment:
    """Peers of all fronts that accept tunnels, and which of them must be told."""

    def __init__(self) -> None:
        self._fronts: dict[InstanceId, TunnelPeer] = {}
        self._assignments: dict[InstanceId, _Assignment] = {}
        self._unsent: set[InstanceId] = set()
        self._send_at = 0.0

    def add(self, peer: TunnelPeer) -> None:
        """Add a front that accepts tunnels, or replace its earlier incarnation."""
        self.remove(peer.instance)
        for front in self._fronts.values():
            self._offer(front, peer)
        self._fronts[peer.instance] = peer
        self._choose_all(peer)

    def remove(self, instance: InstanceId) -> None:
        """Remove a front whose link was lost."""
        if self._fronts.pop(instance, None) is None:
            return
        del self._assignments[instance]
        self._unsent.discard(instance)
        for front in self._fronts.values():
            listed = self._assignments[front.instance].list_peers()
            if any(peer.instance == instance for peer in listed):
                self._choose_all(front)

    def resend_all(self) -> None:
        """Send all lists again: an earlier leader may not have sent the newest."""
        self._unsent.update(self._fronts)

    def send_due(self, now: float) -> list[ToFront]:
        """Return the changed lists if they are due."""
        if not self._unsent or now < self._send_at:
            return []
        self._send_at = now + SEND_INTERVAL_S
        due, self._unsent = self._unsent, set()
        return [
            ToFront(front, FrontPeers(self._assignments[front].list_peers()))
            for front in sorted(due)
        ]

    def _choose_all(self, front: TunnelPeer) -> None:
        """Choose the peers of one front among all others."""
        self._assignments[front.instance] = _Assignment()
        self._unsent.add(front.instance)
        for other in self._fronts.values():
            if other.instance != front.instance:
                self._offer(front, other)

    def _offer(self, front: TunnelPeer, other: TunnelPeer) -> None:
        if self._assignments[front.instance].offer(front, other):
            self._unsent.add(front.instance)
