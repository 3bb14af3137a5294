"""Placements whose replicas begin to leave before their turn."""

import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.placement_repair import MIN_REMAINING_SHARE, drop_replicas
from scalebend.models.placement import Helper, Placement


def build_placement(helpers, tokens=0):
    return Placement(
        "i-0",
        "address-0",
        tuple(Helper(f"i-{n}", f"address-{n}", tokens) for n in range(1, helpers + 1)),
        first_token_in=3.0,
        start_in=2.0,
    )


@given(st.integers(0, 16), st.sets(st.integers(0, 16)))
def test_who_leaves_reads_nothing_and_who_stays_keeps_the_time(helpers, gone):
    placement = build_placement(helpers)
    left = {f"i-{n}" for n in gone} & set(placement.upstreams)
    kept = drop_replicas(placement, left)
    staying = [one for one in placement.upstreams if one not in left]
    if len(staying) < MIN_REMAINING_SHARE * (1 + helpers):
        assert kept is None
        return
    assert sorted(kept.upstreams) == sorted(staying)
    assert kept.address == f"address-{kept.upstream.removeprefix('i-')}"
    assert kept.start_in == placement.start_in
    expected = (1 + helpers) / len(staying)
    assert kept.first_token_in - kept.start_in == pytest.approx(expected)


def test_planned_memory_that_leaves_makes_it_void():
    placement = build_placement(4, tokens=1_000)
    assert drop_replicas(placement, {"i-2"}) is None


def test_who_holds_memory_for_another_does_not_become_the_writer():
    assert drop_replicas(build_placement(4, tokens=1_000), {"i-0"}) is None


def test_another_replica_writes_if_the_first_leaves():
    kept = drop_replicas(build_placement(4), {"i-0"})
    assert kept.upstream == "i-1"
    assert [helper.upstream for helper in kept.helpers] == ["i-2", "i-3", "i-4"]
