"""Put a streamed answer together from chunks that may repeat or come late."""

from __future__ import annotations

import msgspec

MOST_BUFFERED = 1024
"""Chunks kept while an earlier one is missing."""


class Chunk(msgspec.Struct, frozen=True):
    """One chunk; ``offset`` counts chunks from the start of the answer."""

    offset: int
    data: bytes


class StreamAssembler:
    """Orders the chunks of one answer; each is delivered exactly once."""

    def __init__(self) -> None:
        self.next_offset = 0
        self._end: int | None = None
        self._early: dict[int, bytes] = {}

    @property
    def is_whole(self) -> bool:
        """Whether the end was seen and everything before it delivered."""
        return self._end is not None and self.next_offset == self._end

    def accept(self, chunk: Chunk) -> list[bytes]:
        """Take a chunk; return the data that can be delivered now, in order."""
        if chunk.offset < self.next_offset or chunk.offset in self._early:
            return []
        if self._end is not None and chunk.offset >= self._end:
            return []
        if chunk.offset != self.next_offset:
            if len(self._early) < MOST_BUFFERED:
                self._early[chunk.offset] = chunk.data
            return []
        ready = [chunk.data]
        self.next_offset += 1
        while self.next_offset in self._early:
            ready.append(self._early.pop(self.next_offset))
            self.next_offset += 1
        return ready

    def skip(self, count: int) -> None:
        """The next ``count`` chunks were delivered in order by the caller."""
        self.next_offset += count
        for early in [key for key in self._early if key < self.next_offset]:
            del self._early[early]

    def note_end(self, offset: int) -> None:
        """The answer has ``offset`` chunks; an end before delivered data is void."""
        if self._end is None and offset >= self.next_offset:
            self._end = offset
            for early in [key for key in self._early if key >= offset]:
                del self._early[early]
