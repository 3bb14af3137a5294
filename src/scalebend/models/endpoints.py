"""Upstreams as the gateway knows them from their registrations."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import AvailabilityZone, ServiceName, UpstreamId


class Endpoint(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an upstream; a restart has another ``upstream`` id."""

    upstream: UpstreamId
    service: ServiceName
    address: str
    availability_zone: AvailabilityZone
    slots: int
    is_draining: bool
    sequence: int
    """Rises with each registration, so that a late one is recognised."""


class EndpointNews(msgspec.Struct, frozen=True, array_like=True):
    """What changed about an upstream; ``is_gone`` when it left or fell silent."""

    endpoint: Endpoint
    is_gone: bool


class UpstreamOutcomes(msgspec.Struct, frozen=True, array_like=True):
    """How many attempts at an upstream ended with an answer and with its failure."""

    upstream: UpstreamId
    answered: int
    failed: int
