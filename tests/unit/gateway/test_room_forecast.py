"""When room for a prompt is expected: memory, prefill, learned decode times."""

import msgspec
import pytest

from scalebend.core.gateway.engine_costs import compute_prefill_time
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.room_forecast import (
    OUTLOOK_LIFETIME_S,
    Outlooks,
    QueuedAhead,
    forecast_room,
)
from scalebend.models.placement import JobStage
from tests.lib.gateway_builders import PROFILE, build_endpoint, build_quick, build_work

TWO = [build_endpoint(number) for number in (1, 2)]
LONG = build_work("long", 400_000, remaining=15.0)


def start_jobs(scheduler, works, endpoints=TWO, now=0.0):
    for work in works:
        scheduler.place(work, endpoints, PROFILE, now)


def forecast(scheduler, work, now, endpoints=TWO, **options):
    fleet = scheduler.describe_fleet(endpoints, PROFILE)
    return forecast_room(work, fleet, now, **options)


def test_idle_replicas_have_room_at_once():
    assert forecast(EngineScheduler(), LONG, 0.0) == 0.0


def test_memory_comes_back_at_the_predicted_end_of_its_job():
    scheduler = EngineScheduler()
    works = [build_work(name, 420_000, target=9.0, remaining=60.0) for name in "ab"]
    start_jobs(scheduler, works)
    for work in works:
        scheduler.record_stage(JobStage(work.job, is_ended=False), 10.0)
    soon = forecast(scheduler, LONG, 10.0)
    step = PROFILE.step_ms * works[0].expected_tokens * 1e-3
    assert step <= soon <= 3.0 * step
    assert forecast(scheduler, LONG, 10.0 + soon) < soon


def test_job_that_runs_longer_than_expected_does_not_end_now():
    scheduler = EngineScheduler()
    works = [build_work(name, 420_000, target=9.0, remaining=60.0) for name in "ab"]
    start_jobs(scheduler, works)
    for work in works:
        scheduler.record_stage(JobStage(work.job, is_ended=False), 10.0)
    assert forecast(scheduler, LONG, 30.0) >= 0.2 * 20.0


def test_decode_times_are_learned_from_ended_jobs():
    scheduler = EngineScheduler()
    for number in range(64):
        work = build_quick(number)
        start_jobs(scheduler, [work], now=number)
        scheduler.record_stage(JobStage(work.job, is_ended=False), number)
        scheduler.record_stage(JobStage(work.job, is_ended=True), number + 0.4)
    fleet = scheduler.describe_fleet(TWO, PROFILE)
    twice = build_quick("twice", expected_tokens=3_200)
    assert fleet.decode_times.predict(twice, PROFILE) == pytest.approx(0.8)


def test_decode_times_are_not_learned_from_responses_that_were_cut_off():
    scheduler = EngineScheduler()
    work = build_quick(1)
    start_jobs(scheduler, [work])
    before = scheduler.describe_fleet(TWO, PROFILE).decode_times.predict(work, PROFILE)
    scheduler.record_stage(JobStage(work.job, is_ended=False), 0.1)
    scheduler.record_stage(JobStage(work.job, is_ended=True, has_failed=True), 9.0)
    after = scheduler.describe_fleet(TWO, PROFILE).decode_times.predict(work, PROFILE)
    assert after == before


def test_stages_of_either_version_are_read_by_the_other():
    class EarlierStage(msgspec.Struct, frozen=True, array_like=True):
        job: str
        is_ended: bool
        load: int | None = None

    new = msgspec.msgpack.encode(JobStage("j", is_ended=True, has_failed=True))
    assert msgspec.msgpack.decode(new, type=EarlierStage) == EarlierStage("j", True)
    old = msgspec.msgpack.encode(EarlierStage("j", True, 3))
    assert msgspec.msgpack.decode(old, type=JobStage) == JobStage("j", True, 3)


def test_outlook_of_a_moment_ago_forecasts_nearly_the_same():
    scheduler = EngineScheduler()
    start_jobs(scheduler, [build_work("first", 200_000, target=9.0)])
    fleet = scheduler.describe_fleet(TWO, PROFILE)
    outlooks = Outlooks()
    for now in (0.0, 0.02, 0.04, 0.06):
        kept = outlooks.forecast_room(LONG, fleet, now, QueuedAhead())
        assert kept == pytest.approx(
            forecast_room(LONG, fleet, now), abs=OUTLOOK_LIFETIME_S
        )


def test_scheduled_prefill_and_bookings_before_it_delay_room():
    scheduler = EngineScheduler()
    start_jobs(scheduler, [build_work("first", 200_000, target=9.0)])
    alone = forecast(scheduler, LONG, 0.0)
    assert alone > 0.0
    ahead = QueuedAhead(4.0, 100_000)
    assert forecast(scheduler, LONG, 0.0, ahead=ahead) >= alone + 2.0


def test_replicas_with_quick_jobs_do_not_count_while_there_are_others():
    scheduler = EngineScheduler()
    start_jobs(scheduler, [build_quick(1)], TWO[:1])
    start_jobs(scheduler, [build_work("first", 200_000, target=9.0)], TWO[1:])
    busy = forecast(scheduler, LONG, 0.0, TWO[1:])
    assert forecast(scheduler, LONG, 0.0) == pytest.approx(busy)


def test_work_for_no_fleet_of_this_size_has_no_room_ever():
    scheduler = EngineScheduler()
    too_large = build_work("large", 900_000, remaining=60.0)
    assert forecast(scheduler, too_large, 0.0) is None
    prefill = compute_prefill_time(PROFILE, 400_000)
    hurried = msgspec.structs.replace(LONG, remaining=0.4 * prefill)
    assert forecast(scheduler, hurried, 0.0) is None
    assert forecast(scheduler, LONG, 0.0, endpoints=[]) is None
