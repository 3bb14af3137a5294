"""An upstream may start again under its name: nothing of before counts any more.

A replica that starts again holds and knows nothing, its sequence numbers begin anew,
and the time of its start tells which incarnation, here a life, speaks.
"""

import msgspec
from hypothesis import settings, strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.front_instance import EndAttempts, FrontInstance
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.outlier_detector import OutlierDetector
from scalebend.models.endpoints import (
    Departure,
    EndpointNews,
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


def build_life(life, number=1, **changes):
    """An endpoint of the upstream's life ``life``; life 0 tells no start."""
    born = BORN + life if life else None
    upstream = build_upstream_id(f"i-{number}", born)
    return build_endpoint(number, upstream=upstream, born=born, **changes)


def list_ids(directory):
    return {endpoint.upstream for endpoint in directory.list_usable(SERVICE)}


def id_of(life, number=1):
    return build_life(life, number).upstream


def test_id_names_name_and_start():
    upstream = id_of(3)
    assert get_upstream_name(upstream) == "i-1"
    assert get_upstream_born(upstream) == BORN + 3
    assert get_upstream_name("i-1") == "i-1"
    assert get_upstream_born("i-1") is None


def test_next_life_is_usable_though_its_numbers_begin_anew():
    directory = EndpointDirectory(10.0)
    directory.register(build_life(1, sequence=40), 0.0)
    assert directory.register(build_life(2, sequence=1), 1.0) is not None
    assert list_ids(directory) == {id_of(2)}


def test_next_life_is_usable_after_draining_leaving_silence_and_death():
    ends = [
        lambda d: d.register(build_life(1, sequence=41, is_draining=True), 1.0),
        lambda d: d.leave(Departure("i-1", None), 1.0),
        lambda d: d.leave(Departure("i-1", BORN + 1), 1.0),
        lambda d: d.expire(11.0),
        lambda d: None,
    ]
    for end in ends:
        directory = EndpointDirectory(10.0)
        directory.register(build_life(1, sequence=40), 0.0)
        end(directory)
        directory.register(build_life(2), 12.0)
        assert list_ids(directory) == {id_of(2)}


def test_late_words_of_an_earlier_life_change_nothing():
    directory = EndpointDirectory(10.0)
    directory.register(build_life(1, sequence=40), 0.0)
    directory.register(build_life(2), 1.0)
    late = build_life(1, sequence=99, is_draining=True)
    assert directory.register(late, 1.5) is None
    assert directory.leave(Departure("i-1", BORN + 1), 1.5) is None
    assert directory.merge(EndpointNews(late, is_gone=True), 1.5) is None
    # Another writer, or a life of before the platform told starts.
    assert directory.register(build_life(0, sequence=99), 1.5) is None
    assert list_ids(directory) == {id_of(2)}


def test_life_at_another_address_and_back_at_the_first():
    directory = EndpointDirectory(10.0)
    directory.register(build_life(1, address="10.1.64.1:1"), 0.0)
    directory.register(build_life(2, address="10.1.64.2:2"), 1.0)
    (endpoint,) = directory.list_usable(SERVICE)
    assert endpoint.address == "10.1.64.2:2"
    directory.register(build_life(3, address="10.1.64.1:1"), 2.0)
    (endpoint,) = directory.list_usable(SERVICE)
    assert (endpoint.upstream, endpoint.address) == (id_of(3), "10.1.64.1:1")


def test_upstream_that_tells_no_start_stays_as_it_was():
    directory = EndpointDirectory(10.0)
    directory.register(build_life(0, sequence=4), 0.0)
    assert directory.register(build_life(0, sequence=3), 1.0) is None
    directory.leave(Departure("i-1", None), 2.0)
    assert directory.register(build_life(0, sequence=9), 3.0) is None
    assert not list_ids(directory)


def test_nothing_learnt_of_a_life_is_taken_for_the_next():
    scheduler = EngineScheduler()
    old, new = build_life(1), build_life(2)
    work = build_quick(1)
    scheduler.place(work, (old,), PROFILE, 0.0)
    scheduler.record_failure(old.upstream, 0.0)
    scheduler.record_pace(ReplicaPace(old.upstream, 4.0), 0.0)
    alone = EngineScheduler().place(build_quick(2), (new,), PROFILE, 0.1)
    after = scheduler.place(build_quick(2), (new,), PROFILE, 0.1)
    assert after == alone
    assert new.upstream not in scheduler.summarise(0.2).suspect
    # A late word of its end changes nothing of the next.
    scheduler.record_failure(old.upstream, 0.2)
    assert scheduler.summarise(0.2).suspect == [old.upstream]


def test_failures_of_a_life_do_not_eject_the_next():
    outliers = OutlierDetector()
    outliers.note(UpstreamOutcomes(id_of(1), 0, 9), SERVICE, 6, 0.0)
    assert [one.upstream for one in outliers.list_ejections(0.1)] == [id_of(1)]
    outliers.note(UpstreamOutcomes(id_of(2), 3, 0), SERVICE, 6, 0.2)
    assert id_of(2) not in [one.upstream for one in outliers.list_ejections(0.3)]


def test_front_ends_attempts_on_a_life_that_is_over():
    front = FrontInstance(build_settings(), now=0.0)
    first = EndpointChanges([EndpointNews(build_life(1), is_gone=False)])
    assert front.handle("c", first, 0.0) == []
    again = EndpointChanges([EndpointNews(build_life(2), is_gone=False)])
    assert front.handle("c", again, 1.0) == [EndAttempts([id_of(1)])]
    # Told again by another control instance, and late.
    assert front.handle("c", again, 1.1) == []
    assert front.handle("c", first, 1.2) == []


def test_draining_upstream_finishes_what_it_has():
    front = FrontInstance(build_settings(), now=0.0)
    front.handle("c", EndpointChanges([EndpointNews(build_life(1), False)]), 0.0)
    drains = build_life(1, sequence=2, is_draining=True)
    for news in (EndpointNews(drains, False), EndpointNews(drains, True)):
        assert front.handle("c", EndpointChanges([news]), 1.0) == []


class Lives(RuleBasedStateMachine):
    """Two control instances and a front; messages come late, twice, in any order."""

    sent = Bundle("sent")

    def __init__(self):
        super().__init__()
        self.controls = [EndpointDirectory(1_000.0) for _ in range(2)]
        self.front = EndpointDirectory(1_000.0, heard_again=1)
        self.spread = []
        self.told = []
        self.life = 1
        self.sequence = 0
        self.address = "10.1.64.1:1"
        self.heard = {}
        """By control instance, the newest life that it heard of."""

        self.ended = set()
        """Lives that said to some control instance that they drain or leave."""

    def note(self, number, life, change):
        self.heard[number] = max(self.heard.get(number, 0), life)
        if change is not None:
            self.told.append(change)

    @rule(target=sent, drains=st.booleans())
    def speak(self, drains):
        self.sequence += 1
        return build_life(
            self.life,
            sequence=self.sequence,
            is_draining=drains,
            address=self.address,
        )

    @rule(moves=st.booleans())
    def restart(self, moves):
        self.life += 1
        self.sequence = 0
        if moves:
            self.address = f"10.1.64.1:{self.life}"

    @rule(message=sent, number=st.integers(0, 1))
    def deliver(self, message, number):
        life = message.born - BORN
        change = self.controls[number].register(message, 0.0)
        self.note(number, life, change)
        known = self.controls[number].get(message.upstream)
        if known is not None:
            self.spread.append((1 - number, EndpointNews(known, is_gone=False)))
        if message.is_draining:
            self.ended.add(life)

    @rule(message=sent, number=st.integers(0, 1))
    def leave(self, message, number):
        change = self.controls[number].leave(Departure("i-1", message.born), 0.0)
        if change is not None:
            self.ended.add(message.born - BORN)
            self.spread.append((1 - number, change))
            self.told.append(change)

    @rule(data=st.data(), is_kept=st.booleans())
    def pass_on(self, data, is_kept):
        if not self.spread:
            return
        position = data.draw(st.integers(0, len(self.spread) - 1))
        number, news = self.spread[position]
        if not is_kept:
            del self.spread[position]
        change = self.controls[number].merge(news, 0.0)
        self.note(number, news.endpoint.born - BORN, change)

    @rule(data=st.data())
    def tell_front(self, data):
        if self.told:
            position = data.draw(st.integers(0, len(self.told) - 1))
            self.front.merge(self.told[position], 0.0)

    @invariant()
    def only_the_newest_life_is_used(self):
        for number, control in enumerate(self.controls):
            lives = {e.born - BORN for e in control.list_usable(SERVICE)}
            assert lives <= {self.heard.get(number, 0)}

    def teardown(self):
        for number, news in self.spread:
            change = self.controls[number].merge(news, 0.0)
            self.note(number, news.endpoint.born - BORN, change)
        for news in self.told:
            self.front.merge(news, 0.0)
        newest = max(self.heard.values(), default=0)
        expected = {id_of(newest)} if newest and newest not in self.ended else set()
        for directory in (*self.controls, self.front):
            if directory is self.front or self.heard.get(
                self.controls.index(directory)
            ):
                assert list_ids(directory) == expected
        fresh = EndpointDirectory(1_000.0)
        for news in self.front.list_news():
            data = msgspec.msgpack.encode(news)
            fresh.merge(msgspec.msgpack.decode(data, type=EndpointNews), 0.0)
        assert list_ids(fresh) == expected


TestLives = Lives.TestCase
TestLives.settings = settings(deadline=None)
