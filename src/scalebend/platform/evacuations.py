"""Orders to evacuate availability zones, as operators send them, and their list."""

from __future__ import annotations

from urllib.parse import quote, unquote

import msgspec

from scalebend.exceptions import ErrorKind, RequestError
from scalebend.models.endpoints import MAX_NAME_CHARS
from scalebend.models.evacuations import EvacuationOrder, Evacuations
from scalebend.models.ids import AvailabilityZone

EVACUATIONS_PATH = "/evacuations"
EVACUATION_PREFIX = "/evacuations/"

ACKNOWLEDGEMENT = b"{}"


class _Zone(msgspec.Struct, rename="pascal"):
    zone: str
    since: float
    """Wall clock of the order in seconds since 1970."""

    revision: int


class _Listed(msgspec.Struct, rename="pascal"):
    revision: int
    evacuated: list[_Zone]
    withdrawn: list[_Zone]


def decode_order(method: str, path: str, body: bytes) -> EvacuationOrder:
    """Return the order of a ``POST`` or ``DELETE`` below :data:`EVACUATION_PREFIX`.

    ``path`` is quoted, as it was sent; the name of the zone may contain a slash.

    Raises:
        RequestError: The path names no single zone, or the order has a body.
    """
    quoted = path.removeprefix(EVACUATION_PREFIX)
    zone = unquote(quoted)
    if not zone or "/" in quoted or quoted == path or len(zone) > MAX_NAME_CHARS:
        raise RequestError(
            f"{method} {path}: expected the name of one zone, without a slash after it",
            kind=ErrorKind.NOT_FOUND,
        )
    if body:
        raise RequestError(f"{method} {path}: an evacuation order has no body")
    return EvacuationOrder(AvailabilityZone(zone), is_withdrawn=method == "DELETE")


def build_order_path(zone: str) -> str:
    """Return the path of orders for a zone."""
    return EVACUATION_PREFIX + quote(zone, safe="")


def encode_evacuations(evacuations: Evacuations) -> bytes:
    """Return the document of ``GET /evacuations``."""
    zones = [
        (one.is_withdrawn, _Zone(one.availability_zone, one.ordered_at, one.revision))
        for one in evacuations.zones
    ]
    listed = _Listed(
        evacuations.revision,
        [zone for is_withdrawn, zone in zones if not is_withdrawn],
        [zone for is_withdrawn, zone in zones if is_withdrawn],
    )
    return msgspec.json.encode(listed)


def decode_evacuated(data: bytes) -> tuple[AvailabilityZone, ...]:
    """Return the evacuated zones of such a document; for test stand-ins."""
    listed = msgspec.json.decode(data, type=_Listed)
    return tuple(AvailabilityZone(one.zone) for one in listed.evacuated)
