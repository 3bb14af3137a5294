"""Order of waiting requests: priority, slack, shares of customers, bounds."""

import itertools
import random

import pytest

from scalebend.core.gateway import placement_queue
from scalebend.core.gateway.customer_use import HALF_LIFE_S, MAX_GROWTH, CustomerUse
from scalebend.core.gateway.placement_aging import age_work
from scalebend.core.gateway.placement_queue import (
    EXCLUDED_BYTES,
    MAX_WAITING,
    PRIORITY_STEP_S,
    WAIT_SHARE,
    WORK_BYTES,
    PlacementQueue,
    compute_rank,
    compute_wait_limit,
)
from tests.lib.gateway_builders import build_quick, build_work


def build_queue():
    use = CustomerUse(0.0)
    return use, PlacementQueue(use)


def pop(queue, now=0.0):
    entry = queue.find_first(now)
    queue.remove(entry.work.job)
    return entry.work


def drain(queue, now=0.0):
    order = []
    while len(queue):
        order.append(pop(queue, now).job)
    return order


# Priority, slack and ageing


def test_more_urgent_priority_goes_first():
    _, queue = build_queue()
    less = queue.add(build_quick(1, priority=2), 0.0)
    more = queue.add(build_work(2, 200_000, target=4.0, priority=0), 0.0)
    assert drain(queue) == [more.work.job, less.work.job]


def test_shorter_slack_goes_first_within_a_priority():
    _, queue = build_queue()
    long = queue.add(build_work(1, 200_000, target=4.0), 0.0)
    quick = queue.add(build_quick(2), 0.0)
    older = queue.add(build_work(3, 200_000, target=2.0), 0.0)
    assert drain(queue) == [quick.work.job, older.work.job, long.work.job]


def test_less_urgent_request_passes_later_ones_in_bounded_time():
    _, queue = build_queue()
    old = queue.add(build_work("old", 45_000, priority=1), 0.0)
    at = PRIORITY_STEP_S + 0.1
    queue.add(build_work("new", 45_000, priority=0), at)
    assert pop(queue, 0.0).job == old.work.job


def test_request_that_is_late_lets_others_be_on_time_until_its_wait_ends():
    _, queue = build_queue()
    late = queue.add(build_quick("late", remaining=10.0), 0.0)
    fresh = queue.add(build_quick("fresh", remaining=10.0), 1.0)
    assert queue.find_first(1.0).work.job == fresh.work.job
    assert late.is_late
    last = queue.add(build_quick("last", remaining=10.0), WAIT_SHARE * 10.0)
    assert drain(queue, WAIT_SHARE * 10.0)[0] == late.work.job
    assert last.work.job not in queue


def test_wait_ends_at_the_same_time_however_often_it_is_announced():
    work = build_work(1, 45_000, remaining=10.0)
    for waited in (0.0, 0.5, 1.5, 3.0):
        limit = compute_wait_limit(age_work(work, waited))
        assert limit + waited == pytest.approx(WAIT_SHARE * 10.0)
    assert compute_wait_limit(age_work(work, 9.0)) == 0.0


def test_announcing_again_keeps_the_place():
    _, queue = build_queue()
    work = build_work(1, 45_000, target=1.5)
    entry = queue.add(work, 0.0)
    rank = entry.rank
    queue.renew(age_work(work, 0.5), 0.5)
    assert len(queue) == 1
    assert queue.get(work.job).rank == rank == compute_rank(work, 0.0)
    assert queue.get(work.job).build_work(1.0).waited == pytest.approx(1.0)


def test_expired_waits_are_found_in_order():
    _, queue = build_queue()
    queue.add(build_quick(1, remaining=10.0), 0.0)
    queue.add(build_quick(2, remaining=5.0), 0.0)
    assert queue.find_expired(1.9) is None
    assert queue.find_expired(2.0).work.job == build_quick(2).job


# Shares of customers


def serve(queue, use, seconds, now, cost=0.05):
    """Serve one request after the other; return the time that each customer got."""
    received = {}
    while seconds > 0.0:
        work = pop(queue, now)
        use.charge(work.customer, cost, now)
        received[work.customer] = received.get(work.customer, 0.0) + cost
        now += cost
        seconds -= cost
    return received


def test_customer_with_many_requests_gets_at_most_twice_as_much():
    use, queue = build_queue()
    for number in range(1_500):
        queue.add(build_quick(f"hot-{number}", customer="hot", remaining=1e4), 0.0)
    for number in range(300):
        queue.add(build_quick(f"small-{number}", customer="small", remaining=1e4), 0.1)
    received = serve(queue, use, 20.0, 0.2)
    assert received["small"] >= 0.45 * received["hot"]
    assert received["hot"] >= received["small"]


