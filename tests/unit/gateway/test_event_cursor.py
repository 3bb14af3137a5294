import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.event_cursor import (
    MAX_EVENT_BYTES,
    EventCursor,
    GarbledEventsError,
)


def build_event(number):
    return f"id: {number}\ndata: text {number}\n\n".encode()


WHOLE = b"".join(build_event(n) for n in range(1, 30))


@given(st.lists(st.integers(0, len(WHOLE)), max_size=20))
def test_bytes_are_forwarded_unchanged_however_they_are_split(cuts):
    cursor = EventCursor()
    offsets = sorted({0, len(WHOLE), *cuts})
    forwarded = b"".join(
        cursor.feed(WHOLE[start:end]).data
        for start, end in zip(offsets, offsets[1:], strict=False)
    )
    assert forwarded == WHOLE
    assert cursor.last_event == 29
    assert not cursor.has_partial


@given(broken_at=st.integers(0, len(WHOLE)), repeats=st.integers(0, 5))
def test_resumed_response_has_each_event_once(broken_at, repeats):
    cursor = EventCursor()
    forwarded = cursor.feed(WHOLE[:broken_at]).data
    cursor.restart()
    first = max(1, (cursor.last_event or 0) + 1 - repeats)
    rest = b"".join(build_event(n) for n in range(first, 30))
    assert forwarded + cursor.feed(rest).data == WHOLE


def test_caller_that_resumes_gets_only_later_events():
    cursor = EventCursor(last_event=27)
    assert cursor.feed(WHOLE).data == build_event(28) + build_event(29)


def test_end_inside_an_event_is_detected():
    cursor = EventCursor()
    cursor.feed(build_event(1)[:-1])
    assert cursor.has_partial


def test_too_long_event_is_rejected():
    with pytest.raises(GarbledEventsError):
        EventCursor().feed(b"x" * (MAX_EVENT_BYTES + 1))
