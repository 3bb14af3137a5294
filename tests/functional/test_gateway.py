"""Gateway processes with stand-in replicas, as seen by callers and replicas."""

import asyncio
import contextlib
import signal
import time

import aiohttp
import pytest

from scalebend.core.gateway.drain import LAST_ADMISSION_S
from scalebend.core.gateway.service_balancer import FAILURE_LIFETIME_S
from scalebend.core.gateway.silences import MAX_PAUSE_S
from scalebend.platform.headers import EXPECTED_UPSTREAM
from tests.lib.gateway_system import SERVICE, run_system
from tests.lib.platform_replicas import EVENTS, build_document

COMPLETE_STREAM = b"".join(
    f"id: {n}\ndata: {n}\n\n".encode() for n in range(1, EVENTS + 1)
)


@pytest.fixture
async def system(tmp_path):
    async with run_system(tmp_path) as system:
        yield system


def list_runs(system):
    return [run for replica in system.replicas for run in replica.ran]


async def test_request_reaches_a_replica_unchanged(system):
    status, body, headers = await system.call("idempotent", Cookie="a=b")
    assert status == 200
    assert body.startswith(b"done by i-")
    assert headers["X-Server-Seal"].startswith("seal-of-")
    ((request, received),) = list_runs(system)
    assert received == b"body"
    assert request.raw_path == f"/{SERVICE}/idempotent/x%2Fy?a=%20"
    assert request.headers["X-Tenant"] == "crew"
    assert request.headers["Host"] == "test.example"
    assert request.headers["Cookie"] == "a=b"
    assert "Authorization" not in request.headers
    assert int(request.headers["X-Deadline-Ms"]) <= 4000
    assert request.headers[EXPECTED_UPSTREAM].startswith("i-")


async def test_unknown_route_and_key(system):
    assert (await system.call("idempotent", key="wrong"))[0] == 401
    assert (await system.call("nothing"))[0] == 404
    assert not list_runs(system)


async def test_stream_is_forwarded_and_resumed_at_another_replica(system):
    assert (await system.call("stream"))[1] == COMPLETE_STREAM
    for replica in system.replicas:
        replica.ran.clear()
    system.replicas[0].mode = system.replicas[1].mode = "break"
    task = asyncio.create_task(system.call("stream"))
    while not list_runs(system):
        await asyncio.sleep(0.001)
    for replica in system.replicas:
        if not replica.ran:
            replica.mode = "answer"
    status, body, _ = await task
    assert (status, body) == (200, COMPLETE_STREAM)
    last_events = [r.headers.get("Last-Event-Id") for r, _ in list_runs(system)]
    assert sorted(map(str, last_events)) == ["2", "None"]


async def test_caller_that_resumes_gets_the_remaining_events(system):
    _, body, _ = await system.call("stream", **{"Last-Event-Id": "3"})
    assert body == b"id: 4\ndata: 4\n\nid: 5\ndata: 5\n\n"


async def test_non_idempotent_request_runs_once_and_is_not_reported_as_refused(system):
    for replica in system.replicas:
        replica.mode = "vanish"
    status, _, headers = await system.call("non_idempotent")
    assert status == 502
    assert "Retry-After" not in headers
    assert len(list_runs(system)) == 1


async def test_full_replicas_lead_to_a_refusal_without_a_run(system):
    for replica in system.replicas:
        replica.mode = "full"
    status, _, headers = await system.call("non_idempotent")
    assert status == 503
    assert 0.0 < float(headers["Retry-After"]) < 4.0
    assert not list_runs(system)


async def test_error_of_one_replica_is_retried_at_another(system):
    system.replicas[0].mode = "fail"
    statuses = [(await system.call("idempotent"))[0] for _ in range(6)]
    assert statuses == [200] * 6
    for replica in system.replicas:
        replica.mode = "fail"
    status, body, headers = await system.call("idempotent")
    assert (status, body) == (500, b"own failure")
    assert headers["X-Server-Seal"].startswith("seal-of-")


async def test_response_to_another_request_is_never_forwarded(system):
    system.replicas[0].mode = "foreign"
    for _ in range(6):
        status, body, _ = await system.call("idempotent")
        assert (status, body) == (200, b"done by i-2")
    for replica in system.replicas:
        replica.mode = "foreign"
    assert (await system.call("non_idempotent"))[0] == 502
    assert (await system.call("stream"))[0] == 502


async def test_draining_replica_gets_no_new_requests(system):
    await system.replicas[0].register(system.session, state="draining")
    await asyncio.sleep(0.3)
    system.replicas[0].ran.clear()
    for _ in range(10):
        assert (await system.call("idempotent"))[0] == 200
    assert not system.replicas[0].ran


async def test_configuration_is_readable_and_never_reverts(system):
    newest = build_document(7, [SERVICE])
    assert await system.put(newest) == 200
    assert await system.put(build_document(3, [])) == 200
    assert await system.put(newest) == 200
    for control in system.processes.list_controls():
        async with system.session.get(f"http://{control}/config") as answer:
            assert answer.status == 200
            assert await answer.read() == newest
    assert await system.put(build_document(9, [SERVICE], TimeoutMs=0)) == 400
    assert await system.put(newest[:-20]) == 400
    assert (await system.call("idempotent"))[0] == 200


async def test_revoked_key_is_rejected(system):
    assert await system.put(build_document(2, [SERVICE], keys=("key-2",))) == 200
    await asyncio.sleep(0.5)
    assert (await system.call("idempotent"))[0] == 401
    assert (await system.call("idempotent", key="key-2"))[0] == 200


