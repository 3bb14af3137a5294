"""The fleet's configuration: one JSON document, accepted and applied as a whole."""

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
    """A customer of the fleet.

    ``weight`` is its share relative to that of other customers. ``priority`` orders
    customers during load shedding: a higher number is served first. ``key_hashes``
    holds hashes made by ``scalebend hash-key``; several may be valid at once.
    """

    customer: CustomerId
    key_hashes: list[str]
    weight: float = 1.0
    priority: int = 0
    limits: CustomerLimits = CustomerLimits()


class ServiceCall(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A call of a plain service: HTTP method and path prefix."""

    method: str
    path: str
    is_idempotent: bool = msgspec.field(name="repeatable", default=True)


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A plain service; of the calls not listed, GET and HEAD are idempotent."""

    service: ServiceName
    calls: list[ServiceCall] = msgspec.field(default_factory=list)


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model to be served, with its version and adapters.

    ``replicas`` is how many engines must have it loaded. ``longest_prompt`` is in
    tokens; ``bytes_per_token`` converts the size of a prompt to tokens.
    """

    model: ModelName
    version: str = "1"
    adapters: list[str] = msgspec.field(default_factory=list)
    replicas: int = 1
    longest_prompt: int = 1_000_000
    bytes_per_token: float = DEFAULT_BYTES_PER_TOKEN


class UpstreamKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of engine; ``checks_fencing``: it rejects stale fencing numbers."""

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
    """An operator's request to replace the whole configuration of version ``base``."""

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
