"""Refused callers get a place in a schedule, and are held when they come back."""

from itertools import pairwise

import msgspec
import pytest

from scalebend.core.gateway.leader_placement import LeaderPlacement
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S, age_work
from scalebend.core.gateway.placement_plan import NO_REPLICA_RETRY_S
from scalebend.core.gateway.return_schedule import (
    HEEDED_SHARE,
    KEEP_S,
    MAX_BOOKINGS,
    SPACING_S,
    ReturnSchedule,
)
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
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_endpoint,
    build_quick,
    build_work,
)
from tests.lib.returning_callers import Directory, build_table, is_held, place

FOUR = tuple(build_endpoint(number) for number in range(1, 5))
COMPETING = build_table(PROFILE, 2, SERVICE)
ALONE = build_table(PROFILE, 0, SERVICE)


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
        job = build_work(f"full-{number}", 400_000, target=60.0, remaining=60.0)
        placement = Placement(FOUR[number].upstream, FOUR[number].address, (), 0.1, 0.0)
        leader.adopt([OpenJob(job, placement, is_decoding=True)], COMPETING, now)
        for other in range(4):
            small = build_work(f"small-{number}-{other}", 100, remaining=60.0)
            opened = OpenJob(small, placement, is_decoding=True)
            leader.adopt([opened], COMPETING, now)


def empty(leader, now):
    for number in range(4):
        for name in (f"full-{number}", *(f"small-{number}-{o}" for o in range(4))):
            job = build_work(name, 1).job
            leader.scheduler.record_stage(JobStage(job, is_ended=True), now)


@pytest.fixture
def leader():
    return build_full_leader()


def ask(leader, work, now, table=COMPETING):
    return place(leader, table, FOUR, work, now)


def test_refused_caller_gets_the_moment_at_which_room_is_expected(leader):
    declined = ask(leader, build_long(1), 0.0)
    assert isinstance(declined, Declined)
    assert 0.5 < declined.retry_after <= 15.0 * HEEDED_SHARE


def test_returns_do_not_collide(leader):
    waits = [
        ask(leader, build_long(number, 200_000, remaining=60.0), 0.0).retry_after
        for number in range(8)
    ]
    gaps = [after - before for before, after in pairwise(waits)]
    assert min(gaps) >= SPACING_S - 1e-9


def test_returns_do_not_collide_where_callers_heed_no_longer_wait(leader):
    works = [build_long(number, remaining=6.0) for number in range(8)]
    waits = sorted(ask(leader, work, 0.0).retry_after for work in works)
    assert waits[-1] == pytest.approx(6.0 * HEEDED_SHARE)
    assert min(b - a for a, b in pairwise(waits)) >= SPACING_S - 1e-9


def test_caller_that_returns_is_held_until_there_is_room(leader):
    work = build_long(1)
    wait = ask(leader, work, 0.0).retry_after
    again = return_as(work, 2, wait)
    held = ask(leader, again, wait)
    assert is_held(leader, held, again)
    assert held.start_in > 2 * REPLAN_INTERVAL_S
    empty(leader, wait + 0.1)
    later = age_work(again, REPLAN_INTERVAL_S)
    placed = ask(leader, later, wait + REPLAN_INTERVAL_S)
    assert isinstance(placed, Placement)
    assert not is_held(leader, placed, later)
    assert leader.returns.bookings == 0


def test_held_prompt_is_placed_after_its_target_has_passed(leader):
    work = build_long(1, 440_000)
    wait = ask(leader, work, 0.0).retry_after
    again = age_work(return_as(work, 2, wait), 0.0)
    assert is_held(leader, ask(leader, again, wait), again)
    for step in range(1, 31):
        again = age_work(again, REPLAN_INTERVAL_S)
        now = wait + step * REPLAN_INTERVAL_S
        assert is_held(leader, ask(leader, again, now), again)
    assert again.target == 0.0
    empty(leader, now)
    placed = ask(leader, again, now)
    assert isinstance(placed, Placement)
    assert not is_held(leader, placed, again)


def test_early_return_is_held_behind_earlier_bookings(leader):
    first, second = build_long(1, 200_000), build_long(2, 200_000)
    due = ask(leader, first, 0.0).retry_after
    assert ask(leader, second, 0.01).retry_after + 0.01 > due
    early = return_as(second, 3, 0.02)
    assert is_held(leader, ask(leader, early, 0.02), early)
    empty(leader, 0.1)
    assert is_held(leader, ask(leader, early, 0.1), early)
    back = return_as(first, 4, due)
    assert not is_held(leader, ask(leader, back, due), back)
    assert isinstance(ask(leader, return_as(second, 3, due), due), Placement)


