"""A stalled or closed reader of the log neither blocks the process nor fills memory."""

import os

from scalebend.utils.bounded_writer import BoundedWriter

LINE = "x" * 999 + "\n"


def read_all(descriptor):
    os.set_blocking(descriptor, False)
    parts = []
    while True:
        try:
            data = os.read(descriptor, 1 << 20)
        except BlockingIOError:
            return b"".join(parts)
        if not data:
            return b"".join(parts)
        parts.append(data)


def test_stalled_reader_neither_blocks_nor_fills_memory():
    reader, writer = os.pipe()
    stream = BoundedWriter(writer, max_buffered_bytes=100_000)
    for _ in range(5_000):
        stream.write(LINE)
    assert stream._buffered_bytes <= 100_000
    assert stream.dropped > 4_000


def test_lines_stay_whole_and_dropped_ones_are_counted():
    reader, writer = os.pipe()
    stream = BoundedWriter(writer, max_buffered_bytes=100_000)
    for _ in range(1_000):
        stream.write(LINE)
    text = b""
    for _ in range(20):
        text += read_all(reader)
        stream.flush()
    lines = text.splitlines()
    assert sum(line == LINE.strip().encode() for line in lines) == len(lines) - 1
    assert b"log lines dropped" in lines[-1]


def test_closed_reader_is_ignored():
    reader, writer = os.pipe()
    os.close(reader)
    stream = BoundedWriter(writer)
    stream.write(LINE)
    stream.write(LINE)
    assert stream._buffered_bytes == 0
