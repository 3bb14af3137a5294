"""Replicas that this instance owns, and transfer of their ownership.

Rendezvous hashing over the committed instance list selects the owner of a replica. A
new owner first collects renewals, unless the previous owner hands them over.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec
import structlog

from scalebend.core.catalog import Catalog, UpstreamRecord
from scalebend.core.control_member import ToInstance
from scalebend.core.control_state import InstanceList
from scalebend.core.messages import Handover
from scalebend.core.owner import REBUILD_TIME_S, OwnerAction, ReplicaOwner
from scalebend.core.queueing import Policy
from scalebend.core.rendezvous import ResponsibleTable
from scalebend.core.shares import ShareLedger
from scalebend.models.ids import Epoch, InstanceId, UpstreamId
from scalebend.models.work import Renew

logger = structlog.get_logger(__name__)


class OwnershipChange(msgspec.Struct):
    """Replicas with a new owner, and the messages that result."""

    upstreams: set[UpstreamId]
    handovers: list[ToInstance]
    refusals: list[OwnerAction]


class ReplicaOwners:
    """The owner objects of this instance's replicas, by the latest instance list."""

    def __init__(self, instance: InstanceId, catalog: Catalog, policy: Policy) -> None:
        self.shares = ShareLedger()
        self.epoch = Epoch(0)
        self._instance = instance
        self._catalog = catalog
        self._policy = policy
        self._responsible = ResponsibleTable([instance])
        self._owners: dict[UpstreamId, ReplicaOwner] = {}

    def __iter__(self) -> Iterator[tuple[UpstreamId, ReplicaOwner]]:
        return iter(list(self._owners.items()))

    def get(self, upstream: UpstreamId) -> ReplicaOwner | None:
        """Return the replica's owner object if this instance owns the replica."""
        return self._owners.get(upstream)

    def find_owner(self, upstream: UpstreamId) -> InstanceId | None:
        """Return the instance that owns the replica."""
        return self._responsible.find(upstream)

    def is_local(self, upstream: UpstreamId) -> bool:
        """Whether this instance owns the replica."""
        return self.find_owner(upstream) == self._instance

    def get_or_create(self, record: UpstreamRecord, now: float) -> ReplicaOwner | None:
        """Return the owner object, created if needed; ``None`` if owned elsewhere."""
        upstream = record.announcement.upstream
        if not self.is_local(upstream):
            return None
        owner = self._owners.get(upstream)
        if owner is None:
            # A replica that runs nothing has no reservations to collect.
            must_rebuild = bool(record.announcement.running)
            owner = self._build(record, now, must_rebuild=must_rebuild)
        elif owner.view != record.view:
            owner.view = record.view
            owner.ledger.capacity = record.view.memory_tokens
        return owner

    def drop(self, upstream: UpstreamId) -> None:
        """Remove a replica that is gone."""
        self._owners.pop(upstream, None)
        self._responsible.forget(upstream)

    def set_instances(self, listed: InstanceList, now: float) -> OwnershipChange:
        """Apply a newer instance list."""
        before = {
            record.view.upstream: self.find_owner(record.view.upstream)
            for record in self._catalog
        }
        self.epoch = listed.epoch
        self._responsible.set_instances(item.instance for item in listed.instances)
        changed = {name for name, old in before.items() if self.find_owner(name) != old}
        change = OwnershipChange(changed, [], [])
        for upstream in sorted(changed):
            owner = self._owners.pop(upstream, None)
            new_owner = self.find_owner(upstream)
            if owner is not None and new_owner is not None:
                handover = Handover(
                    upstream, Renew(upstream, owner.list_reservations())
                )
                change.handovers.append(ToInstance(new_owner, handover))
                change.refusals += owner.close()
            if new_owner == self._instance:
                record = self._catalog.get(upstream)
                assert record is not None
                record.last_announced = now
                self._build(record, now, must_rebuild=True)
        return change

    def _build(
        self, record: UpstreamRecord, now: float, *, must_rebuild: bool
    ) -> ReplicaOwner:
        announcement = record.announcement
        owner = ReplicaOwner(
            record.view,
            self._policy,
            self.shares,
            incarnation=announcement.incarnation,
            grants_from=now + REBUILD_TIME_S if must_rebuild else now,
        )
        self._owners[announcement.upstream] = owner
        logger.info(
            "owns replica",
            upstream=announcement.upstream,
            epoch=self.epoch,
            rebuild=must_rebuild,
        )
        return owner
