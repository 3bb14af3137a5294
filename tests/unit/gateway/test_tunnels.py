"""Connections to upstreams through a peer, on sockets.

Guards against responses that end with the peer but look complete, against processes
that use the port without belonging to the system, and against work that goes on after
its caller left.
"""

import asyncio
import contextlib
import time

import aiohttp
import msgspec
import pytest

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.edges.gateway import tunnel_server
from scalebend.edges.gateway.front_dialing import FrontDialing
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.response_reading import OversizedResponseError
from scalebend.edges.gateway.tunnel_client import TunnelLostError, open_tunnel
from scalebend.edges.gateway.tunnel_frames import (
    FrameError,
    FrameKind,
    FrameReader,
    build_frame,
    build_opening,
    read_opening,
)
from scalebend.edges.gateway.tunnel_server import TunnelServer, listen_for_tunnels
from scalebend.edges.gateway.upstream_client import find_peer, open_upstream_sessions
from scalebend.edges.upstream_dialer import UpstreamDialer
from scalebend.models.tunnels import OpenTunnel, TunnelPeer, TunnelReply
from scalebend.standins.ports import find_free_ports
from tests.lib.gateway_builders import build_endpoint, build_settings
from tests.lib.raw_upstream import (
    COMPLETE,
    WITHOUT_LENGTH,
    hang_after,
    respond_always,
    respond_and_reset,
    respond_without_length,
    run_upstream,
)

KEY = "key-of-the-peer"


