"""Open connections of an isolated process, on sockets.

Guards against requests that wait on dead connections although a peer gets through, and
against giving up requests that may run at most once.
"""

import asyncio
import contextlib

import aiohttp
import pytest

from scalebend.core.upstream_reach import MIN_SILENCE_S, UpstreamReach
from scalebend.edges.connection_checks import Acceptance, check_acceptance
from scalebend.edges.gateway.upstream_client import (
    StrictConnector,
    allow_repetition,
    find_peer,
)
from scalebend.edges.tunnel_errors import PathLostError
from scalebend.edges.upstream_dialer import NewConnection, UpstreamDialer
from scalebend.models.tunnels import TunnelPeer, TunnelReply
from tests.lib.raw_upstream import (
    COMPLETE,
    WITHOUT_LENGTH,
    hang_after,
    run_upstream,
)

PEER = TunnelPeer("front-2", "z", "")
UNREACHABLE = ("10.0.0.1:80", "10.0.0.2:80")
BOUND_S = 2.0


class Opened:
    """The protocol of a connection whose requests do not matter."""

    def watch(self, dialer, address, opened_at, peer):
        pass


class Host:
    """A process whose peer reaches every upstream."""

    def __init__(self):
        self.reach = UpstreamReach("z")
        self.reach.peers.replace([PEER])
        self.tasks = []
        self.abandoned = 0
        self.is_partitioned = True
        """Whether new connections fail, apart from those of a client."""

    def now(self):
        return asyncio.get_running_loop().time()

    def spawn(self, work):
        self.tasks.append(asyncio.create_task(work))

    def find_zone(self, address):
        return None

    def record_direct_failure(self, address, kind):
        self.reach.record_failure(address, kind, self.now())

    async def check_acceptance(self, address):
        if self.is_partitioned:
            return Acceptance.NOT_ACCEPTED
        return await check_acceptance(address)

    def count_reply(self, reply):
        pass

    def count_abandoned(self, connections):
        self.abandoned += connections

    async def open_tunnel(self, peer, address, handler):
        return TunnelReply.OPENED


class Client:
    """A process with requests that wait for an upstream."""

    def __init__(self, host, dialer, session, address):
        self.host = host
        self.session = session
        self._dialer = dialer
        self._url = f"http://{address}/"

    async def fetch(self, *, may_repeat=True):
        with allow_repetition(is_allowed=may_repeat):
            async with self.session.get(self._url) as response:
                return find_peer(response), await response.read()

    async def isolate(self):
        """Fail to connect to upstreams that the peer reaches."""

        async def fail(timeout_s):
            raise aiohttp.ClientConnectorError(None, OSError(111, "refused"))

        for address in UNREACHABLE:
            needed = NewConnection(address, fail, Opened, 0.1, True)
            await self._dialer.connect(needed)
        assert self.host.reach.is_isolated


@contextlib.asynccontextmanager
async def run_client(respond):
    host = Host()
    dialer = UpstreamDialer(host, host.check_acceptance)
    connector = StrictConnector(dialer, force_close=False, may_repeat=True)
    timeout = aiohttp.ClientTimeout(total=None, sock_connect=1.0)
    async with (
        run_upstream(respond) as (address, _),
        aiohttp.ClientSession(connector=connector, timeout=timeout) as session,
    ):
        yield Client(host, dialer, session, address)
    for task in host.tasks:
        task.cancel()
    await asyncio.gather(*host.tasks, return_exceptions=True)


@pytest.mark.parametrize("sent", [b"", COMPLETE[:-1], WITHOUT_LENGTH])
async def test_request_on_a_lost_connection_ends_soon_and_blames_nobody(sent):
    began = asyncio.Semaphore(0)
    async with run_client(hang_after(sent, began.release)) as client:
        fetching = asyncio.create_task(client.fetch())
        await began.acquire()
        await client.isolate()
        with pytest.raises(PathLostError):
            async with asyncio.timeout(BOUND_S):
                await fetching
        assert client.host.abandoned == 1
        # Ending the connection is no evidence about the upstream.
        assert not client.host.reach.may_blame(UNREACHABLE[0], client.host.now())


async def test_lost_connection_is_reset_so_that_its_request_is_not_delivered_later():
    """Guards against a request arriving after the partition, when it ran elsewhere."""
    began = asyncio.Semaphore(0)
    ends = []

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        began.release()
        try:
            ends.append(await reader.read())
        except ConnectionResetError as error:
            ends.append(error)

    async with run_client(respond) as client:
        fetching = asyncio.create_task(client.fetch())
        await began.acquire()
        await client.isolate()
        await asyncio.wait([fetching], timeout=BOUND_S)
        async with asyncio.timeout(BOUND_S):
            while not ends:
                await asyncio.sleep(0.01)
    assert isinstance(ends[0], ConnectionResetError)


async def test_request_that_may_run_at_most_once_waits_on():
    began = asyncio.Semaphore(0)
    async with run_client(hang_after(b"", began.release)) as client:
        repeatable = asyncio.create_task(client.fetch())
        once = asyncio.create_task(client.fetch(may_repeat=False))
        for _ in range(2):
            await began.acquire()
        await client.isolate()
        await asyncio.wait([repeatable], timeout=BOUND_S)
        assert isinstance(repeatable.exception(), PathLostError)
        assert not once.done()
        once.cancel()


async def test_requests_wait_on_while_open_connections_carry_data():
    began = asyncio.Semaphore(0)
    count = 40

    async def respond(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % count)
        began.release()
        for _ in range(count):
            writer.write(b"x")
            await asyncio.sleep(MIN_SILENCE_S / 10)

    async with run_client(respond) as client:
        fetching = asyncio.create_task(client.fetch())
        await began.acquire()
        await client.isolate()
        assert await fetching == (None, b"x" * count)
        assert client.host.abandoned == 0


async def test_requests_at_paused_upstreams_wait_on_though_others_are_dead():
    """Guards against ending connections to sound upstreams that fall silent together.

    Two dead upstreams look like a partition while no other one sends anything.
    """
    began = asyncio.Semaphore(0)
    gate = asyncio.Event()

    async def respond(reader, writer):
        if await reader.read(1):
            began.release()
            await gate.wait()
            writer.write(COMPLETE)

    async with run_client(respond) as client:
        client.host.is_partitioned = False
        fetching = asyncio.create_task(client.fetch())
        await began.acquire()
        await client.isolate()
        await asyncio.sleep(4 * MIN_SILENCE_S)
        gate.set()
        assert await fetching == (None, b"ok")
        assert client.host.abandoned == 0
