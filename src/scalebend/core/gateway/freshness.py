"""Pending requests to confirm that the leader's routing document is the newest.

A leader may have been replaced without knowing. So a request gets its reply only once a
quorum has confirmed the leadership after the request was received.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import InstanceId

QUORUM_TIMEOUT_S = 2.0
"""How long a request waits for a quorum; longer than an election takes."""


class FreshnessRequest(msgspec.Struct, frozen=True):
    """A front or reader waiting for a confirmation later than ``received_at``."""

    received_at: float
    front: InstanceId | None
    """The front that requests a lease; ``None`` for a reader."""

    asked_at: float
    """When the front sent the request, by its own clock."""

    reader: int = 0
    is_urgent: bool = False
    """Whether the front rejects requests of callers until it has the reply."""


class PendingFreshnessRequests:
    """Pending requests, in any order."""

    def __init__(self) -> None:
        self._pending: list[FreshnessRequest] = []

    def add(self, request: FreshnessRequest) -> None:
        """Add a request."""
        self._pending.append(request)

    def pop_confirmed(
        self, confirmed_at: float | None, now: float, *, is_leader: bool
    ) -> list[FreshnessRequest]:
        """Remove and return requests older than the last confirmation of leadership.

        ``confirmed_at`` is ``None`` without a confirmation. Requests of fronts then
        stay only on the leader, which may have just been elected; those of readers stay
        on any member. All are dropped after :data:`QUORUM_TIMEOUT_S`.
        """
        if confirmed_at is None:
            self._pending = [
                request
                for request in self._pending
                if (request.front is None or is_leader)
                and now - request.received_at < QUORUM_TIMEOUT_S
            ]
            return []
        popped = [one for one in self._pending if one.received_at <= confirmed_at]
        self._pending = [one for one in self._pending if one.received_at > confirmed_at]
        return popped

    def find_urgent(self) -> float | None:
        """Return when the newest pending urgent request was received."""
        urgent = [one.received_at for one in self._pending if one.is_urgent]
        return max(urgent, default=None)
