"""Processor time of the decisions for one request; see `make measure-decisions`.

In the usual run each benchmark is called once, so nothing depends on the clock.
"""

import itertools

import pytest
import structlog

from scalebend.core.flow import Completed, Conclude, Prefilled, ToOwner
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.path_health import PathHealth
from scalebend.core.instance import Instance
from scalebend.core.messages import Published
from scalebend.models.configuration import (
    AcceptedConfiguration,
    Configuration,
    Customer,
    Model,
)
from scalebend.models.ids import InstanceId, Region
from scalebend.models.paths import PathSum, build_zone_path
from scalebend.models.placement import JobStage, Placement
from scalebend.models.settings import Listen, Settings
from scalebend.models.upstream import LoadedModel
from scalebend.models.work import Grant, Reserve
from tests.lib.builders import ENTRY, ZONE, build_announcement, build_request
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_work as build_gateway_work,
)


@pytest.fixture(autouse=True)
def drop_log_lines():
    """Drop log lines, whose cost depends on the output."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(50),
        cache_logger_on_first_use=True,
    )
    yield
    structlog.reset_defaults()


def build_instance(upstreams, models, customers, zones):
    settings = Settings(
        instance=InstanceId(ENTRY),
        region=Region("r"),
        availability_zone=ZONE,
        listen=Listen("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"),
    )
    instance = Instance(settings, None, now=0.0, incarnation=1)
    configuration = Configuration(
        customers=[Customer(f"c{n}", []) for n in range(customers)],
        models=[Model(f"m{n}") for n in range(models)],
    )
    accepted = AcceptedConfiguration(1, "x", "", configuration)
    instance.handle_peer(ENTRY, Published(accepted, None), 0.0, 0.0)
    for number in range(upstreams):
        announcement = build_announcement(
            f"engine-{number}",
            availability_zone=ZONE if number % zones == 0 else f"z{number % zones}",
            models=[LoadedModel(f"m{number % models}")],
            memory_tokens=1_000_000,
            concurrency=10_000,
            prefill_rate=1e9,
        )
        instance.catalog.apply_announcement(announcement, 0.0)
    for number in range(customers):
        instance.owners.shares.charge(f"c{number}", 1.0, 0.0)
    return instance


def build_decision(upstreams, models, customers, zones):
    """Build a function that makes all decisions for one request."""
    instance = build_instance(upstreams, models, customers, zones)
    entry = instance.entry
    names = itertools.count()

    def decide():
        number = next(names)
        request = build_request(
            f"r{number}",
            customer=f"c{number % customers}",
            model=f"m{number % models}",
            deadline=1e9,
        )
        actions = list(entry.admit(request, 0.0))
        attempt = ""
        while actions:
            action = actions.pop()
            if isinstance(action, ToOwner) and isinstance(action.message, Reserve):
                work = action.message.work
                attempt = work.attempt
                grant = Grant(work.attempt, work.upstream, 2.0)
                entry.handle_grant(grant, 0.0)
                entry.handle_started(attempt, 0.0)
                if work.prefill_tokens:
                    actions += entry.handle_result(attempt, Prefilled(), 0.0)
        result = entry.handle_result(attempt, Completed(10), 0.0)
        assert isinstance(result[-1], Conclude) and result[-1].error is None

    return decide


def test_decision_with_twenty_replicas(benchmark):
    benchmark(build_decision(20, 1, 10, 3))


def test_decision_with_six_hundred_replicas_and_two_thousand_customers(benchmark):
    benchmark(build_decision(600, 8, 2_000, 6))


def test_grant_at_the_owner_with_two_thousand_pending(benchmark):
    from scalebend.core.owner import ReplicaOwner
    from scalebend.core.queueing import STRATEGIES
    from scalebend.core.shares import ShareLedger
    from scalebend.models.work import Outcome, Release, Started
    from tests.lib.builders import UPSTREAM, build_view, build_work

    shares = ShareLedger()
    policy = STRATEGIES["fair"].queue
    view = build_view(concurrency=1, memory_tokens=10**9, prefill_rate=1e9)
    owner = ReplicaOwner(view, policy, shares, incarnation=1)
    for number in range(2_000):
        work = build_work(f"w{number}", customer=f"c{number % 40}", timeout_s=1e9)
        owner.handle(Reserve(work), 0.0)
    names = itertools.count(2_000)

    def decide():
        (held,) = owner.ledger.list_reserved()
        owner.handle(Started(held, UPSTREAM), 0.0)
        owner.handle(Release(held, UPSTREAM, Outcome.FINISHED, 100), 0.0)
        work = build_work(f"w{next(names)}", customer="c1", timeout_s=1e9)
        owner.handle(Reserve(work), 0.0)

    benchmark(decide)


def build_placement(replicas, prompt, target, event_gap, zones=None):
    """Build a function that places one prompt beside two quick jobs per replica.

    With ``zones``, the first is that of the front, and its path to the second is
    degraded.
    """
    changes = {}
    endpoints = tuple(build_endpoint(number) for number in range(replicas))
    scheduler = EngineScheduler()
    if zones is not None:
        changes["availability_zone"] = zones[0]
        endpoints = tuple(
            build_endpoint(number, availability_zone=zones[number % len(zones)])
            for number in range(replicas)
        )
        scheduler.paths = PathHealth(min_fronts=1)
        lossy = {build_zone_path(*zones[:2]): PathSum(100.0, 10.0, 3)}
        scheduler.paths.update(lossy, 0.0)
    for number in range(2 * replicas):
        work = build_quick(number, remaining=1e9)
        scheduler.place(work, endpoints, PROFILE, 0.0)
        scheduler.record_stage(JobStage(work.job, is_ended=False), 0.0)
    numbers = itertools.count(1)

    def decide():
        number = next(numbers)
        # Earlier prompts have ended by then.
        work = build_gateway_work(
            f"next-{number}", prompt, target=target, event_gap=event_gap, **changes
        )
        placed = scheduler.place(work, endpoints, PROFILE, 10.0 * number)
        assert isinstance(placed, Placement)
        scheduler.record_stage(JobStage(work.job, is_ended=True), 10.0 * number)

    return decide


@pytest.mark.parametrize("replicas", [18, 60, 150, 300, 600])
@pytest.mark.parametrize(
    ("prompt", "target", "event_gap"),
    [(5_000, 0.3, 0.2), (45_000, 1.5, 0.5), (210_000, 3.0, 0.8)],
)
def test_placement_among_replicas(benchmark, replicas, prompt, target, event_gap):
    benchmark(build_placement(replicas, prompt, target, event_gap))


@pytest.mark.parametrize("replicas", [18, 60, 600])
@pytest.mark.parametrize(
    ("prompt", "target", "event_gap"),
    [(5_000, 0.3, 0.2), (45_000, 1.5, 0.5), (210_000, 3.0, 0.8)],
)
def test_placement_among_replicas_of_zones(
    benchmark, replicas, prompt, target, event_gap
):
    zones = ["z-a", "z-b", "z-c"]
    benchmark(build_placement(replicas, prompt, target, event_gap, zones))
