"""The signal to stop, when it came, and how long a process may take to end."""

from __future__ import annotations

import asyncio

STOP_MARGIN_S = 0.6
"""Time before the kill at which a process ends what is still open: for its last
messages, and a stall of the process."""

STOP_MARGIN_SHARE = 1.0 / 8.0
"""Upper limit of the same as a share of the grace."""


class StopSignal(asyncio.Event):
    """Set once a process is told to stop."""

    def __init__(self) -> None:
        super().__init__()
        self.came_at: float | None = None
        """Monotonic seconds of the first signal, from which the grace counts."""

    def set(self) -> None:
        """Record the signal; later ones change nothing."""
        if not self.is_set():
            self.came_at = asyncio.get_running_loop().time()
        super().set()


def compute_stop_end(came_at: float, grace: float) -> float:
    """When a process ends what is still open, in seconds on the clock of ``came_at``.

    ``grace``: seconds from the signal to the kill.
    """
    margin_s = min(STOP_MARGIN_S, STOP_MARGIN_SHARE * grace)
    return came_at + grace - margin_s
