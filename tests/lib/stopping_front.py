"""One front in this process that stops as planned while requests are open."""

import asyncio
import contextlib

import aiohttp

from scalebend.core.gateway.route_table import RouteTable
from scalebend.edges.gateway import front_server
from scalebend.edges.gateway.front_calls import serve_calls
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.edges.gateway.sockets import Listeners
from scalebend.models.gateway_settings import Bounds
from scalebend.standins.ports import find_free_ports
from scalebend.utils.stop_signal import StopSignal
from tests.lib.front import Front
from tests.lib.gateway_builders import build_settings

GRACE_S = 2.4
"""Time from the stop signal to the kill."""


class StoppingFront(Front):
    """A front that the test stops; callers keep their connections."""

    def __init__(self, runtime, url, session):
        super().__init__(runtime, url, session)
        self._stopped = StopSignal()

    def now(self):
        return self.runtime.now()

    def stop(self):
        """Begin the planned stop; return when the process would be killed."""
        self._stopped.set()
        return self._stopped.came_at + GRACE_S

    async def drain(self, calls):
        await self._stopped.wait()
        await front_server.drain(self.runtime, calls, self._stopped.came_at)

    def read_metric(self, text):
        """Return the value of a metric, with its labels as text; 0 if unknown."""
        for line in self.runtime.metrics.render().decode().splitlines():
            if line.startswith(text + " "):
                return float(line.rpartition(" ")[2])
        return 0.0


@contextlib.asynccontextmanager
async def run_stopping_front(routing, start_s=0.0):
    """Run a front; at the end of the block its planned stop has to be complete.

    It can be stopped ``start_s`` seconds before it serves callers.
    """
    callers, readiness = (f"127.0.0.1:{port}" for port in find_free_ports(2))
    settings = build_settings(
        callers_address=callers,
        readiness_address=readiness,
        bounds=Bounds(drain_grace=GRACE_S, retry_slack=7.0, max_reservation_s=3.0),
    )
    runtime = FrontRuntime(settings, GatewayMetrics())
    now, instance = runtime.now(), runtime.instance
    instance.table = RouteTable(routing)
    instance.lease.confirm(now + 60.0, routing.version, routing.version)
    instance.retries.update_front_count(1, now - 10.0)
    runtime._first_lease.set()
    async with aiohttp.ClientSession() as session:
        front = StoppingFront(runtime, f"http://{callers}", session)
        ready = asyncio.Event()
        running = asyncio.create_task(_serve(front, settings, ready, start_s))
        try:
            if not start_s:
                await ready.wait()
            yield front
            front.stop()
            await running
        finally:
            running.cancel()
            await asyncio.gather(running, return_exceptions=True)
            await runtime.close()


async def _serve(front, settings, ready, start_s):
    await asyncio.sleep(start_s)
    async with serve_calls(settings, Listeners(), front.runtime) as calls:
        ready.set()
        await front.drain(calls)
