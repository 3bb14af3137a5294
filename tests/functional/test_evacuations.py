"""Evacuations of availability zones, with real processes."""

import asyncio
import contextlib
import json
import signal
import sys
import time

import aiohttp
import pytest

from tests.lib.gateway_system import run_system
from tests.lib.platform_replicas import Replica

ACK_S = 1.0
"""Time to an acknowledgement in calm."""

FORCE_S = 1.0
"""Time from an acknowledgement until every front obeys."""


class ZonedReplica(Replica):
    """The first replica is in one zone, the second in another."""

    @property
    def zone(self):
        return "far" if self.id == "i-1" else "near"


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path, build_replica=ZonedReplica) as system:
        yield system


async def send(system, control, method, zone="far", **options):
    url = f"http://{control}/evacuations/{zone}"
    timeout = aiohttp.ClientTimeout(total=1.0)
    async with system.session.request(
        method, url, timeout=timeout, **options
    ) as answer:
        return answer.status, await answer.text()


async def order(system, method, seconds=10.0):
    """Send an order to one instance after the other until it is acknowledged."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for control in system.processes.list_controls():
            with contextlib.suppress(aiohttp.ClientError, TimeoutError):
                status, body = await send(system, control, method)
                assert status == 200 or status >= 500, body
                if status == 200:
                    return
        await asyncio.sleep(0.05)
    raise AssertionError("the order was not acknowledged")


async def list_evacuated(system):
    for control in system.processes.list_controls():
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            url = f"http://{control}/evacuations"
            async with system.session.get(url) as answer:
                if answer.status == 200:
                    listed = await answer.json()
                    return [one["Zone"] for one in listed["Evacuated"]]
    return None


async def find_users(system, front=0, calls=12):
    """Return the replicas that calls at a front reach."""
    for replica in system.replicas:
        replica.ran.clear()
    for _ in range(calls):
        assert (await system.call("idempotent", front=front))[0] == 200
    return {replica.id for replica in system.replicas if replica.ran}


async def test_zone_is_evacuated_and_given_back(system):
    assert await find_users(system) == {"i-1", "i-2"}
    for control in system.processes.list_controls():
        # To any instance, and again.
        began = time.monotonic()
        assert (await send(system, control, "POST"))[0] == 200
        assert time.monotonic() - began < ACK_S
    await asyncio.sleep(FORCE_S)
    for front in (0, 1):
        assert await find_users(system, front) == {"i-2"}
    assert await list_evacuated(system) == ["far"]
    control = system.processes.list_controls()[0]
    assert (await send(system, control, "DELETE"))[0] == 200
    assert (await send(system, control, "DELETE"))[0] == 200
    await asyncio.sleep(FORCE_S)
    for front in (0, 1):
        assert await find_users(system, front) == {"i-1", "i-2"}
    assert await list_evacuated(system) == []
    lines = system.processes.read_log("front-0")
    applied = [line for line in lines if line["event"] == "evacuations applied"]
    assert [line["revision"] for line in applied] == [1, 2]
    assert all(0.0 <= line["age"] < ACK_S + FORCE_S for line in applied)


async def run_command(system, *arguments):
    control = system.processes.list_controls()[0]
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *("-m", "scalebend", "evacuate", *arguments, "--url", f"http://{control}"),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def test_command_orders_and_lists(system):
    assert await run_command(system, "far") == (0, "far: evacuated\n")
    code, listed = await run_command(system)
    assert code == 0
    assert [one["Zone"] for one in json.loads(listed)["Evacuated"]] == ["far"]
    assert await run_command(system, "far", "--withdraw") == (0, "far: in use again\n")
    assert await list_evacuated(system) == []
    code, output = await run_command(system, "--withdraw")
    assert code == 2 and "zone" in output
    code, output = await run_command(system, "nowhere")
    assert code == 1 and "nowhere" in output


async def test_malformed_orders_are_refused_clearly(system):
    for control in system.processes.list_controls():
        status, body = await send(system, control, "POST", zone="nowhere")
        assert status in (404, 503) and "nowhere" in body
        assert (await send(system, control, "POST", zone="far/"))[0] == 404
        assert (await send(system, control, "POST", data=b"{}"))[0] == 400
        assert (await send(system, control, "PUT"))[0] == 404
    # Long enough that all upstreams would have registered.
    await asyncio.sleep(5.0)
    for control in system.processes.list_controls():
        status, body = await send(system, control, "POST", zone="nowhere")
        assert status == 404 and "nowhere" in body
    assert await list_evacuated(system) == []


async def test_order_is_kept_though_the_leader_is_killed_before_it_answers(system):
    processes = system.processes
    leader = processes.find_leader()
    # The order waits for a quorum when the leader is killed.
    others = [name for name in processes.names[:3] if name != leader]
    for name in others:
        processes.signal(name, signal.SIGSTOP)
    task = asyncio.create_task(send(system, processes.find_control(leader), "POST"))
    await asyncio.sleep(0.1)
    processes.kill(leader)
    with pytest.raises(aiohttp.ClientError):
        await task
    for name in others:
        processes.signal(name, signal.SIGCONT)
    await order(system, "POST")
    await asyncio.sleep(FORCE_S)
    for front in (0, 1):
        assert await find_users(system, front) == {"i-2"}
    processes.start(leader)
    assert await list_evacuated(system) == ["far"]


async def test_committed_order_is_kept_though_its_answer_is_lost(system):
    processes = system.processes
    leader = processes.find_leader()
    host, port = processes.find_control(leader).split(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(b"POST /evacuations/far HTTP/1.1\r\nHost: x\r\n\r\n")
    await writer.drain()
    # The answer is never read; nobody orders again.
    await wait_for_event(processes, leader, "evacuation acknowledged")
    processes.kill(leader)
    writer.close()
    await asyncio.sleep(FORCE_S)
    for front in (0, 1):
        assert await find_users(system, front) == {"i-2"}
    assert await wait_for_list(system) == ["far"]
    processes.start(leader)
    assert await wait_for_list(system) == ["far"]


async def wait_for_event(processes, name, event, seconds=5.0):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if any(line["event"] == event for line in processes.read_log(name)):
            return
        await asyncio.sleep(0.02)
    raise AssertionError(f"{name} did not log {event}")


async def wait_for_list(system, seconds=10.0):
    """Return the list of the first instance that has a confirmed leader."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if (listed := await list_evacuated(system)) is not None:
            return listed
        await asyncio.sleep(0.1)
    raise AssertionError("no list could be read")


