"""Batching of upstream updates when a whole fleet registers within one heartbeat.

The number of messages to a front must not grow with the number of upstreams.
"""

from hypothesis import given, strategies as st

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.update_batch import BATCH_INTERVAL_S, UpdateBatch
from scalebend.models.endpoints import EndpointUpdate
from tests.lib.gateway_builders import SERVICE, build_endpoint
from tests.unit.gateway.test_control_instance import FRONT, SingleMemberGroup

HEARTBEAT = 1.2


def list_ids(directory):
    return {one.upstream for one in directory.list_usable(SERVICE)}


def build_news(number, **changes):
    return EndpointUpdate(build_endpoint(number, **changes), is_gone=False)


def test_fronts_get_few_messages_when_a_fleet_starts():
    group = SingleMemberGroup()
    group.run()
    group.instance.add_front(FRONT, group.now)
    began, sent = group.now, []
    for number in range(3_000):
        now = began + HEARTBEAT * number / 3_000
        endpoint = build_endpoint(number, address=f"10.1.{number // 250}.1:{number}")
        sent += group.instance.register(endpoint, now)
        if number % 50 == 0:
            sent += group.instance.advance(now)
    sent += group.instance.advance(began + HEARTBEAT + BATCH_INTERVAL_S)
    messages = [
        one.message
        for one in sent
        if isinstance(one, ToFront) and isinstance(one.message, EndpointChanges)
    ]
    # Beyond the batches: the first update, sent immediately, and the full catalog.
    assert len(messages) <= HEARTBEAT / BATCH_INTERVAL_S + 4
    front = EndpointDirectory(100.0, registrations_to_regain_address=1)
    for message in messages:
        for news in message.changes:
            front.merge(news, began)
    assert len(front.list_usable(SERVICE)) == 3_000


def test_single_updates_are_sent_immediately():
    batch = UpdateBatch()
    assert batch.add([build_news(1)], 0.0) == [build_news(1)]
    assert batch.add([build_news(2)], BATCH_INTERVAL_S) == [build_news(2)]
    assert batch.pop_due(9.0) == []


def test_draining_or_gone_upstream_flushes_the_batch():
    batch = UpdateBatch()
    batch.add([build_news(1)], 0.0)
    assert batch.add([build_news(2)], 0.01) == []
    is_draining = build_news(3, is_draining=True)
    assert batch.add([is_draining], 0.02) == [build_news(2), is_draining]
    gone = EndpointUpdate(build_endpoint(1), is_gone=True)
    assert batch.add([gone], 0.03) == [gone]


EVENTS = st.lists(
    st.tuples(st.integers(1, 4), st.floats(0.0, 0.2), st.booleans(), st.booleans()),
    max_size=60,
)


@given(EVENTS)
def test_receiver_ends_with_the_latest_update_of_each_upstream(events):
    batch, expected = (
        UpdateBatch(),
        EndpointDirectory(100.0, registrations_to_regain_address=1),
    )
    receiver = EndpointDirectory(100.0, registrations_to_regain_address=1)
    now = 0.0
    for sequence, (number, delay, is_draining, is_polled) in enumerate(events, 1):
        now += delay
        one = build_news(number, sequence=sequence, is_draining=is_draining)
        expected.merge(one, now)
        sent = batch.add([one], now)
        if is_polled:
            sent += batch.pop_due(now)
        for news in sent:
            receiver.merge(news, now)
        if is_draining:
            assert sent[-1:] == [one]
    for news in batch.pop_due(now + BATCH_INTERVAL_S):
        receiver.merge(news, now)
    assert list_ids(receiver) == list_ids(expected)