async def test_front_isolated_from_control_stops_admitting_in_time(system):
    for name in system.processes.names[:3]:
        system.processes.signal(name, signal.SIGSTOP)
    await asyncio.sleep(5.0)
    system.replicas[0].ran.clear()
    status, _, headers = await system.call("idempotent")
    assert status == 503
    assert "Retry-After" in headers
    assert not system.replicas[0].ran
    for name in system.processes.names[:3]:
        system.processes.signal(name, signal.SIGCONT)
    await system.wait_served()


async def test_request_waits_for_the_first_lease_of_a_process(system):
    system.processes.kill("front-0")
    system.processes.start("front-0")
    # It accepts callers before it has any link.
    status = None
    while status is None:
        with contextlib.suppress(aiohttp.ClientConnectorError):
            status, _, _ = await system.call("idempotent")
    assert status == 200


async def test_killed_leader_is_replaced_while_requests_are_served(system):
    leader = system.processes.find_leader()
    system.processes.kill(leader)
    for _ in range(20):
        assert (await system.call("idempotent"))[0] == 200
        await asyncio.sleep(0.05)
    document = build_document(12, [SERVICE])
    assert await system.put(document) == 200
    system.processes.start(leader)
    control = system.processes.find_ip(leader)
    url = f"http://{control}:{system.processes.control_port}/config"
    assert await system.read_when_served(url) == document


async def test_planned_stop_finishes_an_open_stream(system):
    for replica in system.replicas:
        replica.gate.clear()
    task = asyncio.create_task(system.call("stream"))
    while not list_runs(system):
        await asyncio.sleep(0.01)
    system.processes.signal("front-0", signal.SIGTERM)
    await system.wait_ready(is_ready=False, seconds=2.0)
    # Callers that still connect are served, with a response that closes the connection.
    status, _, headers = await system.call("idempotent")
    assert status == 200
    assert headers["Connection"] == "close"
    for replica in system.replicas:
        replica.gate.set()
    assert (await task)[1] == COMPLETE_STREAM
    assert system.processes.running["front-0"].wait(timeout=10) == 0


async def test_stopping_front_refuses_late_requests(system):
    system.processes.signal("front-0", signal.SIGTERM)
    await asyncio.sleep(LAST_ADMISSION_S + 0.3)
    system.replicas[0].ran.clear()
    system.replicas[1].ran.clear()
    status, _, headers = await system.call("stream")
    assert status == 503
    assert headers["Connection"] == "close"
    assert float(headers["Retry-After"]) < 0.2
    assert not list_runs(system)


async def test_decisions_on_a_request_are_logged(system):
    system.replicas[0].mode = system.replicas[1].mode = "full"
    await system.call("idempotent", **{"X-Request-Id": "traced-1"})
    lines = [
        line
        for line in system.processes.read_log("front-0")
        if line.get("request") == "traced-1"
    ]
    events = [line["event"] for line in lines]
    assert events.count("attempt ended") == 2
    assert events[-1] == "request answered"
    assert lines[-1]["status"] == 503
    assert lines[-1]["ran"] == "no"


async def test_metrics_are_served_on_the_readiness_address(system):
    await system.call("idempotent")
    url = f"http://{system.processes.find_readiness(0)}/metrics"
    async with system.session.get(url) as answer:
        text = await answer.text()
    assert 'scalebend_requests_total{kind="idempotent",status="200"}' in text
    assert "scalebend_request_seconds_bucket" in text


async def test_work_is_cancelled_when_the_caller_disconnects(system):
    for replica in system.replicas:
        replica.gate.clear()
    task = asyncio.create_task(system.call("stream"))
    while not list_runs(system):
        await asyncio.sleep(0.001)
    disconnected_at = time.monotonic()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    async with asyncio.timeout(5.0):
        while not any(replica.cancelled_at for replica in system.replicas):
            await asyncio.sleep(0.01)
    cancelled = [at for replica in system.replicas for at in replica.cancelled_at]
    assert min(cancelled) - disconnected_at < 0.5
    # No other replica is sent the request.
    await asyncio.sleep(0.6)
    assert len(list_runs(system)) == 1


async def test_relay_without_a_disk_registers_and_redirects(system):
    processes = system.processes
    relay = processes.find_control("relay-0")
    processes.start("relay-0")
    url = f"http://{relay}/config"
    body = await system.read_when_served(url)
    assert body == build_document(1, [SERVICE])
    async with system.session.put(url, data=build_document(2, [SERVICE])) as answer:
        assert answer.status == 200
    replica = system.replicas[0]
    replica.controls = [relay]
    await replica.register(system.session)
    # A front with the relay as its only seed finds the leader and serves.
    processes.seeds["front-9"] = [relay]
    processes.start("front-9")
    await system.wait_ready(front=9)
    assert (await system.call("idempotent", front=9))[0] == 200
    assert "leadership changed" not in {
        line["event"] for line in processes.read_log("relay-0")
    }


async def test_unresponsive_pooled_connections_are_replaced(system):
    # Equal replicas are chosen at random; each needs a pooled connection.
    while not all(replica.transports for replica in system.replicas):
        assert (await system.call("idempotent"))[0] == 200
    for replica in system.replicas:
        replica.muted = set(replica.transports)
    # A replica that had a dead connection is chosen again once its failure is old.
    end = time.monotonic() + len(system.replicas) * MAX_PAUSE_S + FAILURE_LIFETIME_S + 5
    while not all(replica.transports - replica.muted for replica in system.replicas):
        # Two timeouts would take until the deadline: it costs a request at most one.
        assert (await system.call("idempotent"))[0] == 200
        assert time.monotonic() < end
    met = [one for replica in system.replicas for one in replica.unanswered]
    # No second request meets the same dead connection, and each one is closed.
    assert len(met) == len(set(met))
    async with asyncio.timeout(1.0):
        while not all(transport.is_closing() for transport in met):
            await asyncio.sleep(0.01)
