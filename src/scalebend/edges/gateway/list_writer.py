"""Keeps a list on disk while it changes, beside the loop: disks may stall."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")

STORE_PERIOD = 0.5
"""Seconds between two writes of one list, of some kilobytes each."""


class HintStore(Generic[Entry]):
    """Writes one list when it has changed, one write at a time."""

    def __init__(
        self, read: Callable[[], list[Entry]], write: Callable[[list[Entry]], None]
    ) -> None:
        """``read`` returns the list as it is now; ``write`` may block."""
        self._read = read
        self._write = write
        self._writing: asyncio.Task[None] | None = None
        self._stored_changes = 0
        self._due_at = 0.0

    def store_due(self, changes: int, now: float) -> None:
        """Store the list if it changed; ``changes`` counts its changes so far."""
        is_writing = self._writing is not None and not self._writing.done()
        if is_writing or now < self._due_at or changes == self._stored_changes:
            return
        self._due_at = now + STORE_PERIOD
        self._stored_changes = changes
        self._writing = asyncio.create_task(
            asyncio.to_thread(self._write, self._read())
        )
