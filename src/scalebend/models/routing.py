"""Routes, services and keys that operators declare for the gateway, as one document."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId, RoutingVersion, ServiceName


class RouteKind(Enum):
    """What may be done with a request of a route."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service of a route and its part of the route's requests."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Where requests of a host and path prefix go, and what is promised for them."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    """Seconds after which a request is ended whatever its caller allows."""

    target_latency: float
    """Seconds within which the answer, or a stream's first event, is wanted."""

    priority: int
    """Rank; 0 is the most urgent."""

    services: tuple[WeightedService, ...]
    attempts_most: int
    is_public: bool
    is_resumable: bool
    event_gap: float | None
    """Longest pause between two events of a stream that still counts as in time."""

    @property
    def may_repeat(self) -> bool:
        """Whether a second run does no harm."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineProfile(msgspec.Struct, frozen=True, array_like=True):
    """How fast the engines of a service read and write; times in milliseconds."""

    slots: int
    memory_tokens: int
    steps_per_pass: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_thousand: float
    read_tokens_per_second: float
    pairs_ms_per_million: float


class RoutedService(msgspec.Struct, frozen=True, array_like=True):
    """A service that routes name; ``engine`` is set where language models run."""

    name: ServiceName
    connections_most: int
    health_path: str
    engine: EngineProfile | None


class ListenerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Bounds for what callers send; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutedCustomer(msgspec.Struct, frozen=True, array_like=True):
    """A customer and the keys that its callers may show."""

    name: CustomerId
    keys: tuple[str, ...]
    priority: int | None


class Routing(msgspec.Struct, frozen=True, array_like=True):
    """One routing document: the highest version is the one in force."""

    version: RoutingVersion
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: ListenerLimits = ListenerLimits()
    customers: tuple[RoutedCustomer, ...] = ()
    needs_key: bool = False
    """Whether requests to routes that are not public must show a key."""


class StoredRouting(msgspec.Struct, frozen=True):
    """A routing document as the replicated log holds it; both parts by zlib."""

    version: RoutingVersion
    routing: bytes
    """The :class:`Routing`, as MessagePack."""

    document: bytes
    """The bytes that the operator sent, to be handed back unchanged."""


EMPTY_ROUTING = Routing(RoutingVersion(0))
