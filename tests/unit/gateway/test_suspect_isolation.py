"""Suspect requests are isolated from each other, so that one does not crash them all.

Requests of a crashed replica must not be packed on one replica again.
"""

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.models.placement import Declined, JobStage
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_work,
)

REPLICAS = 18
SUSPECTS = 8


def build_endpoints(count=REPLICAS):
    return tuple(build_endpoint(number) for number in range(1, count + 1))


def place(scheduler, endpoints, work, now=0.0):
    return scheduler.place(work, endpoints, PROFILE, now)


def crash_replica(scheduler, endpoints):
    """Place quick prompts on one replica, which crashes, and return it."""
    jobs = [build_quick(number).job for number in range(SUSPECTS)]
    placed = []
    for number, job in enumerate(jobs):
        now = 0.15 * number
        placed.append(place(scheduler, endpoints, build_quick(number), now))
        scheduler.record_stage(JobStage(job, is_ended=False), now + 0.1)
    (crashed,) = {one.upstream for one in placed}
    for job in jobs:
        scheduler.forget(job)
    return crashed


def build_suspect(number, crashed, **changes):
    return build_quick(number, excluded=(crashed,), is_suspect=True, **changes)


def test_requests_of_a_crashed_replica_are_placed_on_different_replicas():
    scheduler = EngineScheduler()
    endpoints = build_endpoints()
    crashed = crash_replica(scheduler, endpoints)
    placed = [
        place(scheduler, endpoints, build_suspect(100 + number, crashed), now=2.0)
        for number in range(SUSPECTS)
    ]
    assert len({one.upstream for one in placed}) == SUSPECTS
    assert crashed not in {one.upstream for one in placed}


def test_suspect_avoids_busy_replicas():
    scheduler = EngineScheduler()
    endpoints = build_endpoints()
    busy = {place(scheduler, endpoints, build_quick(n)).upstream for n in range(20)}
    suspect = place(scheduler, endpoints, build_suspect(100, "i-gone"))
    assert suspect.upstream not in busy


def test_suspects_share_a_replica_rather_than_being_declined():
    scheduler = EngineScheduler()
    endpoints = build_endpoints(2)
    for number in range(6):
        assert not isinstance(
            place(scheduler, endpoints, build_suspect(number, "i-gone")), Declined
        )


def test_long_suspect_is_isolated_from_other_suspects():
    scheduler = EngineScheduler()
    endpoints = build_endpoints()
    quick = place(scheduler, endpoints, build_suspect(1, "i-gone"))
    long = place(scheduler, endpoints, build_work(2, 200_000, is_suspect=True))
    assert quick.upstream not in long.upstreams
    other = place(scheduler, endpoints, build_suspect(3, "i-gone"))
    assert other.upstream not in {quick.upstream, *long.upstreams}


def test_ended_suspect_no_longer_occupies_a_replica():
    scheduler = EngineScheduler()
    endpoints = build_endpoints(3)
    first = place(scheduler, endpoints, build_suspect(1, "i-gone"))
    scheduler.forget(build_quick(1).job)
    second = place(scheduler, endpoints, build_suspect(2, "i-gone"))
    assert second.upstream == first.upstream
