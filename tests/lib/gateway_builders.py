"""Builders of gateway objects with test defaults."""

from scalebend.models.calls import Call, CallerHeaders, PromptSize
from scalebend.models.endpoints import Endpoint
from scalebend.models.gateway_settings import Bounds, GatewayRole, GatewaySettings
from scalebend.models.ids import (
    AvailabilityZone,
    CustomerId,
    RoutingVersion,
    ServiceName,
    UpstreamId,
)
from scalebend.models.placement import EngineWork, JobId
from scalebend.models.routing import (
    EngineProfile,
    Route,
    RoutedCustomer,
    RoutedService,
    RouteKind,
    Routing,
    WeightedService,
)

SERVICE = ServiceName("assistant")
PROFILE = EngineProfile(
    slots=8,
    memory_tokens=450_000,
    decode_steps_per_batch_step=46,
    step_ms=0.925,
    per_sequence_ms=0.00966,
    context_ms_per_thousand=0.00254,
    prefill_tokens_per_second=256_000.0,
    attention_ms_per_million_pairs=0.0917,
)


def build_settings(**changes):
    values = {
        "name": "front-1",
        "role": GatewayRole.FRONT,
        "availability_zone": AvailabilityZone("z"),
        "link_address": "127.0.0.1:7340",
        "seeds": ["127.0.0.2:7340"],
        "is_first_start": True,
        "tolerated_losses": 1,
        "heartbeat_interval": 1.2,
        "bounds": Bounds(retry_slack=7.0, max_reservation_s=3.0),
        "callers_address": "127.0.0.1:8000",
        "readiness_address": "127.0.0.1:8001",
        "metrics_port": 7355,
        **changes,
    }
    return GatewaySettings(**values)


def build_route(**changes):
    values = {
        "name": "r",
        "host": "a.example",
        "path_prefix": "/",
        "kind": RouteKind.IDEMPOTENT,
        "timeout": 10.0,
        "target_latency": 0.3,
        "priority": 0,
        "services": (WeightedService(SERVICE, 1.0),),
        "max_attempts": 2,
        "is_public": False,
        "is_resumable": False,
        "event_gap": None,
        **changes,
    }
    return Route(**values)


def build_service(name=SERVICE, engine=None, slow_start=None):
    return RoutedService(name, 100, "/health", engine, slow_start)


def build_routing(version=1, routes=None, services=None, customers=()):
    return Routing(
        RoutingVersion(version),
        tuple(routes if routes is not None else [build_route()]),
        tuple(services if services is not None else [build_service()]),
        customers=tuple(customers),
        needs_key=bool(customers),
    )


def build_customer(name="crew", *keys):
    return RoutedCustomer(CustomerId(name), keys or (f"key-of-{name}",), None)


def build_endpoint(number=1, **changes):
    values = {
        "upstream": UpstreamId(f"i-{number}"),
        "service": SERVICE,
        "address": f"10.1.64.{number}:8000",
        "availability_zone": AvailabilityZone("pelotas"),
        "slots": 8,
        "is_draining": False,
        "sequence": 1,
        **changes,
    }
    return Endpoint(**values)


def build_call(route=None, *, deadline=10.0):
    route = route or build_route()
    headers = CallerHeaders("id-1", None, None, None, PromptSize(5_000, 1_600, 1_600))
    return Call(
        headers=headers,
        route=route,
        service=SERVICE,
        customer=None,
        method="POST",
        target="/x",
        arrived=0.0,
        deadline=deadline,
        priority=route.priority,
    )


def build_quick(number, **changes):
    return build_work(number, 5_000, target=0.3, event_gap=0.2, **changes)


def build_work(number, prompt, *, target=3.0, event_gap=0.8, **changes):
    values = {
        "job": JobId(f"front-1-{number}"),
        "service": SERVICE,
        "prompt_tokens": prompt,
        "output_tokens": 1_600,
        "expected_tokens": 1_600,
        "target": target,
        "event_gap": event_gap,
        "remaining": 10.0,
        **changes,
    }
    return EngineWork(**values)
