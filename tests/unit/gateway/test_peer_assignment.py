"""Peers that the leader assigns to fronts."""

import msgspec
import pytest

from scalebend.core.gateway.messages import FrontPeers, Introduce
from scalebend.core.gateway.peer_assignment import (
    PEERS_ELSEWHERE,
    PEERS_IN_ZONE,
    SEND_INTERVAL_S,
    PeerAssignment,
)
from scalebend.models.gateway_settings import GatewayRole
from scalebend.models.tunnels import TunnelPeer


def build_peer(number, key="key"):
    zone = f"zone-{number % 3}"
    return TunnelPeer(f"front-{number:03}", zone, f"10.0.0.{number}:7341", key)


def collect(assignment, now):
    """Return the lists that are sent at ``now``."""
    lists = {}
    for sent in assignment.send_due(now):
        assert isinstance(sent.message, FrontPeers)
        lists[sent.front] = sent.message.peers
    return lists


@pytest.fixture
def assignment():
    assignment = PeerAssignment()
    for number in range(60):
        assignment.add(build_peer(number))
    return assignment


def test_each_front_gets_some_of_its_zone_and_more_of_others(assignment):
    lists = collect(assignment, 0.0)
    assert len(lists) == 60
    for front, peers in lists.items():
        zone = build_peer(int(front[-3:])).availability_zone
        near = [peer for peer in peers if peer.availability_zone == zone]
        assert (len(near), len(peers)) == (
            PEERS_IN_ZONE,
            PEERS_IN_ZONE + PEERS_ELSEWHERE,
        )
        assert front not in {peer.instance for peer in peers}


def test_tunnels_spread_over_all_fronts(assignment):
    lists = collect(assignment, 0.0)
    first = [peers[0].instance for peers in lists.values()]
    assert max(first.count(one) for one in set(first)) <= 6


def test_restart_changes_the_lists_of_few_fronts(assignment):
    collect(assignment, 0.0)
    assignment.remove("front-007")
    assignment.add(build_peer(7, key="new"))
    lists = collect(assignment, 10.0)
    assert 1 < len(lists) < 30
    for front, peers in lists.items():
        keys = {peer.tunnel_key for peer in peers if peer.instance == "front-007"}
        assert keys <= {"new"}, front


def test_small_deployment_lists_all(assignment):
    small = PeerAssignment()
    for number in range(3):
        small.add(build_peer(number))
    lists = collect(small, 0.0)
    assert {len(peers) for peers in lists.values()} == {2}


def test_changes_in_quick_succession_are_sent_together():
    assignment = PeerAssignment()
    assignment.add(build_peer(1))
    assert collect(assignment, 0.0) == {"front-001": []}
    assignment.add(build_peer(2))
    assert not collect(assignment, SEND_INTERVAL_S / 2)
    assert len(collect(assignment, SEND_INTERVAL_S)) == 2
    assert not collect(assignment, 10.0)


def test_new_leader_sends_all_lists(assignment):
    collect(assignment, 0.0)
    assignment.resend_all()
    assert len(collect(assignment, 10.0)) == 60


class OldIntroduce(msgspec.Struct, frozen=True, tag="Introduce"):
    """The message before fronts announced tunnels."""

    instance: str
    incarnation: int
    role: GatewayRole
    knows_evacuations: bool = False


def test_introductions_of_other_versions_are_understood():
    encode, decode = msgspec.msgpack.encode, msgspec.msgpack.decode
    new = Introduce("front-1", 1, GatewayRole.FRONT, peer=build_peer(1))
    old = OldIntroduce("front-1", 1, GatewayRole.FRONT)
    assert decode(encode(new), type=OldIntroduce) == old
    assert decode(encode(old), type=Introduce).peer is None
