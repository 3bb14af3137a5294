"""Records of requests during which upstreams crashed, exchanged by processes."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import Fingerprint, UpstreamId


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request and the upstreams that crashed, or cut it off, while they ran it.

    Lists all known upstreams, not only new ones, so that merging records is commutative
    and idempotent.
    """

    fingerprint: Fingerprint
    upstreams: tuple[UpstreamId, ...] = msgspec.field(name="ended")
