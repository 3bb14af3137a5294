"""Priority levels of a service, and the priority of attempts at its engines."""

from types import SimpleNamespace

import msgspec
import pytest
import structlog

from scalebend.core.gateway.priorities import (
    DEFAULT_URGENCY,
    LEVEL_AGE_S,
    QUICK_TARGET_S,
    QUICK_URGENCY,
    compute_urgency,
    list_levels,
)
from scalebend.core.gateway.route_table import RouteTable
from scalebend.edges.gateway.engine_priorities import choose_urgency
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.upstream_choice import Target
from scalebend.models.ids import ServiceName, UpstreamId
from scalebend.models.placement import JobId
from scalebend.models.routing import WeightedService
from tests.lib.gateway_builders import (
    SERVICE,
    build_call,
    build_customer,
    build_route,
    build_routing,
)

QUICK, LONG = 0.3, 4.0
LEVELS = (0, 1, 2)


def build_ranked(name, priority):
    return msgspec.structs.replace(build_customer(name), priority=priority)


# Levels


def test_document_without_ranked_customers_has_no_levels():
    routes = [
        build_route(name="a", priority=0),
        build_route(name="b", path_prefix="/b/", priority=2),
    ]
    routing = build_routing(routes=routes, customers=[build_customer()])
    assert list_levels(routing) == {}


def test_customers_priority_takes_the_place_of_the_routes():
    routing = build_routing(
        routes=[build_route(priority=7)],
        customers=[build_ranked("a", 2), build_ranked("b", 0)],
    )
    assert list_levels(routing) == {SERVICE: (0, 2)}


def test_route_counts_where_some_callers_have_no_priority_of_their_own():
    some = [build_ranked("a", 1), build_customer("b")]
    routing = build_routing(routes=[build_route(priority=7)], customers=some)
    assert list_levels(routing) == {SERVICE: (1, 7)}
    public = build_routing(
        routes=[build_route(priority=7, is_public=True)],
        customers=[build_ranked("a", 1)],
    )
    assert list_levels(public) == {SERVICE: (1, 7)}


def test_levels_are_those_of_one_service():
    other = ServiceName("other")
    routes = [
        build_route(name="a", priority=3),
        build_route(
            name="b",
            path_prefix="/b/",
            priority=9,
            services=(WeightedService(other, 1.0),),
        ),
    ]
    customers = [build_ranked("a", 3), build_customer("b")]
    routing = build_routing(routes=routes, customers=customers)
    assert list_levels(routing) == {SERVICE: (3,), other: (3, 9)}


# Priority at the engines


@pytest.mark.parametrize("levels", [(), (0,), (4,)])
@pytest.mark.parametrize("age", [0.0, 9.0])
def test_with_one_level_only_the_latency_target_counts(levels, age):
    for target in (0.1, QUICK_TARGET_S):
        assert compute_urgency(4, levels, target, age) == QUICK_URGENCY == 3
    for target in (QUICK_TARGET_S + 0.01, LONG):
        assert compute_urgency(4, levels, target, age) == DEFAULT_URGENCY == 5


def test_more_urgent_level_goes_first_whatever_its_target():
    sent = [
        compute_urgency(priority, LEVELS, target, 0.0)
        for priority in LEVELS
        for target in (QUICK, LONG)
    ]
    assert sent == sorted(set(sent))


def test_levels_are_told_apart_by_order_not_by_value():
    levels = (-8, 0, 50)
    sent = [compute_urgency(priority, levels, LONG, 0.0) for priority in levels]
    assert sent == [compute_urgency(level, LEVELS, LONG, 0.0) for level in LEVELS]


@pytest.mark.parametrize("target", [QUICK, LONG])
@pytest.mark.parametrize("age", [0.0, 3.0, 100.0])
def test_many_levels_stay_in_the_range_of_the_engines_and_in_order(target, age):
    levels = tuple(range(30))
    sent = [compute_urgency(priority, levels, target, age) for priority in levels]
    assert sent == sorted(sent)
    assert 0 <= sent[0] <= sent[-1] <= 9


def test_priority_of_an_earlier_document_has_a_place_among_the_levels():
    assert compute_urgency(1, (0, 2), LONG, 0.0) == compute_urgency(2, (0, 2), LONG, 0)
    assert compute_urgency(99, LEVELS, LONG, 0.0) <= 9


def test_old_request_passes_a_more_urgent_new_one_in_bounded_time():
    age = LEVEL_AGE_S * 2
    old = compute_urgency(2, LEVELS, QUICK, age)
    assert old < compute_urgency(0, LEVELS, LONG, 0.0)
    sent = [compute_urgency(2, LEVELS, LONG, 0.5 * half) for half in range(40)]
    assert sent == sorted(sent, reverse=True)
    assert sent[0] > sent[-1]


# Of a front


class Runtime:
    """What the choice reads of a front."""

    def __init__(self, routing, now):
        self.instance = SimpleNamespace(table=RouteTable(routing))
        self.metrics = GatewayMetrics()
        self.now = lambda: now


def choose(routing, *, priority=0, target=LONG, now=0.0, job="j-1"):
    runtime = Runtime(routing, now)
    call = build_call(build_route(target_latency=target))
    call = msgspec.structs.replace(call, priority=priority)
    upstream = UpstreamId("i-1")
    chosen = Target(upstream, "10.1.64.1:8000", [], job=JobId(job) if job else None)
    with structlog.testing.capture_logs() as lines:
        urgency = choose_urgency(runtime, call, chosen)
    return urgency, lines, runtime.metrics.render().decode()


def build_two_levels():
    return build_routing(customers=[build_ranked("a", 0), build_ranked("b", 1)])


def test_plain_service_gets_no_priority():
    urgency, lines, _ = choose(build_two_levels(), job=None)
    assert urgency is None
    assert not lines


@pytest.mark.parametrize("priority", [0, 1])
def test_documents_without_levels_send_and_log_what_they_did(priority):
    routings = [
        build_routing(),
        build_routing(customers=[build_customer()]),
        build_routing(customers=[build_ranked("a", 1), build_ranked("b", 1)]),
    ]
    for routing in routings:
        for target, expected in ((QUICK, 3), (LONG, 5)):
            found = choose(routing, priority=priority, target=target, now=8.0)
            urgency, lines, _ = found
            assert urgency == expected
            assert not lines


def test_choice_is_logged_and_counted():
    urgency, (line,), metrics = choose(build_two_levels(), priority=1, now=1.25)
    assert line["event"] == "engine priority chosen"
    assert line["request"] == "id-1"
    assert (line["job"], line["upstream"]) == ("j-1", "i-1")
    assert (line["priority"], line["levels"]) == (1, (0, 1))
    assert (line["age"], line["urgency"]) == (1.25, urgency)
    counter = f'scalebend_engine_priorities_total{{priority="{urgency}"}} 1.0'
    assert counter in metrics


def test_age_counts_from_the_arrival_of_the_request():
    new, *_ = choose(build_two_levels(), priority=1, now=0.0)
    old, *_ = choose(build_two_levels(), priority=1, now=LEVEL_AGE_S)
    assert old < new
