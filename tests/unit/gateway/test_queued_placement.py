"""Room given to waiting requests: order, reservation, backfilling, failures."""

import pytest

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S, age_work
from scalebend.core.gateway.placement_queue import WAIT_SHARE
from scalebend.core.gateway.queued_placement import (
    MAX_PLAN_INTERVAL_S,
    MIN_PLAN_INTERVAL_S,
)
from scalebend.core.gateway.waiting_line import Queued
from scalebend.models.ids import InstanceId
from scalebend.models.placement import Declined, JobStage, Placement
from tests.lib.gateway_builders import PROFILE, SERVICE, build_quick, build_work
from tests.lib.queue_room import QueueRoom

PLAN_S = MIN_PLAN_INTERVAL_S + 0.001


def fill_memory(room, *, except_last=0):
    """Fill the memory of the replicas with prompts that decode."""
    jobs = []
    for number in range(len(room.endpoints) - except_last):
        others = [one.upstream for one in room.endpoints]
        del others[number]
        work = build_work(
            f"full-{number}", 444_000, target=60.0, excluded=tuple(others)
        )
        room.scheduler.place(work, room.endpoints, PROFILE, 0.0)
        room.scheduler.record_stage(JobStage(work.job, is_ended=False), 0.0)
        jobs.append(work.job)
    return jobs


def fill_slots(room):
    """Fill all slots with quick prompts that decode."""
    jobs = []
    for number in range(len(room.endpoints) * PROFILE.slots):
        work = build_quick(f"full-{number}")
        assert isinstance(room.place(work), Placement)
        room.scheduler.record_stage(JobStage(work.job, is_ended=False), 0.0)
        jobs.append(work.job)
    return jobs


# With room for all, nothing changes


def test_placements_are_the_same_while_there_is_room():
    room = QueueRoom(18)
    scheduler = EngineScheduler()
    for number in range(60):
        work = build_quick(number) if number % 5 else build_work(number, 45_000)
        now = 0.3 * number
        placed = room.place(work, now)
        assert placed == scheduler.place(work, room.endpoints, PROFILE, now)
        for one in (room.scheduler, scheduler):
            one.record_stage(JobStage(work.job, is_ended=False), now + 0.2)
        assert room.advance(now + 0.2) == {}
    assert room.queue.waiting == 0


def test_front_that_cannot_wait_is_answered_at_once():
    room = QueueRoom(2)
    fill_memory(room)
    declined = room.place(build_work(1, 100_000), may_wait=False)
    assert isinstance(declined, Declined)
    fill_slots_room = QueueRoom(1)
    fill_slots(fill_slots_room)
    assert isinstance(fill_slots_room.place(build_quick(1), may_wait=False), Placement)


# Memory


def test_prompt_without_memory_waits_until_it_is_given_back():
    room = QueueRoom(2)
    full = fill_memory(room)
    work = build_work("large", 200_000, target=4.0, remaining=15.0)
    assert isinstance(room.place(work), Queued)
    assert room.advance(1.0) == {}
    room.end(full[0], 1.5)
    released = room.advance(1.5 + PLAN_S)
    assert isinstance(released[work.job], Placement)
    assert room.queue.waiting == 0


def test_more_urgent_prompt_gets_the_memory_first():
    room = QueueRoom(1)
    (full,) = fill_memory(room)
    less = build_work("less", 300_000, target=4.0, remaining=20.0, priority=1)
    more = build_work("more", 300_000, target=4.0, remaining=20.0, priority=0)
    room.place(less, 0.0)
    room.place(more, 0.1)
    room.end(full, 0.5)
    assert list(room.advance(0.5 + PLAN_S)) == [more.job]


def test_small_prompts_do_not_starve_a_large_one():
    """Prompts of a third of the memory arrive all the time; the large one needs all."""
    room = QueueRoom(2)
    running = []
    for number in range(6):
        work = build_work(f"s-{number}", 120_000, target=1.5, remaining=60.0)
        running.append((work.job, 0.0))
        room.place(work, 0.0)
    large = build_work("large", 500_000, target=20.0, remaining=60.0)
    assert isinstance(room.place(large, 0.1), Queued)
    now, number, started = 0.1, 100, None
    while now < 20.0 and started is None:
        now += 0.1
        number += 1
        small = build_work(f"s-{number}", 120_000, target=1.5, remaining=60.0)
        if isinstance(room.place(small, now), Placement):
            running.append((small.job, now))
        for job, since in list(running):
            if now - since >= 1.5:
                running.remove((job, since))
                room.end(job, now)
        for job, placed in room.advance(now).items():
            if isinstance(placed, Placement):
                running.append((job, now))
                started = now if job == large.job else started
    assert started is not None
    assert started < 13.0


