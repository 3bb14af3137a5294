"""Losses on connections to upstreams, by the kernel and by the times of events."""

import asyncio
import contextlib
import socket
import sys

import aiohttp
import pytest

from scalebend.edges.gateway import path_watch
from scalebend.edges.gateway.path_watch import PathWatch, count_lost, watch_path
from scalebend.edges.gateway.socket_statistics import SocketCounts, read_socket_counts
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from tests.lib.gateway_builders import build_call

EVENT = b"data: x\n\n"


class FakeRuntime:
    """Records what a watch reports; the test drives the clock."""

    def __init__(self):
        self.time = 0.0
        self.recorded = []

    def now(self):
        return self.time

    def record_path(self, upstream, observed, lost):
        self.recorded.append((observed, lost))

    def sum(self):
        return tuple(map(sum, zip(*self.recorded, strict=True)))


class FakeProtocol:
    """A connection whose counts the test sets."""

    def __init__(self):
        self.counts = SocketCounts()
        self.transport = self

    def get_extra_info(self, name):
        return self


def read_stream(runtime, protocol, events, busy=()):
    """Watch events at ``(time, data)``.

    At the times in ``busy``, the front was not reading before: the caller took nothing.
    """
    watch = PathWatch(runtime, build_call(), "i-1", protocol)
    for time, data in events:
        waited = 0.0 if time in busy else time - runtime.time
        runtime.time = time
        watch.record_data(data, waited)
    watch.close()


def test_events_released_after_a_pause_show_a_loss():
    runtime = FakeRuntime()
    events = [(0.05, EVENT), (0.1, EVENT), (0.36, 5 * EVENT), (0.4, EVENT)]
    read_stream(runtime, None, events)
    assert runtime.sum() == (5, 1)


@pytest.mark.parametrize(("pause", "lost"), [(0.85, 1), (1.0, 0), (1.9, 0)])
def test_pause_of_a_process_is_no_loss(pause, lost):
    """Guards against a path being avoided because of processes that pause at its end.

    What such a process had to send meanwhile comes at once.
    """
    runtime = FakeRuntime()
    end = 0.1 + pause
    events = [(0.05, EVENT), (0.1, EVENT), (end, 5 * EVENT), (end + 0.05, EVENT)]
    read_stream(runtime, None, events)
    assert runtime.sum() == (5, lost)


def test_events_released_one_after_the_other_show_a_loss():
    runtime = FakeRuntime()
    released = [(0.36 + 0.001 * number, EVENT) for number in range(5)]
    read_stream(runtime, None, [(0.05, EVENT), (0.1, EVENT), *released, (0.4, EVENT)])
    assert runtime.sum() == (9, 1)


def test_pause_in_a_fast_stream_is_no_loss():
    runtime = FakeRuntime()
    fast = [(0.01 * number, EVENT) for number in range(10)]
    later = [(0.3 + time, data) for time, data in fast]
    read_stream(runtime, None, fast + later)
    assert runtime.sum() == (21, 0)


def test_pause_of_the_engine_is_no_loss():
    runtime = FakeRuntime()
    read_stream(runtime, None, [(0.05, EVENT), (0.36, EVENT), (0.41, EVENT)])
    assert runtime.sum() == (4, 0)


@pytest.mark.parametrize(("busy", "lost"), [((), 1), ((0.4,), 0)])
def test_slow_caller_is_no_loss(busy, lost):
    runtime = FakeRuntime()
    events = [(0.05, EVENT), (0.1, EVENT), (0.4, 6 * EVENT), (0.45, EVENT)]
    read_stream(runtime, None, events, busy)
    assert runtime.sum() == (5, lost)


def test_slow_stream_whose_last_events_come_together_has_no_loss():
    runtime = FakeRuntime()
    events = [(0.2 * number, EVENT) for number in range(10)]
    read_stream(runtime, None, [*events, (2.0, 2 * EVENT)])
    assert runtime.sum() == (12, 0)


@pytest.mark.parametrize(("released", "lost"), [(3, 0), (12, 1)])
def test_stream_whose_events_always_come_together(released, lost):
    runtime = FakeRuntime()
    events = [(0.05 * number, 3 * EVENT) for number in range(10)]
    read_stream(runtime, None, [*events, (0.75, released * EVENT)])
    assert runtime.sum() == (12, lost)


