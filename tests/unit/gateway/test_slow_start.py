"""Cold replicas under load: no more in any second than they may get, summed over all.

The load is that of the callers of warm replicas when some of these turn cold: far more
than a cold one takes, with short responses, so that its slots don't bound it.
"""

import math

import msgspec
import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.job_permits import JobPermits
from scalebend.core.gateway.slow_start import (
    CEILING_BURST_S,
    CEILING_PERMIT_LIFETIME_S,
    UNCOORDINATED_INTERVAL_S,
    SlowStarts,
    build_ceiling,
)
from scalebend.core.gateway.slow_start_budget import AssignedCeilings
from scalebend.core.send_budget import MIN_RATE_PER_S
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import JobId, Placement
from scalebend.models.slow_start import SlowStart
from tests.lib.gateway_builders import build_endpoint, build_routing, build_service
from tests.lib.gateway_group import LEADER
from tests.lib.slow_start_load import ALLOWED, SLOW_START, SlowStartLoad

FRONTS = 8

LONG_SLOW_START = SlowStart(cold_s=60.0, rate=5.0)
"""Cold for the whole test: a stated time counts no longer than the service states."""


def test_cold_replica_gets_no_more_than_allowed_in_any_second():
    load = SlowStartLoad(FRONTS, 6, rate=200.0)
    load.run(2.0)
    cold = load.names[0]
    since = load.now
    load.turn_cold([cold])
    load.run(SLOW_START.cold_s)
    assert load.count_most(cold, since) <= ALLOWED


def test_replica_gets_no_more_before_its_registration_says_that_it_is_cold():
    load = SlowStartLoad(FRONTS, 6, rate=200.0)
    load.run(5.0)
    assert load.count_worst() <= ALLOWED


def build_load(rate=200.0, fronts=FRONTS, engines=6, **changes):
    load = SlowStartLoad(fronts, engines, rate=rate, **changes)
    load.run(2.0)
    return load


def test_bound_holds_while_the_leader_is_lost_and_replaced():
    load = build_load()
    load.turn_cold(load.names[:3])
    load.deployment.lose_leader()
    since = load.now
    load.run(1.5)
    assert load.count_all_since(since) > 0
    for _ in range(3):
        load.deployment.replace_leader()
        load.run(1.0)
        load.deployment.lose_leader()
        load.run(0.5)
    assert load.count_worst() <= ALLOWED


@pytest.mark.parametrize("is_noticed", [True, False])
@pytest.mark.parametrize("cut", [1, 4, 7])
def test_bound_holds_while_fronts_are_cut_off(cut, is_noticed):
    load = build_load()
    load.turn_cold(load.names[:3])
    for number in range(cut):
        load.deployment.cut_front(number, is_noticed=is_noticed)
    load.run(3.0)
    for number in range(cut):
        load.deployment.link_front(number)
    load.run(2.0)
    assert load.count_worst() <= ALLOWED


def test_bound_holds_for_fronts_cut_off_under_the_previous_leader():
    load = build_load()
    load.deployment.cut_front(2, is_noticed=True)
    load.run(1.0)
    load.deployment.lose_leader()
    load.run(0.5)
    load.deployment.replace_leader()
    load.deployment.fronts[2].remove_link(LEADER)
    load.deployment.leader.remove_front(load.deployment.names[2], load.now)
    load.run(1.0)
    load.deployment.lose_leader()
    load.run(3.0)
    assert load.count_worst() <= ALLOWED


def test_twenty_replicas_cold_at_once_are_used_within_the_bound():
    load = build_load(rate=250.0, fronts=12, engines=20, slow_start=LONG_SLOW_START)
    load.turn_cold(load.names, seconds=60.0)
    load.run(2.0)
    since = load.now
    load.run(5.0)
    assert load.count_worst() <= ALLOWED
    for name in load.names:
        assert load.count_since(name, since) >= 0.8 * SLOW_START.rate * 5.0


def test_cold_replicas_of_large_fleets_are_used_within_the_bound():
    slow_start = SlowStart(cold_s=60.0, rate=17.0)
    load = build_load(rate=400.0, fronts=20, engines=12, slow_start=slow_start)
    load.turn_cold(load.names, seconds=60.0)
    load.run(2.0)
    since = load.now
    load.run(5.0)
    for name in load.names:
        assert load.count_since(name, since) >= 0.8 * 17.0 * 5.0
    load.deployment.lose_leader()
    load.run(1.0)
    assert load.count_worst() <= 30


def test_restart_of_all_serves_from_cold_replicas():
    load = build_load(slow_start=LONG_SLOW_START)
    load.turn_cold(load.names, seconds=60.0)
    load.deployment.lose_leader()
    load.deployment.replace_leader()
    since = load.now
    load.run(4.0)
    assert load.count_worst() <= ALLOWED
    assert load.count_all_since(since) >= 0.8 * SLOW_START.rate * 6 * 3.0


def test_new_leader_leaves_its_first_moments_to_the_fronts():
    load = build_load()
    since = load.now
    for _ in range(8):
        # As if elected again and again, without knowing its earlier grants.
        load.deployment.leader.placement.start_term([], load.now)
        load.run(0.3)
    assert 0 < load.count_all_since(since)
    assert load.count_worst() <= ALLOWED
    load.run(1.0)
    granted_since = load.now
    load.run(1.0)
    assert load.count_all_since(granted_since) >= 0.8 * SLOW_START.rate * 6


def test_refused_callers_learn_when_to_return():
    load = build_load(rate=400.0, slow_start=LONG_SLOW_START)
    load.turn_cold(load.names, seconds=60.0)
    load.run(3.0)
    load.deployment.lose_leader()
    load.run(1.0)
    assert load.declined
    assert all(0.0 < delay <= UNCOORDINATED_INTERVAL_S for _, delay in load.declined)


