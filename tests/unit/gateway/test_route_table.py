import random

import pytest

from scalebend.core.gateway.route_table import RouteTable, check_routing
from scalebend.exceptions import DocumentError, ErrorKind
from scalebend.models.ids import ServiceName
from scalebend.models.routing import WeightedService
from tests.lib.gateway_builders import (
    build_customer,
    build_route,
    build_routing,
)


def test_longest_prefix_of_the_host_wins():
    routes = [
        build_route(name="all", path_prefix="/"),
        build_route(name="deep", path_prefix="/a/b/"),
        build_route(name="other", host="b.example", path_prefix="/a/b/c/"),
    ]
    table = RouteTable(build_routing(routes=routes))
    assert table.find_route("A.example:8080", "/a/b/c/d").name == "deep"
    assert table.find_route("a.example", "/a/").name == "all"
    assert table.find_route("c.example", "/a/") is None


def test_prefix_matches_whole_segments_only():
    table = RouteTable(build_routing(routes=[build_route(path_prefix="/ab/")]))
    assert table.find_route("a.example", "/abc") is None


def test_services_are_drawn_by_weight():
    split = (WeightedService(ServiceName("x"), 9), WeightedService(ServiceName("y"), 1))
    route = build_route(services=split)
    table = RouteTable(build_routing(routes=[route]))
    chooser = random.Random(1)
    drawn = [table.choose_service(route, chooser) for _ in range(1_000)]
    assert 850 < drawn.count("x") < 950


def test_key_belongs_to_one_customer():
    table = RouteTable(build_routing(customers=[build_customer("crew", "k1", "k2")]))
    assert table.find_customer("k2").name == "crew"
    assert table.find_customer("k3") is None
    assert table.find_customer(None) is None


@pytest.mark.parametrize(
    "routing",
    [
        build_routing(
            routes=[build_route(services=(WeightedService(ServiceName("gone"), 1),))]
        ),
        build_routing(routes=[build_route(name="a"), build_route(name="b")]),
        build_routing(
            routes=[build_route(services=(WeightedService("assistant", 0.0),))]
        ),
        build_routing(routes=[build_route(timeout=0.0)]),
        build_routing(
            customers=[build_customer("a", "same"), build_customer("b", "same")]
        ),
    ],
    ids=["unknown-service", "same-prefix", "no-weight", "no-timeout", "shared-key"],
)
def test_invalid_document_is_rejected(routing):
    with pytest.raises(DocumentError) as caught:
        check_routing(routing)
    assert caught.value.kind is ErrorKind.INVALID_CONFIGURATION


def test_valid_document_passes():
    check_routing(build_routing(customers=[build_customer()]))