def test_new_prompt_yields_to_one_that_is_held(leader):
    work = build_long(1, 200_000)
    wait = ask(leader, work, 0.0).retry_after
    again = return_as(work, 2, wait)
    assert is_held(leader, ask(leader, again, wait), again)
    empty(leader, wait)
    newcomer = build_long(3, 300_000)
    assert is_held(leader, ask(leader, newcomer, wait + 0.01), newcomer)
    smaller, quick = build_long(4, 50_000), build_quick(5)
    assert isinstance(ask(leader, smaller, wait + 0.02), Placement)
    assert isinstance(ask(leader, quick, wait + 0.03), Placement)


def test_late_request_comes_first_again_only_when_little_time_is_left(leader):
    work = build_long(1, 200_000)
    ask(leader, work, 0.0)
    for now in (4.9, 5.5, 8.0, 8.4):
        again = return_as(work, 2, now)
        held = ask(leader, again, now)
        assert is_held(leader, held, again)
    empty(leader, 8.0)
    on_time = build_long(3, 300_000)
    assert not is_held(leader, ask(leader, on_time, 8.1), on_time)
    leader.scheduler.forget(on_time.job)
    other = build_long(4, 300_000)
    assert is_held(leader, ask(leader, other, 8.5), other)


def test_room_is_kept_for_a_short_time_only(leader):
    work = build_long(1, 200_000)
    wait = ask(leader, work, 0.0).retry_after
    empty(leader, wait)
    newcomer = build_long(3, 300_000)
    soon, late = wait + 0.5 * KEEP_S, wait + KEEP_S + 0.1
    assert is_held(leader, ask(leader, newcomer, soon), newcomer)
    newcomer = age_work(newcomer, late - soon)
    placed = ask(leader, newcomer, late)
    assert isinstance(placed, Placement)
    assert not is_held(leader, placed, newcomer)


def test_caller_that_returns_late_is_not_refused_again(leader):
    work = build_long(1)
    wait = ask(leader, work, 0.0).retry_after
    again = return_as(work, 2, wait + 2.0 * KEEP_S)
    assert is_held(leader, ask(leader, again, wait + 2.0 * KEEP_S), again)


def test_hopeless_prompts_are_refused_without_a_place(leader):
    too_large = build_long(1, 1_900_000, remaining=60.0)
    hurried = build_long(2, 400_000, remaining=0.5)
    for work in (too_large, hurried):
        assert isinstance(ask(leader, work, 0.0), Declined)
    assert leader.returns.bookings == 0


def test_held_prompt_is_refused_once_it_can_no_longer_end(leader):
    work = build_long(1)
    wait = ask(leader, work, 0.0).retry_after
    again = return_as(work, 2, wait)
    assert is_held(leader, ask(leader, again, wait), again)
    hopeless = msgspec.structs.replace(again, remaining=0.5)
    assert isinstance(ask(leader, hopeless, wait + 0.1), Declined)
    assert leader.returns.bookings == 0


def test_prompt_that_has_waited_is_held_instead_of_refused(leader):
    work = age_work(build_long(1), 1.5)
    assert is_held(leader, ask(leader, work, 0.0), work)


def test_new_term_has_no_bookings_and_holds_who_was_held(leader):
    work = build_long(1)
    wait = ask(leader, work, 0.0).retry_after
    again = age_work(return_as(work, 2, wait), 1.2)
    assert is_held(leader, ask(leader, again, wait + 1.2), again)
    leader.start_term([], wait + 1.2)
    fill(leader, wait + 1.2)
    assert leader.returns.bookings == 0
    assert is_held(leader, ask(leader, again, wait + 1.3), again)


def test_no_prompt_is_refused_while_half_of_the_slots_are_free():
    leader = LeaderPlacement(LimitExchange(), 0.0)
    blocking = [
        build_work(f"b-{number}", 440_000, target=60.0, remaining=60.0)
        for number in range(4)
    ]
    for work, endpoint in zip(blocking, FOUR, strict=True):
        placement = Placement(endpoint.upstream, endpoint.address, (), 0.1, 0.0)
        leader.adopt([OpenJob(work, placement, is_decoding=True)], COMPETING, 0.0)
    work = build_long(1)
    assert is_held(leader, ask(leader, work, 0.0), work)