CANCEL_BOUND_S = 0.5
"""The users' bound from a caller's disconnect to the end of its work."""


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Prevent timeouts and direct trials, which a busy host would bring about."""
    for name in (
        "scalebend.edges.gateway.tunnel_client.REPLY_TIMEOUT_S",
        "scalebend.edges.gateway.tunnel_client.CONNECT_TIMEOUT_S",
        "scalebend.edges.gateway.tunnel_server.CONNECT_TIMEOUT_S",
        "scalebend.core.upstream_reach.TRIAL_INTERVAL_S",
        "scalebend.core.upstream_reach.UNREPEATABLE_TRIAL_INTERVAL_S",
    ):
        monkeypatch.setattr(name, 30.0)


class Tunnelled:
    """A peer with a tunnel listener, and sessions that connect through it."""

    def __init__(self, address, server, peer, runtime, sessions):
        self.address = address
        self.server = server
        self.peer = peer
        self.runtime = runtime
        self.sessions = sessions
        self.connections = []

    async def fetch(self, *, may_pool=True):
        session = self.sessions.choose(may_pool=may_pool)
        async with session.get(f"http://{self.address}/") as response:
            return find_peer(response), await response.read()


@contextlib.asynccontextmanager
async def run_tunnelled(respond, **changes):
    """An upstream whose connections ``respond(reader, writer)`` handles."""
    async with run_upstream(respond) as (address, connections):
        async with _run_peer(address, **changes) as tunnelled:
            tunnelled.connections = connections
            yield tunnelled


@contextlib.asynccontextmanager
async def _run_peer(address, **changes):
    now = asyncio.get_running_loop().time()
    (port,) = find_free_ports(1)
    settings = msgspec.structs.replace(build_settings(), **changes)
    instance = FrontInstance(settings, now=now)
    instance.directory.register(build_endpoint(1, address=address), now)
    server = TunnelServer(settings, instance, KEY, GatewayMetrics())
    peer = TunnelPeer("front-2", "z", f"127.0.0.1:{port}", KEY)
    runtime = FrontRuntime(build_settings(), GatewayMetrics())
    runtime.instance.reach.peers.replace([peer])
    runtime.instance.reach.record_reply(
        address, peer.instance, TunnelReply.OPENED, runtime.now()
    )
    async with (
        listen_for_tunnels(peer.tunnel_address, server),
        open_upstream_sessions(UpstreamDialer(FrontDialing(runtime))) as sessions,
    ):
        yield Tunnelled(address, server, peer, runtime, sessions)
    await runtime.close()


async def test_response_comes_through_the_peer_and_its_connection_is_reused():
    async with run_tunnelled(respond_always) as tunnelled:
        for _ in range(3):
            assert await tunnelled.fetch() == ("front-2", b"ok")
        assert len(tunnelled.connections) == 1
        assert tunnelled.server.open == 1


async def test_request_that_may_not_be_repeated_gets_its_own_tunnel():
    async with run_tunnelled(respond_always) as tunnelled:
        for _ in range(2):
            assert await tunnelled.fetch(may_pool=False) == ("front-2", b"ok")
        assert len(tunnelled.connections) == 2


async def test_response_without_a_length_is_complete_at_the_end_of_the_upstream():
    async with run_tunnelled(respond_without_length) as tunnelled:
        assert await tunnelled.fetch() == ("front-2", b"half")


async def test_reset_of_the_upstream_is_no_end():
    async with run_tunnelled(respond_and_reset) as tunnelled:
        with pytest.raises(aiohttp.ClientPayloadError):
            await tunnelled.fetch()


@pytest.mark.parametrize("sent", [WITHOUT_LENGTH, COMPLETE[:-1], b""])
async def test_end_of_the_peer_is_no_end_and_no_crash_of_the_upstream(sent):
    responded = asyncio.Event()
    async with run_tunnelled(hang_after(sent, responded.set)) as tunnelled:
        fetching = asyncio.create_task(tunnelled.fetch())
        await responded.wait()
        # As when the process of the peer is killed.
        tunnelled.server.close()
        with pytest.raises(TunnelLostError):
            await fetching


async def test_upstream_sees_at_once_that_the_caller_left():
    began, ended = asyncio.Event(), asyncio.Event()

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        began.set()
        assert await reader.read() == b""
        ended.set()

    async with run_tunnelled(respond) as tunnelled:
        fetching = asyncio.create_task(tunnelled.fetch())
        await began.wait()
        fetching.cancel()
        async with asyncio.timeout(CANCEL_BOUND_S):
            await ended.wait()


async def test_slow_reader_stops_the_upstream():
    sent = 0

    async def respond(reader, writer):
        nonlocal sent
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")
        while True:
            writer.write(bytes(64 * 1024))
            await writer.drain()
            sent += 64 * 1024

    async with run_tunnelled(respond) as tunnelled:
        url = f"http://{tunnelled.address}/"
        async with tunnelled.sessions.choose(may_pool=False).get(url):
            await asyncio.sleep(0.5)
            before = sent
            await asyncio.sleep(0.3)
            assert sent == before < 64 * 1024 * 1024


async def test_pour_through_the_peer_ends_at_the_upstream():
    """Guards against a peer that goes on reading what its front has given up."""
    ended = asyncio.Event()

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;")
        try:
            while True:
                writer.write(b"x" * 64 * 1024)
                await writer.drain()
        finally:
            ended.set()

    async with run_tunnelled(respond) as tunnelled:
        with pytest.raises(OversizedResponseError):
            await tunnelled.fetch()
        async with asyncio.timeout(CANCEL_BOUND_S):
            await ended.wait()


async def test_peer_that_stops_ends_its_tunnels_after_the_current_response():
    began, release = asyncio.Event(), asyncio.Event()

    async def respond(reader, writer):
        while True:
            await reader.readuntil(b"\r\n\r\n")
            began.set()
            await release.wait()
            writer.write(COMPLETE)

    async with run_tunnelled(respond) as tunnelled:
        fetching = asyncio.create_task(tunnelled.fetch())
        await began.wait()
        tunnelled.server.begin_leaving()
        release.set()
        assert await fetching == ("front-2", b"ok")
        async with asyncio.timeout(0.5):
            while tunnelled.server.open:
                await asyncio.sleep(0.01)
        # The upstream is reached directly, too: the only peer opens nothing more.
        assert await tunnelled.fetch() == (None, b"ok")


async def test_idle_tunnels_end_when_the_peer_stops():
    async with run_tunnelled(respond_always) as tunnelled:
        await tunnelled.fetch()
        tunnelled.server.begin_leaving()
        async with asyncio.timeout(0.5):
            while tunnelled.server.open:
                await asyncio.sleep(0.01)


async def test_tunnel_is_not_opened_if_the_peer_begins_to_stop_meanwhile():
    """Guards against requests on a tunnel that ends with the process of the peer."""
    async with run_tunnelled(respond_always) as tunnelled:
        check = tunnelled.server.check

        def leave_meanwhile(opening, now):
            refusal = check(opening, now)
            # It connects to the upstream next.
            asyncio.get_running_loop().call_soon(tunnelled.server.begin_leaving)
            return refusal

        tunnelled.server.check = leave_meanwhile
        # The upstream is reached directly, too.
        assert await tunnelled.fetch() == (None, b"ok")
        async with asyncio.timeout(0.5):
            while tunnelled.server.open:
                await asyncio.sleep(0.01)


async def ask(tunnelled, **changes):
    peer = msgspec.structs.replace(tunnelled.peer, **changes.pop("peer", {}))
    address = changes.pop("address", tunnelled.address)
    runtime = tunnelled.runtime
    connector = tunnelled.sessions.pooled.connector
    reply = await open_tunnel(peer, address, connector._factory())
    assert runtime.now() > 0.0
    return reply


async def test_stall_of_the_peer_accuses_no_upstream(monkeypatch):
    """Guards against sound upstreams passing for dead because a peer stood still."""
    monkeypatch.setattr(tunnel_server, "CONNECT_TIMEOUT_S", 0.1)
    async with run_tunnelled(respond_always) as tunnelled:
        server, loop = tunnelled.server, asyncio.get_running_loop()
        failures = []
        server.record_failure = lambda *failure: failures.append(failure)
        check = server.check

        def stall_next(opening, now):
            # The connection is begun before.
            loop.call_soon(loop.call_soon, time.sleep, 0.3)
            return check(opening, now)

        server.check = stall_next
        assert await ask(tunnelled) is TunnelReply.BUSY
        assert failures == []


async def test_tunnel_needs_the_key_and_a_known_upstream():
    async with run_tunnelled(respond_always) as tunnelled:
        denied = await ask(tunnelled, peer={"tunnel_key": "guessed"})
        assert denied is TunnelReply.DENIED
        assert await ask(tunnelled, address="127.0.0.1:22") is TunnelReply.UNKNOWN
        assert not tunnelled.connections
        assert await ask(tunnelled) is TunnelReply.OPENED


async def test_number_of_tunnels_is_limited():
    async with run_tunnelled(respond_always, max_open_files=16) as tunnelled:
        replies = [await ask(tunnelled) for _ in range(4)]
        assert replies == [TunnelReply.OPENED] * 2 + [TunnelReply.BUSY] * 2


async def test_dead_upstream_is_told_from_a_dead_peer():
    async with run_tunnelled(respond_always) as tunnelled:
        tunnelled.server._instance.directory.register(
            build_endpoint(2, address=f"127.0.0.1:{find_free_ports(1)[0]}"), 0.0
        )
        (dead,) = tunnelled.server._instance.directory._by_address.keys() - {
            tunnelled.address
        }
        assert await ask(tunnelled, address=dead) is TunnelReply.UNREACHABLE
        # What just failed is not tried again.
        assert await ask(tunnelled, address=dead) is TunnelReply.UNREACHABLE
        closed = {"tunnel_address": f"127.0.0.1:{find_free_ports(1)[0]}"}
        assert await ask(tunnelled, peer=closed) is None


async def test_malformed_opening_message_ends_the_connection():
    async with run_tunnelled(respond_always) as tunnelled:
        host, port = tunnelled.peer.tunnel_address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET / HTTP/1.1\r\nHost: a.example\r\n\r\n")
        async with asyncio.timeout(0.5):
            assert await reader.read() == b""
        writer.close()
        assert not tunnelled.connections


# Frames


def test_frames_arrive_in_any_pieces():
    data = b"".join(
        [
            build_frame(FrameKind.REPLY, b"opened"),
            build_frame(FrameKind.DATA, b"abcdef"),
            build_frame(FrameKind.LEAVING),
            build_frame(FrameKind.DATA, b"gh"),
            build_frame(FrameKind.END),
        ]
    )
    for size in (1, 2, 3, 5, len(data)):
        reader = FrameReader()
        frames = [
            frame
            for start in range(0, len(data), size)
            for frame in reader.feed(data[start : start + size])
        ]
        payloads = [one.payload for one in frames if one.kind is FrameKind.DATA]
        assert b"".join(payloads) == b"abcdefgh"
        others = [one.kind for one in frames if one.kind is not FrameKind.DATA]
        assert others == [FrameKind.REPLY, FrameKind.LEAVING, FrameKind.END]


def test_unknown_or_large_frames_are_errors():
    for data in (b"\xff\x00\x00\x00\x00", b"\x01\x00\x10\x00\x00"):
        with pytest.raises(FrameError):
            list(FrameReader().feed(data))


def test_opening_message_arrives_in_pieces():
    opening = OpenTunnel("10.0.0.1:80", KEY)
    data = build_opening(opening)
    buffer = bytearray(data[:-1])
    assert read_opening(buffer) is None
    buffer += data[-1:]
    assert read_opening(buffer) == opening
    assert not buffer
