"""Planned ends, lost machines and lost disks of voters, at set times."""

import pytest

from tests.lib.control_group import ControlGroup
from tests.unit.gateway.test_group_changes import put

CATCH_UP_S = 4.0
"""Time after which a new machine no longer counts as lost."""

GAPS = (0.0, 0.1, 0.3, 0.5, 1.0, 1.5, 2.3)
"""Times in seconds between the end of one member and the next loss."""


def build_group(controls=3):
    names = [f"c{number}" for number in range(controls)]
    group = ControlGroup(names, seeds=names[:3], voters_wanted=controls)
    group.settle()
    group.is_first_start = False
    put(group, 1)
    return group


def assert_serves(group, version):
    """Assert that a change is accepted and that all members know it in the end."""
    put(group, version)
    group.settle(4.0)
    versions = {m.state.routing.version for m in group.members.values()}
    assert versions == {version}


def find_follower(group, without=()):
    leader = group.find_leader()
    return next(n for n in group.members if n != leader and n not in without)


def find_victim(group, *, leads, without=()):
    leader = group.find_leader()
    if leads and leader not in without:
        return leader
    return find_follower(group, without)


def retire(group, name):
    """Stop a member as planned, for good."""
    elapsed = group.terminate(name)
    group.names.remove(name)
    return elapsed


# Guards against a vote that stays with a machine which was replaced as planned, so that
# the loss of one more disk leaves no quorum.
@pytest.mark.parametrize("gap_s", GAPS)
@pytest.mark.parametrize("second_leads", [False, True])
@pytest.mark.parametrize("first_leads", [False, True])
def test_disk_is_lost_after_a_planned_replacement(first_leads, second_leads, gap_s):
    group = build_group()
    group.add("new")
    group.run(2 * CATCH_UP_S)
    first = find_victim(group, leads=first_leads, without=["new"])
    assert retire(group, first) < 1.0
    put(group, 2)
    group.run(gap_s)
    second = find_victim(group, leads=second_leads, without=["new"])
    group.replace_disk(second)
    assert_serves(group, 3)


# Guards against a rolling replacement, without any fault, that leaves no quorum.
@pytest.mark.parametrize("gap_s", [0.0, 0.3, 1.3])
@pytest.mark.parametrize(("controls", "replaced"), [(3, 2), (3, 3), (5, 3), (5, 5)])
def test_machines_are_replaced_one_after_the_other(controls, replaced, gap_s):
    group = build_group(controls)
    old = list(group.names)
    for number in range(replaced):
        group.add(f"new{number}")
    group.run(2 * CATCH_UP_S)
    for name in old[:replaced]:
        assert retire(group, name) < 1.0
        group.run(gap_s)
    assert_serves(group, 2)


@pytest.mark.parametrize("controls", [3, 5])
def test_machines_are_replaced_at_the_same_moment(controls):
    group = build_group(controls)
    leaving = list(group.names)[:2]
    group.add("new0")
    group.add("new1")
    group.run(2 * CATCH_UP_S)
    for name in leaving:
        group.members[name].leave()
    for name in leaving:
        assert retire(group, name) < 1.0
    assert_serves(group, 2)


def test_one_spare_takes_the_vote_of_one_of_two_members_that_leave():
    group = build_group(5)
    group.add("new")
    group.run(CATCH_UP_S)
    leaving = ["c0", "c1"]
    for name in leaving:
        group.members[name].leave()
    elapsed = [group.terminate(name) for name in leaving]
    assert max(elapsed) < 1.5
    group.replace_disk("c2")
    group.run(CATCH_UP_S)
    put(group, 2)


def test_restart_without_a_spare_keeps_the_vote():
    group = build_group()
    for name in list(group.names):
        assert group.terminate(name) < 0.2
        group.start(name)
        group.run(1.0)
        assert group.members[name].replica.is_voter
    assert_serves(group, 2)


# A member that returns with its disk is a learner at once, and votes when needed.
def test_member_that_returns_after_a_planned_stop_votes_again():
    group = build_group()
    group.add("spare")
    group.run(CATCH_UP_S)
    group.terminate("c0")
    group.start("c0")
    group.run(1.0)
    assert not group.members["c0"].replica.is_voter
    group.replace_disk("c1")
    group.run(CATCH_UP_S)
    group.lose_disk("c2")
    group.names.remove("c2")
    group.run(CATCH_UP_S)
    assert group.members["c0"].replica.is_voter
    assert_serves(group, 2)


def test_successor_is_lost_while_it_takes_over_a_vote():
    for ticks in range(8):
        group = build_group()
        group.add("new")
        group.run(2 * CATCH_UP_S)
        leaving = find_follower(group, ["new"])
        group.members[leaving].leave()
        group.run(ticks * 0.05)
        group.lose_disk("new")
        group.names.remove("new")
        group.terminate(leaving)
        group.run(1.0)
        put(group, 2)
        group.start(leaving)
        assert_serves(group, 3)


@pytest.mark.parametrize("ticks", range(8))
def test_leader_crashes_while_a_vote_is_taken_over(ticks):
    group = build_group()
    group.add("new")
    group.run(2 * CATCH_UP_S)
    leader = group.find_leader()
    leaving = find_follower(group, ["new"])
    group.members[leaving].leave()
    group.pump(leaving)
    for _ in range(ticks):
        group.advance(0.01)
        for _ in range(len(group.in_flight)):
            group.deliver(0)
    group.crash(leader)
    group.terminate(leaving)
    group.names.remove(leaving)
    group.start(leader)
    assert_serves(group, 2)


