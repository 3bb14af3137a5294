"""Stores a changing list on disk, in a thread because disks may stall."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")

UNWRITTEN = -1
"""Number of changes that no list has, so that it is written."""

WRITE_INTERVAL_S = 0.5
"""Minimum time between two writes of one list, each of some kilobytes."""


class ListWriter(Generic[Entry]):
    """Writes one list after changes, one write at a time."""

    def __init__(
        self, read: Callable[[], list[Entry]], write: Callable[[list[Entry]], bool]
    ) -> None:
        """``read`` returns the current list.

        ``write`` may block, and returns whether it stored the list.
        """
        self._read = read
        self._write = write
        self._write_task: asyncio.Task[None] | None = None
        self._written_changes = 0
        self._next_write_at = 0.0

    def write_if_due(self, changes: int, now: float) -> None:
        """Write the list if it changed; ``changes`` is the count of its changes."""
        is_writing = self._write_task is not None and not self._write_task.done()
        if is_writing or now < self._next_write_at or changes == self._written_changes:
            return
        self._next_write_at = now + WRITE_INTERVAL_S
        self._written_changes = changes
        self._write_task = asyncio.create_task(self._store(self._read()))

    async def _store(self, entries: list[Entry]) -> None:
        if not await asyncio.to_thread(self._write, entries):
            # The disk may be full for a moment: the next write is due without a change.
            self._written_changes = UNWRITTEN
