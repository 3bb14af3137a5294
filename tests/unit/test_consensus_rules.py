"""Safety and liveness rules of the replicated log, one at a time."""

from scalebend.core.consensus.election import ELECTION_TIMEOUT_S
from scalebend.core.consensus.messages import (
    Append,
    AppendReply,
    HardState,
    LogEntry,
    Member,
    Members,
    Recovered,
    VoteReply,
    VoteRequest,
)
from scalebend.core.consensus.replica import (
    LINK_LOSS_TIMEOUT_S,
    MIN_ROUND_INTERVAL_S,
    Replica,
)

A, B, C = (Member(name, f"{name}-disk") for name in "abc")
MEMBERS = Members(frozenset({A, B, C}))
FIRST_ENTRY = LogEntry(1, 0, 0.0, members=MEMBERS)
AFTER_TIMEOUT = 10 * ELECTION_TIMEOUT_S


def build_replica(entries=(), hard_state=None, me=A):
    state = hard_state or HardState(0, None)
    recovered = Recovered(me.disk, state, None, [FIRST_ENTRY, *entries])
    return Replica(me, recovered, now=0.0)


def process_ready(replica):
    """Carry out the pending work; return the messages sent and the write."""
    ready = replica.collect_ready()
    replica.confirm(ready)
    return [o.message for o in ready.messages], ready.persist


def build_vote_request(sender, term, last_index=1, last_term=0):
    return VoteRequest(sender, term, last_index, last_term, False)


def take_vote(replica):
    messages, persist = process_ready(replica)
    (vote,) = [m for m in messages if isinstance(m, VoteReply)]
    return vote.is_granted, persist


def test_vote_is_stored_before_the_reply_and_survives_a_restart():
    replica = build_replica()
    replica.handle(build_vote_request(B, 3), AFTER_TIMEOUT)
    is_granted, persist = take_vote(replica)
    assert is_granted and persist.hard_state == HardState(3, B)
    restarted = build_replica(hard_state=persist.hard_state)
    restarted.handle(build_vote_request(C, 3), AFTER_TIMEOUT)
    assert not take_vote(restarted)[0]


def test_vote_in_a_known_term_is_stored():
    """Only the vote changes, not the term."""
    replica = build_replica(hard_state=HardState(3, None))
    replica.handle(build_vote_request(B, 3), AFTER_TIMEOUT)
    is_granted, persist = take_vote(replica)
    assert is_granted and persist.hard_state == HardState(3, B)


def test_candidate_with_a_shorter_log_gets_no_vote():
    replica = build_replica([LogEntry(2, 2, 0.0, b"x")], HardState(2, None))
    replica.handle(build_vote_request(B, 3, last_index=1, last_term=0), AFTER_TIMEOUT)
    assert not take_vote(replica)[0]
    replica.handle(build_vote_request(C, 3, last_index=9, last_term=1), AFTER_TIMEOUT)
    assert not take_vote(replica)[0]
    replica.handle(build_vote_request(C, 4, last_index=2, last_term=2), AFTER_TIMEOUT)
    assert take_vote(replica)[0]


def elect_leader(replica, now=AFTER_TIMEOUT):
    replica.advance(now)
    process_ready(replica)
    replica.handle(VoteReply(B, replica.term + 1, True, True), now)
    process_ready(replica)
    replica.handle(VoteReply(B, replica.term, True, False), now)
    assert replica.is_leader


def test_leader_counts_its_own_entries_only_once_they_are_durable():
    replica = build_replica()
    elect_leader(replica)
    ready = replica.collect_ready()
    reply = AppendReply(B, replica.term, True, replica.log.last_index, 1)
    replica.handle(reply, AFTER_TIMEOUT)
    assert replica.commit_index == 0, "one durable copy of three is no quorum"
    replica.confirm(ready)
    assert replica.commit_index == 2


def test_entry_of_an_earlier_term_is_committed_only_with_one_of_this_term():
    replica = build_replica([LogEntry(2, 1, 0.0, b"x")], HardState(1, None))
    elect_leader(replica)
    replica.handle(AppendReply(B, replica.term, True, 2, 1), AFTER_TIMEOUT)
    assert replica.commit_index == 0
    process_ready(replica)
    replica.handle(AppendReply(B, replica.term, True, 3, 2), AFTER_TIMEOUT)
    assert replica.commit_index == 3


