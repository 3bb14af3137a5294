"""Upstreams as the gateway knows them from their registrations.

An upstream may restart under its old name with none of its earlier state. The gateway
therefore keeps all it knows of an upstream (address, open jobs, health, reserved
memory) under an :data:`UpstreamId`, which names one incarnation, so that facts about
one incarnation are never applied to the next.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from scalebend.models.ids import (
    AvailabilityZone,
    ServiceName,
    UpstreamId,
    UpstreamName,
)

MAX_NAME_CHARS = 200
"""Bounds what one name takes in tables and log lines."""

MAX_SLOTS = 10_000
"""Slots that one upstream may claim: a wrong number would attract all requests of its
service."""

MAX_COUNT = 2**53
"""Up to here, every JSON parser represents integers exactly."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MAX_SLOTS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]

_SEPARATOR = "~"
"""Separates name and start time in an id; names may not contain it."""


def build_upstream_id(name: UpstreamName, born: int | None) -> UpstreamId:
    """Build the id of an incarnation; ``born`` is its start in Unix milliseconds."""
    return UpstreamId(name if born is None else f"{name}{_SEPARATOR}{born:x}")


def get_upstream_name(upstream: UpstreamId) -> UpstreamName:
    """Return the name that all incarnations of the upstream share."""
    return UpstreamName(upstream.partition(_SEPARATOR)[0])


def get_upstream_born(upstream: UpstreamId) -> int | None:
    """Return the start of this incarnation in Unix milliseconds, if it stated one."""
    born = upstream.partition(_SEPARATOR)[2]
    return int(born, 16) if born else None


def is_valid_upstream_name(text: str) -> bool:
    """Whether ``text`` can be a name, so that ids built from it are unambiguous."""
    return bool(text) and text.isprintable() and not set(text) & {_SEPARATOR, "/", " "}


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an upstream."""

    upstream: UpstreamId
    service: ServiceName
    address: Name
    availability_zone: AvailabilityZone
    slots: Slots
    is_draining: bool
    sequence: Count
    """Rises with each registration of an incarnation; reveals reordered ones."""

    born: Count | None = None
    """Start in Unix milliseconds; ``None`` if it stated none."""

    cold_s: float = 0.0
    """Seconds for which it stays cold after this registration, as it states."""

    @property
    def name(self) -> UpstreamName:
        """The name that all its incarnations share."""
        return get_upstream_name(self.upstream)

    def is_before(self, other: Endpoint) -> bool:
        """Whether this is an earlier incarnation than ``other``, of the same name.

        An incarnation without a start time precedes any that has one.
        """
        if self.upstream == other.upstream or other.born is None:
            return False
        return self.born is None or self.born < other.born


class EndpointUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A changed upstream; ``is_gone`` if it was deregistered or expired."""

    endpoint: Endpoint
    is_gone: bool


class Deregistration(msgspec.Struct, frozen=True):
    """An upstream's request to be removed."""

    name: UpstreamName
    born: int | None
    """Start of the incarnation in Unix milliseconds; ``None`` means the latest one."""


class UpstreamOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """How many attempts at an upstream succeeded, and how many failed."""

    upstream: UpstreamId
    answered: int
    failed: int
