"""Single rules of the replicated log, each of which loses data when it is broken."""

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
    ELECTION_TIMEOUT_S,
    LINK_LOSS_TIMEOUT_S,
    MIN_ROUND_INTERVAL_S,
    Replica,
)

A, B, C = (Member(name, f"{name}-disk") for name in "abc")
MEMBERS = Members(frozenset({A, B, C}))
FIRST = LogEntry(1, 0, 0.0, members=MEMBERS)
LATER = 10 * ELECTION_TIMEOUT_S


def build_replica(entries=(), hard_state=None, me=A):
    state = hard_state or HardState(0, None)
    recovered = Recovered(me.disk, state, None, [FIRST, *entries])
    return Replica(me, recovered, now=0.0)


def carry_out(replica):
    """Do what the replica wants; return what it sent and what it stored."""
    ready = replica.take_ready()
    replica.confirm(ready)
    return [o.message for o in ready.messages], ready.persist


def ask(sender, term, last_index=1, last_term=0):
    return VoteRequest(sender, term, last_index, last_term, False)


def read_vote(replica):
    messages, persist = carry_out(replica)
    (vote,) = [m for m in messages if isinstance(m, VoteReply)]
    return vote.is_granted, persist


def test_vote_is_stored_before_it_is_given_and_kept_over_a_restart():
    replica = build_replica()
    replica.handle(ask(B, 3), LATER)
    is_granted, persist = read_vote(replica)
    assert is_granted and persist.hard_state == HardState(3, B)
    restarted = build_replica(hard_state=persist.hard_state)
    restarted.handle(ask(C, 3), LATER)
    assert not read_vote(restarted)[0]


def test_second_vote_of_one_term_is_stored_too():
    """The term is known already: only the vote is news."""
    replica = build_replica(hard_state=HardState(3, None))
    replica.handle(ask(B, 3), LATER)
    is_granted, persist = read_vote(replica)
    assert is_granted and persist.hard_state == HardState(3, B)


def test_candidate_with_a_shorter_log_gets_no_vote():
    replica = build_replica([LogEntry(2, 2, 0.0, b"x")], HardState(2, None))
    replica.handle(ask(B, 3, last_index=1, last_term=0), LATER)
    assert not read_vote(replica)[0]
    replica.handle(ask(C, 3, last_index=9, last_term=1), LATER)
    assert not read_vote(replica)[0]
    replica.handle(ask(C, 4, last_index=2, last_term=2), LATER)
    assert read_vote(replica)[0]


def elect(replica, now=LATER):
    replica.advance(now)
    carry_out(replica)
    replica.handle(VoteReply(B, replica.term + 1, True, True), now)
    carry_out(replica)
    replica.handle(VoteReply(B, replica.term, True, False), now)
    assert replica.is_leader


def test_leader_counts_its_own_entries_only_once_they_are_synced():
    replica = build_replica()
    elect(replica)
    ready = replica.take_ready()
    reply = AppendReply(B, replica.term, True, replica.log.last_index, 1)
    replica.handle(reply, LATER)
    assert replica.commit_index == 0, "one synced copy of three is no quorum"
    replica.confirm(ready)
    assert replica.commit_index == 2


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    replica = build_replica([LogEntry(2, 1, 0.0, b"x")], HardState(1, None))
    elect(replica)
    replica.handle(AppendReply(B, replica.term, True, 2, 1), LATER)
    assert replica.commit_index == 0
    carry_out(replica)
    replica.handle(AppendReply(B, replica.term, True, 3, 2), LATER)
    assert replica.commit_index == 3


def test_follower_drops_entries_that_conflict_with_its_leader():
    stale = [LogEntry(2, 1, 0.0, b"old"), LogEntry(3, 1, 0.0, b"old")]
    replica = build_replica(stale, HardState(1, None))
    entry = LogEntry(2, 2, 0.0, b"new")
    replica.handle(Append(B, 2, 1, 0, [entry], 2, 1), LATER)
    _, persist = carry_out(replica)
    assert persist.truncate_from == 2 and persist.entries == [entry]
    assert replica.log.last_index == 2


def test_member_in_touch_with_its_leader_does_not_help_to_unseat_it():
    replica = build_replica()
    replica.handle(Append(B, 1, 1, 0, [], 0, 1), LATER)
    carry_out(replica)
    replica.handle(ask(C, 9), LATER + 0.1)
    assert not read_vote(replica)[0]
    assert replica.term == 1


def list_appends(replica):
    return [m for m in carry_out(replica)[0] if isinstance(m, Append)]


def test_confirmation_that_somebody_waits_for_does_not_wait_for_the_heartbeat():
    replica = build_replica()
    elect(replica)
    (first, *_) = list_appends(replica)
    replica.handle(AppendReply(B, replica.term, True, 2, first.round), LATER)
    carry_out(replica)
    assert replica.compute_confirmed_at(LATER) == LATER
    asked_at = LATER + 2 * MIN_ROUND_INTERVAL_S
    replica.advance(asked_at)
    assert list_appends(replica) == []
    replica.request_confirmation(asked_at, asked_at)
    hastened = list_appends(replica)
    assert len(hastened) == 2
    replica.request_confirmation(asked_at, asked_at + MIN_ROUND_INTERVAL_S / 2)
    assert list_appends(replica) == []
    newest = max(append.round for append in hastened)
    replica.handle(AppendReply(B, replica.term, True, 2, newest), asked_at)
    assert replica.compute_confirmed_at(asked_at) == asked_at


def follow(replica, now=LATER):
    replica.handle(Append(B, 3, 1, 0, [], 0, 1), now)
    carry_out(replica)
    assert replica.leader == B


def list_requests(replica):
    return [m for m in carry_out(replica)[0] if isinstance(m, VoteRequest)]


def test_follower_whose_leader_s_link_broke_asks_for_votes_soon():
    replica = build_replica()
    follow(replica)
    replica.record_link_loss(B.instance, LATER)
    replica.advance(LATER + LINK_LOSS_TIMEOUT_S - 0.01)
    assert not list_requests(replica)
    replica.advance(LATER + 2 * LINK_LOSS_TIMEOUT_S)
    assert list_requests(replica)


def test_loss_of_another_link_says_nothing_of_the_leader():
    replica = build_replica()
    follow(replica)
    replica.record_link_loss(C.instance, LATER)
    replica.advance(LATER + ELECTION_TIMEOUT_S - 0.01)
    assert not list_requests(replica)


def test_leader_that_is_heard_again_stays():
    replica = build_replica()
    follow(replica)
    replica.record_link_loss(B.instance, LATER)
    follow(replica, LATER + LINK_LOSS_TIMEOUT_S / 2)
    replica.advance(LATER + 2 * LINK_LOSS_TIMEOUT_S)
    assert not list_requests(replica)
    replica.handle(ask(C, 4), LATER + 2 * LINK_LOSS_TIMEOUT_S)
    assert not read_vote(replica)[0]
