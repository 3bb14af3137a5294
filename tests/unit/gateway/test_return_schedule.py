"""Refused callers get a booking, and wait at its position when they come back."""

from itertools import pairwise

import msgspec
import pytest

from scalebend.core.gateway.leader_placement import LeaderPlacement
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S, age_work
from scalebend.core.gateway.placement_plan import NO_REPLICA_RETRY_S
from scalebend.core.gateway.queued_placement import MAX_PLAN_INTERVAL_S
from scalebend.core.gateway.return_schedule import (
    HEEDED_SHARE,
    KEEP_S,
    MAX_BOOKINGS,
    PLACED_KEEP_S,
    SPACING_S,
)
from scalebend.core.gateway.room_forecast import QueuedAhead
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.ids import Fingerprint, InstanceId
from scalebend.models.placement import (
    Declined,
    EngineWork,
    JobStage,
    OpenJob,
    Placement,
)
from scalebend.models.rate_limits import ObservedLimit
from tests.lib import returning_callers
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_endpoint,
    build_quick,
    build_work,
)
from tests.lib.returning_callers import build_table, is_placed, is_refused

FOUR = tuple(build_endpoint(number) for number in range(1, 5))
RANKED = build_table(PROFILE, SERVICE)
UNRANKED = build_table(PROFILE, SERVICE, is_ranked=False)
FULL_S = 4.7
"""About the time after which the prompts of a full leader are predicted to end."""

NOTHING = QueuedAhead()


def build_long(number, prompt=400_000, **changes):
    values = {"target": 4.0, "remaining": 15.0, **changes}
    values.setdefault("fingerprint", Fingerprint(f"request-{number}"))
    return build_work(number, prompt, **values)


def return_as(work, number, elapsed):
    """The same request, sent again after ``elapsed`` seconds."""
    again = build_work(number, 1)
    remaining = work.remaining - elapsed
    return msgspec.structs.replace(work, job=again.job, remaining=remaining)


def build_full_leader():
    """A leader of four replicas whose memory and slots are nearly all taken."""
    leader = LeaderPlacement(LimitExchange(), 0.0)
    fill(leader, 0.0)
    return leader


def fill(leader, now):
    for number in range(4):
        job = build_work(
            f"full-{number}",
            400_000,
            target=60.0,
            remaining=60.0,
            expected_tokens=2_300,
        )
        placement = Placement(FOUR[number].upstream, FOUR[number].address, (), 0.1, 0.0)
        leader.adopt([OpenJob(job, placement, is_decoding=True)], RANKED, now)
        for other in range(4):
            small = build_work(f"small-{number}-{other}", 100, remaining=60.0)
            opened = OpenJob(small, placement, is_decoding=True)
            leader.adopt([opened], RANKED, now)


def end(leader, job, now):
    leader.record_stages([JobStage(job, is_ended=True)], now)


def empty(leader, now, replicas=4):
    """End what runs on some replicas."""
    for number in range(replicas):
        for name in (f"full-{number}", *(f"small-{number}-{o}" for o in range(4))):
            end(leader, build_work(name, 1).job, now)


@pytest.fixture
def leader():
    return build_full_leader()


def ask(leader, work, now, table=RANKED, **options):
    return returning_callers.ask(leader, table, FOUR, work, now, **options)


def release(leader, now):
    return returning_callers.release(leader, RANKED, FOUR, now)


def release_all(leader, now, steps=3):
    """Return the jobs that are placed in the next plans, in order."""
    jobs = []
    for step in range(1, 1 + steps):
        replies = release(leader, now + step * (MAX_PLAN_INTERVAL_S + 0.001))
        jobs += [job for job, reply in replies.items() if is_placed(reply)]
    return jobs


def book(leader, work, now=0.0):
    """Ask for work that is refused, and return its `Retry-After`."""
    reply = ask(leader, work, now)
    assert is_refused(reply)
    return reply.declined.retry_after


def test_refused_caller_gets_the_moment_at_which_room_is_expected(leader):
    wait = book(leader, build_long(1))
    assert FULL_S - 0.3 < wait <= 15.0 * HEEDED_SHARE


