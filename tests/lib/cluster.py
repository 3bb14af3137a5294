"""Several instance processes on loopback, with stand-in upstreams in this process."""

import asyncio
import contextlib
import json
import os
import signal
import sys

import aiohttp
import msgspec

from scalebend.models.configuration import ConfigurationChange
from scalebend.models.upstream import LoadedModel
from scalebend.soak.misbehaving import ProcessFaults, write_process_faults
from scalebend.standins.engine_server import EngineOptions, serve_engine
from scalebend.standins.ports import find_free_ports
from scalebend.standins.proxy import run_proxy
from scalebend.standins.service_server import ServiceOptions, serve_service
from tests.lib.builders import MODEL, ZONE
from tests.lib.fleet import CONFIGURATION, PARAMETERS, SERVICE


class Cluster:
    def __init__(self, folder, count, control, hosts, **settings):
        self.folder = folder
        self.hosts = hosts
        """Loopback addresses that instances connect from, by name."""

        self.names = [f"instance-{number}" for number in range(count)]
        self.control = self.names[:control]
        ports = iter(find_free_ports(3 * count))
        self.addresses = {
            name: [f"127.0.0.1:{next(ports)}" for _ in range(3)] for name in self.names
        }
        self.settings = settings
        self.processes = {}
        self.session = None
        self.engines = []
        self.proxies = []
        self.service = None

    def url(self, name):
        return f"http://{self.addresses[name][0]}"

    def write_settings(self, name):
        def describe(other):
            callers, peers, gossip = self.addresses[other]
            return {
                "instance": other,
                "peers": peers,
                "gossip": gossip,
                "region": "rs-litoral",
                "availability_zone": ZONE,
                "control": other in self.control,
            }

        callers, peers, gossip = self.addresses[name]
        document = {
            "instance": name,
            "region": "rs-litoral",
            "availability_zone": ZONE,
            "roles": ["entry", "control"] if name in self.control else ["entry"],
            "listen": {"callers": callers, "peers": peers, "gossip": gossip},
            "peers": [describe(other) for other in self.names if other != name],
            "limits": {"default_time_limit": 30.0},
            **self.settings,
        }
        if name in self.control:
            document["data_folder"] = str(self.folder / name)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(document))
        return path

    async def start(self, name):
        path = self.write_settings(name)
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "scalebend.soak.misbehaving",
                str(self.find_faults_folder(name)),
                self.hosts.get(name, "127.0.0.1"),
                "run",
                str(path),
                stderr=log,
            )

    def find_faults_folder(self, name):
        folder = self.folder / f"{name}-faults"
        folder.mkdir(exist_ok=True)
        return folder

    def set_faults(self, name, **faults):
        write_process_faults(self.find_faults_folder(name), ProcessFaults(**faults))

    async def kill(self, name, number=signal.SIGKILL):
        process = self.processes[name]
        os.kill(process.pid, number)
        return await asyncio.wait_for(process.wait(), 30.0)

    def pause(self, name):
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def resume(self, name):
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def list_running(self):
        return [n for n, p in self.processes.items() if p.returncode is None]

    async def read_status(self, name):
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            timeout = aiohttp.ClientTimeout(total=1.0)
            url = f"{self.url(name)}/admin/status"
            async with self.session.get(url, timeout=timeout) as response:
                return await response.json()
        return None

    async def wait_until(self, check, seconds=25.0):
        for _ in range(int(seconds / 0.1)):
            if await check():
                return
            await asyncio.sleep(0.1)
        raise AssertionError("the condition did not become true")

    async def wait_ready(self, names=None, upstreams=0):
        seen = {}

        async def check():
            for name in names or self.names:
                status = await self.read_status(name)
                seen[name] = status and (status["is_ready"], status["upstreams"])
            return all(s and s[0] and len(s[1]) >= upstreams for s in seen.values())

        try:
            await self.wait_until(check)
        except AssertionError:
            print("ready, and the upstreams known, at the end:", seen, sep="\n  ")
            raise

    async def wait_until_voter(self, name):
        async def check():
            status = await self.read_status(name)
            return status and status["is_voter"] and len(status["voters"]) == 3

        await self.wait_until(check)

    async def wait_version(self, version, names=None):
        async def check():
            statuses = [await self.read_status(n) for n in names or self.names]
            return all(s and s["version"] == version for s in statuses)

        await self.wait_until(check)

    async def find_leader(self):
        for _ in range(200):
            for name in self.list_running():
                status = await self.read_status(name) if name in self.control else None
                if status and status["leader"] == name:
                    return name
            await asyncio.sleep(0.1)
        raise AssertionError("no leader")

    async def apply(self, name, base, change, configuration=CONFIGURATION):
        document = ConfigurationChange(base, change, configuration, "tests")
        url = f"{self.url(name)}/admin/configuration"
        data = msgspec.json.encode(document)
        async with self.session.post(url, data=data) as response:
            return response.status, await response.json()

    def complete(self, name, prompt, *, max_tokens=4):
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        return self.session.post(
            f"{self.url(name)}/v1/completions",
            data=msgspec.json.encode(body),
            headers={"Authorization": "Bearer keepers"},
        )

    async def order(self, name, key):
        """Send an order; return its status, or ``None`` if the connection broke."""
        headers = {
            "Authorization": "Bearer keepers",
            "Idempotency-Key": key,
            "X-Order": key,
            "X-Time-Limit": "5",
        }
        url = f"{self.url(name)}/services/{SERVICE}/orders"
        with contextlib.suppress(aiohttp.ClientError):
            async with self.session.post(url, data=b"{}", headers=headers) as response:
                await response.read()
                return response.status
        return None


@contextlib.asynccontextmanager
async def put_proxy_before(engine):
    """Have an engine announce the address of a proxy, and run this."""
    (port,) = find_free_ports(1)
    target, engine.address = engine.address, f"127.0.0.1:{port}"
    async with run_proxy(engine.address, target) as proxy:
        yield proxy


@contextlib.asynccontextmanager
async def run_cluster(
    folder, count=5, control=3, engines=2, hosts=None, has_proxies=False, **settings
):
    cluster = Cluster(folder, count, control, hosts or {}, **settings)
    async with contextlib.AsyncExitStack() as stack:
        cluster.session = await stack.enter_async_context(aiohttp.ClientSession())
        for name in cluster.names:
            await cluster.start(name)
        try:
            urls = [cluster.url(name) for name in cluster.names]
            for number in range(engines):
                options = EngineOptions(
                    upstream=f"engine-{number}",
                    availability_zone=ZONE,
                    models=[LoadedModel(MODEL)],
                    parameters=PARAMETERS,
                    time_scale=0.5,
                )
                context = serve_engine(options, urls[number:] + urls[:number])
                engine = await stack.enter_async_context(context)
                cluster.engines.append(engine)
                if has_proxies:
                    proxy = await stack.enter_async_context(put_proxy_before(engine))
                    cluster.proxies.append(proxy)
            service = serve_service(ServiceOptions("orders-1", ZONE, SERVICE), urls)
            cluster.service = await stack.enter_async_context(service)
            await cluster.wait_ready(upstreams=engines + 1)
            yield cluster
        finally:
            for process in cluster.processes.values():
                if process.returncode is None:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                    await process.wait()
