"""Placements whose replicas start to drain before the prefill starts."""

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
def test_remaining_replicas_take_over_and_keep_the_start(helpers, drained):
    placement = build_placement(helpers)
    draining = {f"i-{n}" for n in drained} & set(placement.upstreams)
    repaired = drop_replicas(placement, draining)
    remaining = [one for one in placement.upstreams if one not in draining]
    if len(remaining) < MIN_REMAINING_SHARE * (1 + helpers):
        assert repaired is None
        return
    assert sorted(repaired.upstreams) == sorted(remaining)
    assert repaired.address == f"address-{repaired.upstream.removeprefix('i-')}"
    assert repaired.start_in == placement.start_in
    expected = (1 + helpers) / len(remaining)
    assert repaired.first_token_in - repaired.start_in == pytest.approx(expected)


def test_draining_helper_with_reserved_memory_voids_the_placement():
    placement = build_placement(4, tokens=1_000)
    assert drop_replicas(placement, {"i-2"}) is None


def test_helper_with_reserved_memory_does_not_become_the_lead():
    assert drop_replicas(build_placement(4, tokens=1_000), {"i-0"}) is None


def test_helper_becomes_the_lead_if_the_lead_drains():
    repaired = drop_replicas(build_placement(4), {"i-0"})
    assert repaired.upstream == "i-1"
    assert [helper.upstream for helper in repaired.helpers] == ["i-2", "i-3", "i-4"]
