"""Evacuations at one control instance: in force, sent to fronts, checks."""

from __future__ import annotations

from collections.abc import Iterable

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.evacuations import HeldEvacuations, is_zone_known
from scalebend.exceptions import ErrorKind, RefusedError, RequestError
from scalebend.models.evacuations import EvacuationOrder, Evacuations
from scalebend.models.ids import AvailabilityZone, InstanceId

LEARNING_HEARTBEATS = 4
"""Registrations of each upstream after which this process knows the zones of all.
Before, a zone that is not known is refused only for now: after a restart of all
processes, registrations reach other instances first, or are lost with a link."""


class EvacuationPush:
    """The committed evacuations at one control instance, and who may order them."""

    def __init__(
        self,
        directory: EndpointDirectory,
        own_zone: AvailabilityZone | None,
        heartbeat_interval: float,
        now: float,
    ) -> None:
        """``heartbeat_interval`` is that of registrations, in seconds."""
        self._directory = directory
        self._held = HeldEvacuations(directory)
        self._own_zone = own_zone
        self._learned_at = now + LEARNING_HEARTBEATS * heartbeat_interval
        self._older_members: set[InstanceId] = set()

    @property
    def newest(self) -> Evacuations:
        """The evacuations in force at this instance."""
        return self._held.newest

    def get_published(self) -> Evacuations | None:
        """Return what heartbeats carry; nothing before the first order."""
        return self._held.newest if self._held.newest.revision else None

    def load(self, committed: Evacuations) -> bool:
        """Adopt the committed evacuations; return whether they changed."""
        return self._held.learn(committed)

    def record_member(self, instance: InstanceId, *, knows_evacuations: bool) -> None:
        """Record the version of a control instance that linked to this one."""
        if knows_evacuations:
            self._older_members.discard(instance)
        else:
            self._older_members.add(instance)

    def check(
        self, order: EvacuationOrder, members: Iterable[InstanceId], now: float
    ) -> None:
        """Check that the leader may propose an order.

        Raises:
            RequestError: Nothing names the zone.
            RefusedError: This instance may not have heard of the zone yet, or a member
                of the group would lose the order.
        """
        older = sorted(self._older_members.intersection(members))
        if older:
            raise RefusedError(
                f"control instances of an earlier version: {', '.join(older)}",
                kind=ErrorKind.NOT_READY,
            )
        zone = order.availability_zone
        zones = self._directory.zones
        if zone == self._own_zone or is_zone_known(zone, zones, self.newest):
            return
        if now < self._learned_at or not zones:
            raise RefusedError(
                f"no upstream has named the availability zone {zone} yet",
                kind=ErrorKind.NOT_READY,
                retry_after=max(0.0, self._learned_at - now),
            )
        raise RequestError(f"availability zone {zone}", kind=ErrorKind.UNKNOWN_ZONE)
