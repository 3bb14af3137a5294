"""The signal to stop, and when it came."""

from __future__ import annotations

import asyncio


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
