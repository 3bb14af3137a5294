"""Acknowledged documents survive lost disks while all other machines lose power.

Guards against a document that is gone after the fault that follows its acknowledgement.
"""

import itertools
import random

import pytest

from scalebend.core.control_state import PutRouting
from scalebend.core.gateway.routing_store import pack_routing
from tests.lib.control_group import ControlGroup
from tests.lib.gateway_builders import build_routing
from tests.unit.gateway.test_relays import MEMBERS, RELAYS, RelayedGroup

CATCH_UP_S = 4.0
"""Seconds after its start in which a new or returned machine counts as lost."""

FIVE = ("a", "b", "c", "d", "e")
SEEDS = range(4)


def build_group(names):
    group = ControlGroup(names, seeds=names[:3], voters_wanted=len(names))
    group.settle()
    group.is_first_start = False
    return group


def run(group, seconds):
    for _ in range(int(seconds / 0.1)):
        group.advance(0.1)
        group.deliver_all()


def put_until_acknowledged(group, version, seed):
    """Stop at the acknowledgement, with other messages still in flight."""
    choices = random.Random(seed)
    stored = pack_routing(build_routing(version), f"{version}".encode())
    name = f"put-{version}"
    group.propose(group.find_leader(), name, PutRouting(stored))
    for _ in range(2_000):
        if name in group.results:
            return
        if group.in_flight:
            group.deliver(choices.randrange(len(group.in_flight)))
        else:
            group.advance(0.02)
    raise AssertionError("no acknowledgement")


def strike(group, lost):
    """Take the disks of ``lost``, and the power of all others, at once."""
    for name in group.names:
        group.crash(name)
    group.in_flight.clear()
    for name in group.names:
        if name in lost:
            group.replace_disk(name)
        else:
            group.start(name)


def assert_kept(group, version):
    run(group, 8.0)
    leader = group.find_leader()
    assert leader is not None
    assert {m.state.routing.version for m in group.members.values()} == {version}


def list_losses(names, tolerated):
    return [*itertools.combinations(names, tolerated)]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", [*list_losses(MEMBERS, 1), *list_losses(FIVE, 2)])
def test_lost_disks_and_power_loss_of_all_others(lost, seed):
    group = build_group(MEMBERS if len(lost) == 1 else FIVE)
    for version in (1, 2):
        put_until_acknowledged(group, version, seed)
    strike(group, lost)
    assert_kept(group, 2)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize("lost", list_losses(MEMBERS, 1))
def test_relays_as_only_seeds_lose_power_too(lost, seed):
    group = RelayedGroup(RELAYS)
    group.introduce_relays()
    group.settle(12.0)
    group.is_first_start = False
    put_until_acknowledged(group, 1, seed)
    for name in RELAYS:
        group.start_relay(name)
    strike(group, lost)
    for relay in group.relays.values():
        for name in MEMBERS:
            relay.record_member(name)
    group.introduce_relays()
    assert_kept(group, 1)


@pytest.mark.parametrize("replaced", MEMBERS)
@pytest.mark.parametrize("lost", MEMBERS)
def test_another_disk_is_lost_after_one_was_replaced(replaced, lost):
    group = build_group(MEMBERS)
    put_until_acknowledged(group, 1, 0)
    group.replace_disk(replaced)
    run(group, CATCH_UP_S)
    put_until_acknowledged(group, 2, 0)
    strike(group, (lost,))
    assert_kept(group, 2)


@pytest.mark.parametrize("pause", [0.0, 0.5, 1.0, 2.0])
@pytest.mark.parametrize("removed", MEMBERS)
@pytest.mark.parametrize("lost", [0, 1])
def test_disk_is_lost_after_a_machine_was_replaced(removed, pause, lost):
    group = build_group(MEMBERS)
    put_until_acknowledged(group, 1, 0)
    group.remove(removed)
    run(group, pause)
    group.add("d")
    run(group, CATCH_UP_S)
    put_until_acknowledged(group, 2, 0)
    strike(group, (group.names[lost],))
    assert_kept(group, 2)