def test_follower_truncates_entries_that_conflict_with_its_leader():
    stale = [LogEntry(2, 1, 0.0, b"old"), LogEntry(3, 1, 0.0, b"old")]
    replica = build_replica(stale, HardState(1, None))
    entry = LogEntry(2, 2, 0.0, b"new")
    replica.handle(Append(B, 2, 1, 0, [entry], 2, 1), AFTER_TIMEOUT)
    _, persist = process_ready(replica)
    assert persist.truncate_from == 2 and persist.entries == [entry]
    assert replica.log.last_index == 2


def test_member_with_a_live_leader_grants_no_vote():
    replica = build_replica()
    replica.handle(Append(B, 1, 1, 0, [], 0, 1), AFTER_TIMEOUT)
    process_ready(replica)
    replica.handle(build_vote_request(C, 9), AFTER_TIMEOUT + 0.1)
    assert not take_vote(replica)[0]
    assert replica.term == 1


def take_appends(replica):
    return [m for m in process_ready(replica)[0] if isinstance(m, Append)]


def test_requested_confirmation_does_not_wait_for_the_heartbeat():
    replica = build_replica()
    elect_leader(replica)
    (first, *_) = take_appends(replica)
    replica.handle(AppendReply(B, replica.term, True, 2, first.round), AFTER_TIMEOUT)
    process_ready(replica)
    assert replica.compute_confirmed_at(AFTER_TIMEOUT) == AFTER_TIMEOUT
    requested_at = AFTER_TIMEOUT + 2 * MIN_ROUND_INTERVAL_S
    replica.advance(requested_at)
    assert take_appends(replica) == []
    replica.request_confirmation(requested_at, requested_at)
    requested = take_appends(replica)
    assert len(requested) == 2
    replica.request_confirmation(requested_at, requested_at + MIN_ROUND_INTERVAL_S / 2)
    assert take_appends(replica) == []
    newest = max(append.round for append in requested)
    replica.handle(AppendReply(B, replica.term, True, 2, newest), requested_at)
    assert replica.compute_confirmed_at(requested_at) == requested_at


def follow(replica, now=AFTER_TIMEOUT):
    replica.handle(Append(B, 3, 1, 0, [], 0, 1), now)
    process_ready(replica)
    assert replica.leader == B


def take_vote_requests(replica):
    return [m for m in process_ready(replica)[0] if isinstance(m, VoteRequest)]


def test_follower_starts_an_election_soon_after_the_leader_s_link_breaks():
    replica = build_replica()
    follow(replica)
    replica.record_link_loss(B.instance, AFTER_TIMEOUT)
    replica.advance(AFTER_TIMEOUT + LINK_LOSS_TIMEOUT_S - 0.01)
    assert not take_vote_requests(replica)
    replica.advance(AFTER_TIMEOUT + 2 * LINK_LOSS_TIMEOUT_S)
    assert take_vote_requests(replica)


def test_loss_of_another_link_keeps_the_election_timeout():
    replica = build_replica()
    follow(replica)
    replica.record_link_loss(C.instance, AFTER_TIMEOUT)
    replica.advance(AFTER_TIMEOUT + ELECTION_TIMEOUT_S - 0.01)
    assert not take_vote_requests(replica)


def test_heartbeat_after_a_broken_link_keeps_the_leader():
    replica = build_replica()
    follow(replica)
    replica.record_link_loss(B.instance, AFTER_TIMEOUT)
    follow(replica, AFTER_TIMEOUT + LINK_LOSS_TIMEOUT_S / 2)
    replica.advance(AFTER_TIMEOUT + 2 * LINK_LOSS_TIMEOUT_S)
    assert not take_vote_requests(replica)
    replica.handle(build_vote_request(C, 4), AFTER_TIMEOUT + 2 * LINK_LOSS_TIMEOUT_S)
    assert not take_vote(replica)[0]
