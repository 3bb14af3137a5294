"""The priority that an engine receives from a front."""

import msgspec
import pytest

from tests.lib.front import HOST, answer_sealed, run_front, serve
from tests.lib.gateway_builders import (
    PROFILE,
    build_customer,
    build_route,
    build_routing,
    build_service,
)


async def send(priorities, *, customer, target):
    """Send one prompt of a customer; return the priority that its engine received."""
    customers = [
        msgspec.structs.replace(build_customer(name), priority=priority)
        for name, priority in priorities.items()
    ]
    routing = build_routing(
        routes=[build_route(priority=2, target_latency=target)],
        services=[build_service(engine=PROFILE)],
        customers=customers,
    )
    received = []

    async def handle(request):
        received.append(request.headers.get("X-Request-Priority"))
        return await answer_sealed(request)

    headers = {
        "Host": HOST,
        "X-Request-Id": "r-1",
        "X-Deadline-Ms": "10000",
        "X-Token-Counts": "5000,100",
        "Authorization": f"Bearer key-of-{customer}",
    }
    async with serve(handle) as address, run_front(routing) as front:
        front.add(1, address)
        async with front.session.post(front.url, headers=headers, data=b"x") as got:
            assert got.status == 200
    return received


@pytest.mark.parametrize(
    ("customer", "target", "expected"),
    [
        ("first", 0.3, "0"),
        ("first", 4.0, "1"),
        ("second", 0.3, "2"),
        ("second", 4.0, "3"),
        # Has no priority of its own: that of the route counts.
        ("other", 4.0, "5"),
    ],
)
async def test_engine_receives_the_level_of_the_customer(customer, target, expected):
    ranks = {"first": 0, "second": 1, "other": None}
    assert await send(ranks, customer=customer, target=target) == [expected]


@pytest.mark.parametrize(("target", "expected"), [(0.3, "3"), (4.0, "5")])
@pytest.mark.parametrize("rank", [None, 1])
async def test_engine_receives_what_it_did_before_with_one_level(
    rank, target, expected
):
    ranks = {"a": rank, "b": rank}
    assert await send(ranks, customer="a", target=target) == [expected]
