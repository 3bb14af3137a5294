"""Documents and catalogs sent to all fronts must not delay replies on the links."""

import random

import pytest

from scalebend.core.gateway.catalog_push import FOLLOWER_DELAY_S, CatalogPush
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.routing_push import (
    MAX_PUSH_S,
    PUSH_INTERVAL_BYTES,
    PUSH_INTERVAL_S,
    RoutingPush,
)
from scalebend.edges.gateway.links import _build_frame
from scalebend.models.ids import InstanceId
from tests.lib.gateway_builders import build_endpoint, build_route, build_routing

FRONTS = [InstanceId(f"front-{number}") for number in range(195)]


def build_large(version, routes):
    """Build a document with route names that do not compress."""
    random_source = random.Random(version)
    return build_routing(
        version,
        [
            build_route(
                name=f"r-{random_source.getrandbits(64):x}", path_prefix=f"/{n}/"
            )
            for n in range(routes)
        ],
    )


@pytest.fixture
def push():
    push = RoutingPush()
    push.record_document(build_routing(1))
    for front in FRONTS:
        push.add_front(front)
        push.subscribe(front, 1, is_wanted=True)
    return push


def run_push(push, now=10.0):
    """Return all that is sent, by interval."""
    intervals = [push.push(now)]
    while len(intervals) < 500:
        now += PUSH_INTERVAL_S
        intervals.append(push.advance(now))
        if not intervals[-1]:
            return intervals[:-1]
    raise AssertionError("the push does not end")


def test_small_document_goes_to_all_fronts_at_once(push):
    push.record_document(build_routing(2))
    (sent,) = run_push(push)
    assert [action.front for action in sent] == FRONTS


def test_large_document_is_paced(push):
    push.record_document(build_large(2, 920))
    intervals = run_push(push)
    assert [action.front for sent in intervals for action in sent] == FRONTS
    for sent in intervals:
        sizes = [len(action.message.packed) for action in sent]
        assert sum(sizes[:-1]) < PUSH_INTERVAL_BYTES
    assert len(intervals) > 10


def test_largest_document_is_sent_within_the_maximum_time(push):
    push.record_document(build_large(2, 6_000))
    assert len(run_push(push)) * PUSH_INTERVAL_S <= MAX_PUSH_S + 2 * PUSH_INTERVAL_S


def test_front_that_subscribes_gets_a_large_document_immediately(push):
    push.record_document(build_large(2, 920))
    push.push(10.0)
    (sent,) = push.subscribe(FRONTS[-1], 1, is_wanted=True)
    assert sent.message.version == 2
    others = {action.front for interval in run_push(push) for action in interval}
    assert FRONTS[-1] not in others


def test_newer_document_replaces_one_that_is_still_being_sent(push):
    push.record_document(build_large(2, 920))
    push.push(10.0)
    push.record_document(build_large(3, 920))
    versions = {
        a.message.version for interval in run_push(push, 10.0) for a in interval
    }
    assert versions == {3}


def test_front_that_is_gone_is_sent_nothing(push):
    push.record_document(build_large(2, 920))
    push.push(10.0)
    push.remove_front(FRONTS[-1])
    assert FRONTS[-1] not in {a.front for interval in run_push(push) for a in interval}


@pytest.fixture
def directory():
    directory = EndpointDirectory(9.6)
    for number in range(155):
        directory.register(build_endpoint(number), 0.0)
    return directory


def send_due(catalogs, directory, now, *, is_leader, changes=155):
    return catalogs.send_due(directory, changes, now, is_leader=is_leader)


def test_leader_sends_the_catalog_immediately_and_others_later(directory):
    catalogs = CatalogPush()
    catalogs.add_front(FRONTS[0], 0.0)
    assert not send_due(catalogs, directory, 0.5, is_leader=False)
    (sent,) = send_due(catalogs, directory, FOLLOWER_DELAY_S, is_leader=False)
    assert len(sent.message.changes) == 155
    catalogs.add_front(FRONTS[1], 5.0)
    assert len(send_due(catalogs, directory, 5.0, is_leader=True)) == 1
    assert not send_due(catalogs, directory, 9.0, is_leader=True)


def test_front_that_is_gone_is_sent_no_catalog(directory):
    catalogs = CatalogPush()
    catalogs.add_front(FRONTS[0], 0.0)
    catalogs.remove_front(FRONTS[0])
    assert not send_due(catalogs, directory, 5.0, is_leader=True)


def test_catalog_is_built_once_for_fronts_that_start_together(directory):
    catalogs = CatalogPush()
    for front in FRONTS[:2]:
        catalogs.add_front(front, 0.0)
    first, second = send_due(catalogs, directory, 0.0, is_leader=True)
    assert first.message is second.message
    catalogs.add_front(FRONTS[2], 0.01)
    (third,) = send_due(catalogs, directory, 0.01, is_leader=True)
    assert third.message is first.message
    catalogs.add_front(FRONTS[3], 0.02)
    (changed,) = send_due(catalogs, directory, 0.02, is_leader=True, changes=156)
    assert changed.message is not first.message


def test_catalog_takes_a_few_milliseconds_of_a_front_link(directory):
    frame = _build_frame(EndpointChanges(directory.list_updates()))
    # 10 Mbit/s: 1,250 bytes a millisecond.
    assert len(frame) < 5 * 1250