def test_warm_replicas_come_first_while_they_have_room():
    load = build_load(rate=10.0, slow_start=LONG_SLOW_START)
    cold = load.names[:3]
    load.turn_cold(cold, seconds=60.0)
    load.run(2.0)
    since = load.now
    load.run(10.0)
    assert sum(load.count_since(one, since) for one in cold) == 0
    assert not load.declined


def test_replica_is_used_like_others_within_a_second_of_being_warm():
    load = build_load(rate=12.0, engines=1, response_s=0.05)
    load.turn_cold(load.names, seconds=3.0)
    load.run(4.0)
    since = load.now
    load.declined.clear()
    load.run(4.0)
    (name,) = load.names
    ceiling = load.deployment.leader.limits.starts.get(name)
    assert load.count_all_since(since) >= 0.9 * ceiling.rate * 4.0


def test_huge_cold_time_of_another_writer_counts_no_longer_than_the_service_states():
    load = build_load(rate=10.0)
    name = load.names[0]
    load.turn_cold([name], seconds=1e12)
    load.run(1.3)
    starts = load.deployment.fronts[0].limits.starts
    assert starts.is_cold(name, load.now)
    load.deployment.cold_until.clear()
    assert not starts.is_cold(name, load.now + SLOW_START.cold_s + 1.3)


def test_services_without_slow_start_are_served_as_before():
    plain = build_load(slow_start=None)
    reported_cold = build_load(slow_start=None)
    reported_cold.turn_cold(reported_cold.names[:3])
    plain.run(3.0)
    reported_cold.run(3.0)
    assert plain.sent == reported_cold.sent
    assert plain.count_worst() > ALLOWED
    front = plain.deployment.fronts[0]
    assert not front.limits.needs_permit(plain.names[0])
    assert front.limits.starts.list_cold(plain.now) == ()


@given(
    rate=st.floats(0.1, 1_000.0),
    excess=st.floats(1.0, 10.0),
    slack=st.floats(0.0, 100.0),
)
def test_parts_of_the_ceiling_stay_within_the_bound(rate, excess, slack):
    bounds = Bounds(slow_start_excess=excess, slow_start_slack=slack)
    ceiling = build_ceiling(SlowStart(3.0, rate), bounds)
    if ceiling.rate <= MIN_RATE_PER_S:
        # Less than one in a long time, so that the replica is found warm some day.
        assert ceiling.uncoordinated_fronts == 0
        return
    window = 1.0 + CEILING_PERMIT_LIFETIME_S
    burst = max(CEILING_BURST_S * ceiling.rate, 1.0)
    granted = ceiling.rate * window + burst + 1.0
    total = granted + 2 * ceiling.uncoordinated_fronts
    assert total <= rate * excess + slack + 1e-6


@given(fronts=st.integers(1, 400), upstream=st.text(min_size=1, max_size=8))
def test_few_fronts_are_assigned_to_each_replica(fronts, upstream):
    ceiling = build_ceiling(SlowStart(3.0, 17.0), Bounds())
    directory = EndpointDirectory(10.0)
    directory.register(build_endpoint(upstream=UpstreamId(upstream)), 0.0)
    starts = SlowStarts(directory, Bounds())
    service = build_service(slow_start=SlowStart(3.0, 17.0))
    starts.apply(build_routing(services=[service]))
    assigned = [
        number
        for number in range(fronts)
        if AssignedCeilings(starts, fronts, number).compute_wait(upstream, 0.0) == 0.0
    ]
    assert len(assigned) <= ceiling.uncoordinated_fronts


def test_front_without_a_number_sends_nothing_uncoordinated():
    load = build_load(rate=0.1)
    ceilings = AssignedCeilings(load.deployment.fronts[0].limits.starts)
    assert ceilings.compute_wait(load.names[0], load.now) == math.inf


def test_permit_of_a_suspended_front_is_not_used_late():
    permits = JobPermits()
    job = JobId("front-1-1")
    placement = Placement(UpstreamId("i-1"), "10.0.0.1:80", (), 0.2, start_in=0.1)
    permits.record(job, placement, 5.0)
    assert permits.is_valid(job, 5.1 + CEILING_PERMIT_LIFETIME_S)
    assert not permits.is_valid(job, 5.2 + CEILING_PERMIT_LIFETIME_S)
    later = msgspec.structs.replace(placement, start_in=1.0)
    permits.record(job, later, 5.2)
    assert not permits.is_valid(job, 5.2)
    permits.forget(job)
    assert not permits.is_valid(job, 5.2)


@pytest.mark.parametrize("rate", [1.0, 2.0, 5.0, 10.0, 17.0, 20.0, 50.0, 100.0])
def test_leader_grants_at_least_the_stated_rate(rate):
    ceiling = build_ceiling(SlowStart(3.0, rate), Bounds())
    assert ceiling.rate >= ceiling.cold_rate >= rate
    assert ceiling.uncoordinated_fronts >= 1


@pytest.mark.parametrize("is_cold", [False, True])
def test_replicas_get_the_stated_rate_under_need(is_cold):
    slow_start = SlowStart(cold_s=60.0, rate=17.0)
    load = build_load(slow_start=slow_start)
    if is_cold:
        load.turn_cold(load.names, 60.0)
        load.run(1.5)
    since = load.now
    load.run(3.0)
    assert load.count_all_since(since) >= (0.9 if is_cold else 1.0) * 17.0 * 6 * 3.0
    assert load.count_worst() <= 30