async def test_acknowledged_order_outlives_the_power_of_all(system):
    processes = system.processes
    await order(system, "POST")
    for name in processes.started:
        processes.kill(name)
    for name in processes.started:
        processes.start(name)
    # A front that starts after the order obeys it from its first request on.
    processes.start("front-9")
    for front in (0, 1, 9):
        await system.wait_ready(front=front)
        for replica in system.replicas:
            await replica.register(system.session)
        system.replicas[0].ran.clear()
        await system.wait_served()
        assert await find_users(system, front) == {"i-2"}
    assert await list_evacuated(system) == ["far"]
    await order(system, "DELETE")
    await asyncio.sleep(FORCE_S)
    assert await find_users(system, 9) == {"i-1", "i-2"}


async def test_without_a_quorum_an_order_gets_503(system):
    processes = system.processes
    leader = processes.find_leader()
    others = [name for name in processes.names[:3] if name != leader]
    for name in others:
        processes.signal(name, signal.SIGSTOP)
    status, _ = await send(system, processes.find_control(leader), "POST")
    assert status == 503
    for name in others:
        processes.signal(name, signal.SIGCONT)
    await order(system, "POST")


async def test_request_without_another_zone_is_refused_at_once(system):
    await order(system, "POST")
    control = system.processes.list_controls()[0]
    assert (await send(system, control, "POST", zone="near"))[0] == 200
    await asyncio.sleep(FORCE_S)
    began = time.monotonic()
    status, _, headers = await system.call("stream", **{"X-Request-Id": "traced-1"})
    assert status == 503 and time.monotonic() - began < 0.2
    assert float(headers["Retry-After"]) >= 1.0
    lines = system.processes.read_log("front-0")
    events = [line["event"] for line in lines if line.get("request") == "traced-1"]
    assert events == ["all upstreams evacuated", "request answered"]
