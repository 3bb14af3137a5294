"""Evacuation orders as the replicated log applies them, and the zones it lists."""

from __future__ import annotations

from collections.abc import Iterable

from scalebend.models.evacuations import (
    EvacuationOrder,
    Evacuations,
    ZoneEvacuation,
)
from scalebend.models.ids import AvailabilityZone, EvacuationRevision

MAX_ZONES = 1_000
"""Bounds the zones that are kept, since upstreams choose the names."""

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
