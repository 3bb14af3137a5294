"""The endpoint directory: late or reordered updates, and reused addresses."""

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.models.endpoints import EndpointUpdate
from tests.lib.gateway_builders import SERVICE, build_endpoint


def list_ids(directory):
    return {endpoint.upstream for endpoint in directory.list_usable(SERVICE)}


def test_late_registration_does_not_undo_draining():
    directory = EndpointDirectory(10.0)
    directory.register(build_endpoint(sequence=2, is_draining=True), 0.0)
    assert directory.register(build_endpoint(sequence=1), 1.0) is None
    assert not list_ids(directory)


def test_deregistered_upstream_never_returns_under_its_id():
    directory = EndpointDirectory(10.0)
    directory.register(build_endpoint(), 0.0)
    directory.remove("i-1", 1.0)
    assert directory.register(build_endpoint(sequence=9), 2.0) is None
    assert not list_ids(directory)
    assert directory.get("i-1") is None


def test_timed_out_upstream_returns_when_it_registers_again():
    directory = EndpointDirectory(10.0)
    directory.register(build_endpoint(), 0.0)
    assert directory.expire(10.5)[0].is_gone
    assert not list_ids(directory)
    assert directory.register(build_endpoint(sequence=2), 11.0) is not None
    assert list_ids(directory) == {"i-1"}


def test_registration_without_a_change_is_not_published():
    directory = EndpointDirectory(10.0)
    assert directory.register(build_endpoint(), 0.0) is not None
    assert directory.register(build_endpoint(sequence=2), 1.0) is None


def test_timeout_at_a_peer_does_not_override_a_newer_registration():
    directory = EndpointDirectory(10.0)
    directory.register(build_endpoint(sequence=5), 0.0)
    stale = EndpointUpdate(build_endpoint(sequence=3), is_gone=True)
    assert directory.merge(stale, 1.0) is None
    assert list_ids(directory) == {"i-1"}


class TwoDirectories(RuleBasedStateMachine):
    """One receives registrations, its peer the resulting updates in any order."""

    def __init__(self):
        super().__init__()
        self.receiver = EndpointDirectory(1_000.0)
        self.peer = EndpointDirectory(1_000.0)
        self.news = []
        self.sequence = 0
        self.has_left = False

    def publish(self, news):
        if news is not None:
            self.news.append(news)

    @rule(lag=st.integers(0, 3), drains=st.booleans())
    def register(self, lag, drains):
        self.sequence += 1
        number = max(1, self.sequence - lag)
        endpoint = build_endpoint(sequence=number, is_draining=drains)
        self.publish(self.receiver.register(endpoint, 0.0))
        self.has_left |= drains and number == self.sequence

    @rule()
    def leave(self):
        self.publish(self.receiver.remove("i-1", 0.0))
        self.has_left |= self.sequence > 0

    @rule(data=st.data())
    def deliver(self, data):
        if self.news:
            position = data.draw(st.integers(0, len(self.news) - 1))
            self.peer.merge(self.news[position], 0.0)

    @invariant()
    def draining_is_final(self):
        if self.has_left:
            assert not list_ids(self.receiver)

    def teardown(self):
        for news in self.news:
            self.peer.merge(news, 0.0)
        assert list_ids(self.peer) == list_ids(self.receiver)
        # A process that starts now ends with the same upstreams.
        fresh = EndpointDirectory(1_000.0)
        for news in self.receiver.list_updates():
            copy = msgspec.msgpack.decode(
                msgspec.msgpack.encode(news), type=EndpointUpdate
            )
            fresh.merge(copy, 0.0)
        assert list_ids(fresh) == list_ids(self.receiver)


TestTwoDirectories = TwoDirectories.TestCase


def at_address(number, sequence=1, address="10.1.64.9:8000", **changes):
    endpoint = build_endpoint(number, sequence=sequence, **changes)
    return msgspec.structs.replace(endpoint, address=address)


