"""Routing documents of a run, built so that replicas see which version a front used.

The customer's name ends with the version of the document. The customer has one key that
is valid in every version, and others that are added and revoked.
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
MODEL = "m"
ENGINES = ServiceName("engines")
PLAIN = ServiceName("plain")

LASTING_KEY = "key-lasting"
"""Valid in every version."""

MAX_EXTRA_KEYS = 4
"""Limit of the earlier keys that a new version keeps beside its own."""

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
"""The platform's engine with a small KV cache: long prompts need several engines."""

QUICK_PROMPT_TOKENS = 5_000
LONG_PROMPT_TOKENS = 100_000
"""Prompt lengths; the long one exceeds the KV cache of one engine."""

REQUEST_TIMEOUT_S = 5.0
"""Timeout of all routes in seconds, whatever timeout the caller sends."""


class RoutePath(msgspec.Struct, frozen=True):
    """One route: its path prefix, kind, service and target latency in seconds."""

    prefix: str
    kind: RouteKind
    service: ServiceName
    target_latency_s: float
    is_resumable: bool = False
    event_gap_s: float | None = None


IDEMPOTENT = RoutePath("/repeatable/", RouteKind.IDEMPOTENT, PLAIN, 0.3)
NON_IDEMPOTENT = RoutePath("/once/", RouteKind.NON_IDEMPOTENT, PLAIN, 0.3)
QUICK = RoutePath("/quick/", RouteKind.STREAMING, ENGINES, 0.3, True, 0.2)
ONCE = RoutePath("/once-stream/", RouteKind.STREAMING, ENGINES, 0.3, False, 0.2)
LONG = RoutePath("/long/", RouteKind.STREAMING, ENGINES, 3.0, True, 0.2)
ROUTES = (IDEMPOTENT, NON_IDEMPOTENT, QUICK, ONCE, LONG)


def build_key(version: RoutingVersion) -> str:
    """Return the key that a version added, or the lasting key for version 0."""
    return f"key-{version}" if version else LASTING_KEY


def read_version(customer: str) -> RoutingVersion:
    """Return the version in a customer's name, or 0 if it contains none."""
    number = customer.rpartition("-")[2]
    return RoutingVersion(int(number)) if number.isdigit() else RoutingVersion(0)


def build_routing(
    version: RoutingVersion, extra_keys: tuple[RoutingVersion, ...]
) -> Routing:
    """Build the document of a version, with the keys that ``extra_keys`` added."""
    keys = (LASTING_KEY, *(build_key(key_version) for key_version in extra_keys))
    return Routing(
        version,
        tuple(_build_route(path) for path in ROUTES),
        (
            RoutedService(ENGINES, 200, "/health", ENGINE),
            RoutedService(PLAIN, 100, "/health", None),
        ),
        customers=(RoutedCustomer(CustomerId(f"crew-{version}"), keys, 1),),
        needs_key=True,
    )


def _build_route(path: RoutePath) -> Route:
    may_repeat = path.is_resumable or path.kind is RouteKind.IDEMPOTENT
    return Route(
        name=path.prefix.strip("/"),
        host=HOST,
        path_prefix=path.prefix,
        kind=path.kind,
        timeout=REQUEST_TIMEOUT_S,
        target_latency=path.target_latency_s,
        priority=1,
        services=(WeightedService(path.service, 1.0),),
        max_attempts=2 if may_repeat else 1,
        is_public=False,
        is_resumable=path.is_resumable,
        event_gap=path.event_gap_s,
    )
