"""A stop signal that comes while a process still loads ends it as planned, with 0."""

from __future__ import annotations

import signal
import sys
from types import FrameType


def exit_when_stopped() -> None:
    """Exit with 0 on SIGTERM until the event loop takes the signal.

    Nothing was read from callers by then. Without a handler the process would end with
    the signal's own code, which looks like a crash to whoever stopped it.
    """
    signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    sys.exit(0)
