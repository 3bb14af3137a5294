"""One front in this process, with given upstreams and no control instance."""

import asyncio
import contextlib
import socket

import aiohttp
from aiohttp import web

from scalebend.core.gateway.route_table import RouteTable
from scalebend.edges.gateway.front_calls import CallerHandler
from scalebend.edges.gateway.front_dialing import FrontDialing
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.upstream_client import open_upstream_sessions
from scalebend.edges.upstream_dialer import UpstreamDialer
from tests.lib.gateway_builders import build_endpoint, build_settings

HOST = "a.example"


class Front:
    """A front that serves callers; the test registers its upstreams."""

    def __init__(self, runtime, url, session):
        self.runtime = runtime
        self.url = url
        self.session = session
        self.requests = 0

    def add(self, number, address, **changes):
        endpoint = build_endpoint(number, address=address, **changes)
        self.runtime.instance.directory.register(endpoint, self.runtime.now())
        return endpoint

    def call(
        self, path="/", wait=10.0, prompt=None, parts=(), body=b"body", encoding=None
    ):
        self.requests += 1
        headers = {
            "Host": HOST,
            "X-Request-Id": f"r-{self.requests}",
            "X-Deadline-Ms": str(int(wait * 1000)),
        }
        if encoding is not None:
            headers["Content-Encoding"] = encoding
        if prompt is not None:
            headers["X-Token-Counts"] = f"{prompt},100"
        if parts:
            shared = "".join(f"{part}:100," for part in parts)
            headers["X-Prompt-Prefix"] = f"{shared}{self.requests:x}:100"
        return self.session.post(f"{self.url}{path}", headers=headers, data=body)


@contextlib.asynccontextmanager
async def serve(handler, **options):
    """Serve a handler on a loopback port; yield the address."""
    server = web.Server(handler, handler_cancellation=True, **options)
    # Some handlers never respond: the library would wait a minute for them.
    runner = web.ServerRunner(server, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield f"127.0.0.1:{site._server.sockets[0].getsockname()[1]}"
    finally:
        await runner.cleanup()


@contextlib.asynccontextmanager
async def run_front(routing):
    runtime = FrontRuntime(build_settings(), GatewayMetrics())
    now = runtime.now()
    instance = runtime.instance
    instance.table = RouteTable(routing)
    instance.lease.confirm(now + 60.0, routing.version, routing.version)
    instance.retries.update_front_count(1, now - 10.0)
    runtime._first_lease.set()
    async with (
        open_upstream_sessions(UpstreamDialer(FrontDialing(runtime))) as sessions,
        runtime.use_sessions(sessions),
        serve(CallerHandler(runtime).handle) as address,
        aiohttp.ClientSession() as session,
    ):
        yield Front(runtime, f"http://{address}", session)
    await runtime.close()


@contextlib.contextmanager
def drop_connections():
    """Yield an address that drops new connections: its accept queue is full."""
    with contextlib.ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        host, port = listener.getsockname()
        for _ in range(4):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect((host, port))
        yield f"{host}:{port}"


def find_closed_port():
    """Return an address at which connections are refused."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def answer_sealed(request):
    """Respond as a replica of a plain service, with its seal header."""
    await request.read()
    headers = {"X-Request-Id": request.headers["X-Request-Id"], "X-Server-Seal": "s"}
    return web.Response(headers=headers, body=b"done")


async def wait_for(condition, seconds=5.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)
