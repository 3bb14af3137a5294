"""Which availability zones get no new requests: orders applied, revisions compared."""

from __future__ import annotations

from collections.abc import Container, Iterable

from scalebend.core.gateway.endpoint_directory import MAX_ZONES, EndpointDirectory
from scalebend.models.evacuations import (
    NO_EVACUATIONS,
    EvacuationOrder,
    Evacuations,
    ZoneEvacuation,
)
from scalebend.models.ids import AvailabilityZone, EvacuationRevision

MAX_WITHDRAWN_ZONES = 100
"""Withdrawn zones that are still listed, the last ones: each heartbeat carries them."""


def apply_order(held: Evacuations, order: EvacuationOrder, at: float) -> Evacuations:
    """Return the evacuations after an order; the same object if it changes nothing.

    ``at`` is the wall clock of the order's log entry, in seconds.
    """
    zone = order.availability_zone
    before = held.find(zone)
    # A zone that was never evacuated is in use, as if that had been withdrawn.
    was_withdrawn = before is None or before.is_withdrawn
    if order.is_withdrawn == was_withdrawn and order.held <= held.revision:
        return held
    # The log's revisions restart lower if a member without them gave its snapshot.
    revision = EvacuationRevision(max(held.revision, order.held) + 1)
    changed = ZoneEvacuation(zone, order.is_withdrawn, revision, at)
    others = (one for one in held.zones if one.availability_zone != zone)
    return Evacuations(revision, _drop_old_withdrawn((*others, changed)))


def _drop_old_withdrawn(
    zones: tuple[ZoneEvacuation, ...],
) -> tuple[ZoneEvacuation, ...]:
    withdrawn = [one for one in zones if one.is_withdrawn]
    dropped = withdrawn[:-MAX_WITHDRAWN_ZONES]
    return tuple(one for one in zones if one not in dropped) if dropped else zones


def add_zones(
    known: tuple[AvailabilityZone, ...], zones: Iterable[AvailabilityZone]
) -> tuple[AvailabilityZone, ...]:
    """Return the known zones with more; beyond the bound, the oldest are dropped."""
    added = dict.fromkeys(zone for zone in zones if zone not in known)
    return (*known, *added)[-MAX_ZONES:] if added else known


class HeldEvacuations:
    """The newest evacuations that one process knows, as its directory obeys them."""

    def __init__(self, directory: EndpointDirectory) -> None:
        self.newest = NO_EVACUATIONS
        self._directory = directory

    def learn(self, heard: Evacuations | None) -> bool:
        """Apply evacuations that are newer than those held; return whether they are.

        Any process may send them, since only committed ones are sent. An older revision
        comes from a member that lags behind the log.
        """
        if heard is None or heard.revision <= self.newest.revision:
            return False
        self.newest = heard
        self._directory.set_evacuated(heard.evacuated)
        return True


def is_zone_known(
    zone: AvailabilityZone, known: Container[AvailabilityZone], held: Evacuations
) -> bool:
    """Whether an order may name the zone: one ordered before stays known."""
    return zone in known or held.find(zone) is not None
