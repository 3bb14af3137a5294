"""Sends a front that has just been linked all upstreams, once.

A front needs them from one control instance, and the leader's link is the one that it
cannot serve without. From all five at once, 155 upstreams filled a front's link of
10 Mbit/s for 60 ms after each start, in which its routing document waited behind them.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.models.ids import InstanceId

FOLLOWER_DELAY = 1.0
"""Seconds after which instances that do not lead send theirs, too: after that a front
that had no leader has either found one or needs all that it can get."""

LIFE = 0.1
"""Seconds for which one message is used for all fronts that are linked: about the time
in which they come back after a restart of all."""


class _Catalogue(msgspec.Struct, frozen=True):
    message: EndpointChanges
    changes: int
    built_at: float


class CataloguePush:
    """Fronts that are still to be sent all upstreams."""

    def __init__(self) -> None:
        self._due: dict[InstanceId, float] = {}
        self._last = _Catalogue(EndpointChanges([]), -1, -math.inf)

    def add_front(self, front: InstanceId, now: float) -> None:
        """A front was linked."""
        self._due[front] = now + FOLLOWER_DELAY

    def remove_front(self, front: InstanceId) -> None:
        """The link to a front was lost."""
        self._due.pop(front, None)

    def send_due(
        self, directory: EndpointDirectory, changes: int, now: float, *, is_leader: bool
    ) -> list[ToFront]:
        """Send all upstreams to fronts whose time has come; the leader's has at once.

        ``changes`` counts the changes of upstreams so far.
        """
        due = [front for front, at in self._due.items() if is_leader or now >= at]
        if not due:
            return []
        for front in due:
            del self._due[front]
        last = self._last
        if last.changes != changes or now - last.built_at >= LIFE:
            message = EndpointChanges(directory.list_news())
            last = self._last = _Catalogue(message, changes, now)
        return [ToFront(front, last.message) for front in due]
