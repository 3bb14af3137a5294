"""The replica pool chooses what an examination of every replica would choose.

The cost of a choice is covered by ``tests/unit/test_decision_cost.py``.
"""

import msgspec
import pytest
from hypothesis import given, settings, strategies as st

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.engine_view import IDLE
from scalebend.core.gateway.group_placement import (
    choose_prefill_group,
    place_on_idle,
)
from scalebend.core.gateway.placement_plan import REPLICA_COST_S
from scalebend.core.gateway.replica_load import ReplicaLoad
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.core.gateway.single_placement import (
    choose_on_time,
    choose_on_time_from,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import JobStage, Placement, ReplicaPace
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_work,
)

ENDPOINTS = tuple(build_endpoint(number) for number in range(1, 31))
SIZES = [(5_000, 0.3, 0.2), (45_000, 1.5, 0.5), (210_000, 3.0, 0.8)]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("place"), st.sampled_from(SIZES)),
        st.tuples(st.just("place"), st.just(SIZES[0])),
        st.tuples(st.sampled_from(["writes", "ends"]), st.integers(0, 60)),
        st.tuples(st.sampled_from(["fails", "slow", "leaves"]), st.integers(1, 30)),
        st.tuples(st.just("counts"), st.integers(0, 60)),
        st.tuples(st.just("wait"), st.floats(0.0, 0.4)),
    ),
    max_size=80,
)


class Fleet:
    """A scheduler and the steps that change its state."""

    def __init__(self):
        self.scheduler = EngineScheduler()
        self.now = 0.0
        self.endpoints = ENDPOINTS
        self.count = 0

    def apply(self, step, value):
        scheduler, now = self.scheduler, self.now
        match step:
            case "place":
                prompt, target, gap = value
                work = build_work(self.count, prompt, target=target, event_gap=gap)
                self.count += 1
                scheduler.place(work, self.endpoints, PROFILE, now)
            case "writes" | "ends":
                job = build_work(value, 1).job
                scheduler.record_stage(JobStage(job, is_ended=step == "ends"), now)
            case "counts":
                job = build_work(value, 1).job
                scheduler.record_stage(JobStage(job, is_ended=False, load=4), now)
            case "fails":
                scheduler.record_failure(UpstreamId(f"i-{value}"), now)
            case "slow":
                scheduler.record_pace(ReplicaPace(UpstreamId(f"i-{value}"), 1.8), now)
            case "leaves":
                removed = build_endpoint(value)
                self.endpoints = tuple(e for e in self.endpoints if e != removed)
            case "wait":
                self.now += value

    def plan(self, work):
        return self.scheduler._build_plan(work, PROFILE, self.now)

    def refresh(self):
        pool = self.scheduler._pools.get(ENDPOINTS[0].service)
        if pool is None:
            pool = ReplicaPool(self.scheduler._rank)
        pool.refresh(self.endpoints, PROFILE, self.scheduler._replicas, self.now)
        return pool

    def build_new_pool(self):
        pool = ReplicaPool(self.scheduler._rank)
        pool.refresh(self.endpoints, PROFILE, self.scheduler._replicas, self.now)
        return pool


def sort_by_upstream(views):
    return sorted(views, key=lambda view: view.endpoint.upstream)


@given(STEPS)
def test_kept_views_equal_rebuilt_views(steps):
    fleet = Fleet()
    for step in steps:
        fleet.apply(*step)
        kept, rebuilt = fleet.refresh(), fleet.build_new_pool()
        assert sort_by_upstream(kept.list_views()) == sort_by_upstream(
            rebuilt.list_views()
        )
        assert kept.quick_jobs == rebuilt.quick_jobs
        assert kept.quick_replicas == rebuilt.quick_replicas
        assert set(kept.list_occupancies()) == set(rebuilt.list_occupancies())
        assert kept.count_without_prefill(IDLE) == rebuilt.count_without_prefill(IDLE)


@given(STEPS, st.sampled_from([(5_000, 0.3, 0.2), (20_000, 1.0, 0.5)]))
def test_choice_by_occupancy_equals_choice_among_all(steps, size):
    fleet = Fleet()
    for step in steps:
        fleet.apply(*step)
    prompt, target, gap = size
    plan = fleet.plan(build_work("next", prompt, target=target, event_gap=gap))
    pool = fleet.refresh()
    assert choose_on_time(plan, pool) == choose_on_time_from(plan, pool.list_views())


