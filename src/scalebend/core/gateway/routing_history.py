"""Past routing documents, kept as a base for sending fronts only the changes.

Answers large configurations that change often: decoded documents share no objects, and
dozens of them would exceed the memory of a control instance. So all but the newest two
are kept packed, up to a limit of bytes. Most fronts hold one of those two; for one that
holds a version that is no longer kept, the base is the empty document.
"""

from __future__ import annotations

import zlib

import msgspec

from scalebend.core.gateway.routing_store import COMPRESSION_LEVEL
from scalebend.models.ids import RoutingVersion
from scalebend.models.routing import EMPTY_ROUTING, Routing

MAX_KEPT_VERSIONS = 64
"""Past documents kept, so that small ones do not add up either."""

MAX_KEPT_BYTES = 4 * 1024 * 1024
"""Bytes of packed documents kept, the same as of log entries between snapshots: a small
part of the memory of the smallest control instance."""

_DECODER = msgspec.msgpack.Decoder(Routing)


class RoutingHistory:
    """The newest routing document and those before it."""

    def __init__(self) -> None:
        self.newest = EMPTY_ROUTING
        self._previous = EMPTY_ROUTING
        self._packed: dict[RoutingVersion, bytes] = {}
        """Older documents, oldest first, as compressed MessagePack."""

        self.packed_bytes = 0
        """Size of the older documents."""

    def add(self, routing: Routing) -> None:
        """Add the newest document and remove the oldest ones beyond the limits."""
        if self._previous.version != EMPTY_ROUTING.version:
            self._pack(self._previous)
        self._previous, self.newest = self.newest, routing
        while self._packed and (
            self.packed_bytes > MAX_KEPT_BYTES or len(self._packed) > MAX_KEPT_VERSIONS
        ):
            self._remove(next(iter(self._packed)))

    def __contains__(self, version: RoutingVersion) -> bool:
        """Whether a version may be the base of an update."""
        return version in self._packed or self._find(version) is not None

    def read(self, version: RoutingVersion) -> Routing:
        """Return the document of a version that is kept, or the empty one."""
        found = self._find(version)
        if found is not None:
            return found
        return _DECODER.decode(zlib.decompress(self._packed[version]))

    def _find(self, version: RoutingVersion) -> Routing | None:
        unpacked = (self.newest, self._previous, EMPTY_ROUTING)
        return next((one for one in unpacked if one.version == version), None)

    def _pack(self, routing: Routing) -> None:
        self._remove(routing.version)
        encoded = msgspec.msgpack.encode(routing)
        packed = self._packed[routing.version] = zlib.compress(
            encoded, COMPRESSION_LEVEL
        )
        self.packed_bytes += len(packed)

    def _remove(self, version: RoutingVersion) -> None:
        self.packed_bytes -= len(self._packed.pop(version, b""))
