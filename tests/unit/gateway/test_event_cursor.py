import pytest
from hypothesis import given, strategies as st

from scalebend.core.gateway.event_cursor import (
    MAX_BYTES_BETWEEN_EVENTS,
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
    assert not cursor.is_incomplete


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
    assert cursor.is_incomplete


def test_too_long_event_is_rejected():
    with pytest.raises(GarbledEventsError):
        EventCursor().feed(b"x" * (MAX_EVENT_BYTES + 1))


COMMENT = b": ping\n\n"


def test_comments_wait_for_the_next_event():
    """Guards against bytes that pass for a response before it has begun."""
    cursor = EventCursor()
    assert cursor.feed(COMMENT * 2).data == b""
    forwarded = cursor.feed(build_event(1) + COMMENT)
    assert forwarded.data == COMMENT * 2 + build_event(1)
    assert forwarded.events == 1
    assert cursor.take_comments() == COMMENT
    assert cursor.take_comments() == b""


def test_comments_of_a_replica_that_failed_are_dropped():
    cursor = EventCursor()
    cursor.feed(build_event(1) + COMMENT)
    cursor.restart()
    assert cursor.feed(build_event(2)).data == build_event(2)


@pytest.mark.parametrize("block", [COMMENT, build_event(1)], ids=["comments", "events"])
def test_bytes_without_a_new_event_are_limited(block):
    """Guards against comments, or one event, that are read and dropped without end."""
    cursor = EventCursor()
    cursor.feed(build_event(1))
    with pytest.raises(GarbledEventsError):
        cursor.feed(block * (MAX_BYTES_BETWEEN_EVENTS // len(block) + 1))


def test_long_response_may_be_repeated_from_its_start():
    count = 2 * MAX_BYTES_BETWEEN_EVENTS // len(build_event(1))
    events = [build_event(number) for number in range(1, count + 1)]
    cursor = EventCursor()
    cursor.feed(b"".join(events[:-1]))
    cursor.restart()
    assert cursor.feed(b"".join(events)).data == events[-1]


def test_keepalives_between_events_add_up_to_nothing():
    cursor = EventCursor()
    size = 0
    for number in range(1, 20):
        comments = COMMENT * (MAX_BYTES_BETWEEN_EVENTS // 10 // len(COMMENT))
        size += len(cursor.feed(comments + build_event(number)).data)
    assert size > MAX_BYTES_BETWEEN_EVENTS


def test_too_long_number_is_rejected():
    """Guards against an unexpected error in place of another attempt."""
    with pytest.raises(GarbledEventsError):
        EventCursor().feed(b"id: " + b"5" * 5000 + b"\n\n")


def test_event_before_too_many_comments_is_forwarded():
    """Guards against a gap in a stream that goes on elsewhere after garbled bytes."""
    cursor = EventCursor()
    comments = COMMENT * (MAX_BYTES_BETWEEN_EVENTS // len(COMMENT) + 1)
    assert cursor.feed(build_event(1) + comments).data == build_event(1)
    # The end of the stream is no regular one either.
    assert cursor.is_incomplete
    with pytest.raises(GarbledEventsError):
        cursor.feed(build_event(2))
    cursor.restart()
    assert cursor.feed(build_event(2)).data == build_event(2)