def test_leader_is_cut_off_while_a_vote_is_taken_over():
    group = build_group()
    group.add("new")
    group.run(2 * CATCH_UP_S)
    leader = group.find_leader()
    leaving = find_follower(group, ["new"])
    group.members[leaving].leave()
    group.isolated.add(leader)
    elapsed = group.terminate(leaving)
    group.names.remove(leaving)
    assert elapsed < 4.0
    group.isolated.clear()
    assert_serves(group, 2)


def test_member_that_is_cut_off_ends_within_its_grace():
    group = build_group()
    group.add("spare")
    group.run(CATCH_UP_S)
    leaving = find_follower(group, ["spare"])
    group.isolated.add(leaving)
    assert group.terminate(leaving) < 8.0
    assert_serves(group, 2)


def test_all_members_stop_at_once_and_return():
    group = build_group(5)
    group.add("spare")
    group.run(CATCH_UP_S)
    for name in group.names:
        group.members[name].leave()
    elapsed = [group.terminate(name) for name in list(group.names)]
    assert sum(elapsed) < 8.0
    group.settle(2.0)
    assert_serves(group, 2)


def test_snapshot_taken_during_a_replacement_holds_both_lists():
    group = build_group()
    group.snapshot_entries = 1
    group.add("new")
    group.run(2 * CATCH_UP_S)
    leaving = find_follower(group, ["new"])
    assert retire(group, leaving) < 1.0
    for name in list(group.names):
        group.crash(name)
    group.settle(2.0)
    assert_serves(group, 2)


# Guards against a vote for a plain list in place of a joint one, by an older version.
def test_no_vote_is_replaced_while_a_member_reads_no_joint_lists(monkeypatch):
    group = build_group()
    group.add("new")
    group.run(CATCH_UP_S)
    leader = group.members[group.find_leader()].replica
    follower = group.members[find_follower(group, ["new"])].replica
    original = leader._handle_append_reply

    def handle(reply, now):
        if reply.sender == follower.me:
            reply = type(reply)(
                reply.sender, reply.term, reply.is_accepted, reply.index, reply.round
            )
        original(reply, now)

    monkeypatch.setattr(leader, "_handle_append_reply", handle)
    group.run(0.5)
    voters = leader.members.voters
    leaving = next(m for m in voters if m not in (leader.me, follower.me))
    assert group.terminate(leaving.instance) < 1.0
    assert leader.members.voters == voters


# Guards against a member that is reported as a voter while its predecessor still
# counts: an operator who waits for that could take down one member too many.
def test_vote_is_reported_once_the_replacement_is_complete():
    group = build_group()
    follower = find_follower(group)
    group.replace_disk(follower)
    member = group.members[follower]
    reported = []
    for _ in range(400):
        group.advance(0.01)
        if group.in_flight:
            group.deliver(0)
        if member.has_settled_vote:
            reported.append(member.replica.members)
    assert reported
    assert not any(members.is_joint for members in reported)


SECOND_DOWN_S = 3.0


# Guards against the silence of a machine that is gone being counted anew by each
# leader, so that its vote outlasts the time for which it counts as lost.
@pytest.mark.parametrize("second_at_s", [0.1, 0.7, 1.0, 1.3, 1.6, 1.9, 2.4, 3.0, 3.7])
@pytest.mark.parametrize("first_leads", [True, False])
def test_next_leaders_disk_is_lost_after_a_machine_is_gone(first_leads, second_at_s):
    group = build_group(5)
    group.seeds = tuple(group.names)
    group.run(2 * CATCH_UP_S)
    began = group.now
    first = find_victim(group, leads=first_leads)
    group.lose_disk(first)
    group.names.remove(first)
    group.add("new")

    group.run(second_at_s)
    second = group.find_leader() or find_follower(group, ["new"])
    group.lose_disk(second)

    # The successor of the first machine has had its time: it no longer counts as lost.
    group.run(began + CATCH_UP_S + 0.4 - group.now)
    third = next(n for n in group.members if n != "new")
    group.replace_disk(third)
    group.run(max(0.0, began + second_at_s + SECOND_DOWN_S - group.now))
    if second not in group.members:
        group.start(second)
    assert_serves(group, 2)


# Guards against a silence that only the last leader knew of.
def test_silence_of_a_follower_is_known_to_the_next_leader():
    group = build_group(5)
    first = find_follower(group)
    group.lose_disk(first)
    group.names.remove(first)
    group.run(0.5)
    group.crash(group.find_leader())
    while group.find_leader() is None:
        group.advance(0.01)
        group.deliver_all()
    replica = group.members[group.find_leader()].replica
    silences = {
        m.instance: r.silent_s for m, r in replica.report_members(group.now).items()
    }
    assert silences[first] > 0.5


# Guards against a vote that is taken from a member which had no time to reply.
def test_new_leader_takes_no_vote_from_members_that_reply():
    group = build_group(3)
    group.add("spare")
    group.run(CATCH_UP_S)
    voters = group.members["c0"].replica.members.voters
    for _ in range(6):
        deposed = group.find_leader()
        group.members[deposed].stop_leading(group.now)
        group.pump(deposed)
        group.run(1.0)
    assert group.members["c0"].replica.members.voters == voters


# Guards against a lost disk that stays without a vote, since the settings of its
# process name only machines that are gone, and members with empty disks.
def test_empty_disk_joins_the_members_that_send_to_it():
    group = build_group(5)
    group.remove("c0")
    group.add("new")
    group.run(CATCH_UP_S)
    for name in ("c1", "c2"):
        group.lose_disk(name)
    for name in ("c1", "c2"):
        group.start(name)
    group.run(CATCH_UP_S)
    assert group.members["c1"].replica.is_voter
    assert group.members["c2"].replica.is_voter
    assert_serves(group, 2)