@pytest.mark.parametrize("seed", range(1, 6))
def test_no_waiting_customer_gets_under_a_quarter_of_the_mean(seed):
    rng = random.Random(seed)
    use, queue = build_queue()
    numbers = itertools.count()
    names = [f"c{number}" for number in range(8)]
    weights = [rng.uniform(0.1, 20.0) for _ in names]

    def fill(now):
        for name, weight in zip(names, weights, strict=True):
            for _ in range(1 + int(weight)):
                work = build_quick(
                    f"{name}-{next(numbers)}",
                    customer=name,
                    priority=names.index(name) % 3,
                    remaining=1e4,
                )
                queue.add(work, now)

    now, received = 0.0, dict.fromkeys(names, 0.0)
    for _ in range(40):
        fill(now)
        for name, seconds in serve(queue, use, 1.0, now).items():
            received[name] += seconds
        now += 1.0
    mean = sum(received.values()) / len(received)
    assert min(received.values()) > 0.25 * mean


def test_use_decays_and_is_forgotten():
    use = CustomerUse(0.0)
    use.charge("a", 4.0, 0.0)
    assert use.read("a", HALF_LIFE_S) == pytest.approx(2.0)
    use.charge("b", 1.0, 20 * HALF_LIFE_S)
    use.expire(20 * HALF_LIFE_S)
    assert use.read("a", 20 * HALF_LIFE_S) == 0.0


def test_use_keeps_its_order_over_days():
    use, queue = build_queue()
    day = 2 * MAX_GROWTH * HALF_LIFE_S
    for number in range(1, 20):
        now = number * day
        use.charge("much", 5.0, now)
        use.charge("little", 1.0, now)
        queue.add(build_quick(f"m{number}", customer="much"), now)
        queue.add(build_quick(f"l{number}", customer="little"), now + 0.01)
        assert pop(queue, now).customer == "little"
        assert pop(queue, now).customer == "much"
        assert use.read("much", now) == pytest.approx(5.0, rel=0.01)


# Bounds, and that nothing is lost or held twice


def test_queue_is_bounded_in_count():
    _, queue = build_queue()
    for number in range(3 * MAX_WAITING):
        queue.add(build_quick(number, customer=f"c{number % 2_500}"), 0.0)
    assert len(queue) == MAX_WAITING
    assert queue.add(build_quick("more", customer="c1"), 0.0) is None
    pop(queue)
    assert queue.add(build_quick("more", customer="c1"), 0.0) is None
    assert queue.add(build_quick("more", customer="new"), 0.0) is not None


def test_one_customer_does_not_fill_the_queue():
    _, queue = build_queue()
    for number in range(MAX_WAITING):
        queue.add(build_quick(number, customer="hot"), 0.0)
    assert len(queue) == MAX_WAITING / 2
    assert queue.add(build_quick("other", customer="small"), 0.0) is not None


def test_queue_is_bounded_in_bytes(monkeypatch):
    monkeypatch.setattr(placement_queue, "MAX_BYTES", 2 * WORK_BYTES + EXCLUDED_BYTES)
    _, queue = build_queue()
    assert queue.add(build_quick(1, excluded=("i-1",)), 0.0) is not None
    assert queue.add(build_quick(2), 0.0) is not None
    assert queue.add(build_quick(3), 0.0) is None
    queue.remove(build_quick(1).job)
    assert queue.bytes == WORK_BYTES
    assert queue.add(build_quick(3), 0.0) is not None


@pytest.mark.parametrize("seed", range(1, 9))
def test_each_request_is_served_exactly_once(seed):
    rng = random.Random(seed)
    use, queue = build_queue()
    expected, served, now = set(), [], 0.0
    for number in range(3_000):
        now += rng.expovariate(50.0)
        action = rng.random()
        if action < 0.5:
            work = build_work(
                number,
                rng.choice([5_000, 45_000, 220_000]),
                target=rng.choice([0.3, 1.5, 4.0]),
                priority=rng.randrange(3),
                customer=rng.choice(["a", "b", "c", None]),
            )
            if queue.add(work, now) is not None:
                expected.add(work.job)
        elif action < 0.85 and len(queue):
            entry = queue.find_first(now)
            queue.remove(entry.work.job)
            if rng.random() < 0.3:
                queue.put_back(entry)
                continue
            use.charge(entry.work.customer, rng.random(), now)
            served.append(entry.work.job)
        elif action < 0.9 and len(queue):
            job = rng.choice(queue.list_jobs())
            queue.remove(job)
            expected.discard(job)
        elif action < 0.95 and len(queue):
            assert queue.find_smallest().work.job in queue
        elif len(queue):
            entry = queue.get(rng.choice(queue.list_jobs()))
            queue.renew(entry.build_work(now), now)
    served += drain(queue, now)
    assert len(served) == len(set(served))
    assert set(served) == expected
    assert queue.bytes == 0
    assert queue.find_first(now) is None
    assert queue.find_smallest() is None
