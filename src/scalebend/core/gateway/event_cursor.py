"""Cuts a stream at event borders, so that another replica can go on after a break.

Whole events pass as the bytes they came as. What comes of an unfinished event is
dropped when its connection breaks, and events that were passed before are dropped
when a replica repeats them.
"""

from __future__ import annotations

import re

import msgspec

_BORDER = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"(?:^|\n)id: ?(\d+)")

MOST_PENDING = 1024 * 1024
"""Bytes of one unfinished event; more is no event."""


class GarbledEventsError(Exception):
    """The bytes are not a stream of numbered events."""


class Passed(msgspec.Struct, frozen=True):
    """Bytes that may be passed on, and how many events they are."""

    data: bytes
    events: int


class EventCursor:
    """Position in one answer, over any number of replicas."""

    def __init__(self, last_event: int | None = None) -> None:
        self.last_event = last_event
        self._pending = b""

    @property
    def has_partial(self) -> bool:
        """Whether bytes of an unfinished event are held."""
        return bool(self._pending)

    def restart(self) -> None:
        """Another replica goes on: forget the unfinished event."""
        self._pending = b""

    def feed(self, data: bytes) -> Passed:
        """Take bytes; return the whole events in them that are new."""
        data = self._pending + data
        passed = []
        start = 0
        for border in _BORDER.finditer(data):
            event = data[start : border.end()]
            start = border.end()
            if self._accept(event):
                passed.append(event)
        self._pending = data[start:]
        if len(self._pending) > MOST_PENDING:
            raise GarbledEventsError("an event is too long")
        return Passed(b"".join(passed), len(passed))

    def _accept(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            # A comment or a mark without a number belongs where it stands.
            return True
        number = int(found[1])
        if self.last_event is not None and number <= self.last_event:
            return False
        self.last_event = number
        return True