def test_prompt_that_can_start_on_time_waits_instead_of_being_refused(leader):
    assert ask(leader, build_long(1, target=9.0, remaining=30.0), 0.0).is_queued
    assert leader.queue.returns.bookings == 0


def test_returns_do_not_collide(leader):
    waits = [book(leader, build_long(number, remaining=60.0)) for number in range(8)]
    gaps = [after - before for before, after in pairwise(sorted(waits))]
    assert min(gaps) >= SPACING_S - 1e-9


def test_returns_do_not_collide_where_callers_heed_no_longer_wait(leader):
    works = [build_long(number, remaining=6.0) for number in range(8)]
    waits = sorted(book(leader, work) for work in works)
    assert waits[-1] == pytest.approx(6.0 * HEEDED_SHARE)
    assert min(b - a for a, b in pairwise(waits)) >= SPACING_S - 1e-9


def test_returns_are_spread_where_there_are_more_than_moments(leader):
    works = [build_long(number, remaining=6.0) for number in range(200)]
    waits = sorted(book(leader, work) for work in works)
    gaps = [after - before for before, after in pairwise(waits)]
    assert 0.0 < max(gaps) < 2.01 * min(gaps)
    assert waits[0] < 6.0 * HEEDED_SHARE / 1.5 < waits[-1] <= 6.0 * HEEDED_SHARE


