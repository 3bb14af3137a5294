"""Requests that end replicas without a word: their connections fall silent.

A machine that loses power resets nothing. That it has ended is known only when it
registers no more, or another one takes its address.
"""

import asyncio

from scalebend.core.crash_ledger import CRASHES_UNTIL_QUARANTINE
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.gateway.unanswered_attempts import LIFE, UnansweredAttempts
from scalebend.models.endpoints import EndpointNews
from scalebend.models.ids import Fingerprint
from scalebend.models.routing import RouteKind
from tests.lib.front import answer_sealed, run_front, serve
from tests.lib.gateway_builders import build_endpoint, build_route, build_routing

WAIT = 0.2


async def hang(request):
    await asyncio.Event().wait()


def tell(front, *news):
    runtime = front.runtime
    actions = runtime.instance.handle(
        "control", EndpointChanges([*news]), runtime.now()
    )
    runtime._execute(actions)


def run_plain_front():
    return run_front(build_routing(1, [build_route(kind=RouteKind.NON_IDEMPOTENT)]))


async def send(front, status):
    async with front.call(wait=WAIT) as answer:
        await answer.read()
    assert answer.status == status


async def end_silently(front, silent, count, is_draining=False):
    for number in range(1, count + 1):
        endpoint = front.add(number, silent)
        await send(front, 504)
        gone = build_endpoint(number, address=silent, is_draining=is_draining)
        tell(front, EndpointNews(gone, is_gone=True))
        assert front.runtime.instance.directory.get(endpoint.upstream) is None


async def test_replicas_that_fall_silent_under_a_request_count_once_they_are_gone():
    async with run_plain_front() as front, serve(hang) as silent:
        await end_silently(front, silent, CRASHES_UNTIL_QUARANTINE)
        front.add(9, silent)
        await send(front, 503)


async def test_replica_that_another_took_the_address_of_counts():
    async with run_plain_front() as front, serve(hang) as silent:
        for number in range(1, CRASHES_UNTIL_QUARANTINE + 1):
            front.add(number, silent)
            await send(front, 504)
            tell(front, EndpointNews(build_endpoint(number + 1, address=silent), False))
        await send(front, 503)


async def test_replica_that_left_as_planned_does_not_count():
    async with run_plain_front() as front, serve(hang) as silent:
        await end_silently(front, silent, CRASHES_UNTIL_QUARANTINE, is_draining=True)
        front.add(9, silent)
        await send(front, 504)


async def test_silence_of_a_replica_that_stays_does_not_count():
    async with run_plain_front() as front, serve(hang) as silent:
        front.add(1, silent)
        for _ in range(CRASHES_UNTIL_QUARANTINE + 1):
            await send(front, 504)


async def test_request_that_was_answered_elsewhere_is_not_blamed_later():
    async with (
        run_plain_front() as front,
        serve(hang) as silent,
        serve(answer_sealed) as good,
    ):
        for number in range(1, CRASHES_UNTIL_QUARANTINE + 1):
            front.add(number, silent)
            await send(front, 504)
        names = [
            build_endpoint(n).upstream for n in range(1, CRASHES_UNTIL_QUARANTINE + 1)
        ]
        for name in names:
            front.runtime.instance.directory.remove(name, front.runtime.now())
        front.add(9, good)
        await send(front, 200)
        for number in range(1, CRASHES_UNTIL_QUARANTINE + 1):
            gone = build_endpoint(number, address=silent)
            tell(front, EndpointNews(gone, is_gone=True))
        await send(front, 200)


def test_replica_that_ends_long_after_an_attempt_is_no_sign_against_it():
    attempts = UnansweredAttempts()
    early, late = Fingerprint("early"), Fingerprint("late")
    name = build_endpoint(1).upstream
    attempts.add(name, early, 0.0)
    attempts.add(name, late, LIFE / 2)
    attempts.expire(LIFE)
    assert attempts.take(name) == [late]
    assert attempts.list_upstreams() == []
