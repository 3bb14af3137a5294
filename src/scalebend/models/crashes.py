"""Records of requests during which upstreams crashed, exchanged by processes."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import Fingerprint, PartId, UpstreamId

MAX_LOGGED_PARTS = 8
"""Maximum number of parts of a prompt in a log line."""


class RequestIdentity(msgspec.Struct, frozen=True):
    """What a request has in common with others that may meet the same fate."""

    fingerprint: Fingerprint
    """Shared by all arrivals of the same request."""

    parts: tuple[PartId, ...] = ()
    """The parts of its prompt that other requests may share, in order."""

    @property
    def logged_parts(self) -> tuple[PartId, ...]:
        """The first parts, for log lines of bounded length."""
        return self.parts[:MAX_LOGGED_PARTS]


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request and the upstreams that crashed, or cut it off, while they ran it.

    Lists all known upstreams, not only new ones, so that merging records is commutative
    and idempotent.
    """

    fingerprint: Fingerprint
    upstreams: tuple[UpstreamId, ...] = msgspec.field(name="ended")
