"""Resumed streams deliver every chunk exactly once."""

import pytest
from hypothesis import given, strategies as st

from scalebend.core.streams import Chunk, StreamAssembler
from scalebend.edges.sse import (
    MAX_UNDELIVERED_BYTES,
    EventFramer,
    InvalidStreamError,
    read_usage,
)


def build_events(count):
    events = [b'id: %d\ndata: {"n": %d}\n\n' % (n, n) for n in range(count)]
    return [*events, b"id: %d\ndata: [DONE]\n\n" % count]


@given(
    order=st.lists(st.integers(0, 11), max_size=60),
    end_at=st.integers(0, 60),
)
def test_chunks_in_any_order_and_number_are_delivered_once(order, end_at):
    assembler = StreamAssembler()
    delivered = []
    for step, offset in enumerate(order):
        if step == end_at:
            assembler.record_end(12)
        delivered += assembler.accept(Chunk(offset, b"%d" % offset))
    assert delivered == [b"%d" % n for n in range(len(delivered))]
    seen = set(order)
    whole = all(n in seen for n in range(12)) and end_at < len(order)
    assert assembler.is_complete == whole


@given(
    count=st.integers(1, 20),
    sizes=st.lists(st.integers(1, 40), min_size=1, max_size=30),
    breaks=st.lists(st.integers(0, 400), max_size=4),
)
def test_framer_output_does_not_depend_on_reads_and_reconnects(count, sizes, breaks):
    events = build_events(count)
    framer = EventFramer()
    output = b""
    for length in [*breaks, None]:
        # A resumed connection starts at the first event that was not delivered, or
        # earlier if the upstream repeats some.
        first = max(0, framer.next_offset - (length or 0) % 3)
        data = b"".join(events[first:])
        if length is not None:
            data = data[:length]
        position = 0
        read_count = 0
        while position < len(data):
            size = sizes[read_count % len(sizes)]
            output += framer.feed(data[position : position + size])
            position += size
            read_count += 1
        framer.restart()
    assert output == b"".join(events)
    assert framer.is_complete


@pytest.mark.parametrize(
    "data", [b"\x00\x01", b"data: no id\n\n", b"<html>", b"x" * 2_000_000]
)
def test_data_that_is_no_event_stream_is_rejected(data):
    framer = EventFramer()
    with pytest.raises(InvalidStreamError):
        framer.feed(data)
        framer.feed(b"\n\n")


def test_usage_is_read_from_the_end_of_a_response():
    tail = b'id: 3\ndata: {"usage": {"prompt_tokens": 7, "completion_tokens": 3}}\n\n'
    usage = read_usage(tail + b"id: 4\ndata: [DONE]\n\n")
    assert (usage.prompt_tokens, usage.completion_tokens) == (7, 3)
    assert read_usage(b"id: 4\ndata: [DONE]\n\n").prompt_tokens == 0


def test_repeated_event_without_end_is_rejected():
    """Guards against events that are read and dropped until the deadline."""
    event = build_events(1)[0]
    framer = EventFramer()
    framer.feed(event)
    with pytest.raises(InvalidStreamError):
        for _ in range(MAX_UNDELIVERED_BYTES // 65_536 + 1):
            framer.feed(event * (65_536 // len(event) + 1))


def test_long_response_may_be_repeated_from_its_start():
    events = build_events(200)
    framer = EventFramer()
    assert framer.feed(b"".join(events[:150])) == b"".join(events[:150])
    framer.restart()
    assert framer.feed(b"".join(events)) == b"".join(events[150:])


def test_new_event_after_many_repeated_ones_is_delivered():
    """Guards against an event that is lost because the limit is checked too late."""
    repeated, new = build_events(1)
    framer = EventFramer()
    framer.feed(repeated)
    framer.feed(repeated * (MAX_UNDELIVERED_BYTES // len(repeated) - 1))
    assert framer.feed(repeated * 2 + new) == new