def test_caller_that_returns_waits_until_there_is_room(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    assert ask(leader, again, wait).is_queued
    empty(leader, wait + 0.1)
    assert is_placed(release(leader, wait + 0.2)[again.job])
    assert leader.scheduler.open_jobs == 1
    leader.queue.expire(wait + 0.2 + PLACED_KEEP_S + 0.1)
    assert leader.queue.returns.bookings == 0


def test_held_prompt_is_placed_after_its_target_has_passed(leader):
    work = build_long(1, 440_000)
    wait = book(leader, work)
    again = age_work(return_as(work, 2, wait), 0.0)
    assert ask(leader, again, wait).is_queued
    for step in range(1, 31):
        again = age_work(again, REPLAN_INTERVAL_S)
        now = wait + step * REPLAN_INTERVAL_S
        assert release(leader, now) == {}
        assert ask(leader, again, now).is_queued
    assert again.target == 0.0
    empty(leader, now)
    assert is_placed(release(leader, now + 0.1)[again.job])


# Order


def test_early_return_keeps_its_position_behind_earlier_bookings(leader):
    first, second = build_long(1), build_long(2)
    due = book(leader, first)
    assert book(leader, second, 0.01) + 0.01 > due
    early = return_as(second, 3, 0.02)
    assert ask(leader, early, 0.02).is_queued
    back = return_as(first, 4, due)
    assert ask(leader, back, due).is_queued
    empty(leader, due, replicas=1)
    assert release_all(leader, due, steps=10) == [back.job]
    end(leader, back.job, due + 2.0)
    assert release_all(leader, due + 2.0, steps=10) == [early.job]


def test_early_return_uses_room_that_nobody_waits_for(leader):
    first, second = build_long(1), build_long(2)
    due = max(book(leader, work) for work in (first, second))
    early = return_as(second, 3, 0.02)
    assert ask(leader, early, 0.02).is_queued
    empty(leader, 0.1)
    assert release_all(leader, 0.1) == [early.job]
    assert due > 1.0


def test_room_for_one_goes_to_the_earlier_position_and_room_for_both_to_both(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    assert ask(leader, again, wait).is_queued
    # Both may wait for longer than is left of the response that holds the memory.
    newcomer = build_long(3, 260_000, target=9.0, remaining=60.0)
    assert ask(leader, newcomer, wait + 0.01).is_queued
    empty(leader, wait + 0.02, replicas=1)
    assert release_all(leader, wait + 0.02) == [again.job]
    smaller, quick = build_long(4, 25_000), build_quick(5)
    assert is_placed(ask(leader, smaller, wait + 4.0))
    assert is_placed(ask(leader, quick, wait + 4.0))

    both = build_full_leader()
    assert book(both, work) == wait
    assert ask(both, again, wait).is_queued
    assert ask(both, newcomer, wait + 0.01).is_queued
    empty(both, wait + 0.02)
    assert release_all(both, wait + 0.02, steps=40) == [again.job, newcomer.job]


def test_late_request_comes_first_again_only_when_little_time_is_left():
    """Until then, one that can still be on time goes before it."""
    placed = {}
    for returned_at in (4.5, 9.5):
        leader = build_full_leader()
        work = build_long(1, remaining=20.0)
        book(leader, work)
        again = return_as(work, 2, returned_at)
        assert ask(leader, again, returned_at).is_queued
        on_time = build_long(3, target=9.0, remaining=60.0)
        assert ask(leader, on_time, returned_at).is_queued
        empty(leader, returned_at, replicas=1)
        placed[returned_at] = release_all(leader, returned_at)
    assert placed == {4.5: [on_time.job], 9.5: [again.job]}


def test_no_room_is_kept_for_a_caller_that_is_away(leader):
    work = build_long(1)
    wait = book(leader, work)
    empty(leader, wait, replicas=1)
    newcomer = build_long(3)
    assert is_placed(ask(leader, newcomer, wait + 0.01))
    again = return_as(work, 2, wait + 0.1)
    assert ask(leader, again, wait + 0.1).is_queued


def test_caller_that_is_away_counts_in_forecasts_for_a_short_time_only(leader):
    work = build_long(1)
    wait = book(leader, work)
    returns = leader.queue.returns
    assert returns.sum_ahead(SERVICE, 100.0, wait + 0.9 * KEEP_S).tokens > 400_000
    assert returns.sum_ahead(SERVICE, 100.0, wait + 1.1 * KEEP_S) == NOTHING
    assert returns.sum_ahead(SERVICE, 0.0, wait) == NOTHING


def test_caller_that_returns_late_is_not_refused_again(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait + 2.0 * KEEP_S)
    assert ask(leader, again, wait + 2.0 * KEEP_S).is_queued


# Copies, callers that leave, and rejections


def test_copies_share_one_position(leader):
    work = build_long(1)
    wait = book(leader, work)
    again, copy = return_as(work, 2, wait), return_as(work, 3, wait)
    assert ask(leader, again, wait).is_queued
    assert ask(leader, copy, wait).is_queued
    line = leader.queue._lines[SERVICE].long
    assert line.get(copy.job).rank == line.get(again.job).rank
    assert leader.queue.returns.bookings == 1
    empty(leader, wait + 0.1, replicas=1)
    assert release_all(leader, wait + 0.1) == [again.job]
    end(leader, copy.job, wait + 0.2)
    fill(leader, wait + 0.3)
    late = return_as(work, 4, wait + 0.3)
    ask(leader, late, wait + 0.3)
    entry = leader.queue._lines[SERVICE].long.get(late.job)
    assert entry is None or entry.position is None


def test_caller_that_left_gives_up_its_position(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    assert ask(leader, again, wait).is_queued
    end(leader, again.job, wait + 0.1)
    assert leader.queue.returns.bookings == 0
    assert leader.queue.waiting == 0


def test_lost_front_gives_up_the_positions_that_wait_there(leader):
    works = [build_long(1), build_long(2)]
    wait = max(book(leader, work) for work in works)
    assert ask(leader, return_as(works[0], 3, wait), wait).is_queued
    leader.remove_front(InstanceId("front-1"))
    assert leader.queue.returns.bookings == 1


def test_prompt_that_an_engine_rejects_keeps_its_position(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    assert ask(leader, again, wait).is_queued
    empty(leader, wait + 0.1)
    assert release_all(leader, wait + 0.1) == [again.job]
    end(leader, again.job, wait + 0.5)
    fill(leader, wait + 0.5)
    attempt = return_as(work, 3, wait + 0.6)
    assert ask(leader, attempt, wait + 0.6).is_queued
    assert leader.queue._lines[SERVICE].long.get(attempt.job).position is not None


def test_response_that_began_uses_up_the_position(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    ask(leader, again, wait)
    empty(leader, wait + 0.1)
    assert release_all(leader, wait + 0.1) == [again.job]
    leader.record_stages([JobStage(again.job, is_ended=False)], wait + 1.0)
    end(leader, again.job, wait + 1.1)
    fill(leader, wait + 1.2)
    copy = return_as(work, 3, wait + 1.2)
    ask(leader, copy, wait + 1.2)
    entry = leader.queue._lines[SERVICE].long.get(copy.job)
    assert entry is None or entry.position is None


# Refusals for good


def test_hopeless_prompts_are_refused_without_a_place(leader):
    too_large = build_long(1, 1_900_000, remaining=60.0)
    hurried = build_long(2, 400_000, remaining=0.5)
    for work in (too_large, hurried):
        assert is_refused(ask(leader, work, 0.0))
    assert leader.queue.returns.bookings == 0


def test_held_prompt_is_refused_once_it_can_no_longer_end(leader):
    work = build_long(1, remaining=8.0)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    assert ask(leader, again, wait).is_queued
    now = wait
    while not (replies := release(leader, now)) and now < 8.0:
        now += 0.1
    assert is_refused(replies[again.job])
    # The prefill on all replicas and the response would still fit in, not much more.
    assert 8.0 - 5.0 < now < 8.0 - 2.0
    assert leader.queue.returns.bookings == 0


def test_prompt_that_has_waited_is_held_instead_of_refused(leader):
    work = age_work(build_long(1), 1.5)
    assert ask(leader, work, 0.0).is_queued


def test_new_term_has_no_bookings_and_holds_who_was_held(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = age_work(return_as(work, 2, wait), 1.2)
    assert ask(leader, again, wait + 1.2).is_queued
    leader.start_term([], wait + 1.2)
    fill(leader, wait + 1.2)
    assert leader.queue.returns.bookings == 0
    assert ask(leader, again, wait + 1.3).is_queued


def test_no_prompt_is_refused_while_half_of_the_slots_are_free():
    leader = LeaderPlacement(LimitExchange(), 0.0)
    blocking = [
        build_work(f"b-{number}", 440_000, target=60.0, remaining=60.0)
        for number in range(4)
    ]
    for work, endpoint in zip(blocking, FOUR, strict=True):
        placement = Placement(endpoint.upstream, endpoint.address, (), 0.1, 0.0)
        work = msgspec.structs.replace(work, expected_tokens=2_300)
        leader.adopt([OpenJob(work, placement, is_decoding=True)], RANKED, 0.0)
    assert ask(leader, build_long(1), 0.0).is_queued
    # What comes next would wait behind it.
    assert ask(leader, build_long(2), 0.0).is_queued
    replies = release(leader, 0.1)
    assert [job for job, one in replies.items() if is_refused(one)] == ["front-1-2"]


def test_number_of_bookings_is_bounded(leader):
    for number in range(MAX_BOOKINGS + 50):
        work = build_long(number, customer=f"crew-{number % 40}")
        assert is_refused(ask(leader, work, 0.0))
    bookings = leader.queue.returns.bookings
    assert MAX_BOOKINGS * 0.9 < bookings <= MAX_BOOKINGS
    leader.queue.expire(60.0)
    assert leader.queue.returns.bookings == 0


def test_one_customer_leaves_bookings_to_others(leader):
    for number in range(MAX_BOOKINGS + 50):
        assert is_refused(ask(leader, build_long(number, customer="hot"), 0.0))
    assert leader.queue.returns.bookings == MAX_BOOKINGS // 2
    book(leader, build_long("other", customer="small"))
    assert leader.queue.returns.bookings == MAX_BOOKINGS // 2 + 1


def test_callers_that_stay_away_make_room_for_others(leader):
    works = [build_long(number, customer="hot") for number in range(MAX_BOOKINGS)]
    wait = max(book(leader, work) for work in works)
    later = wait + KEEP_S + 0.1
    empty(leader, later)
    fill(leader, later)
    book(leader, build_long("next", customer="hot"), later)
    assert leader.queue.returns.bookings == 1


def test_each_decision_is_counted(leader):
    work = build_long(1)
    wait = book(leader, work)
    book(leader, build_long(4, remaining=6.0))
    again = return_as(work, 2, wait)
    ask(leader, again, wait)
    ask(leader, build_long(3, remaining=0.5), wait)
    empty(leader, wait)
    assert again.job in release_all(leader, wait)
    leader.queue.expire(wait + 6.1)
    outcomes = [outcome.value for outcome in leader.queue.returns.pop_outcomes()]
    assert outcomes == ["booked", "booked", "held", "refused", "placed", "expired"]
    assert leader.queue.returns.pop_outcomes() == []
    metrics = GatewayMetrics()
    for outcome in outcomes:
        metrics.count_prompt_without_room(outcome)
    sample = b'scalebend_prompts_without_room_total{outcome="held"} 1.0'
    assert sample in metrics.render()


# Where returns are not booked


def test_unless_customers_are_ranked_the_scheduler_alone_decides(leader):
    work = build_long(1)
    alone = build_full_leader()
    expected = alone.scheduler.place(work, FOUR, PROFILE, 0.0)
    for again, now in ((work, 0.0), (return_as(work, 2, 1.0), 1.0)):
        reply = ask(leader, again, now, UNRANKED)
        assert (reply.placement or reply.declined) == expected
        assert not reply.is_queued
    assert leader.queue.returns.bookings == 0


def test_prompts_that_no_replica_may_have_are_declined_as_before(leader):
    excluded = tuple(endpoint.upstream for endpoint in FOUR)
    for prompt in (5_000, 200_000):
        work = build_long(1, prompt, excluded=excluded)
        assert ask(leader, work, 0.0).declined == Declined(NO_REPLICA_RETRY_S)
    none = returning_callers.ask(leader, RANKED, (), build_long(2), 0.0)
    assert none.declined == Declined(NO_REPLICA_RETRY_S)
    assert leader.queue.returns.bookings == 0


def build_limited_leader(upstream):
    limits = LimitExchange()
    leader = LeaderPlacement(limits, 0.0)
    fill(leader, 0.0)
    limits.receive(InstanceId("front-1"), [ObservedLimit(upstream, 1.0, 0)], 0)
    assert limits.has_limits
    return leader


def test_returns_are_not_booked_where_replicas_are_rate_limited():
    leader = build_limited_leader(FOUR[0].upstream)
    assert is_refused(ask(leader, build_long(1), 0.0))
    assert leader.queue.returns.bookings == 0


def test_rate_limits_of_other_services_do_not_matter():
    leader = build_limited_leader(build_endpoint(77).upstream)
    book(leader, build_long(1))
    assert leader.queue.returns.bookings == 1


def test_return_goes_on_waiting_when_replicas_become_rate_limited(leader):
    work = build_long(1)
    wait = book(leader, work)
    again = return_as(work, 2, wait)
    assert ask(leader, again, wait).is_queued
    observed = [ObservedLimit(one.upstream, 1.0, 0) for one in FOUR]
    leader._limits.receive(InstanceId("front-1"), observed, wait)
    assert release(leader, wait + 0.2) == {}
    assert ask(leader, age_work(again, 0.5), wait + 0.5).is_queued


def test_front_of_the_version_before_is_answered_as_before(leader):
    work = build_long(1, fingerprint=None)
    old = msgspec.msgpack.encode(msgspec.structs.astuple(work)[:10])
    decoded = msgspec.msgpack.decode(old, type=EngineWork)
    expected = build_full_leader().scheduler.place(decoded, FOUR, PROFILE, 0.0)
    assert ask(leader, decoded, 0.0, may_wait=False).declined == expected
    assert leader.queue.returns.bookings == 0


def test_work_with_room_is_placed_as_the_scheduler_alone_places_it():
    leader = LeaderPlacement(LimitExchange(), 0.0)
    alone = LeaderPlacement(LimitExchange(), 0.0)
    for number in range(24):
        prompt = (5_000, 45_000, 220_000)[number % 3]
        work = build_long(number, prompt)
        now = 0.2 * number
        reply = ask(leader, work, now)
        assert is_placed(reply)
        assert reply == ask(alone, work, now, UNRANKED)
        for one in (leader, alone):
            end(one, work.job, now + 0.1)
    assert leader.queue.returns.bookings == 0