def test_number_of_bookings_is_bounded(leader):
    for number in range(MAX_BOOKINGS + 50):
        assert isinstance(ask(leader, build_long(number), 0.0), Declined)
    assert leader.returns.bookings == MAX_BOOKINGS
    leader.returns.expire(60.0)
    assert leader.returns.bookings == 0


def test_each_decision_is_counted(leader):
    work = build_long(1)
    wait = ask(leader, work, 0.0).retry_after
    ask(leader, return_as(work, 2, wait), wait)
    ask(leader, build_long(3, remaining=0.5), wait)
    outcomes = [outcome.value for outcome in leader.returns.pop_outcomes()]
    assert outcomes == ["booked", "held", "refused"]
    assert leader.returns.pop_outcomes() == []
    metrics = GatewayMetrics()
    for outcome in outcomes:
        metrics.count_prompt_without_room(outcome)
    sample = b'scalebend_prompts_without_room_total{outcome="held"} 1.0'
    assert sample in metrics.render()


def test_held_request_is_an_ordinary_placement_for_fronts_of_any_version(leader):
    work = age_work(build_long(1), 1.5)
    reply = leader.place(work, COMPETING, Directory(FOUR), 0.0, may_grant=True)
    assert reply.declined is None
    encoded = msgspec.msgpack.encode(reply.placement)
    fields = msgspec.msgpack.decode(encoded)
    assert len(fields) == len(msgspec.structs.fields(Placement)) == 5
    assert fields[4] > REPLAN_INTERVAL_S


# Where returns are not booked


def test_without_competing_customers_the_scheduler_alone_decides(leader):
    work = build_long(1)
    alone = build_full_leader()
    expected = alone.scheduler.place(work, FOUR, PROFILE, 0.0)
    assert ask(leader, work, 0.0, ALONE) == expected
    assert ask(leader, return_as(work, 2, 1.0), 1.0, ALONE) == expected
    assert leader.returns.bookings == 0


def test_prompts_that_no_replica_may_have_are_declined_as_before(leader):
    excluded = tuple(endpoint.upstream for endpoint in FOUR)
    for prompt in (5_000, 200_000):
        work = build_long(1, prompt, excluded=excluded)
        assert ask(leader, work, 0.0) == Declined(NO_REPLICA_RETRY_S)
    none = place(leader, COMPETING, (), build_long(2), 0.0)
    assert none == Declined(NO_REPLICA_RETRY_S)
    assert leader.returns.bookings == 0


def test_returns_are_not_booked_where_replicas_are_rate_limited():
    limits = LimitExchange()
    leader = LeaderPlacement(limits, 0.0)
    fill(leader, 0.0)
    limits.receive(InstanceId("front-1"), [ObservedLimit(FOUR[0].upstream, 1.0, 0)], 0)
    assert limits.has_limits
    assert isinstance(ask(leader, build_long(1), 0.0), Declined)
    assert leader.returns.bookings == 0


def test_front_of_the_version_before_is_answered_as_before(leader):
    work = build_long(1, fingerprint=None)
    old = msgspec.msgpack.encode(msgspec.structs.astuple(work)[:10])
    decoded = msgspec.msgpack.decode(old, type=EngineWork)
    expected = build_full_leader().scheduler.place(decoded, FOUR, PROFILE, 0.0)
    assert ask(leader, decoded, 0.0) == expected
    assert leader.returns.bookings == 0


def test_work_with_room_is_placed_as_the_scheduler_alone_places_it():
    leader = LeaderPlacement(LimitExchange(), 0.0)
    alone = LeaderPlacement(LimitExchange(), 0.0)
    for number in range(24):
        prompt = (5_000, 45_000, 220_000)[number % 3]
        work = build_long(number, prompt)
        now = 0.2 * number
        placed = ask(leader, work, now)
        assert isinstance(placed, Placement)
        assert placed == ask(alone, work, now, ALONE)
        for one in (leader, alone):
            one.scheduler.record_stage(JobStage(work.job, is_ended=True), now + 0.1)
    assert leader.returns.bookings == 0


def test_schedule_without_bookings_changes_no_work():
    work = age_work(build_long(1), 1.0)
    assert ReturnSchedule().prepare(work) is work
