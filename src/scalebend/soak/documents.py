"""Routing documents of a run, made so that replicas can tell which one was obeyed.

The customer's name ends with the version of the document. One key belongs to the
customer in every version; others come and are revoked.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import CustomerId, RoutingVersion, ServiceName
from scalebend.models.routing import (
    EngineProfile,
    Route,
    RoutedCustomer,
    RoutedService,
    RouteKind,
    Routing,
    WeightedService,
)

HOST = "soak.example"
ENGINES = ServiceName("engines")
PLAIN = ServiceName("plain")

LASTING_KEY = "key-lasting"
"""Valid in every version."""

MOST_EXTRA_KEYS = 4
"""Keys beside it that a version holds."""

ENGINE = EngineProfile(
    slots=8,
    memory_tokens=60_000,
    decode_steps_per_batch_step=46,
    step_ms=0.925,
    per_sequence_ms=0.00966,
    context_ms_per_thousand=0.00254,
    prefill_tokens_per_second=256_000.0,
    attention_ms_per_million_pairs=0.0917,
)
"""The platform's engine, with little memory so that long prompts need several."""

QUICK_PROMPT = 5_000
LONG_PROMPT = 100_000
"""Tokens of prompts: the long ones exceed the memory of one engine."""

REQUEST_TIMEOUT = 5.0
"""Seconds after which a request is ended, whatever its caller allows."""


class RoutePath(msgspec.Struct, frozen=True):
    """A route by what it promises."""

    prefix: str
    kind: RouteKind
    service: ServiceName
    target: float


REPEATABLE = RoutePath("/repeatable/", RouteKind.IDEMPOTENT, PLAIN, 0.3)
ONCE = RoutePath("/once/", RouteKind.NON_IDEMPOTENT, PLAIN, 0.3)
QUICK = RoutePath("/quick/", RouteKind.STREAMING, ENGINES, 0.3)
LONG = RoutePath("/long/", RouteKind.STREAMING, ENGINES, 3.0)


def build_key(version: RoutingVersion) -> str:
    """The key that came with a version."""
    return f"key-{version}" if version else LASTING_KEY


def read_version(customer: str) -> RoutingVersion:
    """The version in a customer's name; 0 when it names none."""
    number = customer.rpartition("-")[2]
    return RoutingVersion(int(number)) if number.isdigit() else RoutingVersion(0)


def build_routing(
    version: RoutingVersion, extra_keys: tuple[RoutingVersion, ...]
) -> Routing:
    """The document of a version, which holds the keys that came with others."""
    keys = (LASTING_KEY, *(build_key(one) for one in extra_keys))
    return Routing(
        version,
        tuple(_build_route(path) for path in (REPEATABLE, ONCE, QUICK, LONG)),
        (
            RoutedService(ENGINES, 200, "/health", ENGINE),
            RoutedService(PLAIN, 100, "/health", None),
        ),
        customers=(RoutedCustomer(CustomerId(f"crew-{version}"), keys, 1),),
        needs_key=True,
    )


def _build_route(path: RoutePath) -> Route:
    may_repeat = path.kind is not RouteKind.NON_IDEMPOTENT
    return Route(
        name=path.prefix.strip("/"),
        host=HOST,
        path_prefix=path.prefix,
        kind=path.kind,
        timeout=REQUEST_TIMEOUT,
        target_latency=path.target,
        priority=1,
        services=(WeightedService(path.service, 1.0),),
        max_attempts=2 if may_repeat else 1,
        is_public=False,
        is_resumable=path.kind is RouteKind.STREAMING,
        event_gap=0.2 if path.kind is RouteKind.STREAMING else None,
    )
