"""Processor time of the decisions for one request; see `make measure-decisions`.

In the usual run each benchmark is called once, so nothing depends on the clock.
"""

import collections
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
from scalebend.models.placement import Declined, JobStage, Placement
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


def build_queue_choice(waiting, customers):
    """Build a function that takes the next waiting request and adds another."""
    from scalebend.core.gateway.customer_use import CustomerUse
    from scalebend.core.gateway.placement_queue import PlacementQueue

    use = CustomerUse(0.0)
    queue = PlacementQueue(use)
    numbers = itertools.count()

    def add():
        number = next(numbers)
        work = build_quick(
            number, customer=f"c{number % customers}", priority=number % 3
        )
        assert queue.add(work, 0.0) is not None

    for _ in range(waiting):
        add()

    def decide():
        entry = queue.find_first(0.1)
        queue.remove(entry.work.job)
        use.charge(entry.work.customer, 0.05, 0.1)
        add()

    return decide


@pytest.mark.parametrize("customers", [40, 1_900])
def test_choice_among_two_thousand_waiting_requests(benchmark, customers):
    benchmark(build_queue_choice(1_900, customers))


def build_queued_placement(replicas, waiting):
    """Build a function that gives one freed slot to one of many quick prompts."""
    from tests.lib.queue_room import QueueRoom

    room = QueueRoom(replicas)
    running = collections.deque()
    numbers = itertools.count()

    def add(number):
        work = build_quick(number, customer=f"c{number % 40}", remaining=1e9)
        return work.job, room.place(work, 0.05 * number)

    def start(job, number):
        room.scheduler.record_stage(JobStage(job, is_ended=False), 0.05 * number)
        running.append(job)

    for _ in range(PROFILE.slots * replicas):
        number = next(numbers)
        job, placed = add(number)
        assert isinstance(placed, Placement)
        start(job, number)
    for _ in range(waiting):
        add(next(numbers))
    assert room.queue.waiting == waiting

    def decide():
        number = next(numbers)
        room.end(running.popleft(), 0.05 * number)
        (job,) = room.advance(0.05 * number)
        start(job, number)
        add(number)

    return decide


def test_freed_slot_among_six_hundred_replicas_with_two_thousand_waiting(benchmark):
    benchmark(build_queued_placement(600, 1_900))


def build_refusal(replicas, waiting, bookings):
    """Build a function that refuses a long prompt, with a booking, on a full fleet."""
    from scalebend.models.ids import Fingerprint
    from scalebend.models.placement import OpenJob
    from tests.lib.queue_room import QueueRoom

    room = QueueRoom(replicas)
    for number in range(PROFILE.slots * replicas):
        endpoint = room.endpoints[number % replicas]
        work = build_gateway_work(
            f"full-{number}", 54_000, target=60.0, event_gap=0.8, remaining=1e9
        )
        placed = Placement(endpoint.upstream, endpoint.address, (), 0.1, 0.0)
        room.scheduler.adopt(OpenJob(work, placed, is_decoding=True), PROFILE, 0.0)
    numbers = itertools.count()

    def build_long(customer, remaining):
        number = next(numbers)
        fingerprint = Fingerprint(f"request-{number}")
        return build_gateway_work(
            number,
            300_000,
            target=1.0,
            event_gap=0.8,
            fingerprint=fingerprint,
            customer=customer,
            remaining=remaining,
        )

    for number in range(waiting):
        room.place(build_long(f"c{number % 40}", 1e9), 0.0)
    assert room.queue.waiting == waiting
    (line,) = room.queue._lines.values()
    declined = Declined(0.5, lacks_memory=True)

    def refuse(customer, now):
        work = build_long(customer, 10.0)
        admission = room.queue._admission
        return admission.refuse(line, work, declined, room.build_room(now), now)

    for number in range(bookings):
        assert refuse(f"c{number % 40}", 0.0) != declined
    times = itertools.count(1)

    def decide():
        refuse("next", 1e-3 * next(times))

    return decide


def test_refusal_among_six_hundred_replicas_with_two_thousand_waiting(benchmark):
    benchmark(build_refusal(600, 1_900, 300))


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
