"""The upstream directory of a control instance and the updates it publishes.

A control instance forwards the registrations it accepts to the other control instances.
Each of them sends the resulting changes to the fronts linked to it.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import structlog

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.update_batch import UpdateBatch
from scalebend.models.endpoints import Deregistration, Endpoint, EndpointUpdate
from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)

RESTORED_LIFETIME_HEARTBEATS = 2
"""Heartbeats after which restored upstreams expire unless they register again: a first
registration may reach an instance that is still restarting."""

MAX_MISSED_HEARTBEATS = 8
"""Registrations that an upstream may miss before it is gone. Fronts detect a crashed
upstream themselves; the long timeout keeps upstreams that are partitioned from the
control instances but not from the fronts."""


class DirectoryUpdates(msgspec.Struct, frozen=True):
    """Updates to send now, to all other control instances and to all fronts."""

    to_peers: list[EndpointUpdate]
    to_fronts: list[EndpointUpdate]


class UpstreamExchange:
    """The directory of one control instance, and the pending updates."""

    def __init__(self, heartbeat_interval: float) -> None:
        """``heartbeat_interval`` is the interval of registrations in seconds."""
        self.directory = EndpointDirectory(MAX_MISSED_HEARTBEATS * heartbeat_interval)
        self._restored_lifetime_s = RESTORED_LIFETIME_HEARTBEATS * heartbeat_interval
        self._to_peers = UpdateBatch()
        self._to_fronts = UpdateBatch()
        self.changes = 0
        """Number of upstream changes so far; a new value outdates stored copies."""

    def restore(self, updates: list[EndpointUpdate], now: float) -> None:
        """Restore the upstreams known before a restart of this instance."""
        self.directory.restore(updates, self._restored_lifetime_s, now)
        logger.info("upstreams restored", count=len(self.directory.list_ids()))

    def register(self, endpoint: Endpoint, now: float) -> DirectoryUpdates:
        """Register an upstream.

        Peers receive each registration, even without a change, as a heartbeat.
        """
        change = self.directory.register(endpoint, now)
        known = self.directory.get(endpoint.upstream)
        if known is None:
            return DirectoryUpdates([], [])
        return self._queue([EndpointUpdate(known, is_gone=False)], [change], now)

    def deregister(self, departure: Deregistration, now: float) -> DirectoryUpdates:
        """Deregister an upstream."""
        change = self.directory.deregister(departure, now)
        return self._queue([change], [change], now)

    def record_draining(
        self, upstreams: list[UpstreamId], now: float
    ) -> DirectoryUpdates:
        """Record upstreams that announced to a front that they drain."""
        changes = [self.directory.record_draining(one) for one in upstreams]
        return self._queue(changes, changes, now)

    def merge(self, updates: list[EndpointUpdate], now: float) -> DirectoryUpdates:
        """Apply updates of a peer, which sends them to the other peers itself."""
        changes = [self.directory.merge(one, now) for one in updates]
        return self._queue([], changes, now)

    def expire(self, now: float) -> DirectoryUpdates:
        """Mark timed-out upstreams as gone; peers detect them by themselves."""
        return self._queue([], self.directory.expire(now), now)

    def pop_due(self, now: float) -> DirectoryUpdates:
        """Remove and return the pending updates that are due."""
        return DirectoryUpdates(
            self._to_peers.pop_due(now), self._to_fronts.pop_due(now)
        )

    def _queue(
        self,
        to_peers: Iterable[EndpointUpdate | None],
        changes: Iterable[EndpointUpdate | None],
        now: float,
    ) -> DirectoryUpdates:
        registrations = [one for one in to_peers if one is not None]
        published = [one for one in changes if one is not None]
        for change in published:
            _log_change(change)
        self.changes += len(published)
        return DirectoryUpdates(
            self._to_peers.add(registrations, now) if registrations else [],
            self._to_fronts.add(published, now) if published else [],
        )


def _log_change(change: EndpointUpdate) -> None:
    logger.info(
        "upstream changed",
        upstream=change.endpoint.upstream,
        address=change.endpoint.address,
        service=change.endpoint.service,
        draining=change.endpoint.is_draining,
        gone=change.is_gone,
        sequence=change.endpoint.sequence,
    )
