"""Splits a stream into events, so that another replica can resume it after a failure.

Complete events are forwarded byte for byte, with the comments before them. An
incomplete event is dropped when its connection breaks, and so are events that a replica
repeats.
"""

from __future__ import annotations

import re

import msgspec

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")
_DATA_LINE = re.compile(rb"(?:^|\n)data(?::|\r?\n)")

MAX_EVENT_BYTES = 1024 * 1024
"""Maximum size of an incomplete event."""

MAX_NUMBER_DIGITS = 18
"""Maximum length of the number of an event."""

MAX_BYTES_BETWEEN_EVENTS = 64 * 1024
"""Maximum size of comments and of events out of order between two new events."""


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
        self._comments: list[bytes] = []
        """Comments since the last event, forwarded with the next one: without an event
        it is not known that they belong to a response at all."""

        self._last_received: int | None = None
        """Number of the last event of this replica, forwarded or not."""

        self._skipped_bytes = 0
        """Bytes since the last new event that were not forwarded with it."""

        self._fault = ""
        """Why nothing more of this replica is read; empty if it is."""

    @property
    def is_incomplete(self) -> bool:
        """Whether the stream can't be complete, should it end here."""
        return bool(self._pending or self._fault)

    def restart(self) -> None:
        """Drop what is incomplete, before another replica resumes the stream."""
        self._pending = b""
        self._comments.clear()
        self._last_received = None
        self._skipped_bytes = 0
        self._fault = ""

    def feed(self, data: bytes) -> ForwardableEvents:
        """Add bytes; return the new events that are complete.

        Raises :class:`GarbledEventsError` if an event, or what comes between two
        events, exceeds its size limit. Events before that are returned first, since
        another replica goes on after them.
        """
        data = self._pending + data
        accepted = []
        events = 0
        start = 0
        for event_end in _EVENT_END.finditer(data):
            if self._fault:
                break
            event = data[start : event_end.end()]
            start = event_end.end()
            if self._accept(event):
                accepted += [*self._comments, event]
                events += 1
                self._comments.clear()
                self._skipped_bytes = 0
        self._pending = data[start:]
        if len(self._pending) > MAX_EVENT_BYTES:
            self._fault = "an event exceeds the size limit"
        if not accepted:
            self.raise_fault()
        return ForwardableEvents(b"".join(accepted), events)

    def raise_fault(self) -> None:
        """Raise :class:`GarbledEventsError` if garbled bytes were received.

        Called once the events before them have been forwarded.
        """
        if self._fault:
            raise GarbledEventsError(self._fault)

    def take_comments(self) -> bytes:
        """Return the comments after the last event, at the end of a stream."""
        comments = b"".join(self._comments)
        self._comments.clear()
        return comments

    def _accept(self, event: bytes) -> bool:
        """Return whether to forward this event now; keep it if it is a comment."""
        found = _EVENT_ID.search(event)
        if found is not None:
            return self._accept_number(event, found[1])
        if _DATA_LINE.search(event) is not None:
            # Events without an id are forwarded in place.
            return True
        self._comments.append(event)
        self._skip(event)
        return False

    def _accept_number(self, event: bytes, digits: bytes) -> bool:
        if len(digits) > MAX_NUMBER_DIGITS:
            self._fault = "the number of an event is too long"
            return False
        number = int(digits)
        if self.last_event is None or number > self.last_event:
            self.last_event = self._last_received = number
            return True
        # A replica may begin again from the start, but each number comes once.
        if self._last_received is not None and number <= self._last_received:
            self._skip(event)
        self._last_received = max(number, self._last_received or 0)
        self._comments.clear()
        return False

    def _skip(self, event: bytes) -> None:
        """Count a comment or an event out of order against the limit."""
        self._skipped_bytes += len(event)
        if self._skipped_bytes > MAX_BYTES_BETWEEN_EVENTS:
            self._fault = "too many bytes without an event"
