"""One instance as a whole: control proposals and the spread of crash records."""

import msgspec
import pytest

from scalebend.core.claims import Claim
from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.crash_ledger import CRASHES_UNTIL_QUARANTINE
from scalebend.core.instance import Instance
from scalebend.core.membership import MAX_RUMOR_BYTES
from scalebend.core.messages import CrashRumor, Datagram
from scalebend.exceptions import ErrorKind
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Incarnation, InstanceId, Region, UpstreamId
from scalebend.models.settings import Listen, Role, Settings
from tests.lib.builders import ENTRY, ZONE, build_announcement, build_request


def finish_all_ready(instance, now, wall):
    entries = []
    while True:
        ready = instance.control.collect_ready(now)
        if ready.is_empty and not instance.control.has_outgoing:
            return entries
        entries += ready.committed
        instance.finish_control(ready, now, wall)


def test_claim_proposed_at_the_leader_has_the_wall_clock_time():
    settings = Settings(
        instance=InstanceId(ENTRY),
        region=Region("r"),
        availability_zone=ZONE,
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        roles=[Role.ENTRY, Role.CONTROL],
        data_folder="-",
    )
    recovered = Recovered(DiskId("d"), HardState(0, None), None, [])
    instance = Instance(settings, recovered, now=0.0, incarnation=1)
    for step in range(1, 40):
        instance.advance(step * 0.05, 5_000.0)
        finish_all_ready(instance, step * 0.05, 5_000.0)
    assert instance.read_readiness(2.0).is_ready
    instance.propose(Claim("c", "k", "f", "r1"), 2.0, 2.0, 5_001.0)
    (entry,) = finish_all_ready(instance, 2.0, 5_001.0)
    assert entry.at == 5_001.0


def build_instance(name):
    settings = Settings(
        instance=InstanceId(name),
        region=Region("r"),
        availability_zone=ZONE,
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
        roles=[Role.ENTRY],
    )
    return Instance(settings, None, now=0.0, incarnation=1)


def crash_engines(instance, request):
    for number in range(CRASHES_UNTIL_QUARANTINE):
        name = UpstreamId(f"engine-{number}")
        instance.entry.crashes.record_crash(request, name, Incarnation(1), 1.0)


def send_rumors(sender, receiver):
    sender.advance(1.0, 0.0)
    rumors = sender.membership.rumors.pop_batch(10_000)
    datagram = Datagram(sender.me, 1, False, 0, 0, rumors, [])
    receiver.handle_datagram(datagram, 1.0)


def test_crash_records_spread_to_all_instances():
    request = build_request("r", content="cause")
    first, second, third = (build_instance(name) for name in ("a", "b", "c"))
    crash_engines(first, request)
    send_rumors(first, second)
    send_rumors(second, third)
    assert (
        third.entry.crashes.find_quarantine(request, 1.0).kind
        is ErrorKind.ENDS_UPSTREAMS
    )
    # A later success clears the record at all instances.
    second.entry.crashes.record_completed(request, 1.0)
    send_rumors(second, first)
    assert first.entry.crashes.find_quarantine(request, 1.0) is None


def test_catalog_page_carries_crash_records():
    request = build_request("r", content="cause")
    first, starting = build_instance("a"), build_instance("b")
    crash_engines(first, request)
    starting.upstream_updates.apply_page(first.upstream_updates.build_page(), 2.0)
    assert starting.entry.crashes.find_quarantine(request, 2.0) is not None


def crash_engines_under_part(instance, count=5):
    request = build_request("r", parts=("m/cause",))
    for number in range(count):
        name = UpstreamId(f"engine-with-a-long-name-in-some-zone-{number}")
        sent = instance.entry.crashes.record_sent(request, name, Incarnation(1), 1.0)
        instance.entry.crashes.record_crash(request, name, Incarnation(1), 1.0, sent)


