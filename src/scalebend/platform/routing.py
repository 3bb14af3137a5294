"""Converts the operator's routing document to and from the project's types."""

from __future__ import annotations

import msgspec

from scalebend.exceptions import DocumentError, ErrorKind, Fault
from scalebend.models.ids import CustomerId, RoutingVersion, ServiceName
from scalebend.models.routing import (
    EngineProfile,
    ListenerLimits,
    Route,
    RoutedCustomer,
    RoutedService,
    RouteKind,
    Routing,
    WeightedService,
)
from scalebend.models.slow_start import SlowStart


class _Split(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="pascal"):
    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_ms: float
    target_latency_ms: float = 1000.0
    priority: int = 0
    # Either one service or a weighted split over several.
    service: str | None = None
    traffic_split: list[_Split] | None = None
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Engine(msgspec.Struct):
    slots: int = msgspec.field(name="Slots")
    kv_capacity: int = msgspec.field(name="KvCapacity")
    stride: int = msgspec.field(name="Stride", default=1)
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    context_per_k: float = 0.0
    read_per_s: float = 100_000.0
    pairs_per_m: float = 0.0


class _Service(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"
    max_connections: int = 100
    engine: _Engine | None = None
    cold_s: float = 0.0
    cold_per_s: float = 0.0


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16384
    max_body_bytes: int = 4194304
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: list[str] = msgspec.field(default_factory=list)
    priority: int | None = None


class _Document(msgspec.Struct, rename="pascal"):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


_DECODER = msgspec.json.Decoder(_Document)


def decode_routing(data: bytes) -> Routing:
    """Return the routing in ``data``; raise :class:`DocumentError` if invalid."""
    try:
        document = _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        fault = Fault("$", str(error))
        raise DocumentError([fault], kind=ErrorKind.INVALID_CONFIGURATION) from error
    limits = document.limits
    return Routing(
        RoutingVersion(document.version),
        tuple(_convert_route(route) for route in document.routes),
        tuple(_convert_service(service) for service in document.services),
        ListenerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000.0,
            limits.idle_timeout_ms / 1000.0,
        ),
        tuple(
            RoutedCustomer(CustomerId(t.name), tuple(t.api_keys), t.priority)
            for t in document.tenants or []
        ),
        needs_key=document.tenants is not None,
    )


def encode_routing(routing: Routing) -> bytes:
    """Return the document as an operator sends it; for test stand-ins."""
    limits = routing.limits
    document = _Document(
        version=routing.version,
        routes=[_encode_route(route) for route in routing.routes],
        services=[_encode_service(service) for service in routing.services],
        limits=_Limits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_timeout * 1000.0,
            limits.idle_timeout * 1000.0,
        ),
        tenants=[
            _Tenant(customer.name, list(customer.keys), customer.priority)
            for customer in routing.customers
        ],
    )
    return msgspec.json.encode(document)


def _encode_route(route: Route) -> _Route:
    gap = route.event_gap
    return _Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=route.kind,
        timeout_ms=route.timeout * 1000.0,
        target_latency_ms=route.target_latency * 1000.0,
        priority=route.priority,
        traffic_split=[_Split(s.service, s.weight) for s in route.services],
        max_attempts=route.max_attempts,
        public=route.is_public,
        resumable=route.is_resumable,
        gap_aim_ms=gap * 1000.0 if gap is not None else None,
    )


def _encode_service(service: RoutedService) -> _Service:
    profile = service.engine
    engine = None
    if profile is not None:
        engine = _Engine(
            profile.slots,
            profile.memory_tokens,
            profile.decode_steps_per_batch_step,
            profile.step_ms,
            profile.per_sequence_ms,
            profile.context_ms_per_thousand,
            profile.prefill_tokens_per_second,
            profile.attention_ms_per_million_pairs,
        )
    encoded = _Service(
        service.name, service.health_path, service.max_connections, engine
    )
    if service.slow_start is not None:
        encoded.cold_s = service.slow_start.cold_s
        encoded.cold_per_s = service.slow_start.rate
    return encoded


def _convert_route(route: _Route) -> Route:
    split = route.traffic_split
    if split is not None:
        services = [WeightedService(ServiceName(s.service), s.weight) for s in split]
    else:
        services = [WeightedService(ServiceName(route.service or ""), 1.0)]
    gap = route.gap_aim_ms
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=route.kind,
        timeout=route.timeout_ms / 1000.0,
        target_latency=route.target_latency_ms / 1000.0,
        priority=route.priority,
        services=tuple(services),
        max_attempts=route.max_attempts,
        is_public=route.public,
        is_resumable=route.resumable,
        event_gap=gap / 1000.0 if gap is not None else None,
    )


def _convert_service(service: _Service) -> RoutedService:
    engine = service.engine
    profile = None
    if engine is not None:
        profile = EngineProfile(
            slots=engine.slots,
            memory_tokens=engine.kv_capacity,
            decode_steps_per_batch_step=engine.stride,
            step_ms=engine.step_ms,
            per_sequence_ms=engine.per_seq_ms,
            context_ms_per_thousand=engine.context_per_k,
            prefill_tokens_per_second=engine.read_per_s,
            attention_ms_per_million_pairs=engine.pairs_per_m,
        )
    slow_start = None
    if service.cold_s > 0.0 and service.cold_per_s > 0.0:
        slow_start = SlowStart(service.cold_s, service.cold_per_s)
    return RoutedService(
        ServiceName(service.name),
        service.max_connections,
        service.health_path,
        profile,
        slow_start,
    )
