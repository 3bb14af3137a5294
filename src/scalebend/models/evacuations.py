"""Orders of operators to use no upstreams of an availability zone for a while."""

from __future__ import annotations

import msgspec

from scalebend.models.ids import AvailabilityZone, EvacuationRevision


class EvacuationOrder(msgspec.Struct, frozen=True):
    """An operator's order to evacuate a zone, or to withdraw that."""

    availability_zone: AvailabilityZone
    is_withdrawn: bool = False
    held: EvacuationRevision = EvacuationRevision(0)
    """The highest revision that its proposer knew; fronts ignore lower ones."""


class ZoneEvacuation(msgspec.Struct, frozen=True, array_like=True):
    """The last order for one zone that changed anything."""

    availability_zone: AvailabilityZone
    is_withdrawn: bool
    revision: EvacuationRevision
    ordered_at: float
    """Wall clock of its log entry, in seconds since 1970."""


class Evacuations(msgspec.Struct, frozen=True):
    """The evacuated zones and the last ones withdrawn, as of one revision."""

    revision: EvacuationRevision = EvacuationRevision(0)
    """Rises with each change; equal revisions have equal content."""

    zones: tuple[ZoneEvacuation, ...] = ()

    @property
    def evacuated(self) -> frozenset[AvailabilityZone]:
        """The zones whose upstreams get no new requests."""
        return frozenset(
            one.availability_zone for one in self.zones if not one.is_withdrawn
        )

    def find(self, availability_zone: AvailabilityZone) -> ZoneEvacuation | None:
        """Return the last order for a zone, if there was one."""
        for one in self.zones:
            if one.availability_zone == availability_zone:
                return one
        return None


NO_EVACUATIONS = Evacuations()
