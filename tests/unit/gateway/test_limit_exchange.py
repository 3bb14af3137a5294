"""What a leader grants, tells and forgets of limits on requests a second."""

from scalebend.core.gateway.limit_exchange import (
    MISSING_MEMORY,
    SPREAD_PERIOD,
    LimitExchange,
)
from scalebend.core.gateway.messages import FrontNumber, LimitUpdates, SendPermitRequest
from scalebend.models.ids import InstanceId, SendId, UpstreamId
from scalebend.models.request_limits import HeardLimit, RequestLimit

UPSTREAM = UpstreamId("i-1")
FRONTS = [InstanceId(f"front-{number}") for number in range(4)]


def build_exchange():
    exchange = LimitExchange()
    for front in FRONTS:
        exchange.add_front(front, 0.0)
    exchange.hear(FRONTS[0], [HeardLimit(UPSTREAM, 1.0, 0)], 0.0)
    return exchange


def count_granted(exchange, begin, seconds, *, may_grant=True):
    granted = 0
    for step in range(seconds * 10):
        question = SendPermitRequest(SendId(step), [UPSTREAM], 0.0)
        answer = exchange.answer(question, begin + step / 10, may_grant=may_grant)
        granted += answer.upstream is not None
    return granted


def test_parts_of_lost_fronts_are_kept_back_for_a_while():
    exchange = build_exchange()
    assert 39 <= count_granted(exchange, 10.0, 40) <= 42
    exchange.remove_front(FRONTS[3], 50.0)
    exchange.remove_front(FRONTS[2], 50.0)
    assert 19 <= count_granted(exchange, 50.0, 40) <= 22
    exchange.add_front(FRONTS[2], 100.0)
    assert 29 <= count_granted(exchange, 100.0, 40) <= 32
    exchange.expire(50.0 + MISSING_MEMORY)
    assert 39 <= count_granted(exchange, 150.0, 40) <= 42


def test_leader_that_may_have_been_replaced_grants_nothing():
    assert count_granted(build_exchange(), 10.0, 40, may_grant=False) == 0


def test_leader_begins_with_limits_used_up():
    exchange = build_exchange()
    exchange.start_term(10.0)
    assert exchange.budget.compute_wait(UPSTREAM, 10.0) == 1.0


def test_what_is_new_is_told_once_and_to_all():
    exchange = build_exchange()
    told = exchange.send_due(1.0, is_leader=True)
    news = [one.message for one in told if isinstance(one.message, LimitUpdates)]
    places = [one.message for one in told if isinstance(one.message, FrontNumber)]
    assert news == [LimitUpdates([RequestLimit(UPSTREAM, 1.0, 1)])] * len(FRONTS)
    # The same object: a message to all is encoded once.
    assert len({id(one) for one in news}) == 1
    assert places == [FrontNumber(4, number) for number in range(4)]
    assert exchange.send_due(2.0, is_leader=True) == []
    exchange.hear(FRONTS[1], [HeardLimit(UPSTREAM, 1.0, 1)], 2.0)
    assert exchange.send_due(3.0, is_leader=True) == []
    exchange.hear(FRONTS[1], [HeardLimit(UPSTREAM, 0.5, 1)], 3.0)
    assert exchange.send_due(3.0 - SPREAD_PERIOD, is_leader=True) != []


def test_fronts_that_were_lost_keep_their_place_among_the_others():
    exchange = build_exchange()
    exchange.send_due(1.0, is_leader=True)
    exchange.remove_front(FRONTS[1], 2.0)
    told = exchange.send_due(3.0, is_leader=True)
    assert [one.message for one in told] == [FrontNumber(4, n) for n in range(3)]


def test_front_that_is_linked_is_told_all_limits():
    exchange = build_exchange()
    (greeting,) = exchange.greet(FRONTS[2])
    assert greeting.message == LimitUpdates([RequestLimit(UPSTREAM, 1.0, 1)])
    assert LimitExchange().greet(FRONTS[2]) == []


def test_new_leader_takes_the_latest_word():
    exchange = LimitExchange()
    exchange.add_front(FRONTS[0], 0.0)
    exchange.merge(FRONTS[0], [RequestLimit(UPSTREAM, 4.0, 2)], 0.0)
    exchange.merge(FRONTS[1], [RequestLimit(UPSTREAM, 1.0, 1)], 0.0)
    assert exchange.limits.get(UPSTREAM).rate == 4.0
    exchange.merge(FRONTS[2], [RequestLimit(UPSTREAM, 2.0, 2)], 0.0)
    assert exchange.limits.get(UPSTREAM).rate == 2.0
