"""Sends each front the routing documents that it lacks, one at a time.

A link to a control instance also carries the answers that requests wait for. A large
document sent to hundreds of fronts at once fills it, and those answers come late: 920
new routes to 195 fronts took 0.13 s of a link of 170 Mbit/s, in which 37 of 300 choices
were made without the leader. So large ones go out over several turns.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.control_actions import ToFront
from scalebend.core.gateway.routing_store import RoutingUpdate, build_update
from scalebend.models.ids import InstanceId, RoutingVersion
from scalebend.models.routing import EMPTY_ROUTING, Routing

KEPT_VERSIONS = 64
"""Routing documents kept to send only what changed since one of them."""

TURN = 0.02
"""Seconds between two turns in which large documents go out."""

TURN_BYTES = 128 * 1024
"""Bytes of documents sent in one turn: 51 Mbit/s, a third of a link of a small control
machine. A turn sends more where that would take longer than :data:`LONGEST_PUSH`."""

LONGEST_PUSH = 1.0
"""Seconds in which all fronts are sent a document, a third of the time in which a
change must be in force everywhere."""


class _Front(msgspec.Struct):
    held: RoutingVersion = RoutingVersion(0)
    sent: RoutingVersion = RoutingVersion(0)
    is_subscribed: bool = False


class RoutingPush:
    """What each front holds of the newest routing document."""

    def __init__(self) -> None:
        self.routing = EMPTY_ROUTING
        self._history: dict[RoutingVersion, Routing] = {
            EMPTY_ROUTING.version: EMPTY_ROUTING
        }
        self._packed: dict[RoutingVersion, RoutingUpdate] = {}
        """What fronts that hold a version are sent for the newest one."""

        self._fronts: dict[InstanceId, _Front] = {}
        self._waiting: dict[InstanceId, None] = {}
        """Fronts that are to be sent the newest document, in their order."""

        self._turn_at = 0.0
        self._turn_bytes = TURN_BYTES

    def add_front(self, front: InstanceId) -> None:
        """A front has a link, and nothing yet."""
        self._fronts[front] = _Front()

    def remove_front(self, front: InstanceId) -> None:
        """The link to a front was lost."""
        self._fronts.pop(front, None)
        self._waiting.pop(front, None)

    def note_document(self, routing: Routing) -> None:
        """A newer document holds."""
        self.routing = routing
        self._history[routing.version] = routing
        self._packed.clear()
        while len(self._history) > KEPT_VERSIONS:
            oldest = min(v for v in self._history if v != EMPTY_ROUTING.version)
            del self._history[oldest]

    def subscribe(
        self, front: InstanceId, held: RoutingVersion, *, is_wanted: bool
    ) -> list[ToFront]:
        """A front says what it holds; it is sent what is newer at once.

        It may refuse requests until it has it, or has just taken the last one.
        """
        state = self._fronts.get(front)
        if state is None:
            return []
        state.is_subscribed = is_wanted
        state.held = held
        state.sent = held
        self._waiting.pop(front, None)
        return self._send(front, state)

    def push(self, now: float) -> list[ToFront]:
        """Send the newest document to all who have the one before."""
        # One document at a time to each front: a slow link gets only the newest.
        self._waiting = dict.fromkeys(
            front
            for front, state in self._fronts.items()
            if state.sent == state.held and self._lacks(state)
        )
        turns = LONGEST_PUSH / TURN
        self._turn_bytes = max(TURN_BYTES, math.ceil(self._count_bytes() / turns))
        self._turn_at = now
        return self.advance(now)

    def advance(self, now: float) -> list[ToFront]:
        """Send it to some more, if that is due."""
        if not self._waiting or now < self._turn_at:
            return []
        self._turn_at = now + TURN
        actions: list[ToFront] = []
        room = self._turn_bytes
        while self._waiting and room > 0:
            front = next(iter(self._waiting))
            del self._waiting[front]
            for action in self._send(front, self._fronts[front]):
                room -= len(action.message.packed)  # type: ignore[union-attr]
                actions.append(action)
        return actions

    def _count_bytes(self) -> int:
        states = (self._fronts[front] for front in self._waiting)
        return sum(len(self._find_news(state).packed) for state in states)

    def _lacks(self, state: _Front) -> bool:
        return state.is_subscribed and state.held < self.routing.version

    def _send(self, front: InstanceId, state: _Front) -> list[ToFront]:
        if not self._lacks(state):
            return []
        state.sent = self.routing.version
        return [ToFront(front, self._find_news(state))]

    def _find_news(self, state: _Front) -> RoutingUpdate:
        base = self._history.get(state.held, EMPTY_ROUTING)
        news = self._packed.get(base.version)
        if news is None:
            news = self._packed[base.version] = build_update(base, self.routing)
        return news
