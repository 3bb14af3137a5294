"""The routing document: routes, services and keys that operators declare."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId, RoutingVersion, ServiceName
from scalebend.models.slow_start import SlowStart


class RouteKind(Enum):
    """How requests of a route may be retried and forwarded."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(msgspec.Struct, frozen=True, array_like=True):
    """A service of a route and its weight among the route's services."""

    service: ServiceName
    weight: float


class Route(msgspec.Struct, frozen=True, array_like=True):
    """Services and guarantees for requests to a host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    """Seconds after which a request ends even if its caller would wait longer."""

    target_latency: float
    """Target in seconds for the response, or for the first event of a stream."""

    priority: int
    """Rank; 0 is the most urgent."""

    services: tuple[WeightedService, ...]
    max_attempts: int = msgspec.field(name="attempts_most")
    is_public: bool
    is_resumable: bool
    event_gap: float | None
    """Longest gap in seconds between events of a stream that is still on time."""

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may safely run twice."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


class EngineProfile(msgspec.Struct, frozen=True, array_like=True):
    """Capacity and speed of the engines of a service."""

    slots: int
    memory_tokens: int
    decode_steps_per_batch_step: int = msgspec.field(name="steps_per_pass")
    step_ms: float
    per_sequence_ms: float
    context_ms_per_thousand: float
    prefill_tokens_per_second: float = msgspec.field(name="read_tokens_per_second")
    attention_ms_per_million_pairs: float = msgspec.field(name="pairs_ms_per_million")
    """Attention cost of a prefill per million pairs of tokens."""


class RoutedService(msgspec.Struct, frozen=True, array_like=True):
    """A service that routes refer to; ``engine`` is set if it runs language models."""

    name: ServiceName
    max_connections: int = msgspec.field(name="connections_most")
    health_path: str
    engine: EngineProfile | None
    slow_start: SlowStart | None = None
    """Set if its replicas take less while they are cold."""


class ListenerLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits for requests of callers; sizes in bytes, times in seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


class RoutedCustomer(msgspec.Struct, frozen=True, array_like=True):
    """A customer and the keys that its callers may use."""

    name: CustomerId
    keys: tuple[str, ...]
    priority: int | None


class Routing(msgspec.Struct, frozen=True, array_like=True):
    """One routing document; the highest version is in force."""

    version: RoutingVersion
    routes: tuple[Route, ...] = ()
    services: tuple[RoutedService, ...] = ()
    limits: ListenerLimits = ListenerLimits()
    customers: tuple[RoutedCustomer, ...] = ()
    needs_key: bool = False
    """Whether requests to routes that are not public need a key."""


class StoredRouting(msgspec.Struct, frozen=True):
    """A routing document in the replicated log; both parts are compressed by zlib."""

    version: RoutingVersion
    routing: bytes
    """The :class:`Routing`, as MessagePack."""

    document: bytes
    """The operator's document, kept to be returned unchanged."""


EMPTY_ROUTING = Routing(RoutingVersion(0))
