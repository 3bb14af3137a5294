"""What hundreds of fronts are sent at once must leave room for answers on the links.

The patterns: a document of 920 new routes goes to 195 fronts while quick prompts come
by the hundred each second; all machines start at once, and each front needs the
document and 155 upstreams over a link of 10 Mbit/s before it can serve.
"""

import random

import pytest

from scalebend.core.gateway.catalogue_push import FOLLOWER_DELAY, CataloguePush
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.routing_push import (
    LONGEST_PUSH,
    TURN,
    TURN_BYTES,
    RoutingPush,
)
from scalebend.edges.gateway.links import _build_frame
from scalebend.models.ids import InstanceId
from tests.lib.gateway_builders import build_endpoint, build_route, build_routing

FRONTS = [InstanceId(f"front-{number}") for number in range(195)]


def build_large(version, routes):
    """Routes with names that do not compress."""
    chance = random.Random(version)
    return build_routing(
        version,
        [
            build_route(name=f"r-{chance.getrandbits(64):x}", path_prefix=f"/{n}/")
            for n in range(routes)
        ],
    )


@pytest.fixture
def push():
    push = RoutingPush()
    push.note_document(build_routing(1))
    for front in FRONTS:
        push.add_front(front)
        push.subscribe(front, 1, is_wanted=True)
    return push


def play(push, now=10.0):
    """All that is sent, by turn."""
    turns = [push.push(now)]
    while len(turns) < 500:
        now += TURN
        turns.append(push.advance(now))
        if not turns[-1]:
            return turns[:-1]
    raise AssertionError("documents go out for ever")


def test_small_document_goes_to_all_fronts_at_once(push):
    push.note_document(build_routing(2))
    (sent,) = play(push)
    assert [action.front for action in sent] == FRONTS


def test_large_document_leaves_room_on_the_link(push):
    push.note_document(build_large(2, 920))
    turns = play(push)
    assert [action.front for sent in turns for action in sent] == FRONTS
    for sent in turns:
        sizes = [len(action.message.packed) for action in sent]
        assert sum(sizes[:-1]) < TURN_BYTES
    assert len(turns) > 10


def test_largest_document_is_out_within_the_time_for_all(push):
    push.note_document(build_large(2, 6_000))
    assert len(play(push)) * TURN <= LONGEST_PUSH + 2 * TURN


def test_front_that_asks_gets_a_large_document_at_once(push):
    push.note_document(build_large(2, 920))
    push.push(10.0)
    (sent,) = push.subscribe(FRONTS[-1], 1, is_wanted=True)
    assert sent.message.version == 2
    others = {action.front for turn in play(push) for action in turn}
    assert FRONTS[-1] not in others


def test_newer_document_takes_the_place_of_one_that_still_goes_out(push):
    push.note_document(build_large(2, 920))
    push.push(10.0)
    push.note_document(build_large(3, 920))
    versions = {a.message.version for turn in play(push, 10.0) for a in turn}
    assert versions == {3}


def test_front_that_is_gone_is_sent_nothing(push):
    push.note_document(build_large(2, 920))
    push.push(10.0)
    push.remove_front(FRONTS[-1])
    assert FRONTS[-1] not in {a.front for turn in play(push) for a in turn}


@pytest.fixture
def directory():
    directory = EndpointDirectory(9.6)
    for number in range(155):
        directory.register(build_endpoint(number), 0.0)
    return directory


def send_due(catalogues, directory, now, *, is_leader, changes=155):
    return catalogues.send_due(directory, changes, now, is_leader=is_leader)


def test_leader_sends_all_upstreams_at_once_and_others_later(directory):
    catalogues = CataloguePush()
    catalogues.add_front(FRONTS[0], 0.0)
    assert not send_due(catalogues, directory, 0.5, is_leader=False)
    (sent,) = send_due(catalogues, directory, FOLLOWER_DELAY, is_leader=False)
    assert len(sent.message.changes) == 155
    catalogues.add_front(FRONTS[1], 5.0)
    assert len(send_due(catalogues, directory, 5.0, is_leader=True)) == 1
    assert not send_due(catalogues, directory, 9.0, is_leader=True)


def test_front_that_left_is_sent_no_upstreams(directory):
    catalogues = CataloguePush()
    catalogues.add_front(FRONTS[0], 0.0)
    catalogues.remove_front(FRONTS[0])
    assert not send_due(catalogues, directory, 5.0, is_leader=True)


def test_upstreams_are_listed_once_for_all_who_start_together(directory):
    catalogues = CataloguePush()
    for front in FRONTS[:2]:
        catalogues.add_front(front, 0.0)
    first, second = send_due(catalogues, directory, 0.0, is_leader=True)
    assert first.message is second.message
    catalogues.add_front(FRONTS[2], 0.01)
    (third,) = send_due(catalogues, directory, 0.01, is_leader=True)
    assert third.message is first.message
    catalogues.add_front(FRONTS[3], 0.02)
    (changed,) = send_due(catalogues, directory, 0.02, is_leader=True, changes=156)
    assert changed.message is not first.message


def test_all_upstreams_fit_a_few_milliseconds_of_a_front_s_link(directory):
    frame = _build_frame(EndpointChanges(directory.list_news()))
    # 10 Mbit/s: 1,250 bytes a millisecond.
    assert len(frame) < 5 * 1250
