"""Failures that one process alone sees must not make upstreams unusable for others.

Guards against fronts, or a leader, that are partitioned from all replicas and have them
avoided and ejected by everybody.
"""

import pytest

from scalebend.core.upstream_reach import FailureKind
from scalebend.models.placement import ReplicaPace
from scalebend.models.tunnels import TunnelPeer, TunnelReply
from tests.lib.gateway_group import build_deployment

PARTITIONED = 5
PEER = TunnelPeer("front-peer", "z", "10.2.0.99:7001", "key")


@pytest.fixture
def deployment():
    deployment = build_deployment(fronts=8, replicas=18, has_engines=True)
    for front in deployment.fronts:
        front.reach.peers.replace([PEER])
    return deployment


def fail_everywhere(deployment, number):
    """Let every connection of a front fail, as its forwarder records that."""
    front = deployment.fronts[number]
    for endpoint in deployment.endpoints:
        now = deployment.now
        front.record_direct_failure(endpoint.address, FailureKind.CONNECT, now)
        front.record_outcome(endpoint.upstream, now, has_failed=True)
        reports = front.record_failure(endpoint.upstream, now)
        deployment._send(deployment.names[number], reports)


def count_avoided(deployment):
    return sum(
        not load.is_healthy(deployment.now)
        for load in deployment.leader.scheduler._replicas.values()
    )


def test_partitioned_fronts_have_no_replicas_avoided_or_ejected(deployment):
    for _ in range(20):
        for number in range(PARTITIONED):
            fail_everywhere(deployment, number)
        deployment.run(0.1)
    # The first failure of each front comes before it can tell that it is the cause.
    assert count_avoided(deployment) <= 1
    healthy = deployment.fronts[-1]
    assert not healthy.balancer._ejected


def test_failure_that_peers_confirm_counts_though_the_front_is_isolated(deployment):
    front, dead = deployment.fronts[0], deployment.endpoints[0]
    now = deployment.now
    fail_everywhere(deployment, 0)
    assert front.reach.is_isolated
    front.reach.record_reply(dead.address, "peer", TunnelReply.UNREACHABLE, now)
    assert front.record_failure(dead.upstream, now)
    assert not front.record_failure(deployment.endpoints[1].upstream, now)


def test_isolated_front_blames_no_path(deployment):
    front = deployment.fronts[0]
    fail_everywhere(deployment, 0)
    for endpoint in deployment.endpoints:
        front.record_failed_connection(endpoint.upstream, deployment.now)
    assert not front.paths.health.list_degraded()


def test_leader_that_reaches_no_engine_blames_itself(deployment):
    leader = deployment.leader
    all_of_them = [one.upstream for one in deployment.endpoints]
    leader.record_inspection([], all_of_them, deployment.now)
    assert count_avoided(deployment) == 0
    paces = [ReplicaPace(all_of_them[0], 1.0)]
    leader.record_inspection(paces, all_of_them[1:], deployment.now)
    assert count_avoided(deployment) == len(all_of_them) - 1
