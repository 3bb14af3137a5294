"""Cut a stream of server-sent events at event borders, without parsing each.

An upstream numbers its events with ``id:``. In the usual case the bytes pass as they
came; only the first event of each read is looked at. When numbers repeat or are
missing, the events are taken one by one.
"""

from __future__ import annotations

import re

import msgspec

from scalebend.core.streams import Chunk, StreamAssembler

_SEPARATOR = b"\n\n"
_ID = re.compile(rb"(?:^|\n)id: ?(\d+)(?:\r?\n|$)")
_DONE = b"data: [DONE]"
MOST_PENDING = 1024 * 1024
"""Bytes of one event; a longer one is garbage."""


class GarbledStreamError(Exception):
    """The upstream's stream is not a stream of events."""


class EventFramer:
    """Whole events of one attempt, each delivered once, over any number of links."""

    def __init__(self) -> None:
        self._assembler = StreamAssembler()
        self._pending = b""
        self.tail = b""

    @property
    def next_offset(self) -> int:
        """Number of the next event to be delivered."""
        return self._assembler.next_offset

    @property
    def is_whole(self) -> bool:
        """Whether the end of the answer was delivered."""
        return self._assembler.is_whole

    def restart(self) -> None:
        """The link was lost: what came of an unfinished event is dropped."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Take bytes from the link; return what can be passed on."""
        if self._pending:
            data = self._pending + data
        end = data.rfind(_SEPARATOR)
        if end < 0:
            self._keep(data)
            return b""
        end += len(_SEPARATOR)
        whole = data[:end]
        self._keep(data[end:])
        return self._deliver(whole)

    def _keep(self, data: bytes) -> None:
        if len(data) > MOST_PENDING:
            raise GarbledStreamError("an event is too long")
        if data[:3] != b"id:"[: len(data)]:
            raise GarbledStreamError("an event does not begin with its id")
        self._pending = data

    def _deliver(self, whole: bytes) -> bytes:
        first = _ID.search(whole, 0, whole.find(_SEPARATOR))
        if first is None:
            raise GarbledStreamError("an event has no id")
        expected = self._assembler.next_offset
        count = whole.count(_SEPARATOR)
        last = _ID.search(whole, max(0, whole.rfind(_SEPARATOR, 0, -2)))
        is_in_order = (
            int(first[1]) == expected
            and last is not None
            and int(last[1]) == expected + count - 1
        )
        if is_in_order:
            self._assembler.skip(count)
            passed = whole
        else:
            passed = self._deliver_each(whole)
        if passed:
            self.tail = (self.tail + passed)[-4096:] if len(passed) < 4096 else passed
        if _DONE in whole[-64:]:
            assert last is not None
            self._assembler.record_end(int(last[1]) + 1)
        return passed

    def _deliver_each(self, whole: bytes) -> bytes:
        passed = []
        for event in whole.split(_SEPARATOR)[:-1]:
            found = _ID.search(event)
            if found is None:
                raise GarbledStreamError("an event has no id")
            chunk = Chunk(int(found[1]), event + _SEPARATOR)
            passed += self._assembler.accept(chunk)
        return b"".join(passed)


class _Details(msgspec.Struct, frozen=True):
    cached_tokens: int = 0


class Usage(msgspec.Struct):
    """Token counts as the engine reports them in its last event."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _Details = _Details()


class _UsageEvent(msgspec.Struct):
    usage: Usage | None = None


def read_usage(tail: bytes) -> Usage:
    """Return the usage in the last events of an answer; zeros when there is none."""
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
    """Return the ``data:`` payloads of whole events, without the end mark."""
    payloads = []
    for line in events.split(b"\n"):
        if line.startswith(b"data: ") and not line.startswith(_DONE):
            payloads.append(line[6:])
    return payloads
