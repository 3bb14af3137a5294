"""Large routing documents that change often.

Guards against control instances that exceed their memory with the documents they keep,
and against fronts that do not get a document because its base is no longer kept.
"""

import random
import tracemalloc

import msgspec
import pytest

from scalebend.core.gateway.routing_history import (
    MAX_KEPT_BYTES,
    MAX_KEPT_VERSIONS,
    RoutingHistory,
)
from scalebend.core.gateway.routing_push import RoutingPush
from scalebend.core.gateway.routing_store import apply_update
from scalebend.models.ids import InstanceId
from scalebend.models.routing import EMPTY_ROUTING, Routing
from tests.lib.gateway_builders import build_route, build_routing

ROUTES = 4_000
CHANGES = 70
FRONT = InstanceId("front-1")

MEMORY_BYTES = 74 * 1024 * 1024
"""A quarter of 296 MB, a small control instance."""


def encode_large(routes=ROUTES):
    """Encode a document with names that hardly compress."""
    chooser = random.Random(routes)
    names = [f"r-{chooser.getrandbits(128):x}" for _ in range(routes)]
    return msgspec.msgpack.encode(
        build_routing(
            1,
            [
                build_route(name=name, path_prefix=f"/{n}/")
                for n, name in enumerate(names)
            ],
        )
    )


def decode(encoded, version):
    """Decode a version anew, so that it shares no objects with others."""
    routing = msgspec.msgpack.decode(encoded, type=Routing)
    return msgspec.structs.replace(routing, version=version)


def test_memory_of_many_large_documents_is_limited():
    encoded = encode_large()
    push = RoutingPush()
    tracemalloc.start()
    try:
        for version in range(1, CHANGES + 1):
            push.record_document(decode(encoded, version))
        held_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert held_bytes < MEMORY_BYTES


def test_kept_documents_are_limited_by_bytes():
    encoded = encode_large()
    history = RoutingHistory()
    for version in range(1, CHANGES + 1):
        history.add(decode(encoded, version))
        assert history.packed_bytes <= MAX_KEPT_BYTES
    kept = [version for version in range(1, CHANGES + 1) if version in history]
    # The newest ones without a gap, and more than the two that are always kept.
    assert kept == list(range(kept[0], CHANGES + 1))
    assert 2 < len(kept) < MAX_KEPT_VERSIONS


def test_newest_two_documents_are_kept_whatever_their_size(monkeypatch):
    monkeypatch.setattr("scalebend.core.gateway.routing_history.MAX_KEPT_BYTES", 100)
    history = RoutingHistory()
    for version in range(1, 5):
        history.add(decode(encode_large(20), version))
    assert [version for version in range(1, 5) if version in history] == [3, 4]
    assert history.packed_bytes == 0


def test_small_documents_are_limited_by_number():
    history = RoutingHistory()
    for version in range(1, 200):
        history.add(build_routing(version))
    kept = [version for version in range(1, 200) if version in history]
    assert kept == list(range(200 - MAX_KEPT_VERSIONS - 2, 200))


@pytest.mark.parametrize(
    ("held", "base"),
    [(0, 0), (1, 0), *((one, one) for one in range(CHANGES - 3, CHANGES))],
)
def test_front_gets_the_newest_document_whatever_version_it_holds(
    held, base, monkeypatch
):
    monkeypatch.setattr(
        "scalebend.core.gateway.routing_history.MAX_KEPT_BYTES", 64 * 1024
    )
    encoded = encode_large(500)
    push = RoutingPush()
    documents = [EMPTY_ROUTING]
    for version in range(1, CHANGES + 1):
        routing = decode(encoded, version)
        changed = msgspec.structs.replace(routing.routes[0], name=f"v-{version}")
        routes = (changed, *routing.routes[1:])
        documents.append(msgspec.structs.replace(routing, routes=routes))
        push.record_document(documents[-1])
    push.add_front(FRONT)
    (sent,) = push.subscribe(FRONT, held, is_wanted=True)
    update = sent.message
    # The whole document if the base is not kept, else only the changes.
    assert update.base == base
    assert (len(update.packed) < 1_000) is (base > 0)
    newer = apply_update(documents[base], update)
    assert newer.version == CHANGES
    assert sorted(newer.routes, key=repr) == sorted(documents[-1].routes, key=repr)
