"""A control group that starts from three seeds, grows, and replaces lost members."""

import pytest

from scalebend.core.control_state import Barrier, PutRouting, RoutingResult
from scalebend.core.gateway.routing_store import pack_routing
from tests.lib.control_group import ControlGroup
from tests.lib.gateway_builders import build_routing
from tests.unit.test_control_group import commit

NAMES = ("a", "b", "c", "d", "e")
SEEDS = ("a", "b", "c")


def build_group():
    group = ControlGroup(NAMES, seeds=SEEDS, voters_wanted=5)
    group.settle()
    group.is_first_start = False
    return group


def list_voters(group):
    leader = group.find_leader()
    return {m.instance for m in group.members[leader].replica.members.voters}


def run(group, seconds):
    for _ in range(int(seconds / 0.1)):
        group.advance(0.1)
        group.deliver_all()


def put(group, version):
    stored = pack_routing(build_routing(version), f"{version}".encode())
    assert commit(group, f"put-{version}", PutRouting(stored)) == RoutingResult(version)


def test_group_founded_by_the_seeds_grows_to_all():
    group = build_group()
    assert list_voters(group) == set(NAMES)


def test_found_message_is_sent_again_after_a_loss():
    group = ControlGroup(NAMES, seeds=SEEDS, voters_wanted=5)
    for _ in range(30):
        group.advance(0.1)
        group.in_flight = [
            f for f in group.in_flight if type(f[2]).__name__ != "FoundGroup"
        ]
        group.deliver_all()
    assert group.members["a"].replica.members is not None
    group.settle()
    assert list_voters(group) == set(NAMES)


def test_members_with_empty_disks_found_no_second_group():
    group = build_group()
    for name in NAMES:
        group.crash(name)
    for name in NAMES[:3]:
        group.replace_disk(name)
    run(group, 6.0)
    assert all(m.replica.members is None for m in group.members.values())


def test_new_instance_replaces_a_lost_voter():
    group = build_group()
    put(group, 1)
    group.remove("d")
    group.add("f")
    run(group, 12.0)
    assert list_voters(group) == {"a", "b", "c", "e", "f"}
    put(group, 2)


def test_spare_member_replicates_but_does_not_vote():
    group = build_group()
    group.add("f")
    run(group, 6.0)
    assert list_voters(group) == set(NAMES)
    put(group, 1)
    run(group, 1.0)
    assert group.members["f"].state.routing.version == 1


def test_replaced_member_that_returns_becomes_a_spare():
    group = build_group()
    group.crash("d")
    group.add("f")
    run(group, 12.0)
    assert "f" in list_voters(group)
    group.start("d")
    run(group, 8.0)
    assert len(list_voters(group)) == 5
    put(group, 1)
    run(group, 1.0)
    assert group.members["d"].state.routing.version == 1


@pytest.mark.parametrize("second", ["a", "b", "d"])
def test_two_disks_lost_at_once_lose_nothing(second):
    group = build_group()
    put(group, 1)
    group.replace_disk("e")
    group.replace_disk(second)
    run(group, 12.0)
    assert list_voters(group) == set(NAMES)
    assert all(m.state.routing.version == 1 for m in group.members.values())
    put(group, 2)


def test_group_elects_a_leader_within_a_second_after_all_members_were_killed():
    group = build_group()
    put(group, 1)
    for name in NAMES:
        group.crash(name)
    for name in NAMES:
        group.start(name)
    run(group, 1.0)
    assert group.find_leader() is not None


def test_partitioned_leader_confirms_nothing():
    group = build_group()
    commit(group, "first", Barrier())
    run(group, 0.3)
    old = group.find_leader()
    member = group.members[old]
    confirmed = member.replica.compute_confirmed_at(group.now)
    assert confirmed is not None and confirmed <= group.now
    group.isolated.add(old)
    partitioned_at = group.now
    run(group, 0.5)
    confirmed = member.replica.compute_confirmed_at(group.now)
    assert confirmed is None or confirmed <= partitioned_at


def test_new_leader_confirms_only_after_an_entry_of_its_own_term():
    # A member that lacks entries committed by the last leader also replies to the next
    # one. Its reply alone must not confirm the applied state of that leader.
    group = ControlGroup(("a", "b", "c"))
    group.settle()
    put(group, 1)
    old = group.find_leader()
    behind = next(name for name in group.names if name != old)
    group.isolated.add(behind)
    put(group, 2)
    group.crash(old)
    group.in_flight.clear()
    group.isolated.clear()
    for _ in range(80):
        group.advance(0.05)
        while group.in_flight:
            group.deliver(0)
            for name, member in group.members.items():
                confirmed = member.replica.compute_confirmed_at(group.now)
                if confirmed is not None and confirmed > 0.0:
                    assert member.state.routing.version == 2, name
    assert group.find_leader() is not None
