"""Detection of unstable links by the rate of their starts."""

from __future__ import annotations

from collections import deque

from scalebend.models.ids import InstanceId

WINDOW_S = 60.0
"""Window in which the starts of links are counted."""

MAX_STARTS = 6
"""Starts of one peer's links in the window that are normal: a process that is
restarted, then cut off and reconnected needs four."""


class LinkHistory:
    """Recent link starts by peer."""

    def __init__(self) -> None:
        self._starts: dict[InstanceId, deque[float]] = {}

    def record_start(self, peer: InstanceId, now: float) -> bool:
        """Record that a link to or from ``peer`` is up; return whether it is unstable.

        The count restarts after each ``True``, so that warnings don't flood the log.
        """
        starts = self._starts.setdefault(peer, deque())
        starts.append(now)
        while starts[0] <= now - WINDOW_S:
            starts.popleft()
        if len(starts) <= MAX_STARTS:
            return False
        starts.clear()
        return True
