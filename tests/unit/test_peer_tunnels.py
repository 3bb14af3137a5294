"""Connections to upstreams through another instance, over gRPC.

Guards against responses that end with the tunnel but look complete, and against work
that goes on after its caller left.
"""

import asyncio
import contextlib
import ssl

import aiohttp
import pytest
import trustme

from scalebend.core.upstream_reach import UpstreamReach
from scalebend.edges.gateway.upstream_client import StrictConnector, find_peer
from scalebend.edges.peer_tunnels import (
    TUNNEL_METHOD,
    TunnelCarrier,
    TunnelOpener,
)
from scalebend.edges.peers import SERVICE, build_channel, serve_peers
from scalebend.edges.tunnel_errors import TunnelLostError
from scalebend.edges.upstream_dialer import UpstreamDialer
from scalebend.models.tunnels import TunnelPeer, TunnelReply
from scalebend.standins.ports import find_free_ports
from tests.lib.raw_upstream import (
    COMPLETE,
    WITHOUT_LENGTH,
    hang_after,
    respond_always,
    respond_and_reset,
    respond_without_length,
    run_upstream,
)

CANCEL_BOUND_S = 0.5
"""The users' bound from a caller's disconnect to the end of its work."""


@pytest.fixture(autouse=True)
def patient(monkeypatch):
    """Prevent timeouts and direct trials, which a busy host would bring about."""
    for name in (
        "scalebend.edges.peer_tunnels.REPLY_TIMEOUT_S",
        "scalebend.edges.peer_tunnels.CONNECT_TIMEOUT_S",
        "scalebend.core.upstream_reach.TRIAL_INTERVAL_S",
        "scalebend.core.upstream_reach.UNREPEATABLE_TRIAL_INTERVAL_S",
    ):
        monkeypatch.setattr(name, 30.0)


class Host:
    """An instance that reaches the upstream through a peer only."""

    def __init__(self, opener):
        self.reach = UpstreamReach("z")
        self.opener = opener
        self.tasks = set()
        self.replies = []

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        return task

    def find_zone(self, address):
        return None

    def record_direct_failure(self, address, kind):
        self.reach.record_failure(address, kind, self.now())

    def count_reply(self, reply):
        self.replies.append(reply)

    def count_abandoned(self, connections):
        pass

    async def open_tunnel(self, peer, address, handler):
        return await self.opener.open(peer, address, handler)


class Tunnelled:
    def __init__(self, url, session, host, carrier, peer):
        self.peer = peer
        self.url = url
        self.session = session
        self.host = host
        self.carrier = carrier

    async def fetch(self):
        async with self.session.get(self.url) as response:
            return find_peer(response), await response.read()


@contextlib.asynccontextmanager
async def run_tunnelled(respond, *, knows=True, server_context=None, context=None):
    """An upstream whose connections ``respond(reader, writer)`` handles."""
    async with run_upstream(respond, server_context) as (address, _):
        async with _run_peer(address, knows, context) as tunnelled:
            yield tunnelled


@contextlib.asynccontextmanager
async def _run_peer(address, knows, context):
    listen = f"127.0.0.1:{find_free_ports(1)[0]}"
    loop = asyncio.get_running_loop()
    carrier = TunnelCarrier(UpstreamReach("z"), lambda _: knows, loop.time)
    host = Host(None)
    host.opener = TunnelOpener(
        f"/{SERVICE}/{TUNNEL_METHOD}",
        lambda target: build_channel(target, None),
        host.spawn,
        context,
    )
    host.reach.peers.replace([TunnelPeer("instance-2", "z", listen)])
    host.reach.record_reply(address, "instance-2", TunnelReply.OPENED, host.now())
    connector = StrictConnector(
        UpstreamDialer(host), force_close=False, may_repeat=False, context=context
    )
    scheme = "http" if context is None else "https"
    async with (
        contextlib.AsyncExitStack() as peer,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        serving = serve_peers("instance-2", listen, None, lambda *_: None, carrier)
        await peer.enter_async_context(serving)
        yield Tunnelled(f"{scheme}://{address}/", session, host, carrier, peer)
        await host.opener.close()
    for task in host.tasks:
        task.cancel()
    await asyncio.gather(*host.tasks, return_exceptions=True)


async def test_response_comes_through_the_peer_and_its_connection_is_reused():
    async with run_tunnelled(respond_always) as tunnelled:
        for _ in range(3):
            assert await tunnelled.fetch() == ("instance-2", b"ok")
        assert tunnelled.host.replies == [TunnelReply.OPENED]


async def test_tls_ends_at_the_upstream():
    authority = trustme.CA()
    server_context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    authority.issue_cert("127.0.0.1").configure_cert(server_context)
    context = ssl.create_default_context()
    authority.configure_trust(context)
    async with run_tunnelled(
        respond_always, server_context=server_context, context=context
    ) as tunnelled:
        assert await tunnelled.fetch() == ("instance-2", b"ok")


async def test_response_without_a_length_is_complete_at_the_end_of_the_upstream():
    async with run_tunnelled(respond_without_length) as tunnelled:
        assert await tunnelled.fetch() == ("instance-2", b"half")


async def test_reset_of_the_upstream_is_no_end():
    async with run_tunnelled(respond_and_reset) as tunnelled:
        with pytest.raises(aiohttp.ClientPayloadError):
            await tunnelled.fetch()


@pytest.mark.parametrize("sent", [WITHOUT_LENGTH, COMPLETE[:-1], b""])
@pytest.mark.parametrize("ends_here", [False, True], ids=["peer", "channel"])
async def test_lost_tunnel_is_no_end_and_no_crash_of_the_upstream(sent, ends_here):
    responded = asyncio.Event()
    async with run_tunnelled(hang_after(sent, responded.set)) as tunnelled:
        fetching = asyncio.create_task(tunnelled.fetch())
        await responded.wait()
        if ends_here:
            await tunnelled.host.opener.close()
        else:
            await tunnelled.peer.aclose()
        with pytest.raises(TunnelLostError):
            await fetching


async def test_upstream_sees_at_once_that_the_caller_left():
    began, ended = asyncio.Event(), asyncio.Event()

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        began.set()
        with contextlib.suppress(ConnectionError):
            await reader.read()
        ended.set()

    async with run_tunnelled(respond) as tunnelled:
        fetching = asyncio.create_task(tunnelled.fetch())
        await began.wait()
        fetching.cancel()
        async with asyncio.timeout(CANCEL_BOUND_S):
            await ended.wait()


async def test_unknown_address_is_not_dialled():
    async with run_tunnelled(respond_always, knows=False) as tunnelled:
        # The upstream is reached directly in the end.
        assert await tunnelled.fetch() == (None, b"ok")
        assert tunnelled.host.replies == [TunnelReply.UNKNOWN]