ZONES = ["z-a", "z-b", "z-c"]


@given(
    STEPS,
    st.sampled_from([(5_000, 0.3, 0.2), (20_000, 1.0, 0.5)]),
    st.sampled_from(ZONES),
    st.frozensets(st.sampled_from(ZONES), max_size=2),
)
def test_choice_by_zone_equals_choice_among_all(steps, size, zone, avoided):
    fleet = Fleet()
    fleet.endpoints = tuple(
        msgspec.structs.replace(one, availability_zone=ZONES[number % 3])
        for number, one in enumerate(ENDPOINTS)
    )
    for step in steps:
        fleet.apply(*step)
    prompt, target, gap = size
    work = build_work(
        "next", prompt, target=target, event_gap=gap, availability_zone=zone
    )
    plan = msgspec.structs.replace(fleet.plan(work), avoided_zones=avoided)
    pool = fleet.refresh()
    assert choose_on_time(plan, pool) == choose_on_time_from(plan, pool.list_views())


@given(STEPS, st.sampled_from(SIZES[1:]))
def test_group_of_idle_replicas_ends_no_later_than_any_other(steps, size):
    fleet = Fleet()
    for step in steps:
        fleet.apply(*step)
    prompt, target, gap = size
    plan = fleet.plan(build_work("next", prompt, target=target, event_gap=gap))
    pool = fleet.refresh()
    idle = place_on_idle(plan, pool)
    if idle is None:
        return
    other = choose_prefill_group(plan, pool)
    assert isinstance(other, Placement)
    ends = [
        one.first_token_in + REPLICA_COST_S * len(one.upstreams)
        for one in (idle, other)
    ]
    assert ends[0] <= ends[1] + 1e-9


@settings(max_examples=20)
@given(st.integers(0, 400))
def test_long_prompt_finds_a_group_among_hundreds_of_busy_replicas(quick):
    fleet = Fleet()
    fleet.endpoints = tuple(build_endpoint(number) for number in range(1, 301))
    for _ in range(quick):
        fleet.apply("place", SIZES[0])
        fleet.apply("writes", fleet.count - 1)
    placed = fleet.scheduler.place(
        build_work("long", 210_000), fleet.endpoints, PROFILE, 0.0
    )
    assert isinstance(placed, Placement)
    assert placed.first_token_in < 1.0


def test_replica_without_reports_is_idle():
    pool = ReplicaPool(lambda upstream: len(upstream))
    pool.refresh(ENDPOINTS[:1], PROFILE, {}, 0.0)
    assert pool.count_without_prefill(IDLE) == 1


def test_unhealthy_replicas_are_used_when_there_is_no_other():
    load = ReplicaLoad()
    load.record_failure(0.0)
    pool = ReplicaPool(lambda upstream: 1)
    endpoint = ENDPOINTS[0]
    loads = {endpoint.upstream: load}
    pool.refresh((endpoint,), PROFILE, loads, 0.5)
    assert not pool.has_healthy
    assert [view.endpoint for view in pool.list_views()] == [endpoint]
    pool.refresh((endpoint,), PROFILE, loads, 3.0)
    assert pool.has_healthy


def test_endpoint_list_changed_in_place_is_detected():
    scheduler = EngineScheduler()
    endpoints = list(ENDPOINTS[:2])
    first = scheduler.place(build_quick(1), endpoints, PROFILE, 0.0)
    endpoints[:] = [e for e in endpoints if e.upstream != first.upstream]
    second = scheduler.place(build_quick(2), endpoints, PROFILE, 0.0)
    assert second.upstream != first.upstream


@pytest.mark.parametrize("change", [{"slots": 3}, {"memory_tokens": 90_000}])
def test_changed_engine_profile_rebuilds_views(change):
    fleet = Fleet()
    fleet.apply("place", SIZES[0])
    other = msgspec.structs.replace(PROFILE, **change)
    pool = fleet.refresh()
    pool.refresh(fleet.endpoints, other, fleet.scheduler._replicas, 0.0)
    rebuilt = ReplicaPool(fleet.scheduler._rank)
    rebuilt.refresh(fleet.endpoints, other, fleet.scheduler._replicas, 0.0)
    assert sort_by_upstream(pool.list_views()) == sort_by_upstream(rebuilt.list_views())
