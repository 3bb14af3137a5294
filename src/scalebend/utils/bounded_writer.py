"""A non-blocking text stream for logs, with a bounded buffer."""

from __future__ import annotations

import os
from collections import deque

MAX_BUFFERED_BYTES = 1024 * 1024
"""Buffered while the reader of the pipe is stalled."""


class BoundedWriter:
    """Writes lines to a file descriptor; buffers them while it is full, then drops.

    The number of dropped writes is logged as a line of its own once the buffer is
    empty.
    """

    def __init__(
        self, descriptor: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES
    ) -> None:
        self._descriptor = descriptor
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or buffer one or more lines; drop them if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > self._max_buffered_bytes:
            self.dropped += 1
            self._drain()
            return len(text)
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        self._drain()
        return len(text)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        self._drain()

    def _drain(self) -> None:
        while self._buffer:
            data = self._buffer[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self._buffer.clear()
                self._buffered_bytes = 0
                return
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer[0] = data[written:]
                return
            self._buffer.popleft()
            self._report_dropped()

    def _report_dropped(self) -> None:
        if self.dropped and not self._buffer:
            line = f'{{"event": "log lines dropped", "count": {self.dropped}}}\n'
            self.dropped = 0
            self._buffer.append(line.encode())
            self._buffered_bytes += len(line)
