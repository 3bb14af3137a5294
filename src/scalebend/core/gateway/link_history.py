"""Tells links that end and come back again and again from a link lost now and then."""

from __future__ import annotations

from collections import deque

from scalebend.models.ids import InstanceId

WINDOW = 60.0
"""Seconds over which the starts of links are counted."""

MOST_STARTS = 6
"""Starts of one peer's links in the window that are still usual: a process that is
restarted, cut off and joined again in turn needs four."""


class LinkHistory:
    """Recent starts of links, by peer."""

    def __init__(self) -> None:
        self._starts: dict[InstanceId, deque[float]] = {}

    def note_start(self, peer: InstanceId, now: float) -> bool:
        """A link to or from ``peer`` is up; return whether it is unstable.

        Said once for each excess, so that an alarm on it does not flood the log.
        """
        starts = self._starts.setdefault(peer, deque())
        starts.append(now)
        while starts[0] <= now - WINDOW:
            starts.popleft()
        if len(starts) <= MOST_STARTS:
            return False
        starts.clear()
        return True
