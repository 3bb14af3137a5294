"""Voters of a group that may lose zones or regions with all disks in them."""

import itertools

import pytest
from hypothesis import given, strategies as st
from structlog.testing import capture_logs

from scalebend.core.consensus.messages import Member, Place
from scalebend.core.consensus.voter_spread import (
    Tolerance,
    choose_voter_count,
    compute_excess,
    compute_tolerance,
)
from tests.lib.control_group import ControlGroup
from tests.unit.gateway.test_group_changes import put

CATCH_UP_S = 4.0
DOWN_S = 1.0

FIVE = {"c0": "z1", "c1": "z1", "c2": "z2", "c3": "z2", "c4": "z3"}
SIX = FIVE | {"c5": "z3"}
REGIONS = {"c0": "r1/z1", "c1": "r1/z2", "c2": "r2/z3", "c3": "r2/z4", "c4": "r3/z5"}


def build_group(places, **demand):
    names = sorted(places)
    group = ControlGroup(
        names, seeds=names[:3], demand=Tolerance(**demand), zones=dict(places)
    )
    group.settle(8.0)
    group.is_first_start = False
    put(group, 1)
    return group


def list_voters(group):
    leader = group.members[group.find_leader()].replica
    assert not leader.members.is_joint
    return sorted(member.instance for member in leader.members.voters)


def lose_places(group, lost):
    """Lose all machines in some zones or regions for a while, with their disks."""
    names = [n for n in group.names if lost & set(group.zones[n].split("/"))]
    assert names
    for name in names:
        group.lose_disk(name)
    group.run(DOWN_S)
    for name in names:
        group.start(name)


# Guards against voters that follow the number of machines alone: two of three may stand
# in one zone, whose loss takes everything that was acknowledged.
@pytest.mark.parametrize("zone", ["z1", "z2", "z3"])
@pytest.mark.parametrize("machines", [0, 1, 2])
def test_zone_is_lost_with_its_disks(machines, zone):
    group = build_group(FIVE, machines=machines, zones=1)
    lose_places(group, {zone})
    put(group, 2)
    group.settle(CATCH_UP_S)
    versions = {m.state.routing.version for m in group.members.values()}
    assert versions == {2}


@pytest.mark.parametrize("order", list(itertools.permutations(["z1", "z2", "z3"])))
def test_zones_are_lost_one_after_the_other(order):
    group = build_group(SIX, machines=1, zones=1)
    for version, zone in enumerate(order, start=2):
        lose_places(group, {zone})
        group.run(CATCH_UP_S)
        put(group, version)


@pytest.mark.parametrize("region", ["r1", "r2", "r3"])
def test_region_is_lost_with_its_disks(region):
    group = build_group(REGIONS, machines=1, regions=1)
    lose_places(group, {region})
    put(group, 2)


def test_three_voters_suffice_where_zones_are_apart():
    group = build_group(SIX, machines=1, zones=1)
    assert len({SIX[name] for name in list_voters(group)}) == 3


def test_five_voters_are_needed_for_two_zones():
    zones = {f"c{number}": f"z{number}" for number in range(6)}
    group = build_group(zones, machines=1, zones=2)
    assert len(list_voters(group)) == 5
    lose_places(group, {"z0", "z3"})
    put(group, 2)


def test_successor_joins_in_another_zone():
    zones = {"c0": "z1", "c1": "z2", "c2": "z3"}
    group = build_group(zones, machines=1, zones=1)
    group.zones["new"] = "z2"
    group.remove("c0")
    group.add("new")
    group.run(CATCH_UP_S)
    assert list_voters(group) == ["c1", "c2", "new"]
    group.zones["other"] = "z1"
    group.add("other")
    group.run(CATCH_UP_S)
    voters = list_voters(group)
    assert sorted(group.zones[name] for name in voters) == ["z1", "z2", "z3"]
    lose_places(group, {"z2"})
    put(group, 2)


def test_voters_stay_if_no_others_are_better_apart():
    group = build_group(SIX, machines=1, zones=1)
    members = group.members[group.find_leader()].replica.members
    group.run(10.0)
    assert group.members[group.find_leader()].replica.members == members


def test_too_few_zones_are_logged_once_for_each_list():
    with capture_logs() as logs:
        group = build_group({"c0": "z1", "c1": "z1", "c2": "z2"}, machines=1, zones=1)
        group.run(5.0)
    warnings = [one for one in logs if "less than asked" in one["event"]]
    assert warnings[-1]["asked"] == {"machines": 1, "zones": 1, "regions": 0}
    assert warnings[-1]["possible"] == {"machines": 1, "zones": 0, "regions": 0}
    lists = [tuple(one["voters"]) for one in warnings]
    assert len(lists) <= 4


def test_places_are_unknown_where_they_do_not_matter():
    group = build_group(FIVE, machines=2)
    members = group.members[group.find_leader()].replica.members
    assert not members.places


# By trying all losses

zones_of_members = st.lists(st.sampled_from("abcd"), min_size=1, max_size=7)


def build_members(zones):
    members = [Member(f"m{n}", f"d{n}") for n in range(len(zones))]
    return members, {
        m: Place(zone, "r1" if zone in "ab" else "r2")
        for m, zone in zip(members, zones, strict=True)
    }


def keeps_majority(members, places, lost):
    left = [m for m in members if places[m].zone not in lost]
    return len(left) * 2 > len(members)


@given(zones_of_members)
def test_tolerated_zones_leave_a_majority(zones):
    members, places = build_members(zones)
    tolerated = compute_tolerance(members, places).zones
    names = sorted(set(zones))
    for lost in itertools.combinations(names, min(tolerated, len(names))):
        assert keeps_majority(members, places, lost)
    if tolerated < len(names):
        losses = itertools.combinations(names, tolerated + 1)
        assert not all(keeps_majority(members, places, lost) for lost in losses)


@given(zones_of_members, st.integers(0, 2), st.integers(0, 2))
def test_voter_count_is_the_least_that_meets_the_demand(zones, machines, lost):
    members, places = build_members(zones)
    demand = Tolerance(machines=machines, zones=lost)
    count = choose_voter_count(members, places, demand)
    feasible = [
        size
        for size in range(demand.min_voters, len(members) + 1, 2)
        if any(
            not compute_excess(voters, places, demand)
            for voters in itertools.combinations(members, size)
        )
    ]
    assert count == (feasible[0] if feasible else demand.min_voters)
