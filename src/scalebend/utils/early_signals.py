"""Handling of signals while a process starts, before its event loop handles them."""

from __future__ import annotations

import signal
import sys
from types import FrameType


class EarlySignals:
    """Signals that arrived before the event loop handled them."""

    def __init__(self) -> None:
        self.is_reload_requested = False
        """Whether SIGHUP came, perhaps after the settings had been read."""

    def handle_reload(self, number: int, frame: FrameType | None) -> None:
        """Remember SIGHUP; its default effect would end the process."""
        self.is_reload_requested = True


def handle_early_signals() -> EarlySignals:
    """Exit with status 0 on SIGTERM, and remember SIGHUP.

    The process serves no requests yet. Without a handler, its exit status would look
    like a crash.
    """
    signals = EarlySignals()
    signal.signal(signal.SIGHUP, signals.handle_reload)
    signal.signal(signal.SIGTERM, _exit)
    return signals


def _exit(number: int, frame: FrameType | None) -> None:
    sys.exit(0)
