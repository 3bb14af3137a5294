"""Splits a stream into events, so that another replica can resume it after a failure.

Complete events are forwarded byte for byte. An incomplete event is dropped when its
connection breaks, and so are events that a replica repeats.
"""

from __future__ import annotations

import re

import msgspec

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an incomplete event."""


class GarbledEventsError(Exception):
    """The bytes are not a stream of numbered events."""


class ForwardableEvents(msgspec.Struct, frozen=True):
    """Bytes of complete events that may be forwarded, and the number of events."""

    data: bytes
    events: int


class EventCursor:
    """Position in one response stream, over any number of replicas."""

    def __init__(self, last_event: int | None = None) -> None:
        self.last_event = last_event
        self._pending = b""

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an incomplete event are buffered."""
        return bool(self._pending)

    def restart(self) -> None:
        """Drop the incomplete event, before another replica resumes the stream."""
        self._pending = b""

    def feed(self, data: bytes) -> ForwardableEvents:
        """Add bytes; return the new events that are complete.

        Raises :class:`GarbledEventsError` if an event exceeds the size limit.
        """
        data = self._pending + data
        accepted = []
        start = 0
        for event_end in _EVENT_END.finditer(data):
            event = data[start : event_end.end()]
            start = event_end.end()
            if self._accept(event):
                accepted.append(event)
        self._pending = data[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            raise GarbledEventsError("an event exceeds the size limit")
        return ForwardableEvents(b"".join(accepted), len(accepted))

    def _accept(self, event: bytes) -> bool:
        found = _EVENT_ID.search(event)
        if found is None:
            # Comments and events without an id are forwarded in place.
            return True
        number = int(found[1])
        if self.last_event is not None and number <= self.last_event:
            return False
        self.last_event = number
        return True
