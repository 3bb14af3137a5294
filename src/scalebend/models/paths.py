"""Observations of the network paths between availability zones."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import AvailabilityZone


class PathState(Enum):
    """What a path is used for."""

    HEALTHY = "healthy"
    DEGRADED = "degraded"
    """Used only if no upstream on another path has room."""

    TRIAL = "trial"
    """Degraded until recently; a small share of the work uses it."""


class ZonePath(msgspec.Struct, frozen=True, array_like=True):
    """Path between two zones or within one, in both directions.

    Each connection needs both, whichever zone its front is in.
    """

    first: AvailabilityZone
    second: AvailabilityZone

    def has(self, zone: AvailabilityZone) -> bool:
        """Whether the path begins or ends in a zone."""
        return zone in (self.first, self.second)


def build_zone_path(one: AvailabilityZone, other: AvailabilityZone) -> ZonePath:
    """Build the path between two zones, the same for both orders."""
    return ZonePath(min(one, other), max(one, other))


class PathEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Decayed counts of what one front observed on its path to a zone."""

    upstream_zone: AvailabilityZone
    observed: float
    """Pieces of data that were sent or received."""

    lost: float
    """Those of them that were lost first and so came late."""


class PathReport(msgspec.Struct, frozen=True):
    """All current evidence of one front."""

    front_zone: AvailabilityZone
    evidence: list[PathEvidence]


class PathSum(msgspec.Struct):
    """Evidence on one path, summed over fronts."""

    observed: float = 0.0
    lost: float = 0.0
    fronts: int = 0
    """Fronts that observed losses."""

    failed_upstreams: int = 0
    """Upstreams to which connections timed out of late; not part of the losses."""

    @property
    def loss_rate(self) -> float:
        """Share of the observed pieces that were lost."""
        return self.lost / max(self.observed, self.lost, 1.0)
