"""Elections of a control group whose messages are slow from the start, or become so."""

import pytest

from scalebend.core.consensus.messages import VoteReply, VoteRequest
from scalebend.core.consensus.replica import ReplicaRole
from scalebend.soak.runner import RECOVERY_S
from tests.lib.slow_group import SlowGroup
from tests.unit.test_consensus_rules import (
    AFTER_TIMEOUT,
    B,
    C,
    build_replica,
    process_ready,
)

SEEDS = range(6)

FAST_START_S = 0.4

CALM_S = 5.0

OBSERVED_S = 20.0


def build_group(members, **options):
    return SlowGroup([f"m{number}" for number in range(members)], **options)


def measure_leaderless(group, seconds):
    """Run the group; return the longest time in seconds without a leader."""
    longest, since = 0.0, group.now
    for leader in group.run(seconds):
        if leader is not None:
            since = group.now
        longest = max(longest, group.now - since)
    return longest


# Guards against elections that end before votes can return: no leader for ever.
@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("delay", [0.05, 0.1, 0.2, 0.3, 0.5])
@pytest.mark.parametrize("members", [3, 5])
def test_first_leader_is_elected_over_slow_messages(members, delay, loss):
    for seed in SEEDS:
        group = build_group(members, delay=delay, seed=seed, loss=loss)
        assert measure_leaderless(group, OBSERVED_S) <= RECOVERY_S, f"seed {seed}"


# Guards against leaders that step down before replies can return.
@pytest.mark.parametrize("delay", [0.1, 0.2, 0.3, 0.4, 0.5])
@pytest.mark.parametrize("members", [3, 5])
def test_group_has_a_leader_again_after_messages_became_slow(members, delay):
    for seed in SEEDS:
        group = build_group(members, delay=0.005, seed=seed)
        measure_leaderless(group, CALM_S)
        group.delay = delay
        assert measure_leaderless(group, OBSERVED_S) <= RECOVERY_S, f"seed {seed}"
        assert measure_leaderless(group, OBSERVED_S) == 0.0, f"seed {seed}"


# Guards against waits for slow messages that delay a start with fast ones.
@pytest.mark.parametrize("delay", [0.001, 0.01])
@pytest.mark.parametrize("members", [3, 5])
def test_first_leader_is_elected_at_once_over_fast_messages(members, delay):
    for seed in SEEDS:
        group = build_group(members, delay=delay, seed=seed)
        assert measure_leaderless(group, 2.0) <= FAST_START_S, f"seed {seed}"


def start_candidacy(replica, now):
    replica.advance(now)
    (pre_vote, _) = process_ready(replica)[0]
    replica.handle(VoteReply(B, pre_vote.term, True, True, pre_vote.sent_at), now)
    (request, _) = process_ready(replica)[0]
    assert replica.role is ReplicaRole.CANDIDATE
    return request


# Guards against a vote being dropped because the next pre-vote has already started.
def test_late_vote_counts_in_its_term():
    replica = build_replica()
    request = start_candidacy(replica, AFTER_TIMEOUT)
    replica.advance(2 * AFTER_TIMEOUT)
    assert replica.role is ReplicaRole.PRE_CANDIDATE
    replica.handle(VoteReply(B, request.term, True, False), 2 * AFTER_TIMEOUT)
    assert replica.is_leader
    assert replica.term == request.term


# Guards against two leaders: a vote is void once the member went on to another term.
def test_late_vote_of_an_earlier_term_is_ignored():
    replica = build_replica()
    request = start_candidacy(replica, AFTER_TIMEOUT)
    newer = VoteRequest(C, request.term + 1, 1, 0, False)
    replica.handle(newer, 2 * AFTER_TIMEOUT)
    process_ready(replica)
    replica.advance(3 * AFTER_TIMEOUT)
    for term in (request.term, request.term + 1):
        replica.handle(VoteReply(B, term, True, False), 3 * AFTER_TIMEOUT)
    assert not replica.is_leader


# Guards against elections that depose a leader which some members found since.
def test_refusal_withdraws_an_earlier_pre_vote():
    replica = build_replica(me=C)
    replica.advance(AFTER_TIMEOUT)
    replica.handle(VoteRequest(B, 1, 2, 0, True), AFTER_TIMEOUT)
    replica.handle(VoteReply(B, 1, True, True, AFTER_TIMEOUT - 0.3), AFTER_TIMEOUT)
    assert replica.role is ReplicaRole.PRE_CANDIDATE
    replica.handle(VoteReply(B, 0, False, True, AFTER_TIMEOUT), AFTER_TIMEOUT + 0.1)
    replica.advance(AFTER_TIMEOUT + 0.31)
    assert replica.role is ReplicaRole.PRE_CANDIDATE


# Guards against split votes: the candidate that ranks lower lets the other go first.
def test_candidate_defers_to_a_concurrent_one_for_a_round_trip():
    replica = build_replica()
    replica.advance(AFTER_TIMEOUT)
    replica.handle(VoteRequest(C, 1, 1, 0, True), AFTER_TIMEOUT)
    sent_at = AFTER_TIMEOUT - 0.05
    replica.handle(VoteReply(B, 1, True, True, sent_at), AFTER_TIMEOUT)
    assert replica.role is ReplicaRole.PRE_CANDIDATE
    replica.advance(AFTER_TIMEOUT + 0.06)
    assert replica.role is ReplicaRole.CANDIDATE
