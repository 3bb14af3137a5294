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


class PartCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash of an upstream during a request with a part."""

    upstream: UpstreamId
    depth: int
    """One more than that of the crashes known when the attempt was sent, if data had
    arrived from the service since; the same otherwise, and 1 without any crash."""


class PartRecord(msgspec.Struct, frozen=True, array_like=True):
    """A part of prompts and the crashes under it.

    Merging takes the union or the maximum of each field, so it is commutative and
    idempotent.
    """

    part: PartId
    crashes: tuple[PartCrash, ...]
    voided: tuple[UpstreamId, ...]
    """Those of which the part is not the cause: an attempt that was sent later got a
    response, be it with the part or from the upstream."""

    was_sound: bool
    """Whether a response on the part was seen shortly before a crash."""

    was_cleared: bool
    """Whether a response on the part voided crashes."""

    position: int
    """Highest position in a prompt at which it was seen; the first part has 0."""

    trials: int
    """Number of requests that were let through after a quarantine."""

    def split(self, size: int) -> list[PartRecord]:
        """Return records of at most ``size`` crashes that merge into this one."""
        voided = set(self.voided)
        chunks = [
            self.crashes[start : start + size]
            for start in range(0, len(self.crashes), size)
        ]
        return [
            msgspec.structs.replace(
                self,
                crashes=chunk,
                voided=tuple(one.upstream for one in chunk if one.upstream in voided),
            )
            for chunk in chunks
        ]
