"""Look-up of the route, customer and service of a request in a routing document."""

from __future__ import annotations

import random

from scalebend.core.gateway.priorities import list_levels
from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.ids import CustomerId, ServiceName
from scalebend.models.routing import (
    EngineProfile,
    Route,
    RoutedCustomer,
    RoutedService,
    Routing,
)


class RouteTable:
    """Indexes of one routing document."""

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.services: dict[ServiceName, RoutedService] = {
            service.name: service for service in routing.services
        }
        self._hosts: dict[str, list[Route]] = {}
        for route in routing.routes:
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._customers: dict[str, RoutedCustomer] = {
            key: customer for customer in routing.customers for key in customer.keys
        }
        self.has_ranked_customers = any(
            customer.priority is not None for customer in routing.customers
        )
        """Whether the document ranks customers, so that the leader queues requests."""

        self.priority_levels = list_levels(routing)
        """Priorities that requests to a service can have, if customers are ranked."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route by the longest path prefix; ``host`` may name a port."""
        name = host.partition(":")[0].lower()
        for route in self._hosts.get(name, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_customer(self, key: str | None) -> RoutedCustomer | None:
        """Return the customer that ``key`` belongs to."""
        return self._customers.get(key) if key is not None else None

    def find_engine(self, service: ServiceName) -> EngineProfile | None:
        """Return the engine profile of a service; ``None`` if it has no engines."""
        found = self.services.get(service)
        return found.engine if found is not None else None

    def choose_service(self, route: Route, chooser: random.Random) -> ServiceName:
        """Return a service of the route, drawn at random by weight."""
        if len(route.services) == 1:
            return route.services[0].service
        weights = [split.weight for split in route.services]
        return chooser.choices(route.services, weights)[0].service


def check_routing(routing: Routing) -> None:
    """Raise :class:`DocumentError` with all faults that a schema cannot express."""
    faults: list[Fault] = []
    services = {service.name for service in routing.services}
    prefixes: set[tuple[str, str]] = set()
    for number, route in enumerate(routing.routes):
        path = f"$.routes[{number}]"
        faults += _check_route(path, route, services)
        prefix = (route.host.lower(), route.path_prefix)
        if prefix in prefixes:
            faults.append(Fault(path, "expected a host and prefix not used before"))
        prefixes.add(prefix)
    faults += _check_keys(routing.customers)
    if faults:
        raise DocumentError(faults, kind=ErrorKind.INVALID_CONFIGURATION)


def _check_route(path: str, route: Route, services: set[ServiceName]) -> list[Fault]:
    faults = []
    for split in route.services:
        if split.service not in services:
            expected = f"expected a known service, not {split.service!r}"
            faults.append(Fault(f"{path}.services", expected))
        if split.weight < 0:
            faults.append(Fault(f"{path}.services", "expected weights from 0 on"))
    if sum(split.weight for split in route.services) <= 0:
        faults.append(Fault(f"{path}.services", "expected a weight above 0"))
    if route.timeout <= 0:
        faults.append(Fault(f"{path}.timeout", "expected a time above 0"))
    return faults


def _check_keys(customers: tuple[RoutedCustomer, ...]) -> list[Fault]:
    owners: dict[str, CustomerId] = {}
    faults = []
    for number, customer in enumerate(customers):
        for key in customer.keys:
            owner = owners.setdefault(key, customer.name)
            if owner != customer.name:
                path = f"$.customers[{number}].keys"
                faults.append(Fault(path, "expected keys that no other customer has"))
    return faults
