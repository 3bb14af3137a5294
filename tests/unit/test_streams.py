"""Resumed streams: nothing missing, nothing doubled."""

import pytest
from hypothesis import given, strategies as st

from scalebend.core.streams import Chunk, StreamAssembler
from scalebend.edges.sse import EventFramer, GarbledStreamError, read_usage


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
    assert assembler.is_whole == whole


@given(
    count=st.integers(1, 20),
    sizes=st.lists(st.integers(1, 40), min_size=1, max_size=30),
    breaks=st.lists(st.integers(0, 400), max_size=4),
)
def test_framer_gives_the_same_bytes_over_any_cuts_and_links(count, sizes, breaks):
    events = build_events(count)
    framer = EventFramer()
    passed = b""
    for link in [*breaks, None]:
        # A resumed link begins at the first event that was not delivered, or
        # earlier when the upstream repeats some.
        first = max(0, framer.next_offset - (link or 0) % 3)
        data = b"".join(events[first:])
        if link is not None:
            data = data[:link]
        position = 0
        turn = 0
        while position < len(data):
            size = sizes[turn % len(sizes)]
            passed += framer.feed(data[position : position + size])
            position += size
            turn += 1
        framer.restart()
    assert passed == b"".join(events)
    assert framer.is_whole


@pytest.mark.parametrize(
    "data", [b"\x00\x01", b"data: no id\n\n", b"<html>", b"x" * 2_000_000]
)
def test_garbage_is_told_from_a_stream(data):
    framer = EventFramer()
    with pytest.raises(GarbledStreamError):
        framer.feed(data)
        framer.feed(b"\n\n")


def test_usage_is_read_from_the_end_of_an_answer():
    tail = b'id: 3\ndata: {"usage": {"prompt_tokens": 7, "completion_tokens": 3}}\n\n'
    usage = read_usage(tail + b"id: 4\ndata: [DONE]\n\n")
    assert (usage.prompt_tokens, usage.completion_tokens) == (7, 3)
    assert read_usage(b"id: 4\ndata: [DONE]\n\n").prompt_tokens == 0