@pytest.mark.parametrize(("out_of_order", "lost"), [(0, 0), (3, 1)])
def test_kernel_decides_whether_a_pause_was_a_loss(monkeypatch, out_of_order, lost):
    runtime = FakeRuntime()
    counts = SocketCounts(10, 0, out_of_order)
    monkeypatch.setattr(path_watch, "read_socket_counts", lambda sock: counts)
    events = [(0.05, EVENT), (0.36, 5 * EVENT), (0.4, EVENT)]
    read_stream(runtime, FakeProtocol(), events)
    assert runtime.sum() == (4, lost)


def test_losses_without_a_pause_do_not_count(monkeypatch):
    # A large prompt: hundreds of segments, some sent again at once.
    runtime = FakeRuntime()
    counts = SocketCounts(700, 12, 0)
    monkeypatch.setattr(path_watch, "read_socket_counts", lambda sock: counts)
    read_stream(runtime, FakeProtocol(), [(0.05 * n, EVENT) for n in range(1, 37)])
    assert runtime.sum() == (37, 0)


def test_several_losses_in_one_pause_count_once(monkeypatch):
    runtime = FakeRuntime()
    counts = SocketCounts(700, 12, 3)
    monkeypatch.setattr(path_watch, "read_socket_counts", lambda sock: counts)
    read_stream(runtime, FakeProtocol(), [(0.05, EVENT), (0.36, 5 * EVENT)])
    assert runtime.sum() == (3, 1)


@pytest.mark.parametrize(
    ("waited", "retransmitted", "lost"), [(0.3, 2, 1), (0.3, 0, 0), (0.1, 2, 0)]
)
def test_late_head_counts_if_data_was_lost(monkeypatch, waited, retransmitted, lost):
    runtime = FakeRuntime()
    counts = SocketCounts(10, retransmitted, 0)
    monkeypatch.setattr(path_watch, "read_socket_counts", lambda sock: counts)
    PathWatch(runtime, build_call(), "i-1", FakeProtocol(), waited).close()
    assert runtime.sum() == (1, lost)


def test_losses_are_counted_once_for_each_retransmission_and_each_gap():
    before = SocketCounts(10, 1, 4)
    assert count_lost(before, before) == 0
    assert count_lost(before, SocketCounts(20, 3, 9)) == 3


# Real sockets


@contextlib.contextmanager
def connect():
    with socket.create_server(("127.0.0.1", 0)) as server:
        with socket.create_connection(server.getsockname()) as client:
            accepted, _ = server.accept()
            with accepted:
                yield client, accepted


def test_segments_of_a_connection_are_counted():
    with connect() as (client, accepted):
        assert read_socket_counts(client) is None
        for _ in range(3):
            client.sendall(b"request")
            accepted.recv(100)
            accepted.sendall(b"reply")
            client.recv(100)
        assert read_socket_counts(client) == SocketCounts(segments=6)


def test_retransmissions_of_the_handshake_are_counted():
    # The server's queue is full, so that the kernel drops further handshakes.
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        address = server.getsockname()
        with contextlib.ExitStack() as stack:
            for _ in range(2):
                client = stack.enter_context(socket.socket())
                client.setblocking(False)
                client.connect_ex(address)
            waiting = stack.enter_context(socket.socket())
            waiting.settimeout(1.6)
            with pytest.raises(TimeoutError):
                waiting.connect(address)
            counts = read_socket_counts(waiting)
    assert counts is not None
    assert counts.retransmitted >= 1
    assert counts.out_of_order == 0


def test_other_systems_have_no_counts(monkeypatch):
    # Their structures have other fields at these offsets.
    with connect() as (client, accepted):
        client.sendall(b"request")
        accepted.recv(100)
        assert read_socket_counts(client) is not None
        monkeypatch.setattr(sys, "platform", "darwin")
        assert read_socket_counts(client) is None


def test_other_objects_and_closed_sockets_have_no_counts():
    assert read_socket_counts(None) is None
    one, other = socket.socketpair()
    assert read_socket_counts(one) is None
    one.close()
    assert read_socket_counts(one) is None
    other.close()


async def test_connection_of_a_short_response_is_watched():
    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        with contextlib.suppress(asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
        writer.close()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    url = f"http://127.0.0.1:{port}/"
    runtime = FakeRuntime()
    async with open_upstream_sessions() as sessions:
        session = sessions.choose(may_pool=True)
        async with session.get(url, timeout=aiohttp.ClientTimeout(5)) as response:
            with watch_path(runtime, build_call(), "i-1", response):
                assert await response.read() == b"ok"
                counts = response._protocol.counts
            assert counts == SocketCounts()
            assert response._protocol.counts.segments == 2
    server.close()
    assert runtime.recorded == [(1, 0)]
