"""Requests that lost their replica are placed apart, so that one does not end them all.

Quick prompts share as few replicas as they can. When a replica ended, those that it ran
were placed anew together on the next one, the cause among them: most were lost twice.
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
VICTIMS = 8


def build_endpoints(count=REPLICAS):
    return tuple(build_endpoint(number) for number in range(1, count + 1))


def place(scheduler, endpoints, work, now=0.0):
    return scheduler.place(work, endpoints, PROFILE, now)


def lose_a_replica(scheduler, endpoints):
    """Quick prompts that share a replica, which ends; return it."""
    jobs = [build_quick(number).job for number in range(VICTIMS)]
    placed = []
    for number, job in enumerate(jobs):
        now = 0.15 * number
        placed.append(place(scheduler, endpoints, build_quick(number), now))
        scheduler.record_stage(JobStage(job, is_ended=False), now + 0.1)
    (lost,) = {one.upstream for one in placed}
    for job in jobs:
        scheduler.forget(job)
    return lost


def build_suspect(number, lost, **changes):
    return build_quick(number, excluded=(lost,), is_suspect=True, **changes)


def test_victims_of_a_replica_do_not_meet_again():
    scheduler = EngineScheduler()
    endpoints = build_endpoints()
    lost = lose_a_replica(scheduler, endpoints)
    placed = [
        place(scheduler, endpoints, build_suspect(100 + number, lost), now=2.0)
        for number in range(VICTIMS)
    ]
    assert len({one.upstream for one in placed}) == VICTIMS
    assert lost not in {one.upstream for one in placed}


def test_suspect_is_kept_from_replicas_that_run_much():
    scheduler = EngineScheduler()
    endpoints = build_endpoints()
    busy = {place(scheduler, endpoints, build_quick(n)).upstream for n in range(20)}
    suspect = place(scheduler, endpoints, build_suspect(100, "i-gone"))
    assert suspect.upstream not in busy


def test_suspects_share_a_replica_before_they_are_refused():
    scheduler = EngineScheduler()
    endpoints = build_endpoints(2)
    for number in range(6):
        assert not isinstance(
            place(scheduler, endpoints, build_suspect(number, "i-gone")), Declined
        )


def test_long_suspect_is_read_away_from_other_suspects():
    scheduler = EngineScheduler()
    endpoints = build_endpoints()
    quick = place(scheduler, endpoints, build_suspect(1, "i-gone"))
    long = place(scheduler, endpoints, build_work(2, 200_000, is_suspect=True))
    assert quick.upstream not in long.upstreams
    other = place(scheduler, endpoints, build_suspect(3, "i-gone"))
    assert other.upstream not in {quick.upstream, *long.upstreams}


def test_what_ended_is_no_suspect_any_more():
    scheduler = EngineScheduler()
    endpoints = build_endpoints(3)
    first = place(scheduler, endpoints, build_suspect(1, "i-gone"))
    scheduler.forget(build_quick(1).job)
    second = place(scheduler, endpoints, build_suspect(2, "i-gone"))
    assert second.upstream == first.upstream
