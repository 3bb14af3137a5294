"""A restarted upstream is a new incarnation, to which no earlier state applies.

Sequence numbers start again with each incarnation; the start time orders incarnations.
"""

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.front_actions import EndAttempts
from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.outlier_detector import OutlierDetector
from scalebend.models.endpoints import (
    Deregistration,
    EndpointUpdate,
    UpstreamOutcomes,
    build_upstream_id,
    get_upstream_born,
    get_upstream_name,
)
from scalebend.models.placement import ReplicaPace
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_endpoint,
    build_quick,
    build_settings,
)

BORN = 1_764_722_395_000


def build_incarnation(incarnation, number=1, **changes):
    """Build an endpoint of an incarnation; incarnation 0 has no start time."""
    born = BORN + incarnation if incarnation else None
    upstream = build_upstream_id(f"i-{number}", born)
    return build_endpoint(number, upstream=upstream, born=born, **changes)


def list_ids(directory):
    return {endpoint.upstream for endpoint in directory.list_usable(SERVICE)}


def id_of(incarnation, number=1):
    return build_incarnation(incarnation, number).upstream


def test_id_contains_name_and_start_time():
    upstream = id_of(3)
    assert get_upstream_name(upstream) == "i-1"
    assert get_upstream_born(upstream) == BORN + 3
    assert get_upstream_name("i-1") == "i-1"
    assert get_upstream_born("i-1") is None


def test_next_incarnation_is_usable_though_its_sequence_restarts():
    directory = EndpointDirectory(10.0)
    directory.register(build_incarnation(1, sequence=40), 0.0)
    assert directory.register(build_incarnation(2, sequence=1), 1.0) is not None
    assert list_ids(directory) == {id_of(2)}


def test_next_incarnation_is_usable_after_any_end_of_the_previous_one():
    ends = [
        lambda d: d.register(build_incarnation(1, sequence=41, is_draining=True), 1.0),
        lambda d: d.deregister(Deregistration("i-1", None), 1.0),
        lambda d: d.deregister(Deregistration("i-1", BORN + 1), 1.0),
        lambda d: d.expire(11.0),
        lambda d: None,
    ]
    for end in ends:
        directory = EndpointDirectory(10.0)
        directory.register(build_incarnation(1, sequence=40), 0.0)
        end(directory)
        directory.register(build_incarnation(2), 12.0)
        assert list_ids(directory) == {id_of(2)}


def test_late_updates_of_an_earlier_incarnation_are_ignored():
    directory = EndpointDirectory(10.0)
    directory.register(build_incarnation(1, sequence=40), 0.0)
    directory.register(build_incarnation(2), 1.0)
    late = build_incarnation(1, sequence=99, is_draining=True)
    assert directory.register(late, 1.5) is None
    assert directory.deregister(Deregistration("i-1", BORN + 1), 1.5) is None
    assert directory.merge(EndpointUpdate(late, is_gone=True), 1.5) is None
    # From another source, or from before the platform reported start times.
    assert directory.register(build_incarnation(0, sequence=99), 1.5) is None
    assert list_ids(directory) == {id_of(2)}


def test_incarnations_may_change_address_and_return_to_the_first():
    directory = EndpointDirectory(10.0)
    directory.register(build_incarnation(1, address="10.1.64.1:1"), 0.0)
    directory.register(build_incarnation(2, address="10.1.64.2:2"), 1.0)
    (endpoint,) = directory.list_usable(SERVICE)
    assert endpoint.address == "10.1.64.2:2"
    directory.register(build_incarnation(3, address="10.1.64.1:1"), 2.0)
    (endpoint,) = directory.list_usable(SERVICE)
    assert (endpoint.upstream, endpoint.address) == (id_of(3), "10.1.64.1:1")


def test_upstream_without_a_start_time_stays_deregistered():
    directory = EndpointDirectory(10.0)
    directory.register(build_incarnation(0, sequence=4), 0.0)
    assert directory.register(build_incarnation(0, sequence=3), 1.0) is None
    directory.deregister(Deregistration("i-1", None), 2.0)
    assert directory.register(build_incarnation(0, sequence=9), 3.0) is None
    assert not list_ids(directory)


def test_scheduler_state_of_an_incarnation_does_not_apply_to_the_next():
    scheduler = EngineScheduler()
    old, new = build_incarnation(1), build_incarnation(2)
    work = build_quick(1)
    scheduler.place(work, (old,), PROFILE, 0.0)
    scheduler.record_failure(old.upstream, 0.0)
    scheduler.record_pace(ReplicaPace(old.upstream, 4.0), 0.0)
    expected = EngineScheduler().place(build_quick(2), (new,), PROFILE, 0.1)
    after = scheduler.place(build_quick(2), (new,), PROFILE, 0.1)
    assert after == expected
    assert new.upstream not in scheduler.summarise(0.2).suspect
    # A late failure of the old incarnation does not affect the new one.
    scheduler.record_failure(old.upstream, 0.2)
    assert scheduler.summarise(0.2).suspect == [old.upstream]


