"""A text stream for logs that never blocks and holds a bounded amount."""

from __future__ import annotations

import os
from collections import deque

MOST_HELD = 1024 * 1024
"""Bytes of lines that wait while the reader of the pipe is stalled."""


class BoundedWriter:
    """Writes whole lines to a descriptor; while it is full, keeps some, drops the rest.

    The number of dropped lines is written as a line of its own once there is room.
    """

    def __init__(self, descriptor: int, most_held: int = MOST_HELD) -> None:
        self._descriptor = descriptor
        self._most_held = most_held
        self._held: deque[bytes] = deque()
        self._held_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one or more lines."""
        data = text.encode()
        if self._held_bytes + len(data) > self._most_held:
            self.dropped += 1
            self._drain()
            return len(text)
        self._held.append(data)
        self._held_bytes += len(data)
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Write what is held, as far as the reader takes it."""
        self._drain()

    def _drain(self) -> None:
        while self._held:
            data = self._held[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is no other place to say so.
                self._held.clear()
                self._held_bytes = 0
                return
            self._held_bytes -= written
            if written < len(data):
                self._held[0] = data[written:]
                return
            self._held.popleft()
            self._note_dropped()

    def _note_dropped(self) -> None:
        if self.dropped and not self._held:
            line = f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'
            self.dropped = 0
            self._held.append(line.encode())
            self._held_bytes += len(line)
