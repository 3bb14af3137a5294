"""Evacuation orders in the replicated log: kept through losses, read by versions."""

import msgspec
import pytest

from scalebend.core.control_state import (
    Barrier,
    ControlState,
    Done,
    EvacuationResult,
    PutRouting,
    SetInstances,
    decode_command,
    encode_command,
)
from scalebend.core.gateway.messages import ControlStatus, Introduce
from scalebend.models.evacuations import NO_EVACUATIONS, EvacuationOrder
from scalebend.models.gateway_settings import GatewayRole
from scalebend.models.ids import AvailabilityZone, InstanceId, Term
from tests.lib.control_group import ControlGroup
from tests.unit.test_control_group import commit

ZONE = AvailabilityZone("far")
EVACUATE = Barrier(EvacuationOrder(ZONE))
WITHDRAW = Barrier(EvacuationOrder(ZONE, is_withdrawn=True))
NAMES = ("a", "b", "c", "d", "e")


def build_group():
    group = ControlGroup(NAMES, seeds=NAMES[:3], voters_wanted=5)
    group.settle()
    group.is_first_start = False
    return group


def run(group, seconds):
    for _ in range(int(seconds / 0.1)):
        group.advance(0.1)
        group.deliver_all()


def read_all(group):
    return {member.state.evacuations for member in group.members.values()}


def test_same_order_again_has_the_same_result():
    group = build_group()
    assert commit(group, "first", EVACUATE) == EvacuationResult(1)
    # The answer was lost, and a new leader gets the order.
    group.crash(group.find_leader())
    assert commit(group, "again", EVACUATE) == EvacuationResult(1)
    assert commit(group, "back", WITHDRAW) == EvacuationResult(2)
    group.settle()
    (held,) = read_all(group)
    assert (held.revision, held.evacuated) == (2, frozenset())


def test_crossing_orders_end_alike_everywhere():
    group = build_group()
    leader = group.find_leader()
    group.propose(leader, "one", EVACUATE)
    group.propose(leader, "two", WITHDRAW)
    group.propose(leader, "three", EVACUATE)
    run(group, 1.0)
    assert group.results["three"] == EvacuationResult(3)
    (held,) = read_all(group)
    assert held.evacuated == {ZONE}


def test_acknowledged_order_outlives_the_power_of_all_members():
    group = build_group()
    commit(group, "first", EVACUATE)
    for name in NAMES:
        group.crash(name)
    group.settle()
    assert {held.evacuated for held in read_all(group)} == {frozenset({ZONE})}


@pytest.mark.parametrize("has_snapshot", [False, True])
def test_acknowledged_order_outlives_wiped_disks(has_snapshot):
    group = build_group()
    commit(group, "first", EVACUATE)
    for number in range(20 if has_snapshot else 0):
        commit(group, f"later-{number}", Barrier())
    assert any(disk.snapshot for disk in group.disks.values()) or not has_snapshot
    group.replace_disk(group.find_leader())
    group.replace_disk("e" if "e" in group.members else "d")
    run(group, 12.0)
    assert {held.evacuated for held in read_all(group)} == {frozenset({ZONE})}


def test_order_without_a_quorum_has_no_result_and_changes_nothing():
    group = build_group()
    leader = group.find_leader()
    group.isolated.add(leader)
    group.propose(leader, "lost", EVACUATE)
    run(group, 3.0)
    assert "lost" not in group.results
    group.settle()
    assert read_all(group) == {NO_EVACUATIONS}


# The version before


class OldBarrier(msgspec.Struct, frozen=True, tag="Barrier"):
    """The command as the version before declares it."""


def test_member_of_the_version_before_reads_an_order_as_a_barrier():
    old = msgspec.msgpack.Decoder(SetInstances | PutRouting | OldBarrier)
    assert old.decode(encode_command(EVACUATE)) == OldBarrier()
    # An unknown command would not be decoded, and never be applied.

    class Unknown(msgspec.Struct, frozen=True, tag="EvacuateZone"):
        zone: str

    with pytest.raises(msgspec.ValidationError):
        old.decode(msgspec.msgpack.encode(Unknown(ZONE)))


def test_order_without_the_revision_held_is_read():
    data = msgspec.msgpack.encode(
        {"type": "Barrier", "evacuation": {"availability_zone": ZONE}}
    )
    assert decode_command(data) == EVACUATE
    assert EVACUATE.evacuation.held == 0


def test_log_of_the_version_before_is_read():
    data = msgspec.msgpack.encode(OldBarrier())
    assert decode_command(data) == Barrier()
    state = ControlState()
    assert state.apply(data, 1.0) == Done(0, 0)
    assert state.evacuations == NO_EVACUATIONS


def test_snapshots_are_read_in_both_directions():
    state = ControlState()
    state.apply(encode_command(EVACUATE), 1.0)
    stored = msgspec.msgpack.decode(state.export())
    restored = ControlState()
    restored.restore(state.export())
    assert restored.evacuations == state.evacuations
    del stored["evacuations"]
    restored.restore(msgspec.msgpack.encode(stored))
    assert restored.evacuations == NO_EVACUATIONS


class OldIntroduce(msgspec.Struct, frozen=True, tag="Introduce"):
    instance: InstanceId
    incarnation: int
    role: GatewayRole


class OldStatus(msgspec.Struct, frozen=True, tag="ControlNews"):
    instances: list[InstanceId]
    leader: InstanceId | None
    term: Term
    fronts: int


def test_messages_are_read_in_both_directions():
    state = ControlState()
    state.apply(encode_command(EVACUATE), 1.0)
    status = ControlStatus(["a"], "a", 3, 2, evacuations=state.evacuations)
    data = msgspec.msgpack.encode(status)
    assert msgspec.msgpack.decode(data, type=ControlStatus) == status
    assert msgspec.msgpack.decode(data, type=OldStatus) == OldStatus(["a"], "a", 3, 2)
    old = msgspec.msgpack.encode(OldStatus(["a"], "a", 3, 2))
    assert msgspec.msgpack.decode(old, type=ControlStatus).evacuations is None
    introduction = Introduce("a", 1, GatewayRole.CONTROL, knows_evacuations=True)
    data = msgspec.msgpack.encode(introduction)
    before = OldIntroduce("a", 1, GatewayRole.CONTROL)
    assert msgspec.msgpack.decode(data, type=OldIntroduce) == before
    old = msgspec.msgpack.encode(before)
    assert not msgspec.msgpack.decode(old, type=Introduce).knows_evacuations
