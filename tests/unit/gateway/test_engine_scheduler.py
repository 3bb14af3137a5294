"""Placement with open jobs, lost fronts, slow replicas and overload."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.engine_costs import (
    compute_batch_step_time,
    compute_prefill_time,
)
from scalebend.core.gateway.engine_scheduler import (
    UNCOORDINATED_MAX_PART_S,
    EngineScheduler,
)
from scalebend.core.gateway.replica_load import UNKNOWN_JOBS_LIFETIME_S
from scalebend.models.ids import InstanceId
from scalebend.models.placement import (
    Declined,
    JobStage,
    OpenJob,
    Placement,
    ReplicaPace,
    build_job_id,
    is_job_of,
)
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_work,
)

ENDPOINTS = [build_endpoint(number) for number in range(1, 19)]


def place(scheduler, work, now=0.0, endpoints=ENDPOINTS):
    return scheduler.place(work, endpoints, PROFILE, now)


def start(scheduler, work, now=0.0):
    """Place work and record its first token."""
    placement = place(scheduler, work, now)
    scheduler.record_stage(JobStage(work.job, is_ended=False), now)
    return placement


def test_prefill_time_of_the_engine_profile():
    times = [compute_prefill_time(PROFILE, p) for p in (5_000, 45_000, 210_000)]
    assert times == pytest.approx([0.0207, 0.2686, 2.842], rel=0.01)


def test_batch_step_without_decoding_takes_no_time():
    assert compute_batch_step_time(PROFILE, []) == 0.0
    assert 0.042 < compute_batch_step_time(PROFILE, [5_000]) < 0.045


def test_quick_requests_are_packed_on_few_replicas():
    scheduler = EngineScheduler()
    used = {start(scheduler, build_quick(n)).upstream for n in range(24)}
    assert len(used) == 3


def test_long_prompt_avoids_replicas_with_quick_requests():
    scheduler = EngineScheduler()
    quick = {start(scheduler, build_quick(n)).upstream for n in range(12)}
    placement = place(scheduler, build_work("long", 210_000))
    used = {placement.upstream, *(helper.upstream for helper in placement.helpers)}
    assert len(used) > 1
    assert not used & quick


@given(
    st.lists(
        st.sampled_from([(5_000, 0.3, 0.2), (45_000, 1.5, 0.5), (210_000, 3.0, 0.8)]),
        max_size=40,
    )
)
def test_prefill_stays_below_the_event_gap_while_all_are_on_time(sizes):
    scheduler = EngineScheduler()
    parts = {}
    gaps = {}
    for number, (prompt, target, gap) in enumerate(sizes):
        work = build_work(number, prompt, target=target, event_gap=gap)
        placement = place(scheduler, work)
        if isinstance(placement, Declined) or placement.first_token_in > target:
            return
        part = compute_prefill_time(PROFILE, prompt) / (1 + len(placement.helpers))
        start = placement.start_in
        for upstream in placement.upstreams:
            others = parts.setdefault(upstream, [])
            # Parts that overlap in time share a batch step, consecutive ones do not.
            overlapping = [p for s, p in others if s < start + part and start < s + p]
            others.append((start, part))
            if upstream in gaps:
                assert part + sum(overlapping) <= gaps[upstream]
        gaps[placement.upstream] = min(gap, gaps.get(placement.upstream, gap))


def test_jobs_of_a_lost_front_are_removed():
    front = InstanceId("10.1.0.1:7000")
    scheduler = EngineScheduler()
    for number in range(144):
        job = build_job_id(front, 7, number)
        place(scheduler, build_quick(number, job=job))
    assert scheduler.open_jobs == 144
    scheduler.forget_front(lambda job: is_job_of(front, job))
    assert scheduler.open_jobs == 0
    assert place(scheduler, build_quick("next")).first_token_in < 0.1


def test_job_of_a_front_with_a_longer_address_is_not_matched():
    job = build_job_id(InstanceId("10.1.0.11:7000"), 7, 1)
    assert not is_job_of(InstanceId("10.1.0.1:7000"), job)


def test_job_without_a_reported_end_is_removed_after_its_deadline():
    scheduler = EngineScheduler()
    place(scheduler, build_quick(1, remaining=2.0))
    scheduler.expire(2.5)
    assert scheduler.open_jobs == 1
    scheduler.expire(3.5)
    assert scheduler.open_jobs == 0


def test_quick_request_is_never_split():
    scheduler = EngineScheduler()
    for number in range(400):
        placement = start(scheduler, build_quick(number, remaining=100.0))
        assert placement.helpers == ()


def test_late_first_tokens_do_not_mark_a_replica_as_slow():
    # A pace derived from predictions would reinforce itself until nothing fits.
    scheduler = EngineScheduler()
    for number in range(100):
        work = build_quick(number)
        place(scheduler, work, now=float(number))
        scheduler.record_stage(JobStage(work.job, is_ended=False), number + 2.0)
        scheduler.record_stage(JobStage(work.job, is_ended=True), number + 2.5)
    assert place(scheduler, build_quick("next"), now=200.0).first_token_in < 0.1


def test_slow_replica_is_avoided_until_its_report_expires():
    scheduler = EngineScheduler()
    first = place(scheduler, build_quick(1))
    scheduler.record_stage(JobStage("front-1-1", is_ended=True), 0.1)
    scheduler.record_pace(ReplicaPace(first.upstream, 4.0), 0.2)
    assert place(scheduler, build_quick(2), now=0.3).upstream != first.upstream
    for number in range(3, 9):
        scheduler.record_stage(JobStage(f"front-1-{number - 1}", is_ended=True), 9.0)
    assert place(scheduler, build_quick(10), now=9.0).upstream == first.upstream


def test_unreachable_replica_is_avoided_but_used_when_all_are():
    scheduler = EngineScheduler()
    pair = ENDPOINTS[:2]
    scheduler.record_failure("i-1", 0.0)
    for number in range(20):
        work = build_quick(number)
        assert place(scheduler, work, 0.1, pair).upstream == "i-2"
        scheduler.record_stage(JobStage(work.job, is_ended=True), 0.1)
    scheduler.record_failure("i-2", 0.1)
    assert isinstance(place(scheduler, build_quick("last"), 0.2, pair), Placement)


def test_prompt_larger_than_one_kv_cache_reserves_memory_on_helpers():
    placement = place(EngineScheduler(), build_work("giant", 700_000))
    helper_tokens = sum(helper.tokens for helper in placement.helpers)
    own = 700_000 + 1_600 - helper_tokens
    assert 0 < own <= PROFILE.memory_tokens
    assert all(h.tokens <= PROFILE.memory_tokens for h in placement.helpers)


def test_long_prompts_leave_slots_for_quick_requests():
    scheduler = EngineScheduler()
    for number in range(16):
        start(scheduler, build_quick(number))
    for number in range(12):
        place(scheduler, build_work(f"long-{number}", 200_000, target=10.0))
    for number in range(16, 28):
        placement = start(scheduler, build_quick(number), now=0.1)
        assert placement.first_token_in < 0.3


def test_long_prompt_that_would_be_late_is_declined():
    scheduler = EngineScheduler()
    outcomes = [place(scheduler, build_work(n, 690_000)) for n in range(4)]
    declined = [outcome for outcome in outcomes if isinstance(outcome, Declined)]
    assert isinstance(outcomes[0], Placement)
    assert declined
    assert all(0.0 < outcome.retry_after <= 2.0 for outcome in declined)


def test_short_prefill_is_never_declined():
    scheduler = EngineScheduler()
    for number in range(100):
        assert isinstance(place(scheduler, build_work(number, 45_000)), Placement)


def test_next_leader_adopts_open_jobs():
    old = EngineScheduler()
    work = build_work("long", 210_000)
    placement = place(old, work)
    new = EngineScheduler()
    new.adopt(OpenJob(work, placement, is_decoding=False, age=0.1), PROFILE, 0.1)
    busy = {one.upstream for one in new.list_busy(0.1, 32)}
    assert busy == {placement.upstream, *(h.upstream for h in placement.helpers)}


def test_uncoordinated_fronts_spread_jobs_and_use_small_parts():
    fronts = [EngineScheduler(f"front-{n}", UNCOORDINATED_MAX_PART_S) for n in range(9)]
    firsts = [place(front, build_quick(n)).upstream for n, front in enumerate(fronts)]
    assert len(set(firsts)) >= 5
    placement = place(fronts[0], build_work("long", 45_000, target=1.5, event_gap=0.5))
    assert len(placement.helpers) == 1


def test_uncoordinated_front_avoids_load_that_the_lost_leader_reported():
    leader = EngineScheduler()
    placement = place(leader, build_work("long", 210_000))
    front = EngineScheduler("front")
    front.record_busy_replicas(leader.list_busy(0.0, 32), 0.0)
    reading = {placement.upstream, *(h.upstream for h in placement.helpers)}
    for number in range(30):
        assert place(front, build_quick(number), 0.01).upstream not in reading


def test_jobs_of_a_disconnected_front_count_against_the_slots():
    scheduler = EngineScheduler()
    first = place(scheduler, build_quick(1))
    scheduler.record_stage(JobStage("front-1-1", is_ended=False, load=7), 0.1)
    second = place(scheduler, build_quick(2), 0.1)
    assert second.upstream != first.upstream
    scheduler.record_stage(JobStage("front-1-2", is_ended=True), 0.2)
    # The replica's count expires.
    old = 0.1 + UNKNOWN_JOBS_LIFETIME_S
    assert place(scheduler, build_quick(3), old - 0.1).upstream != first.upstream
    assert place(scheduler, build_quick(4), old).upstream == first.upstream


def test_parts_of_long_prompts_are_scheduled_one_after_another():
    # An engine prefills the newest part first, so no part may queue on a replica.
    scheduler = EngineScheduler()
    ends = {}
    for number in range(6):
        placement = place(scheduler, build_work(number, 270_000, target=10.0))
        part = compute_prefill_time(PROFILE, 270_000) / (1 + len(placement.helpers))
        for upstream in (placement.upstream, *(h.upstream for h in placement.helpers)):
            assert placement.start_in >= ends.get(upstream, 0.0) - 1e-9
            ends[upstream] = placement.start_in + part


def test_predicted_first_token_includes_the_scheduled_wait():
    scheduler = EngineScheduler()
    first = place(scheduler, build_work(1, 270_000))
    while first.start_in == 0.0:
        last = first
        first = place(scheduler, build_work(scheduler.open_jobs + 1, 270_000))
        assert not isinstance(first, Declined)
    assert first.first_token_in > first.start_in + 0.1
    assert last.start_in == 0.0


FLEET = [build_endpoint(number) for number in range(1, 61)]
OPEN_QUICK_REQUESTS = 210


def build_loaded_leader():
    """Build a leader with many open quick requests, and fronts that have its report."""
    leader = EngineScheduler()
    for number in range(OPEN_QUICK_REQUESTS):
        place(leader, build_quick(number), endpoints=FLEET)
    fronts = [
        EngineScheduler(f"front-{n}", UNCOORDINATED_MAX_PART_S) for n in range(80)
    ]
    for front in fronts:
        front.record_busy_replicas(leader.list_busy(0.0, 64), 0.0)
    return leader, fronts


def test_uncoordinated_front_spreads_consecutive_jobs():
    endpoints = tuple(build_endpoint(number) for number in range(1, 151))
    for front in range(10):
        scheduler = EngineScheduler(f"front-{front}", UNCOORDINATED_MAX_PART_S)
        jobs = [build_quick(n, job=f"front-{front}-{n}") for n in range(4)]
        chosen = [place(scheduler, job, endpoints=endpoints).upstream for job in jobs]
        assert len(set(chosen)) >= 3


def test_uncoordinated_fronts_do_not_overfill_idle_replicas():
    leader, fronts = build_loaded_leader()
    busy = leader.list_busy(0.0, len(FLEET))
    load = Counter({one.upstream: one.decoding for one in busy})
    # One request per front.
    for number, front in enumerate(fronts):
        load[place(front, build_quick(f"a{number}"), 0.1, FLEET).upstream] += 1
    overfull = sum(count > PROFILE.slots for count in load.values())
    assert overfull <= 2
    assert max(load.values()) <= PROFILE.slots + 2
