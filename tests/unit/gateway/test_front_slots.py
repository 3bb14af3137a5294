"""Slots of fronts: none is used twice while lists of fronts change."""

import random

import msgspec
import pytest

from scalebend.core.gateway.front_slots import SLOT_LIFETIME_S, SLOT_REUSE_S
from scalebend.core.gateway.messages import FrontNumber
from tests.lib.gateway_group import LEADER
from tests.lib.slow_start_load import ALLOWED, SlowStartLoad


def build_load(fronts, rate):
    load = SlowStartLoad(fronts, 4, rate=rate)
    load.run(2.0)
    return load


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("linked_s", [0.1, 0.5])
@pytest.mark.parametrize("fronts", [8, 12, 20])
def test_bound_holds_while_fronts_link_to_a_new_leader_and_are_cut_off(
    fronts, linked_s, seed
):
    load = build_load(fronts, rate=600.0)
    deployment = load.deployment
    deployment.lose_leader()
    load.run(1.5)
    deployment.build_next_leader()
    order = random.Random(seed).sample(range(fronts), fronts)
    for number in order:
        deployment.link_front(number)
        load.run(linked_s)
        if number not in order[-2:]:
            deployment.cut_front(number, is_noticed=True)
    load.run(3.0)
    assert load.count_worst() <= ALLOWED


def find_slot(load, number):
    ceilings = load.deployment.fronts[number].limits.budget.ceilings
    return ceilings.number if load.now < ceilings.valid_until else None


def run_idle(load, seconds):
    load.rate = 0.0
    load.step_s = 0.05
    load.run(seconds)


def test_slot_of_a_front_that_is_cut_off_ends():
    load = build_load(4, rate=0.0)
    load.deployment.cut_front(2, is_noticed=True)
    assert find_slot(load, 2) is not None
    run_idle(load, SLOT_LIFETIME_S + 0.1)
    assert find_slot(load, 2) is None
    assert all(find_slot(load, number) is not None for number in (0, 1, 3))


def test_lists_change_only_when_slots_of_the_one_before_the_last_have_ended():
    load = build_load(4, rate=0.0)
    before = [find_slot(load, number) for number in range(4)]
    assert sorted(before) == [0, 1, 2, 3]
    load.deployment.add_front(4)
    run_idle(load, SLOT_LIFETIME_S - 3.0)
    assert [find_slot(load, number) for number in range(5)] == [*before, None]
    run_idle(load, SLOT_REUSE_S - SLOT_LIFETIME_S + 5.0)
    assert sorted(find_slot(load, number) for number in range(5)) == [0, 1, 2, 3, 4]


def test_new_leader_gives_slots_only_when_those_of_the_previous_one_have_ended():
    load = build_load(4, rate=0.0)
    load.deployment.lose_leader()
    load.run(0.5)
    load.deployment.replace_leader()
    run_idle(load, 5.0)
    assert all(find_slot(load, number) is not None for number in range(4))
    front = load.deployment.fronts[0]
    assert front.limits.budget.ceilings.offered is None
    run_idle(load, SLOT_REUSE_S)
    assert sorted(find_slot(load, number) for number in range(4)) == [0, 1, 2, 3]


def test_slot_counts_only_when_a_quorum_confirmed_the_leader():
    load = build_load(2, rate=0.0)
    front = load.deployment.fronts[0]
    held = find_slot(load, 0)
    front.handle(LEADER, FrontNumber(9, 8, 9, 8), load.now)
    assert find_slot(load, 0) == held
    front.limits.confirm_slot(load.now)
    assert find_slot(load, 0) == 8


def test_versions_without_slots_read_and_send_positions():
    class Before(msgspec.Struct, tag="FrontPlace"):
        fronts: int
        number: int

    newer = msgspec.msgpack.encode(FrontNumber(4, 2, 4, 3))
    assert msgspec.msgpack.decode(newer, type=Before) == Before(4, 2)
    older = msgspec.msgpack.encode(Before(4, 2))
    assert msgspec.msgpack.decode(older, type=FrontNumber) == FrontNumber(4, 2)
