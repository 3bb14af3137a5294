"""Suspect requests of replicas that crash without closing their connections.

A host that loses power closes no connections, so its crash is known only when it stops
registering, or another replica takes its address.
"""

import asyncio

from scalebend.core.crash_ledger import CRASHES_UNTIL_QUARANTINE
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.unanswered_attempts import RETENTION_S, UnansweredAttempts
from scalebend.core.part_ledger import NO_PARTS
from scalebend.models.endpoints import EndpointUpdate
from scalebend.models.ids import Fingerprint
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, run_front, serve
from tests.lib.gateway_builders import build_endpoint, build_route, build_routing

TIMEOUT_S = 0.2


async def hang(request):
    await asyncio.Event().wait()


def apply_changes(front, *news):
    runtime = front.runtime
    actions = runtime.instance.handle(
        "control", EndpointChanges([*news]), runtime.now()
    )
    runtime.execute(actions)


def run_plain_front():
    return run_front(build_routing(1, [build_route(kind=RouteKind.NON_IDEMPOTENT)]))


async def send(front, status):
    async with front.call(wait=TIMEOUT_S) as response:
        await response.read()
    assert response.status == status


async def crash_silently(front, hanging, count, is_draining=False):
    for number in range(1, count + 1):
        endpoint = front.add(number, hanging)
        await send(front, 504)
        gone = build_endpoint(number, address=hanging, is_draining=is_draining)
        apply_changes(front, EndpointUpdate(gone, is_gone=True))
        assert front.runtime.instance.directory.get(endpoint.upstream) is None


async def test_unresponsive_replicas_count_as_crashed_once_gone():
    async with run_plain_front() as front, serve(hang) as hanging:
        await crash_silently(front, hanging, CRASHES_UNTIL_QUARANTINE)
        front.add(9, hanging)
        await send(front, 503)


async def test_replica_whose_address_was_taken_counts_as_crashed():
    async with run_plain_front() as front, serve(hang) as hanging:
        for number in range(1, CRASHES_UNTIL_QUARANTINE + 1):
            front.add(number, hanging)
            await send(front, 504)
            apply_changes(
                front,
                EndpointUpdate(build_endpoint(number + 1, address=hanging), False),
            )
        await send(front, 503)


async def test_drained_replica_does_not_count_as_crashed():
    async with run_plain_front() as front, serve(hang) as hanging:
        await crash_silently(front, hanging, CRASHES_UNTIL_QUARANTINE, is_draining=True)
        front.add(9, hanging)
        await send(front, 504)


async def test_timeouts_at_a_registered_replica_do_not_count():
    async with run_plain_front() as front, serve(hang) as hanging:
        front.add(1, hanging)
        for _ in range(CRASHES_UNTIL_QUARANTINE + 1):
            await send(front, 504)


async def test_request_that_succeeded_elsewhere_is_no_suspect():
    async with (
        run_plain_front() as front,
        serve(hang) as hanging,
        serve(answer_sealed) as healthy,
    ):
        for number in range(1, CRASHES_UNTIL_QUARANTINE + 1):
            front.add(number, hanging)
            await send(front, 504)
        names = [
            build_endpoint(n).upstream for n in range(1, CRASHES_UNTIL_QUARANTINE + 1)
        ]
        for name in names:
            front.runtime.instance.directory.remove(name, front.runtime.now())
        front.add(9, healthy)
        await send(front, 200)
        for number in range(1, CRASHES_UNTIL_QUARANTINE + 1):
            gone = build_endpoint(number, address=hanging)
            apply_changes(front, EndpointUpdate(gone, is_gone=True))
        await send(front, 200)


def test_attempts_long_before_a_crash_are_no_suspects():
    attempts = UnansweredAttempts()
    early, late = Fingerprint("early"), Fingerprint("late")
    name = build_endpoint(1).upstream
    attempts.add(name, early, NO_PARTS, 0.0)
    attempts.add(name, late, NO_PARTS, RETENTION_S / 2)
    attempts.expire(RETENTION_S)
    assert [one.fingerprint for one in attempts.pop(name)] == [late]
    assert attempts.list_upstreams() == []
