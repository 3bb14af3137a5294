"""Orders to engines, the body of ``POST /v1/orders``."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import ModelName, UpstreamId
from scalebend.models.upstream import LoadedModel


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load and unload models.

    An engine that checks ``fencing_number`` rejects a stale one. Resending the same
    ``order`` has no further effect.
    """

    order: str
    fencing_number: int
    load: list[LoadedModel] = msgspec.field(default_factory=list)
    unload: list[ModelName] = msgspec.field(default_factory=list)


class SendOrder(msgspec.Struct, frozen=True):
    """Action: send an order to an engine."""

    upstream: UpstreamId
    order: Order