def test_no_more_replicas_are_kept_free_than_the_large_prompt_needs():
    room = QueueRoom(6)
    fill_memory(room, except_last=3)
    for number in (3, 4):
        others = [one.upstream for one in room.endpoints]
        del others[number]
        half = build_work(f"half-{number}", 250_000, excluded=tuple(others))
        room.scheduler.place(half, room.endpoints, PROFILE, 0.0)
        room.scheduler.record_stage(JobStage(half.job, is_ended=False), 0.0)
    large = build_work("large", 880_000, target=8.0, remaining=60.0)
    assert isinstance(room.place(large, 0.0), Queued)
    room.advance(PLAN_S)
    outside = room.endpoints[3].upstream, room.endpoints[4].upstream
    medium = room.place(build_work("medium", 100_000, target=9.0), 0.1)
    assert isinstance(medium, Placement)
    assert medium.upstream in outside
    # Quick prompts end soon: they may use what is kept free.
    assert isinstance(room.place(build_quick(1), 0.1), Placement)


def test_small_prompt_behind_many_large_ones_is_backfilled():
    room = QueueRoom(8)
    full = fill_memory(room)
    for number in range(12):
        room.place(build_work(f"l-{number}", 1_200_000, target=4.0, remaining=60.0))
    small = build_work("small", 45_000, target=9.0, remaining=60.0)
    assert isinstance(room.place(small), Queued)
    room.advance(0.2)
    for job in full[:4]:
        room.end(job, 0.5)
    assert small.job in {**room.advance(0.6), **room.advance(0.8)}


def test_prompt_that_the_whole_fleet_cannot_hold_is_declined_at_once():
    room = QueueRoom(2)
    fill_memory(room)
    assert isinstance(room.place(build_work(1, 900_000)), Declined)


def test_prompt_that_would_wait_too_long_is_declined_at_the_next_plan():
    room = QueueRoom(4)
    full = fill_memory(room)
    room.place(build_work("first", 200_000, remaining=15.0), 0.0)
    room.end(full[0], 0.5)
    room.advance(0.6)
    works = [build_work(number, 200_000, remaining=15.0) for number in range(20)]
    outcomes = [room.place(work, 0.7) for work in works]
    declined = {
        job for job, one in room.advance(0.75).items() if isinstance(one, Declined)
    }
    assert isinstance(outcomes[0], Queued)
    assert works[0].job not in declined
    assert isinstance(outcomes[-1], Declined) or works[-1].job in declined
    later = [build_work(f"later-{one}", 200_000, remaining=15.0) for one in range(3)]
    outcomes = [room.place(work, 0.76) for work in later]
    refused = room.advance(0.82).get(later[-1].job, outcomes[-1])
    assert isinstance(refused, Declined)


def test_prompt_that_cannot_be_on_time_any_more_does_not_keep_replicas_idle():
    room = QueueRoom(2)
    full = fill_memory(room)
    work = build_work(1, 500_000, target=10.0, remaining=60.0)
    assert isinstance(room.place(work, 0.0), Queued)
    room.advance(1.0)
    for job in full:
        room.end(job, 6.0)
    assert isinstance(room.advance(6.1)[work.job], Declined)
    assert isinstance(room.place(build_work(2, 200_000), 6.1), Placement)


def test_prompt_that_is_not_served_late_waits_no_longer_than_its_target():
    room = QueueRoom(4)
    fill_memory(room)
    work = build_work(1, 800_000, target=3.0, remaining=15.0)
    assert isinstance(room.place(work, 0.0), Queued)
    assert room.advance(2.9) == {}
    assert isinstance(room.advance(3.01)[work.job], Declined)


def test_wait_ends_in_time_for_one_return():
    room = QueueRoom(1)
    fill_memory(room)
    work = build_work(1, 200_000, remaining=10.0)
    room.place(work, 0.0)
    limit = WAIT_SHARE * 10.0
    assert room.advance(limit - 0.01) == {}
    assert isinstance(room.advance(limit + 0.01)[work.job], Declined)
    assert room.queue.waiting == 0


def test_customer_over_its_share_does_not_pass_one_that_waits():
    room = QueueRoom(1)
    (full,) = fill_memory(room)
    small = build_work("small", 300_000, target=9.0, customer="small")
    assert isinstance(room.place(small, 0.0), Queued)
    room.queue._lines[SERVICE].use.charge("hot", 20.0, 0.0)
    room.end(full, 0.5)
    # It can wait until the other has ended, so that it is not refused.
    hot = build_work("hot", 300_000, target=1.0, remaining=60.0, customer="hot")
    assert isinstance(room.place(hot, 0.5), Queued)
    assert list(room.advance(0.5 + PLAN_S)) == [small.job]
    assert room.queue.waiting == 1


