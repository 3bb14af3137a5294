"""Configurations that are sent to a control member which stops before it decides."""

import asyncio
import contextlib

import aiohttp

from scalebend.soak.faults import DiskMode
from tests.lib.gateway_system import SERVICE, System
from tests.lib.platform_processes import run_processes
from tests.lib.platform_replicas import build_document

SETTLE_S = 4.0
"""Time for the group to become complete, which changes the log."""

IN_FLIGHT_S = 0.3
"""Time for a call to arrive, less than the member waits for a quorum."""


# Guards against a configuration that gets neither an acknowledgement nor a refusal,
# because its handler is cancelled with the member that should have decided; and
# against a refusal that promises more than the member knows.
async def test_configuration_is_refused_by_a_member_whose_disk_fails(tmp_path):
    with run_processes(tmp_path) as processes:
        async with aiohttp.ClientSession() as session:
            system = System(processes, session)
            assert await system.put(build_document(1, [SERVICE])) == 200
            await asyncio.sleep(SETTLE_S)
        leader = processes.find_leader()
        processes.set_faults(leader, disk=DiskMode.STALLED)
        document = build_document(2, [SERVICE])
        putting = asyncio.create_task(put(processes.find_control(leader), document))
        await asyncio.sleep(IN_FLIGHT_S)
        processes.set_faults(leader, disk=DiskMode.FULL)
        response = await putting
    assert response.startswith(b"HTTP/1.1 503 "), response
    assert b'"type":"no-quorum"' in response
    assert b'"ran":"unknown"' in response


async def put(address, document):
    """Send a PUT once; return all bytes that come back on its connection."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    with contextlib.closing(writer):
        lines = [
            "PUT /config HTTP/1.1",
            "Host: a.example",
            f"Content-Length: {len(document)}",
            "Connection: close",
        ]
        writer.write("\r\n".join([*lines, "", ""]).encode() + document)
        return await reader.read()
