"""Runs one real instance with stand-in upstreams on the loopback interface."""

import asyncio
import contextlib
import tempfile

import aiohttp
import msgspec

from scalebend.edges.http_server import serve_instance
from scalebend.models.configuration import (
    Configuration,
    ConfigurationChange,
    Customer,
    CustomerLimits,
    Model,
    Service,
    ServiceCall,
)
from scalebend.models.ids import InstanceId, Region, ServiceName, UpstreamId
from scalebend.models.settings import Limits, Listen, Role, Settings
from scalebend.models.upstream import LoadedModel
from scalebend.standins.engine_model import EngineParameters
from scalebend.standins.engine_server import EngineOptions, serve_engine
from scalebend.standins.ports import find_free_ports
from scalebend.standins.service_server import ServiceOptions, serve_service
from scalebend.utils.keys import hash_key
from tests.lib.builders import MODEL, ZONE

SERVICE = ServiceName("work-orders")
PARAMETERS = EngineParameters(memory_tokens=400_000, concurrency=16)
CONFIGURATION = Configuration(
    customers=[
        Customer("keepers", [hash_key("keepers")]),
        Customer(
            "limited",
            [hash_key("limited")],
            limits=CustomerLimits(concurrency=1),
        ),
    ],
    services=[Service(SERVICE, [ServiceCall("POST", "/orders", False)])],
    models=[Model(MODEL)],
)


class Fleet:
    def __init__(self, runtime, url, session, engines, service):
        self.runtime = runtime
        self.url = url
        self.session = session
        self.engines = engines
        self.service = service

    def post(self, body, path="/v1/completions", key="keepers", **headers):
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        names["Authorization"] = f"Bearer {key}"
        data = body if isinstance(body, bytes) else msgspec.json.encode(body)
        return self.session.post(self.url + path, data=data, headers=names)

    def complete(self, prompt, *, stream=True, max_tokens=4, **headers):
        body = {
            "model": MODEL,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": stream,
        }
        return self.post(body, **headers)

    def order(self, key, order="order", **headers):
        return self.post(
            b"{}",
            f"/services/{SERVICE}/orders",
            Idempotency_Key=key,
            X_Order=order,
            **headers,
        )

    async def wait_until(self, condition, seconds=10.0):
        for _ in range(int(seconds / 0.02)):
            if condition():
                return
            await asyncio.sleep(0.02)
        raise AssertionError("the condition did not become true")


def build_settings(folder, ports, **changes):
    values = {
        "instance": InstanceId("pelotas-1"),
        "region": Region("rs-litoral"),
        "availability_zone": ZONE,
        "listen": Listen(*[f"127.0.0.1:{port}" for port in ports]),
        "roles": [Role.ENTRY, Role.CONTROL],
        "data_folder": str(folder),
        "limits": Limits(default_time_limit=20.0),
        **changes,
    }
    return Settings(**values)


@contextlib.asynccontextmanager
async def run_fleet(
    engines=1,
    *,
    parameters=PARAMETERS,
    scale=0.1,
    tls=None,
    has_service=True,
    **changes,
):
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        ports = find_free_ports(3)
        scheme = "https" if tls else "http"
        url = f"{scheme}://127.0.0.1:{ports[0]}"
        settings = build_settings(folder, ports, **changes)
        runtime = await stack.enter_async_context(serve_instance(settings))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(ssl=tls or True))
        )
        running = []
        for number in range(engines):
            options = EngineOptions(
                upstream=UpstreamId(f"engine-{number}"),
                availability_zone=ZONE,
                models=[LoadedModel(MODEL)],
                parameters=parameters,
                time_scale=scale,
            )
            context = serve_engine(options, [url])
            running.append(await stack.enter_async_context(context))
        options = ServiceOptions(UpstreamId("orders-1"), ZONE, SERVICE)
        urls = [url] if has_service else []
        service = await stack.enter_async_context(serve_service(options, urls))
        fleet = Fleet(runtime, url, session, running, service)
        await fleet.wait_until(
            lambda: (
                runtime.instance.read_readiness(runtime.now()).is_ready
                and len(runtime.instance.catalog) == engines + has_service
            )
        )
        await apply_configuration(fleet, CONFIGURATION)
        yield fleet


async def apply_configuration(fleet, configuration, base=0, change="first"):
    document = ConfigurationChange(base, change, configuration, "tests")
    async with fleet.session.post(
        f"{fleet.url}/admin/configuration", data=msgspec.json.encode(document)
    ) as response:
        return response.status, await response.json()