def test_failures_of_an_incarnation_do_not_eject_the_next():
    outliers = OutlierDetector()
    outliers.record(UpstreamOutcomes(id_of(1), 0, 9), SERVICE, 6, 0.0)
    assert [one.upstream for one in outliers.list_ejections(0.1)] == [id_of(1)]
    outliers.record(UpstreamOutcomes(id_of(2), 3, 0), SERVICE, 6, 0.2)
    assert id_of(2) not in [one.upstream for one in outliers.list_ejections(0.3)]


def test_front_ends_attempts_on_a_superseded_incarnation():
    front = FrontInstance(build_settings(), now=0.0)
    first = EndpointChanges([EndpointUpdate(build_incarnation(1), is_gone=False)])
    assert front.handle("c", first, 0.0) == []
    again = EndpointChanges([EndpointUpdate(build_incarnation(2), is_gone=False)])
    assert front.handle("c", again, 1.0) == [EndAttempts([id_of(1)])]
    # Repeated by another control instance, and out of order.
    assert front.handle("c", again, 1.1) == []
    assert front.handle("c", first, 1.2) == []


def test_draining_upstream_finishes_its_attempts():
    front = FrontInstance(build_settings(), now=0.0)
    front.handle(
        "c", EndpointChanges([EndpointUpdate(build_incarnation(1), False)]), 0.0
    )
    drains = build_incarnation(1, sequence=2, is_draining=True)
    for news in (EndpointUpdate(drains, False), EndpointUpdate(drains, True)):
        assert front.handle("c", EndpointChanges([news]), 1.0) == []


class Incarnations(RuleBasedStateMachine):
    """Two control instances and a front; messages are delayed, repeated, reordered."""

    sent = Bundle("sent")

    def __init__(self):
        super().__init__()
        self.controls = [EndpointDirectory(1_000.0) for _ in range(2)]
        self.front = EndpointDirectory(1_000.0, registrations_to_regain_address=1)
        self.to_peers = []
        self.to_front = []
        self.incarnation = 1
        self.sequence = 0
        self.address = "10.1.64.1:1"
        self.newest_seen = {}
        """By control instance, the newest incarnation that it has received."""

        self.drained = set()
        """Incarnations that drain or deregistered, as some control instance knows."""

    def record_newest(self, number, incarnation, change):
        self.newest_seen[number] = max(self.newest_seen.get(number, 0), incarnation)
        if change is not None:
            self.to_front.append(change)

    @rule(target=sent, drains=st.booleans())
    def send_registration(self, drains):
        self.sequence += 1
        return build_incarnation(
            self.incarnation,
            sequence=self.sequence,
            is_draining=drains,
            address=self.address,
        )

    @rule(changes_address=st.booleans())
    def restart(self, changes_address):
        self.incarnation += 1
        self.sequence = 0
        if changes_address:
            self.address = f"10.1.64.1:{self.incarnation}"

    @rule(message=sent, number=st.integers(0, 1))
    def deliver(self, message, number):
        incarnation = message.born - BORN
        change = self.controls[number].register(message, 0.0)
        self.record_newest(number, incarnation, change)
        known = self.controls[number].get(message.upstream)
        if known is not None:
            self.to_peers.append((1 - number, EndpointUpdate(known, is_gone=False)))
        if message.is_draining:
            self.drained.add(incarnation)

    @rule(message=sent, number=st.integers(0, 1))
    def leave(self, message, number):
        change = self.controls[number].deregister(
            Deregistration("i-1", message.born), 0.0
        )
        if change is not None:
            self.drained.add(message.born - BORN)
            self.to_peers.append((1 - number, change))
            self.to_front.append(change)

    @rule(data=st.data(), is_kept=st.booleans())
    def pass_on(self, data, is_kept):
        if not self.to_peers:
            return
        position = data.draw(st.integers(0, len(self.to_peers) - 1))
        number, news = self.to_peers[position]
        if not is_kept:
            del self.to_peers[position]
        change = self.controls[number].merge(news, 0.0)
        self.record_newest(number, news.endpoint.born - BORN, change)

    @rule(data=st.data())
    def update_front(self, data):
        if self.to_front:
            position = data.draw(st.integers(0, len(self.to_front) - 1))
            self.front.merge(self.to_front[position], 0.0)

    @invariant()
    def only_the_newest_incarnation_is_used(self):
        for number, control in enumerate(self.controls):
            incarnations = {e.born - BORN for e in control.list_usable(SERVICE)}
            assert incarnations <= {self.newest_seen.get(number, 0)}

    def teardown(self):
        for number, news in self.to_peers:
            change = self.controls[number].merge(news, 0.0)
            self.record_newest(number, news.endpoint.born - BORN, change)
        for news in self.to_front:
            self.front.merge(news, 0.0)
        newest = max(self.newest_seen.values(), default=0)
        expected = {id_of(newest)} if newest and newest not in self.drained else set()
        for directory in (*self.controls, self.front):
            if directory is self.front or self.newest_seen.get(
                self.controls.index(directory)
            ):
                assert list_ids(directory) == expected
        fresh = EndpointDirectory(1_000.0)
        for news in self.front.list_updates():
            data = msgspec.msgpack.encode(news)
            fresh.merge(msgspec.msgpack.decode(data, type=EndpointUpdate), 0.0)
        assert list_ids(fresh) == expected


TestIncarnations = Incarnations.TestCase
TestIncarnations.settings = settings(deadline=None)
