"""Handling of SIGTERM while a process starts."""

from __future__ import annotations

import signal
import sys
from types import FrameType


def exit_on_sigterm() -> None:
    """Exit with status 0 on SIGTERM until the event loop handles the signal.

    The process serves no requests yet. Without a handler, its exit status would look
    like a crash.
    """
    signal.signal(signal.SIGTERM, _exit)


def _exit(number: int, frame: FrameType | None) -> None:
    sys.exit(0)