def list_usable(directory):
    return {endpoint.upstream for endpoint in directory.list_usable(SERVICE)}


def test_new_upstream_at_an_address_ends_the_previous_one():
    directory = EndpointDirectory(10.0)
    directory.register(at_address(1), 0.0)
    directory.register(at_address(2), 1.0)
    assert list_usable(directory) == {"i-2"}


def test_delayed_registration_does_not_bring_the_previous_upstream_back():
    directory = EndpointDirectory(10.0)
    directory.register(at_address(1), 0.0)
    directory.register(at_address(2), 1.0)
    directory.register(at_address(1, sequence=5), 1.1)
    assert list_usable(directory) == {"i-2"}


def test_live_upstream_regains_its_address_from_a_delayed_registration():
    directory = EndpointDirectory(10.0)
    directory.register(at_address(2), 0.0)
    # The directory does not know the crashed upstream yet.
    directory.register(at_address(1, sequence=5), 0.5)
    assert list_usable(directory) == {"i-1"}
    directory.register(at_address(2, sequence=2), 1.0)
    directory.register(at_address(2, sequence=2), 1.0)
    assert list_usable(directory) == {"i-1"}
    directory.register(at_address(2, sequence=3), 2.0)
    assert list_usable(directory) == {"i-2"}
    directory.register(at_address(1, sequence=4), 2.5)
    assert list_usable(directory) == {"i-2"}


def test_drained_upstream_stays_drained_when_its_address_is_reused():
    directory = EndpointDirectory(10.0)
    directory.register(at_address(1), 0.0)
    directory.remove("i-1", 0.5)
    directory.register(at_address(2), 3.0)
    directory.register(at_address(1, sequence=9), 3.5)
    directory.register(at_address(1, sequence=10), 4.5)
    assert list_usable(directory) == {"i-2"}


def test_draining_upstream_that_lost_its_address_never_becomes_ready():
    directory = EndpointDirectory(10.0)
    directory.register(at_address(1, is_draining=True), 0.0)
    directory.register(at_address(2), 3.0)
    for sequence in (9, 10, 11):
        directory.register(at_address(1, sequence=sequence), 3.5)
    assert "i-1" not in list_usable(directory)


def test_front_follows_control_instances_when_an_address_changes_back_and_forth():
    # A front receives each change once and must end in the state of the sender.
    front = EndpointDirectory(10.0, registrations_to_regain_address=1)
    live, stale = at_address(2, sequence=4), at_address(1, sequence=9)
    front.merge(EndpointUpdate(at_address(1, sequence=1), False), 0.0)
    front.merge(EndpointUpdate(live, False), 1.0)
    assert list_usable(front) == {"i-2"}
    # A control instance that has just started accepted a delayed registration.
    front.merge(EndpointUpdate(stale, False), 2.0)
    assert list_usable(front) == {"i-1"}
    front.merge(EndpointUpdate(live, False), 2.1)
    assert list_usable(front) == {"i-2"}


def test_restored_upstreams_expire_unless_they_register_again():
    before = EndpointDirectory(9.6)
    for number in (1, 2, 3):
        before.register(build_endpoint(number), 0.0)
    before.remove("i-3", 1.0)
    after = EndpointDirectory(9.6)
    after.restore(before.list_updates(), 2.4, 100.0)
    assert {e.upstream for e in after.list_usable(SERVICE)} == {"i-1", "i-2"}
    after.register(build_endpoint(1, sequence=2), 101.0)
    # A deregistered upstream does not come back by a late registration.
    after.register(build_endpoint(3, sequence=9), 101.0)
    after.expire(102.3)
    assert {e.upstream for e in after.list_usable(SERVICE)} == {"i-1", "i-2"}
    after.expire(102.5)
    assert {e.upstream for e in after.list_usable(SERVICE)} == {"i-1"}
    after.expire(110.0)
    assert {e.upstream for e in after.list_usable(SERVICE)} == {"i-1"}
