"""Ways of a front to upstreams: directly, or through peers."""

import pytest

from scalebend.core.tunnel_peers import PEER_AVOIDANCE_S
from scalebend.core.upstream_reach import (
    CHECK_INTERVAL_S,
    DATA_IN_FLIGHT_S,
    FAILURE_WINDOW_S,
    MIN_ISOLATION_S,
    MIN_SILENCE_S,
    PROOF_LIFETIME_S,
    RECENT_FAILURE_S,
    TRIAL_INTERVAL_S,
    UNREACHABLE_LIFETIME_S,
    Direct,
    FailureKind,
    OpenConnections,
    Tunnel,
    UpstreamReach,
)
from scalebend.models.tunnels import TunnelPeer, TunnelReply

A, B, C = "10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80"


def build_peer(number, zone="z"):
    return TunnelPeer(f"front-{number}", zone, f"10.1.0.{number}:7341", f"key-{number}")


PEERS = [build_peer(number) for number in range(1, 4)]


@pytest.fixture
def reach():
    reach = UpstreamReach("z")
    reach.peers.replace(PEERS)
    return reach


def isolate(reach, now):
    reach.record_failure(A, FailureKind.CONNECT, now)
    reach.record_failure(B, FailureKind.CONNECT, now)
    assert reach.is_isolated


def plan(reach, address, now, *, may_repeat=True):
    return reach.plan(address, now, may_repeat=may_repeat)


# Partition or dead upstream


def test_connects_directly_at_first(reach):
    assert plan(reach, A, 0.0) == Direct()


def test_failure_of_one_upstream_is_blamed_on_it_if_others_work(reach):
    reach.record_data(B, 9.8, 9.9)
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    assert not reach.is_isolated
    assert reach.may_blame(A, 10.0)
    assert not reach.asks_peers_now(A, 10.0)
    assert reach.is_check_due(A, 10.0)
    assert not reach.is_check_due(A, 10.0 + CHECK_INTERVAL_S / 2)


def test_peer_is_asked_at_once_without_proof_of_the_own_network(reach):
    reach.record_data(B, 8.0, 9.9)
    reach.record_failure(A, FailureKind.CONNECT, 8.0 + PROOF_LIFETIME_S)
    assert reach.asks_peers_now(A, 8.0 + PROOF_LIFETIME_S)


def test_failures_at_several_upstreams_isolate_the_front(reach):
    reach.record_data(C, 9.9, 9.9)
    isolate(reach, 10.0)
    assert plan(reach, C, 10.0) == Tunnel(is_trial=True)
    assert not reach.may_blame(A, 10.0)


def test_repeated_failures_of_one_upstream_do_not(reach):
    for number in range(10):
        reach.record_failure(A, FailureKind.CONNECT, 10.0 + number / 10)
    assert not reach.is_isolated


