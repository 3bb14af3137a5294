"""Splits a stream of server-sent events into complete events.

An upstream numbers its events with ``id:``. If the first and last number of a read
match the count of its events, the bytes are forwarded as they are; otherwise each
event is parsed, so that repeated ones are dropped.
"""

from __future__ import annotations

import re

import msgspec

from scalebend.core.streams import Chunk, StreamAssembler

_SEPARATOR = b"\n\n"
_ID = re.compile(rb"(?:^|\n)id: ?(\d+)(?:\r?\n|$)")
_DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1024 * 1024
"""A stream with a longer event is rejected as invalid."""

MAX_UNDELIVERED_BYTES = 16 * 1024 * 1024
"""Maximum size of repeated and early events between two that are delivered."""


class InvalidStreamError(Exception):
    """The upstream's stream is not a valid stream of numbered events."""


class EventFramer:
    """Complete events of one attempt, each delivered once, over any connections."""

    def __init__(self) -> None:
        self._assembler = StreamAssembler()
        self._pending = b""
        self._undelivered_bytes = 0
        self.tail = b""

    @property
    def next_offset(self) -> int:
        """Number of the next event to deliver."""
        return self._assembler.next_offset

    @property
    def is_complete(self) -> bool:
        """Whether the end of the response was delivered."""
        return self._assembler.is_complete

    def restart(self) -> None:
        """Drop an incomplete event after the connection was lost."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return the complete events that can be forwarded."""
        if self._pending:
            data = self._pending + data
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._store_pending(data)
            return b""
        end += len(_SEPARATOR)
        events = data[:end]
        self._store_pending(data[end:])
        return self._deliver(events)

    def _store_pending(self, data: bytes) -> None:
        if len(data) > MAX_EVENT_BYTES:
            raise InvalidStreamError("an event exceeds the size limit")
        if data[:3] != b"id:"[: len(data)]:
            raise InvalidStreamError("an event does not begin with its id")
        self._pending = data

    def _deliver(self, events: bytes) -> bytes:
        first = _ID.search(events, 0, events.find(_SEPARATOR))
        if first is None:
            raise InvalidStreamError("an event has no id")
        expected = self._assembler.next_offset
        count = events.count(_SEPARATOR)
        last = _ID.search(events, max(0, events.rfind(_SEPARATOR, 0, -2)))
        is_in_order = (
            int(first[1]) == expected
            and last is not None
            and int(last[1]) == expected + count - 1
        )
        if is_in_order:
            self._assembler.skip(count)
            forwardable = events
        else:
            forwardable = self._deliver_one_by_one(events)
        if not forwardable:
            self._count_undelivered(len(events))
        else:
            self._undelivered_bytes = 0
            self.tail = (
                (self.tail + forwardable)[-4096:]
                if len(forwardable) < 4096
                else forwardable
            )
        if _DONE in events[-64:]:
            assert last is not None
            self._assembler.record_end(int(last[1]) + 1)
        return forwardable

    def _count_undelivered(self, size: int) -> None:
        self._undelivered_bytes += size
        if self._undelivered_bytes > MAX_UNDELIVERED_BYTES:
            raise InvalidStreamError("too many bytes without a new event")

    def _deliver_one_by_one(self, events: bytes) -> bytes:
        forwardable = []
        for event in events.split(_SEPARATOR)[:-1]:
            found = _ID.search(event)
            if found is None:
                raise InvalidStreamError("an event has no id")
            chunk = Chunk(int(found[1]), event + _SEPARATOR)
            forwardable += self._assembler.accept(chunk)
        return b"".join(forwardable)


class _PromptTokenDetails(msgspec.Struct, frozen=True):
    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts that the engine reports in its last event."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptTokenDetails = _PromptTokenDetails()


class _UsageEvent(msgspec.Struct):
    usage: Usage | None = None


def read_usage(tail: bytes) -> Usage:
    """Return the usage in the last events of a response; zeros without one."""
    for event in reversed(tail.split(_SEPARATOR)):
        position = event.find(b"data: {")
        if position < 0 or b'"usage"' not in event:
            continue
        try:
            decoded = msgspec.json.decode(event[position + 6 :], type=_UsageEvent)
        except msgspec.MsgspecError:
            continue
        if decoded.usage is not None:
            return decoded.usage
    return Usage()


def list_payloads(events: bytes) -> list[bytes]:
    """Return the ``data:`` payloads of complete events, without the end event."""
    payloads = []
    for line in events.split(b"\n"):
        if line.startswith(b"data: ") and not line.startswith(_DONE):
            payloads.append(line[6:])
    return payloads