def test_crashes_under_a_part_spread_to_all_instances_in_small_rumors():
    request = build_request("other", parts=("m/cause",))
    first, second, third = (build_instance(name) for name in ("a", "b", "c"))
    crash_engines_under_part(first)
    first.advance(1.0, 0.0)
    assert all(
        len(msgspec.msgpack.encode(rumor)) < MAX_RUMOR_BYTES
        for _, rumor, _ in first.membership.rumors._queue.values()
    )
    send_rumors(first, second)
    send_rumors(second, third)
    for instance in (first, second, third):
        error = instance.entry.crashes.find_quarantine(request, 1.0)
        assert error.kind is ErrorKind.ENDS_UPSTREAMS
    # A later response clears the part at all instances.
    sent = third.entry.crashes.record_sent(request, "other", Incarnation(1), 200.0)
    third.entry.crashes.record_under_way(sent, 201.0)
    send_rumors(third, first)
    assert first.entry.crashes.find_quarantine(request, 201.0) is None


def respond_to_another_request(instance, name, now):
    request = build_request("sound", parts=("m/sound",))
    sent = instance.entry.crashes.record_sent(request, name, Incarnation(1), now)
    instance.entry.crashes.record_response(sent, now)


@pytest.mark.parametrize("has_restarted", [False, True])
def test_response_tells_a_lost_connection_from_a_crash_unless_the_engine_restarted(
    has_restarted,
):
    request = build_request("other", parts=("m/cause",))
    instance = build_instance("a")
    announcements = [build_announcement(f"engine-{number}") for number in range(5)]
    for one in announcements:
        instance.upstream_updates.apply_announcement(one, 1.0)
        sent = instance.entry.crashes.record_sent(
            request, one.upstream, one.incarnation, 1.0
        )
        instance.entry.crashes.record_crash(
            request, one.upstream, one.incarnation, 1.0, sent
        )
    assert instance.entry.crashes.find_quarantine(request, 1.0) is not None
    now = 1.1
    respond_to_another_request(instance, announcements[0].upstream, now)
    incarnation = Incarnation(1 + has_restarted)
    for sequence in range(1, 21):
        now += 0.5
        for one in announcements:
            running = msgspec.structs.replace(
                one, incarnation=incarnation, sequence=sequence
            )
            instance.upstream_updates.apply_announcement(running, now)
        instance.advance(now, now)
    quarantine = instance.entry.crashes.find_quarantine(request, now)
    assert (quarantine is not None) == has_restarted


def test_catalog_page_carries_the_parts_under_which_engines_crashed():
    first, starting = build_instance("a"), build_instance("b")
    crash_engines_under_part(first)
    starting.upstream_updates.apply_page(first.upstream_updates.build_page(), 2.0)
    assert starting.entry.crashes.parts.causes == {"m/cause"}


def test_instance_of_an_older_version_ignores_rumors_of_parts():
    class OlderRumor(msgspec.Struct, frozen=True, tag="x", array_like=True):
        record: CrashRecord

    first = build_instance("a")
    crash_engines_under_part(first)
    first.advance(1.0, 0.0)
    rumors = first.membership.rumors.pop_batch(10_000)
    decoder = msgspec.msgpack.Decoder(OlderRumor)
    for rumor in rumors:
        if isinstance(rumor, CrashRumor):
            decoded = decoder.decode(msgspec.msgpack.encode(rumor))
            assert not decoded.record.upstreams


@pytest.mark.parametrize(
    ("at_same_address", "may_send"), [(True, False), (False, True)]
)
def test_entry_applies_a_backoff_to_the_new_incarnation(at_same_address, may_send):
    instance = build_instance("a")
    first = build_announcement("engine-1")
    instance.upstream_updates.apply_announcement(first, 1.0)
    instance.entry.record_backoff(first.upstream, 2.1, 1.5)
    again = msgspec.structs.replace(
        first,
        incarnation=Incarnation(2),
        address=first.address if at_same_address else "10.1.64.99:8000",
    )
    instance.upstream_updates.apply_announcement(again, 1.72)
    assert instance.entry.placement.may_send(first.upstream, 1.8) == may_send
    assert instance.entry.placement.may_send(first.upstream, 3.7)
