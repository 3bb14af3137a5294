"""Timers that tolerate a stall of this process.

After a stall (a suspended process, a blocked event loop, a slow disk), expired timers
run before the data that waits in the sockets is read. What they conclude from missing
messages would be wrong, so the first run of a periodic timer after a stall is skipped.
"""

from __future__ import annotations

from collections.abc import Callable

import structlog

logger = structlog.get_logger(__name__)

MIN_STALL_S = 0.2
"""Delay of a timer that shows a stall: far more than one busy iteration of the event
loop."""


class StallGuard:
    """Decides whether a periodic timer may run."""

    def __init__(
        self,
        interval: float,
        now: float,
        on_stall: Callable[[], None] = lambda: None,
    ) -> None:
        """``interval`` is the timer's, in seconds; ``on_stall`` counts stalls."""
        self._interval = interval
        self._on_stall = on_stall
        self._last_call = now
        self._has_skipped = False

    def may_run(self, now: float) -> bool:
        """Whether the timer may run now; to be asked at each of its ticks.

        Two ticks in a row are never skipped, so that a host on which every tick is
        late still runs its timers.
        """
        late = now - self._last_call - self._interval
        self._last_call = now
        if late < MIN_STALL_S or self._has_skipped:
            self._has_skipped = False
            return True
        self._has_skipped = True
        self._on_stall()
        logger.warning("event loop stalled", seconds=round(late, 3))
        return False
