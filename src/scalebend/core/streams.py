"""Reassembly of a streamed response from repeated or out-of-order chunks."""

from __future__ import annotations

import msgspec

MAX_BUFFERED_CHUNKS = 1024
"""Limit of chunks that are buffered while an earlier one is missing."""


class Chunk(msgspec.Struct, frozen=True):
    """One chunk; ``offset`` counts chunks from the start of the response."""

    offset: int
    data: bytes


class StreamAssembler:
    """Orders the chunks of one response and delivers each exactly once."""

    def __init__(self) -> None:
        self.next_offset = 0
        self._end: int | None = None
        self._buffered: dict[int, bytes] = {}

    @property
    def is_complete(self) -> bool:
        """Whether the end is known and all chunks before it were delivered."""
        return self._end is not None and self.next_offset == self._end

    def accept(self, chunk: Chunk) -> list[bytes]:
        """Add a chunk; return the data that can be delivered now, in order."""
        if chunk.offset < self.next_offset or chunk.offset in self._buffered:
            return []
        if self._end is not None and chunk.offset >= self._end:
            return []
        if chunk.offset != self.next_offset:
            if len(self._buffered) < MAX_BUFFERED_CHUNKS:
                self._buffered[chunk.offset] = chunk.data
            return []
        ready = [chunk.data]
        self.next_offset += 1
        while self.next_offset in self._buffered:
            ready.append(self._buffered.pop(self.next_offset))
            self.next_offset += 1
        return ready

    def skip(self, count: int) -> None:
        """Advance past ``count`` chunks that the calling code already delivered."""
        self.next_offset += count
        for skipped in [key for key in self._buffered if key < self.next_offset]:
            del self._buffered[skipped]

    def record_end(self, offset: int) -> None:
        """Record that the response has ``offset`` chunks.

        An end before data that was already delivered is ignored.
        """
        if self._end is None and offset >= self.next_offset:
            self._end = offset
            for excess in [key for key in self._buffered if key >= offset]:
                del self._buffered[excess]
