"""Rate limits at the leader: grants, updates to fronts, and expiry of lost fronts."""

from scalebend.core.gateway.limit_exchange import (
    LOST_FRONT_RETENTION_S,
    UPDATE_INTERVAL_S,
    LimitExchange,
)
from scalebend.core.gateway.messages import FrontNumber, LimitUpdates, SendPermitRequest
from scalebend.models.ids import InstanceId, SendPermitId, UpstreamId
from scalebend.models.rate_limits import ObservedLimit, RateLimit

UPSTREAM = UpstreamId("i-1")
FRONTS = [InstanceId(f"front-{number}") for number in range(4)]


def build_exchange():
    exchange = LimitExchange()
    for front in FRONTS:
        exchange.add_front(front, 0.0)
    exchange.receive(FRONTS[0], [ObservedLimit(UPSTREAM, 1.0, 0)], 0.0)
    return exchange


def count_granted(exchange, start, seconds, *, may_grant=True):
    granted = 0
    for step in range(seconds * 10):
        request = SendPermitRequest(SendPermitId(step), [UPSTREAM], 0.0)
        reply = exchange.grant(request, start + step / 10, may_grant=may_grant)
        granted += reply.upstream is not None
    return granted


def test_shares_of_lost_fronts_are_reserved_until_they_expire():
    exchange = build_exchange()
    assert 39 <= count_granted(exchange, 10.0, 40) <= 42
    exchange.remove_front(FRONTS[3], 50.0)
    exchange.remove_front(FRONTS[2], 50.0)
    assert 19 <= count_granted(exchange, 50.0, 40) <= 22
    exchange.add_front(FRONTS[2], 100.0)
    assert 29 <= count_granted(exchange, 100.0, 40) <= 32
    exchange.expire(50.0 + LOST_FRONT_RETENTION_S)
    assert 39 <= count_granted(exchange, 150.0, 40) <= 42


def test_leader_without_a_valid_lease_grants_nothing():
    assert count_granted(build_exchange(), 10.0, 40, may_grant=False) == 0


def test_new_leader_starts_with_limits_used_up():
    exchange = build_exchange()
    exchange.start_term(10.0)
    assert exchange.budget.compute_wait(UPSTREAM, 10.0) == 1.0


def test_changed_limit_is_published_once_to_all_fronts():
    exchange = build_exchange()
    sent = exchange.send_due(1.0, is_leader=True)
    updates = [one.message for one in sent if isinstance(one.message, LimitUpdates)]
    positions = [one.message for one in sent if isinstance(one.message, FrontNumber)]
    assert updates == [LimitUpdates([RateLimit(UPSTREAM, 1.0, 1)])] * len(FRONTS)
    # One object for all fronts, so that it is encoded once.
    assert len({id(one) for one in updates}) == 1
    assert positions == [FrontNumber(4, number) for number in range(4)]
    assert exchange.send_due(2.0, is_leader=True) == []
    exchange.receive(FRONTS[1], [ObservedLimit(UPSTREAM, 1.0, 1)], 2.0)
    assert exchange.send_due(3.0, is_leader=True) == []
    exchange.receive(FRONTS[1], [ObservedLimit(UPSTREAM, 0.5, 1)], 3.0)
    assert exchange.send_due(3.0 - UPDATE_INTERVAL_S, is_leader=True) != []


def test_lost_front_still_counts_in_positions():
    exchange = build_exchange()
    exchange.send_due(1.0, is_leader=True)
    exchange.remove_front(FRONTS[1], 2.0)
    sent = exchange.send_due(3.0, is_leader=True)
    assert [one.message for one in sent] == [FrontNumber(4, n) for n in range(3)]


def test_newly_linked_front_receives_all_limits():
    exchange = build_exchange()
    (snapshot,) = exchange.send_all(FRONTS[2])
    assert snapshot.message == LimitUpdates([RateLimit(UPSTREAM, 1.0, 1)])
    assert LimitExchange().send_all(FRONTS[2]) == []


def test_new_leader_merges_latest_revision():
    exchange = LimitExchange()
    exchange.add_front(FRONTS[0], 0.0)
    exchange.merge(FRONTS[0], [RateLimit(UPSTREAM, 4.0, 2)], 0.0)
    exchange.merge(FRONTS[1], [RateLimit(UPSTREAM, 1.0, 1)], 0.0)
    assert exchange.limits.get(UPSTREAM).rate == 4.0
    exchange.merge(FRONTS[2], [RateLimit(UPSTREAM, 2.0, 2)], 0.0)
    assert exchange.limits.get(UPSTREAM).rate == 2.0
