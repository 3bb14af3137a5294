"""The shared configuration: one JSON document, accepted and applied whole."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import (
    ChangeId,
    ConfigurationVersion,
    CustomerId,
    ModelName,
    ServiceName,
)

DEFAULT_BYTES_PER_TOKEN = 4.0


class CustomerLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A customer's limits over the whole fleet; ``None`` means unlimited."""

    requests_per_second: float | None = None
    tokens_per_second: float | None = None
    concurrency: int | None = None


class Customer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A group that shares the fleet.

    ``weight`` is its share relative to the others'. ``priority`` orders customers
    when the fleet sheds work: a higher number is served first. ``key_hashes``
    holds hashes made by ``scalebend hash-key``; several may be valid at once.
    """

    customer: CustomerId
    key_hashes: list[str]
    weight: float = 1.0
    priority: int = 0
    limits: CustomerLimits = CustomerLimits()


class ServiceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One call of a plain service: HTTP method and path prefix."""

    method: str
    path: str
    repeatable: bool = True


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service; calls that are not listed are repeatable for GET and HEAD."""

    service: ServiceName
    calls: list[ServiceCall] = msgspec.field(default_factory=list)


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model with the adapters and versions that must be served.

    ``replicas`` is how many engines must have it loaded. ``kv_bytes_per_token`` is
    the engine memory that one token of context holds.
    """

    model: ModelName
    version: str = "1"
    adapters: list[str] = msgspec.field(default_factory=list)
    replicas: int = 1
    longest_prompt: int = 1_000_000
    bytes_per_token: float = DEFAULT_BYTES_PER_TOKEN


class UpstreamKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of engine; ``checks_fencing``: it refuses an order with an old number."""

    kind: str
    checks_fencing: bool = False


class Configuration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything operators declare."""

    customers: list[Customer] = msgspec.field(default_factory=list)
    services: list[Service] = msgspec.field(default_factory=list)
    models: list[Model] = msgspec.field(default_factory=list)
    upstream_kinds: list[UpstreamKind] = msgspec.field(default_factory=list)
    weight_store_loads_per_minute: float = 6.0


class ConfigurationChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An operator's request to replace the configuration at ``base`` as a whole."""

    base: ConfigurationVersion
    change: ChangeId
    configuration: Configuration
    operator: str = ""


class AcceptedConfiguration(msgspec.Struct, frozen=True):
    """A configuration that the control group committed."""

    version: ConfigurationVersion
    change: ChangeId
    operator: str
    configuration: Configuration


EMPTY_CONFIGURATION = AcceptedConfiguration(
    version=ConfigurationVersion(0),
    change=ChangeId(""),
    operator="",
    configuration=Configuration(),
)
