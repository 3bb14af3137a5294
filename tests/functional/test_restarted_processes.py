"""Streams beside new configurations, after all processes were killed and came back."""

import asyncio
import json
import time

from tests.lib.gateway_load import keep_registered
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.platform_replicas import build_document
from tests.lib.silent_replicas import SilenceCallers, build_silence_document

RUN_S = 6.0
CHANGE_INTERVAL_S = 0.5


def change_idle(document, version):
    document["Limits"]["IdleTimeoutMs"] = 10_000 + version


def change_timeout(document, version):
    for route in document["Routes"]:
        route["TimeoutMs"] = 4_900 + version


def change_route(document, version):
    added = dict(document["Routes"][0])
    added |= {"Name": f"added-{version}", "PathPrefix": f"/added-{version}/"}
    document["Routes"].append(added)


def change_tenant(document, version):
    tenant = {"Name": f"t-{version}", "ApiKeys": [f"k-{version}"], "Priority": 1}
    document["Tenants"].append(tenant)


CHANGES = [change_idle, change_timeout, change_route, change_tenant]


async def change_configuration(system, first, seconds):
    """Send configurations of all kinds, one after the other."""
    end = time.monotonic() + seconds
    version = first
    while time.monotonic() < end:
        document = json.loads(build_silence_document(version))
        CHANGES[version % len(CHANGES)](document, version)
        assert await system.put(json.dumps(document).encode()) == 200
        version += 1
        await asyncio.sleep(CHANGE_INTERVAL_S)
    return version


async def test_restarted_processes_answer_streams_beside_configurations(tmp_path):
    """Guards against streams that fronts take before they know routes or upstreams."""
    async with run_system(tmp_path, 5) as system:
        document = build_document(2, [SERVICE], engines=[SERVICE])
        assert await system.put(document) == 200
        async with keep_registered(system):
            before = SilenceCallers(system, 0.0, name="before")
            loading = asyncio.create_task(before.run(RUN_S))
            version = await change_configuration(system, 3, RUN_S / 2)
            controls = [f"control-{number}" for number in range(3)]
            names = [*controls, "front-0", "front-1"]
            for name in names:
                system.processes.kill(name)
            for name in names:
                system.processes.start(name)
            await asyncio.gather(system.wait_ready(front=0), system.wait_ready(front=1))
            after = SilenceCallers(system, 0.0, name="after")
            changing = change_configuration(system, version, RUN_S)
            await asyncio.gather(after.run(RUN_S), changing)
            await loading
    assert after.list_unanswered() == []
    assert len(after.list_refused()) < len(after.called) / 10