def test_success_between_two_failures_prevents_isolation(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_data(C, 10.1, 10.2)
    reach.record_failure(B, FailureKind.CONNECT, 10.3)
    assert not reach.is_isolated


def test_data_on_an_older_connection_is_no_success(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_data(C, 9.0, 10.2)
    reach.record_failure(B, FailureKind.CONNECT, 10.3)
    assert reach.is_isolated


def test_failures_far_apart_do_not_count_together(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_failure(B, FailureKind.CONNECT, 10.0 + FAILURE_WINDOW_S)
    assert not reach.is_isolated


def test_lost_connections_weigh_less_as_crashes_lose_them_too(reach):
    for address in (A, B):
        reach.record_failure(address, FailureKind.EARLY_LOSS, 10.0)
    assert not reach.is_isolated
    reach.record_failure(C, FailureKind.EARLY_LOSS, 10.0)
    assert reach.is_isolated


def test_upstream_that_peers_cannot_reach_is_dead(reach):
    isolate(reach, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.UNREACHABLE, 10.1)
    assert reach.needs_more_replies(A, 10.1)
    reach.record_reply(A, "front-2", TunnelReply.UNREACHABLE, 10.1)
    assert not reach.needs_more_replies(A, 10.1)
    assert reach.may_blame(A, 10.1)
    assert not reach.may_blame(B, 10.1)
    assert plan(reach, A, 10.1) == Direct()
    assert not reach.asks_peers_now(A, 10.1)
    later = 10.1 + UNREACHABLE_LIFETIME_S
    assert isinstance(plan(reach, A, later), Tunnel)


def test_one_peer_suffices_while_others_work(reach):
    reach.record_data(B, 9.9, 9.9)
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.UNREACHABLE, 10.1)
    assert not reach.needs_more_replies(A, 10.1)


# Tunnels and the way back


def test_upstream_that_a_peer_reaches_is_behind_a_tunnel(reach):
    reach.record_data(B, 9.9, 9.9)
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    assert plan(reach, A, 10.1) == Tunnel(is_trial=False)
    assert plan(reach, B, 10.1) == Direct()


def test_one_direct_trial_an_interval(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    due = 10.0 + TRIAL_INTERVAL_S
    assert plan(reach, A, due) == Tunnel(is_trial=True)
    assert plan(reach, A, due + 0.1) == Tunnel(is_trial=False)
    assert plan(reach, A, due + TRIAL_INTERVAL_S) == Tunnel(is_trial=True)


def test_requests_that_may_not_be_repeated_seldom_try(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    due = 10.0 + TRIAL_INTERVAL_S
    assert plan(reach, A, due, may_repeat=False) == Tunnel(is_trial=False)


def test_data_of_a_trial_ends_the_isolation(reach):
    isolate(reach, 10.0)
    reach.record_data(C, 9.9, 10.1)
    assert reach.is_isolated
    reach.record_data(C, 10.2, 10.3)
    assert not reach.is_isolated
    assert plan(reach, A, 10.3) == Direct()


def test_upstreams_that_stay_out_of_reach_keep_their_tunnels(reach):
    isolate(reach, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    reach.record_data(C, 10.2, 10.3)
    assert plan(reach, A, 10.3) == Tunnel(is_trial=True)
    reach.record_failure(A, FailureKind.CONNECT, 10.32)
    assert plan(reach, A, 10.4) == Tunnel(is_trial=False)
    assert plan(reach, B, 10.4) == Direct()


def test_data_of_one_upstream_leaves_the_tunnels_to_others(reach):
    for address in (A, B):
        reach.record_reply(address, "front-1", TunnelReply.OPENED, 10.0)
    reach.record_data(A, 10.1, 10.2)
    assert plan(reach, A, 10.2) == Direct()
    assert plan(reach, B, 10.2) == Tunnel(is_trial=False)


def test_idle_connections_of_the_other_way_are_not_reused(reach):
    assert reach.may_reuse(A, 9.0, 9.5, is_tunnel=False)
    isolate(reach, 10.0)
    assert not reach.may_reuse(C, 9.0, 10.1, is_tunnel=False)
    reach.record_reply(C, "front-1", TunnelReply.OPENED, 10.1)
    assert reach.may_reuse(C, 10.1, 10.2, is_tunnel=True)
    reach.record_data(C, 10.2, 10.3)
    assert reach.may_reuse(C, 10.2, 10.4, is_tunnel=False)
    assert not reach.may_reuse(C, 10.1, 10.4, is_tunnel=True)


def test_tunnel_is_not_reused_when_a_trial_is_due(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    due = 10.0 + TRIAL_INTERVAL_S
    assert reach.may_reuse(A, 10.0, due - 0.1, is_tunnel=True)
    assert not reach.may_reuse(A, 10.0, due, is_tunnel=True)
    reach.plan(A, due, may_repeat=True)
    assert reach.may_reuse(A, 10.0, due, is_tunnel=True)


def test_connection_older_than_a_failure_is_not_reused(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    assert not reach.may_reuse(A, 9.0, 10.1, is_tunnel=False)


# Peers


def test_peers_that_add_no_crossing_between_zones_come_first(reach):
    peers = [build_peer(1, "x"), build_peer(2, "y"), build_peer(3, "z")]
    reach.peers.replace(peers)
    listed = [peer.instance for peer in reach.peers.list_by_preference("y", 0.0)]
    assert listed == ["front-2", "front-3", "front-1"]


def test_peer_that_could_not_help_comes_last_for_a_while(reach):
    reach.record_reply(A, "front-1", TunnelReply.ISOLATED, 10.0)
    assert reach.peers.list_by_preference(None, 10.1)[-1].instance == "front-1"
    later = 10.0 + PEER_AVOIDANCE_S
    assert reach.peers.list_by_preference(None, later)[0].instance == "front-1"


def test_front_is_stranded_while_its_peers_are_isolated_too(reach):
    isolate(reach, 10.0)
    assert not reach.is_stranded(10.0)
    later = 10.0 + MIN_ISOLATION_S
    for peer in PEERS:
        reach.record_reply(A, peer.instance, TunnelReply.ISOLATED, later - 0.1)
    # A moment without connections does not suffice to refuse requests.
    assert not reach.is_stranded(later - 0.1)
    assert reach.is_stranded(later)
    assert not reach.is_stranded(later + PEER_AVOIDANCE_S)
    reach.record_reply(A, "front-2", TunnelReply.OPENED, later + 0.1)
    assert not reach.is_stranded(later + 0.1)


def test_dead_upstreams_strand_no_front(reach):
    isolate(reach, 10.0)
    for peer in PEERS:
        reach.record_reply(A, peer.instance, TunnelReply.UNREACHABLE, 10.1)
    assert not reach.is_stranded(10.1 + MIN_ISOLATION_S)


def test_front_without_peers_goes_on_as_before():
    reach = UpstreamReach("z")
    isolate(reach, 10.0)
    assert plan(reach, A, 10.0) == Direct()
    assert not reach.is_stranded(10.0)
    assert not reach.is_check_due(A, 10.0)


def test_front_connects_for_others_unless_it_just_failed(reach):
    assert reach.check_for_peer(A, 10.0) is None
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    assert reach.check_for_peer(A, 10.1) is TunnelReply.UNREACHABLE
    assert reach.check_for_peer(B, 10.1) is None
    reach.record_failure(B, FailureKind.CONNECT, 10.2)
    assert reach.check_for_peer(C, 10.3) is TunnelReply.ISOLATED
    # Without requests of its own it would not notice that the partition ended.
    assert reach.check_for_peer(C, 10.2 + RECENT_FAILURE_S) is None


def test_accepted_connections_do_not_make_up_for_lost_ones(reach):
    """A way may be lost between the connection and its first data."""
    for number, address in enumerate((A, B, C)):
        at = 10.0 + number / 10
        reach.record_connection(at)
        reach.record_failure(address, FailureKind.EARLY_LOSS, at + 0.01)
    assert reach.is_isolated


# Connections from before an isolation


def test_open_connections_are_lost_if_silent_while_a_peer_gets_through(reach):
    reach.record_activity(9.9)
    isolate(reach, 10.0)
    assert reach.judge_open_connections(10.0) is OpenConnections.UNKNOWN
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    assert reach.judge_open_connections(10.0) is OpenConnections.UNKNOWN
    later = 9.9 + MIN_SILENCE_S
    assert reach.judge_open_connections(later) is OpenConnections.LOST
    assert reach.is_older_than_isolation(10.0)
    assert not reach.is_older_than_isolation(10.1)


def test_open_connections_live_on_if_data_follows_the_failures(reach):
    """New connections may be refused while open ones still carry data."""
    isolate(reach, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    reach.record_activity(10.0 + DATA_IN_FLIGHT_S)
    assert reach.judge_open_connections(11.0) is OpenConnections.LOST
    reach.record_activity(10.0 + DATA_IN_FLIGHT_S + 0.01)
    assert reach.judge_open_connections(11.0) is OpenConnections.ALIVE


def test_open_connections_are_kept_while_no_peer_gets_through(reach):
    """While all upstreams are down, giving up a connection gains nothing."""
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 5.0)
    isolate(reach, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.UNREACHABLE, 10.1)
    assert reach.judge_open_connections(20.0) is OpenConnections.UNKNOWN


def test_open_connections_are_alive_without_an_isolation(reach):
    reach.record_failure(A, FailureKind.CONNECT, 10.0)
    reach.record_reply(A, "front-1", TunnelReply.OPENED, 10.0)
    assert reach.judge_open_connections(20.0) is OpenConnections.ALIVE
    assert not reach.is_older_than_isolation(1.0)