# Slots


def test_quick_prompts_get_free_slots_in_order():
    room = QueueRoom(2)
    full = fill_slots(room)
    first = build_quick("first", priority=1)
    second = build_quick("second", priority=0)
    assert room.place(first, 0.1) == Queued(None, None)
    assert room.place(second, 0.2) == Queued(None, None)
    room.end(full[0], 0.25)
    assert list(room.advance(0.25)) == [second.job]
    room.end(full[1], 0.3)
    assert list(room.advance(0.3)) == [first.job]


def test_quick_prompt_whose_wait_ends_is_placed_where_it_starts_soonest():
    room = QueueRoom(1)
    fill_slots(room)
    work = build_quick("first", remaining=10.0)
    room.place(work, 0.0)
    assert isinstance(room.advance(WAIT_SHARE * 10.0 + 0.01)[work.job], Placement)


def test_later_quick_prompt_does_not_pass_those_that_wait():
    room = QueueRoom(1)
    full = fill_slots(room)
    first = build_quick("first")
    room.place(first, 0.1)
    room.end(full[0], 0.2)
    later = build_quick("later")
    assert isinstance(room.place(later, 0.2), Queued)
    assert list(room.advance(0.2)) == [first.job]


# Planned starts


def build_busy(room):
    """Let one replica of four prefill for a while, so that wide prompts wait."""
    first = build_work("first", 100_000, target=9.0)
    others = tuple(one.upstream for one in room.endpoints[1:])
    room.scheduler.place(
        build_work("first", 100_000, target=9.0, excluded=others),
        room.endpoints,
        PROFILE,
        0.0,
    )
    wide = build_work("wide-0", 260_000, target=9.0)
    room.scheduler.place(wide, room.endpoints, PROFILE, 0.0)
    return [first.job, wide.job]


def test_planned_start_is_announced_and_renewed():
    room = QueueRoom(4)
    build_busy(room)
    wide = build_work("wide-1", 260_000, target=9.0)
    queued = room.place(wide, 0.0)
    assert queued.plan.start_in == queued.expected > REPLAN_INTERVAL_S
    again = room.place(age_work(wide, 0.2), 0.2)
    assert again.plan.upstreams == queued.plan.upstreams
    assert again.expected == pytest.approx(queued.expected - 0.2)
    assert room.queue.waiting == 1


def test_planned_prompt_starts_at_once_when_earlier_work_ends():
    room = QueueRoom(4)
    busy = build_busy(room)
    wide = build_work("wide-1", 260_000, target=9.0)
    room.place(wide, 0.0)
    for job in busy:
        room.end(job, 0.1)
    released = room.advance(0.1 + PLAN_S)
    assert released[wide.job].start_in < 0.1


def test_more_urgent_prompt_takes_the_earlier_start():
    room = QueueRoom(4)
    build_busy(room)
    less = build_work("less", 260_000, target=9.0, priority=2)
    more = build_work("more", 260_000, target=9.0, priority=0)
    less_before = room.place(less, 0.0).expected
    more_before = room.place(more, 0.0).expected
    assert more_before > less_before
    room.advance(MAX_PLAN_INTERVAL_S)
    less_after = room.place(less, 0.2).expected
    more_after = room.place(more, 0.2).expected
    assert more_after < less_after


# Callers that leave, fronts and replies that are lost


def test_caller_that_left_is_removed():
    room = QueueRoom(1)
    (full,) = fill_memory(room)
    work = build_work(1, 200_000)
    room.place(work)
    room.end(work.job, 0.1)
    assert room.queue.waiting == 0
    room.end(full, 0.2)
    assert room.advance(0.3) == {}


def test_lost_front_is_removed():
    room = QueueRoom(1)
    fill_memory(room)
    room.place(build_work(1, 200_000))
    room.queue.remove_front(InstanceId("front-2"))
    assert room.queue.waiting == 1
    room.queue.remove_front(InstanceId("front-1"))
    assert room.queue.waiting == 0


def test_answer_is_repeated_and_the_job_is_not_placed_twice():
    room = QueueRoom(1)
    (full,) = fill_memory(room)
    work = build_work(1, 200_000)
    room.place(work)
    room.end(full, 0.2)
    placed = room.advance(0.3)[work.job]
    again = room.place(age_work(work, 0.5), 0.5)
    assert again.upstreams == placed.upstreams
    assert room.scheduler.open_jobs == 1


def test_new_leader_keeps_the_end_of_the_wait():
    work = build_work(1, 200_000, remaining=10.0)
    room = QueueRoom(1)
    fill_memory(room)
    room.place(age_work(work, 2.0), 2.0)
    assert room.advance(3.9) == {}
    assert isinstance(room.advance(4.01)[work.job], Declined)
