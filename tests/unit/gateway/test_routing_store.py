import msgspec
from hypothesis import given, strategies as st

from scalebend.core.control_state import ControlState, PutRouting, encode_command
from scalebend.core.gateway.routing_store import (
    RoutingUpdate,
    apply_update,
    build_update,
    pack_routing,
    unpack_document,
    unpack_routing,
)
from scalebend.models.routing import EMPTY_ROUTING
from tests.lib.gateway_builders import (
    build_customer,
    build_route,
    build_routing,
    build_service,
)


@st.composite
def routings(draw, version):
    prefixes = draw(st.sets(st.sampled_from("abcdef")))
    routes = [
        build_route(
            name=prefix,
            path_prefix=f"/{prefix}/",
            timeout=draw(st.sampled_from([1.0, 2.0])),
        )
        for prefix in sorted(prefixes)
    ]
    services = [build_service(n) for n in sorted(draw(st.sets(st.sampled_from("xyz"))))]
    customers = [
        build_customer(name, f"{name}-{draw(st.integers(0, 1))}")
        for name in sorted(draw(st.sets(st.sampled_from("pqr"))))
    ]
    return build_routing(version, routes, services, customers)


def as_sets(routing):
    return (
        routing.version,
        frozenset(routing.routes),
        frozenset(routing.services),
        frozenset(routing.customers),
        routing.needs_key,
    )


@given(routings(1), routings(2))
def test_update_turns_one_document_into_the_next(base, newer):
    update = build_update(base, newer)
    copy = msgspec.msgpack.decode(msgspec.msgpack.encode(update), type=RoutingUpdate)
    assert as_sets(apply_update(base, copy)) == as_sets(newer)


def test_update_for_another_base_is_not_applied():
    update = build_update(build_routing(3), build_routing(5))
    assert apply_update(build_routing(4), update) is None


def test_small_change_of_a_large_document_is_small():
    routes = [build_route(name=str(n), path_prefix=f"/{n}/") for n in range(350)]
    base = build_routing(1, routes)
    changed = [*routes[:-1], msgspec.structs.replace(routes[-1], timeout=1.0)]
    update = build_update(base, build_routing(2, changed))
    assert len(msgspec.msgpack.encode(update)) < 1_000
    whole = build_update(EMPTY_ROUTING, base)
    assert len(msgspec.msgpack.encode(whole)) < 60_000


def put(state, routing, document=b"{}"):
    command = PutRouting(pack_routing(routing, document))
    return state.apply(encode_command(command), 0.0).version


def test_highest_version_is_stored_and_returned_unchanged():
    state = ControlState()
    assert put(state, build_routing(5), b'{"five": 1}') == 5
    assert put(state, build_routing(3), b'{"three": 1}') == 5
    assert put(state, build_routing(5, routes=[]), b'{"other": 1}') == 5
    assert unpack_document(state.routing) == b'{"five": 1}'
    assert len(unpack_routing(state.routing).routes) == 1


def test_document_survives_a_snapshot():
    state = ControlState()
    put(state, build_routing(5), b'{"five": 1}')
    restored = ControlState()
    restored.restore(state.export())
    assert restored.routing == state.routing


def test_update_of_many_routes_is_small():
    # The platform may add this many routes at once.
    routes = [
        build_route(name=f"r-{n}", host=f"h{n % 7}.example", path_prefix=f"/p{n}/")
        for n in range(1_400)
    ]
    update = build_update(build_routing(1), build_routing(2, routes))
    assert len(msgspec.msgpack.encode(update)) < 30_000
