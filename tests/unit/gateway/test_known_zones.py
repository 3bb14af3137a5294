"""Availability zones that orders may name: which stay known, which get 404 or 503."""

import msgspec
import pytest

from scalebend.core.control_state import Barrier, ControlState, encode_command
from scalebend.core.evacuations import MAX_WITHDRAWN_ZONES, MAX_ZONES, apply_order
from scalebend.core.gateway.control_actions import ProposalEnded
from scalebend.core.gateway.endpoint_directory import GONE_RETENTION_S
from scalebend.core.gateway.evacuation_push import LEARNING_HEARTBEATS
from scalebend.exceptions import RefusedError, RequestError, ScalebendError
from scalebend.models.evacuations import NO_EVACUATIONS, EvacuationOrder
from scalebend.models.ids import AvailabilityZone
from tests.lib.gateway_builders import build_endpoint
from tests.unit.gateway.test_control_instance import SingleMemberGroup

NEAR, FAR = AvailabilityZone("near"), AvailabilityZone("far")
EVACUATE, WITHDRAW = EvacuationOrder(FAR), EvacuationOrder(FAR, is_withdrawn=True)
LEARNING_S = LEARNING_HEARTBEATS * 1.2 + 1.0


def build_leader(*zones, seconds=2.0):
    group = SingleMemberGroup()
    group.run(seconds)
    register(group, *zones)
    group.run(2.0)
    return group


def register(group, *zones):
    for number, zone in enumerate(zones, 1):
        endpoint = build_endpoint(number, availability_zone=zone)
        group.instance.register(endpoint, group.now)


def restart(group):
    """Return the group after a restart with its log, its hint files lost."""
    again = SingleMemberGroup()
    again.instance.member.state.restore(group.instance.member.state.export())
    again.run(1.0)
    return again


def order(group, one):
    group.instance.propose_evacuation(one, group.now, 1_000.0)
    return [a.result.revision for a in group.pump() if isinstance(a, ProposalEnded)]


def test_zone_that_was_down_for_long_is_known_after_a_restart():
    group = build_leader(NEAR, FAR)
    for _ in range(int(GONE_RETENTION_S) + 10):
        register(group, NEAR)
        group.run(1.0)
    group = restart(group)
    register(group, NEAR)
    group.run(LEARNING_S)
    assert order(group, EVACUATE) == [1]


def test_withdrawal_that_changed_nothing_is_acknowledged_after_a_restart():
    group = build_leader(NEAR, seconds=LEARNING_S)
    register(group, FAR)
    assert order(group, WITHDRAW) == [0]
    group = restart(group)
    register(group, NEAR)
    group.run(LEARNING_S)
    assert order(group, WITHDRAW) == [0]


def test_zone_that_nobody_named_is_refused_for_good_once_learned():
    group = restart(build_leader(NEAR))
    register(group, NEAR)
    with pytest.raises(RefusedError):
        order(group, EVACUATE)
    group.run(LEARNING_S)
    with pytest.raises(RequestError) as caught:
        order(group, EVACUATE)
    assert caught.value.response.status == 404
    assert FAR not in group.instance.member.state.zones


def test_learning_counts_from_the_confirmed_lead():
    group = build_leader(NEAR, seconds=LEARNING_S)
    evacuations = group.instance.evacuations
    evacuations.record_lead(is_confirmed=False, now=group.now)
    # A new term: another leader's upstreams may not have been heard of here.
    evacuations.record_lead(is_confirmed=True, now=group.now)
    for wait, status in ((0.0, 503), (LEARNING_HEARTBEATS * 1.2, 404)):
        with pytest.raises(ScalebendError) as caught:
            evacuations.check(EVACUATE, [], (), group.now + wait)
        assert caught.value.response.status == status


def test_zone_is_proposed_once():
    group = build_leader(NEAR, FAR)
    index = group.instance.member.replica.log.last_index
    assert group.instance.member.state.zones == (FAR, NEAR)
    group.run(5.0)
    assert group.instance.member.replica.log.last_index == index


def test_zones_in_the_log_are_bounded():
    state = ControlState()
    zones = tuple(AvailabilityZone(f"z-{n}") for n in range(MAX_ZONES))
    state.apply(encode_command(Barrier(zones=zones)), 1.0)
    state.apply(encode_command(Barrier(EVACUATE)), 1.0)
    assert len(state.zones) == MAX_ZONES and state.zones[-1] == FAR
    group = build_leader(NEAR)
    group.instance.member.state.restore(state.export())
    group.run(3.0)
    assert group.instance.member.state.zones == state.zones


def test_zone_of_a_live_upstream_is_known_beyond_the_bounds():
    group = build_leader(NEAR, seconds=LEARNING_S)
    zones = (AvailabilityZone(f"z-{n}") for n in range(MAX_ZONES))
    group.instance.directory.zones.update(zones)
    group.run(2.0)
    with pytest.raises(RequestError):
        order(group, EVACUATE)
    register(group, NEAR, FAR)
    assert FAR not in group.instance.directory.zones
    assert order(group, EVACUATE) == [1]


def test_list_keeps_evacuated_zones_and_the_last_withdrawn():
    held = apply_order(NO_EVACUATIONS, EVACUATE, 0.0)
    for number in range(MAX_WITHDRAWN_ZONES + 9):
        zone = AvailabilityZone(f"z-{number}")
        for is_withdrawn in (False, True):
            held = apply_order(held, EvacuationOrder(zone, is_withdrawn), 0.0)
    assert len(held.zones) == MAX_WITHDRAWN_ZONES + 1
    assert held.evacuated == {FAR}
    assert held.find(AvailabilityZone("z-8")) is None
    assert held.find(AvailabilityZone("z-9")).is_withdrawn


def test_snapshot_without_zones_is_read():
    state = ControlState()
    state.apply(encode_command(Barrier(zones=(NEAR, FAR, NEAR))), 1.0)
    stored = msgspec.msgpack.decode(state.export())
    restored = ControlState()
    restored.restore(state.export())
    assert restored.zones == (NEAR, FAR)
    del stored["zones"]
    restored.restore(msgspec.msgpack.encode(stored))
    assert restored.zones == ()
