"""Orders to engines, as they travel: ``POST /v1/orders``."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import ModelName, UpstreamId
from scalebend.models.upstream import LoadedModel


class Order(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Load and unload models; an engine that checks refuses an old number.

    The same ``order`` sent again asks for nothing new.
    """

    order: str
    fencing_number: int
    load: list[LoadedModel] = msgspec.field(default_factory=list)
    unload: list[ModelName] = msgspec.field(default_factory=list)


class SendOrder(msgspec.Struct, frozen=True):
    """Action: send an order to an engine."""

    upstream: UpstreamId
    order: Order
