"""Compressed routing documents and the differences between versions."""

from __future__ import annotations

import zlib
from typing import TypeVar

import msgspec

from scalebend.models.ids import CustomerId, RoutingVersion, ServiceName
from scalebend.models.routing import (
    ListenerLimits,
    Route,
    RoutedCustomer,
    RoutedService,
    Routing,
    StoredRouting,
)

COMPRESSION_LEVEL = 1
"""The fastest level of zlib; routing documents are repetitive enough for it."""

_DECODER = msgspec.msgpack.Decoder(Routing)

K = TypeVar("K")
V = TypeVar("V")


class RouteKey(msgspec.Struct, frozen=True, array_like=True):
    """Identity of a route, unique in a document."""

    host: str
    path_prefix: str


class RoutingUpdate(msgspec.Struct, frozen=True, tag="RoutingNews"):
    """Difference from version ``base`` to ``version``; base 0 is the empty document.

    A large change goes to many fronts at once, over links that also carry replies to
    their requests, so it is compressed once for all of them.
    """

    base: RoutingVersion
    version: RoutingVersion
    packed: bytes
    """The :class:`_Changes` as MessagePack, compressed by zlib."""


class _Changes(msgspec.Struct, frozen=True, array_like=True):
    """Differences of two documents; limits and customers' keys are complete."""

    limits: ListenerLimits
    needs_key: bool
    routes: list[Route]
    removed_routes: list[RouteKey]
    services: list[RoutedService]
    removed_services: list[ServiceName]
    customers: list[RoutedCustomer]
    removed_customers: list[CustomerId]


_CHANGES_DECODER = msgspec.msgpack.Decoder(_Changes)


def pack_routing(routing: Routing, document: bytes) -> StoredRouting:
    """Return a document in the form that the replicated log stores."""
    encoded = msgspec.msgpack.encode(routing)
    return StoredRouting(
        routing.version,
        zlib.compress(encoded, COMPRESSION_LEVEL),
        zlib.compress(document, COMPRESSION_LEVEL),
    )


def unpack_routing(stored: StoredRouting) -> Routing:
    """Return the routing document of a stored entry."""
    return _DECODER.decode(zlib.decompress(stored.routing))


def unpack_document(stored: StoredRouting) -> bytes:
    """Return the document of a stored entry as the operator sent it."""
    return zlib.decompress(stored.document)


def build_update(base: Routing, newer: Routing) -> RoutingUpdate:
    """Return the differences from ``base`` to ``newer``."""
    old_routes = _index_routes(base)
    new_routes = _index_routes(newer)
    old_services = {service.name: service for service in base.services}
    new_services = {service.name: service for service in newer.services}
    old_customers = {customer.name: customer for customer in base.customers}
    new_customers = {customer.name: customer for customer in newer.customers}
    changes = _Changes(
        newer.limits,
        newer.needs_key,
        _list_changed(old_routes, new_routes),
        _list_removed(old_routes, new_routes),
        _list_changed(old_services, new_services),
        _list_removed(old_services, new_services),
        _list_changed(old_customers, new_customers),
        _list_removed(old_customers, new_customers),
    )
    packed = zlib.compress(msgspec.msgpack.encode(changes), COMPRESSION_LEVEL)
    return RoutingUpdate(base.version, newer.version, packed)


def apply_update(base: Routing, update: RoutingUpdate) -> Routing | None:
    """Return the newer document; ``None`` if ``base`` isn't the update's base."""
    if base.version != update.base:
        return None
    changes = _CHANGES_DECODER.decode(zlib.decompress(update.packed))
    routes = _index_routes(base)
    for route_key in changes.removed_routes:
        routes.pop(route_key, None)
    for route in changes.routes:
        routes[RouteKey(route.host, route.path_prefix)] = route
    services = {service.name: service for service in base.services}
    for service_name in changes.removed_services:
        services.pop(service_name, None)
    services |= {service.name: service for service in changes.services}
    customers = {customer.name: customer for customer in base.customers}
    for customer_name in changes.removed_customers:
        customers.pop(customer_name, None)
    customers |= {customer.name: customer for customer in changes.customers}
    return Routing(
        update.version,
        tuple(routes.values()),
        tuple(services.values()),
        changes.limits,
        tuple(customers.values()),
        changes.needs_key,
    )


def _index_routes(routing: Routing) -> dict[RouteKey, Route]:
    return {RouteKey(r.host, r.path_prefix): r for r in routing.routes}


def _list_changed(old: dict[K, V], new: dict[K, V]) -> list[V]:
    return [value for key, value in new.items() if old.get(key) != value]


def _list_removed(old: dict[K, V], new: dict[K, V]) -> list[K]:
    return [key for key in old if key not in new]
