"""What processes tell each other of requests under which upstreams ended."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import Fingerprint, UpstreamId


class CrashRecord(msgspec.Struct, frozen=True, array_like=True):
    """One request and the upstreams that ended, or cut it off, while they ran it.

    All that are known, not only new ones: records can be merged in any order and as
    often as they come.
    """

    fingerprint: Fingerprint
    ended: tuple[UpstreamId, ...]
