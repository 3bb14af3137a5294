"""Evacuations at one control instance: in force, sent to fronts, checks."""

from __future__ import annotations

from collections.abc import Iterable

from scalebend.core.evacuations import MAX_ZONES
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.evacuations import HeldEvacuations, is_zone_known
from scalebend.exceptions import ErrorKind, RefusedError, RequestError
from scalebend.models.evacuations import EvacuationOrder, Evacuations
from scalebend.models.ids import AvailabilityZone, InstanceId

LEARNING_HEARTBEATS = 4
"""Registrations of each upstream in a term after which the leader knows the zones of
all. Before, a zone that is not known is refused only for now: after a restart of all
processes, registrations reach other instances first, or are lost with a link."""

ZONES_INTERVAL_S = 1.0
"""Seconds between two proposals of known zones, so that a start takes few of them."""


class EvacuationPush:
    """The committed evacuations at one control instance, and who may order them."""

    def __init__(
        self,
        directory: EndpointDirectory,
        own_zone: AvailabilityZone | None,
        heartbeat_interval: float,
    ) -> None:
        """``heartbeat_interval`` is that of registrations, in seconds."""
        self._directory = directory
        self._held = HeldEvacuations(directory)
        self._own_zone = own_zone
        self._learning_s = LEARNING_HEARTBEATS * heartbeat_interval
        self._learned_at: float | None = None
        """``None`` while no quorum confirmed the lead of this instance."""

        self._zones_at = 0.0
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

    def record_lead(self, *, is_confirmed: bool, now: float) -> None:
        """Record whether a quorum confirmed the lead of this instance in its term."""
        if not is_confirmed:
            self._learned_at = None
        elif self._learned_at is None:
            self._learned_at = now + self._learning_s

    def list_unlisted(
        self, listed: tuple[AvailabilityZone, ...], now: float
    ) -> tuple[AvailabilityZone, ...]:
        """As leader, return known zones to add to the log's list; few at a time."""
        if self._learned_at is None or now < self._zones_at:
            return ()
        self._zones_at = now + ZONES_INTERVAL_S
        known = set(self._directory.zones)
        if self._own_zone:
            known.add(self._own_zone)
        return tuple(sorted(known.difference(listed)))[: MAX_ZONES - len(listed)]

    def check_members(self, members: Iterable[InstanceId]) -> None:
        """Check that all members of the group that linked here know evacuations.

        Raises:
            RefusedError: One doesn't: it would lose an order, or not know the call.
        """
        older = sorted(self._older_members.intersection(members))
        if older:
            raise RefusedError(
                f"control instances of an earlier version: {', '.join(older)}",
                kind=ErrorKind.NOT_READY,
            )

    def check(
        self,
        order: EvacuationOrder,
        members: Iterable[InstanceId],
        listed: tuple[AvailabilityZone, ...],
        now: float,
    ) -> None:
        """Check that the leader may propose an order; ``listed`` are the log's zones.

        Raises:
            RequestError: Nothing names the zone.
            RefusedError: This instance may not have heard of the zone yet, or a member
                of the group would lose the order.
        """
        self.check_members(members)
        zone = order.availability_zone
        if zone == self._own_zone or self._directory.has_zone(zone):
            return
        if is_zone_known(zone, listed, self.newest):
            return
        learned_at = self._learned_at
        if learned_at is None or now < learned_at or not self._directory.zones:
            wait = self._learning_s if learned_at is None else learned_at - now
            raise RefusedError(
                f"no upstream has named the availability zone {zone} yet",
                kind=ErrorKind.NOT_READY,
                retry_after=max(0.0, wait),
            )
        raise RequestError(f"availability zone {zone}", kind=ErrorKind.UNKNOWN_ZONE)
