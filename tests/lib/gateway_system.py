"""Gateway processes, stand-in replicas and a client for functional tests."""

import asyncio
import contextlib
import time

import aiohttp
from yarl import URL

from scalebend.core.gateway.retry_window import SETTLE_TIME_S
from tests.lib.platform_processes import run_processes
from tests.lib.platform_replicas import Replica, build_document, run_replica

SERVICE = "svc"


class System:
    """Processes, replicas and a client session."""

    def __init__(self, processes, session):
        self.processes = processes
        self.session = session
        self.replicas = []
        self.requests = 0

    async def call(
        self, kind, *, front=0, key="key-1", method="POST", body=b"body", **headers
    ):
        self.requests += 1
        url = f"http://{self.processes.find_front(front)}/{SERVICE}/{kind}/x%2Fy?a=%20"
        sent = {
            "Host": "test.example",
            "X-Request-Id": f"r-{self.requests}",
            "X-Deadline-Ms": "4000",
            "Authorization": f"Bearer {key}",
            **headers,
        }
        async with self.session.request(
            method, URL(url, encoded=True), headers=sent, data=body
        ) as answer:
            return answer.status, await answer.read(), answer.headers

    async def put(self, document, names=None):
        """Send a document to the named control processes, or those of the start."""
        controls = self.processes.list_controls()
        if names is not None:
            controls = [self.processes.find_control(name) for name in names]
        for _ in range(60):
            for control in controls:
                with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                    async with self.session.put(
                        f"http://{control}/config", data=document
                    ) as answer:
                        if answer.status in (200, 400):
                            return answer.status
            await asyncio.sleep(0.1)
        raise AssertionError("no control instance accepted the configuration")

    async def wait_ready(self, is_ready=True, front=0, seconds=10.0):
        url = f"http://{self.processes.find_readiness(front)}/ready"
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                async with self.session.get(url) as answer:
                    if (answer.status == 200) == is_ready:
                        return
            await asyncio.sleep(0.05)
        raise AssertionError(f"front {front} did not become ready={is_ready}")

    async def read_when_served(self, url, seconds=20.0):
        """Return the body of the first 200 of a process that may still be starting."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(aiohttp.ClientConnectorError):
                async with self.session.get(url) as answer:
                    if answer.status == 200:
                        return await answer.read()
            await asyncio.sleep(0.05)
        raise AssertionError("the process did not restart in time")

    async def restart(self, names):
        """Kill these processes together, start them again and wait for service."""
        for name in names:
            self.processes.kill(name)
        for name in names:
            self.processes.start(name)
        for front in (0, 1):
            await self.wait_ready(front=front, seconds=20.0)
        await self.wait_served()

    async def wait_served(self, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            status, _, _ = await self.call("idempotent")
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise AssertionError("no request was served in time")


@contextlib.asynccontextmanager
async def run_system(folder, replicas=2, build_replica=Replica):
    """Start processes and replicas, and wait until requests may be retried."""
    async with contextlib.AsyncExitStack() as stack:
        processes = stack.enter_context(run_processes(folder))
        timeout = aiohttp.ClientTimeout(total=8.0)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(
                timeout=timeout, connector=aiohttp.TCPConnector(force_close=True)
            )
        )
        system = System(processes, session)
        assert await system.put(build_document(1, [SERVICE])) == 200
        await system.wait_ready(front=0)
        await system.wait_ready(front=1)
        controls = processes.list_controls()
        for number in range(1, replicas + 1):
            running = run_replica(number, SERVICE, controls, session, build_replica)
            system.replicas.append(await stack.enter_async_context(running))
        await system.wait_served()
        # From now on retries may use the fixed allowance of their budget.
        await asyncio.sleep(SETTLE_TIME_S)
        for replica in system.replicas:
            replica.ran.clear()
        yield system
