"""Upstreams as the gateway knows them from their registrations.

An upstream may start again under the name that it had, and then it holds and knows
nothing of before. So everything the gateway knows of one (its address and state, open
jobs, suspicion, failures, pace, reserved memory) is kept under an :data:`UpstreamId`
that names one incarnation: what was learnt of one cannot be taken for the next.
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

LONGEST_NAME = 200
"""Characters of a name, which is kept in tables and log lines: ten times the usual."""

MOST_SLOTS = 10_000
"""Requests that one upstream can claim to run at once, hundreds of times the usual: a
wrong number would draw all requests of its service."""

LARGEST_COUNT = 2**53
"""What any reader of JSON holds exactly."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=LONGEST_NAME)]
Slots = Annotated[int, msgspec.Meta(ge=1, le=MOST_SLOTS)]
Count = Annotated[int, msgspec.Meta(ge=0, le=LARGEST_COUNT)]

_SEPARATOR = "~"
"""Between name and start time; no name may contain it."""


def build_upstream_id(name: UpstreamName, born: int | None) -> UpstreamId:
    """Name one incarnation; ``born`` is the Unix millisecond of its start, if told."""
    return UpstreamId(name if born is None else f"{name}{_SEPARATOR}{born:x}")


def get_upstream_name(upstream: UpstreamId) -> UpstreamName:
    """The name that all incarnations of an upstream share."""
    return UpstreamName(upstream.partition(_SEPARATOR)[0])


def get_upstream_born(upstream: UpstreamId) -> int | None:
    """Unix millisecond of this incarnation's start; ``None`` if it told none."""
    born = upstream.partition(_SEPARATOR)[2]
    return int(born, 16) if born else None


def may_be_upstream_name(text: str) -> bool:
    """Whether ``text`` can be told apart from the name of an incarnation."""
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
    """Rises with each registration of an incarnation, so that a late one is seen."""

    born: Count | None = None
    """Unix millisecond of its start; ``None`` if it tells none."""

    @property
    def name(self) -> UpstreamName:
        """The name that all its incarnations share."""
        return get_upstream_name(self.upstream)

    def is_before(self, other: Endpoint) -> bool:
        """Whether this is an earlier incarnation than ``other``, of the same name.

        One that tells no start is earlier than any that does.
        """
        if self.upstream == other.upstream or other.born is None:
            return False
        return self.born is None or self.born < other.born


class EndpointNews(msgspec.Struct, frozen=True, array_like=True):
    """What changed about an upstream; ``is_gone`` when it left or fell silent."""

    endpoint: Endpoint
    is_gone: bool


class Departure(msgspec.Struct, frozen=True):
    """An upstream's word that it leaves, for whichever incarnation it names."""

    name: UpstreamName
    born: int | None
    """``None`` if it names none: then it speaks of the newest."""


class UpstreamOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """How many attempts at an upstream ended with an answer and with its failure."""

    upstream: UpstreamId
    answered: int
    failed: int
