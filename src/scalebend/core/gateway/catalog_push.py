"""Sends the list of all upstreams once to each newly linked front.

A front needs the list from one control instance only. The leader sends it immediately;
the others wait, because the same list from all of them at once would delay the routing
document on a slow link.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.models.ids import InstanceId

FOLLOWER_DELAY_S = 1.0
"""Delay before instances that do not lead send the list, in case the front has not
received it from a leader."""

CATALOG_REUSE_S = 0.1
"""How long one built message is reused, for fronts that reconnect at the same time."""


class _Catalog(msgspec.Struct, frozen=True):
    message: EndpointChanges
    changes: int
    built_at: float


class CatalogPush:
    """Fronts that have not been sent the list of all upstreams yet."""

    def __init__(self) -> None:
        self._due: dict[InstanceId, float] = {}
        self._last = _Catalog(EndpointChanges([]), -1, -math.inf)

    def add_front(self, front: InstanceId, now: float) -> None:
        """Schedule the list for a newly linked front."""
        self._due[front] = now + FOLLOWER_DELAY_S

    def remove_front(self, front: InstanceId) -> None:
        """Remove a front whose link was lost."""
        self._due.pop(front, None)

    def send_due(
        self, directory: EndpointDirectory, changes: int, now: float, *, is_leader: bool
    ) -> list[ToFront]:
        """Send the list to the fronts for which it is due, on the leader to all.

        ``changes`` is the number of upstream changes so far; a new value outdates the
        message built before.
        """
        due = [front for front, at in self._due.items() if is_leader or now >= at]
        if not due:
            return []
        for front in due:
            del self._due[front]
        last = self._last
        if last.changes != changes or now - last.built_at >= CATALOG_REUSE_S:
            message = EndpointChanges(directory.list_updates())
            last = self._last = _Catalog(message, changes, now)
        return [ToFront(front, last.message) for front in due]
