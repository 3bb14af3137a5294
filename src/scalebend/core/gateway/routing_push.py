"""Sends each front the newest routing document, one document at a time.

The links also carry replies that requests wait for, and a large document sent to
hundreds of fronts at once would delay them: 920 new routes to 195 fronts fill a link of
170 Mbit/s for 0.13 s, in which fronts place requests without the leader. So the
documents are paced: each interval sends a limited number of bytes.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.routing_history import RoutingHistory
from scalebend.core.gateway.routing_store import RoutingUpdate, build_update
from scalebend.models.ids import InstanceId, RoutingVersion
from scalebend.models.routing import EMPTY_ROUTING, Routing

PUSH_INTERVAL_S = 0.02
"""Interval in which a limited number of bytes is sent."""

PUSH_INTERVAL_BYTES = 128 * 1024
"""Bytes sent per interval, so that replies still fit the link of a small instance.
Raised where a push would otherwise take longer than :data:`MAX_PUSH_S`."""

MAX_PUSH_S = 1.0
"""Time in which a document is sent to all fronts, a third of the time in which a change
must be in force everywhere."""


class _Front(msgspec.Struct):
    held_version: RoutingVersion = RoutingVersion(0)
    sent_version: RoutingVersion = RoutingVersion(0)
    is_subscribed: bool = False


class RoutingPush:
    """The newest routing document, and the versions that fronts hold."""

    def __init__(self) -> None:
        self.history = RoutingHistory()
        self._updates_by_base: dict[RoutingVersion, RoutingUpdate] = {}
        """Packed updates to the newest document, by the version that a front holds."""

        self._fronts: dict[InstanceId, _Front] = {}
        self._pending: dict[InstanceId, None] = {}
        """Fronts to send the newest document to, in this order."""

        self._send_at = 0.0
        self._interval_bytes = PUSH_INTERVAL_BYTES

    @property
    def routing(self) -> Routing:
        """The newest document."""
        return self.history.newest

    def add_front(self, front: InstanceId) -> None:
        """Add a newly linked front, which holds no document yet."""
        self._fronts[front] = _Front()

    def remove_front(self, front: InstanceId) -> None:
        """Remove a front whose link was lost."""
        self._fronts.pop(front, None)
        self._pending.pop(front, None)

    def record_document(self, routing: Routing) -> None:
        """Set the newest document."""
        self.history.add(routing)
        self._updates_by_base.clear()

    def subscribe(
        self, front: InstanceId, held_version: RoutingVersion, *, is_wanted: bool
    ) -> list[ToFront]:
        """Record the version that a front holds, and send a newer one immediately.

        This is not paced: the front may refuse requests until it has the document.
        """
        state = self._fronts.get(front)
        if state is None:
            return []
        state.is_subscribed = is_wanted
        state.held_version = held_version
        state.sent_version = held_version
        self._pending.pop(front, None)
        return self._send(front, state)

    def push(self, now: float) -> list[ToFront]:
        """Start sending the newest document to the fronts that lack it."""
        # A front with an unacknowledged document gets the newest when it subscribes
        # again, so that a slow link skips versions.
        self._pending = dict.fromkeys(
            front
            for front, state in self._fronts.items()
            if state.sent_version == state.held_version and self._lacks(state)
        )
        intervals = MAX_PUSH_S / PUSH_INTERVAL_S
        self._interval_bytes = max(
            PUSH_INTERVAL_BYTES, math.ceil(self._count_bytes() / intervals)
        )
        self._send_at = now
        return self.advance(now)

    def advance(self, now: float) -> list[ToFront]:
        """Send the document to further fronts if the next interval is due."""
        if not self._pending or now < self._send_at:
            return []
        self._send_at = now + PUSH_INTERVAL_S
        actions: list[ToFront] = []
        budget_bytes = self._interval_bytes
        while self._pending and budget_bytes > 0:
            front = next(iter(self._pending))
            del self._pending[front]
            for action in self._send(front, self._fronts[front]):
                budget_bytes -= len(action.message.packed)  # type: ignore[union-attr]
                actions.append(action)
        return actions

    def _count_bytes(self) -> int:
        states = (self._fronts[front] for front in self._pending)
        return sum(len(self._get_update(state).packed) for state in states)

    def _lacks(self, state: _Front) -> bool:
        return state.is_subscribed and state.held_version < self.routing.version

    def _send(self, front: InstanceId, state: _Front) -> list[ToFront]:
        if not self._lacks(state):
            return []
        state.sent_version = self.routing.version
        return [ToFront(front, self._get_update(state))]

    def _get_update(self, state: _Front) -> RoutingUpdate:
        held, empty = state.held_version, EMPTY_ROUTING.version
        base = held if held in self.history else empty
        update = self._updates_by_base.get(base)
        if update is None:
            update = self._updates_by_base[base] = build_update(
                self.history.read(base), self.routing
            )
        return update
