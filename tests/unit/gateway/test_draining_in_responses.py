"""Upstreams that announce a drain only in their responses."""

import msgspec
from aiohttp import web

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.models.endpoints import EndpointUpdate, build_upstream_id
from scalebend.platform.headers import build_response_headers
from tests.lib.front import run_front, serve
from tests.lib.gateway_builders import build_endpoint, build_quick, build_routing
from tests.lib.gateway_group import build_deployment


def count_fronts_aware(deployment, upstream):
    return sum(not f.directory.is_usable(upstream) for f in deployment.fronts)


def test_all_fronts_learn_of_a_drain_that_registrations_do_not_show():
    deployment = build_deployment(4, 3, has_engines=True)
    draining = deployment.endpoints[0].upstream
    deployment.record_draining(0, draining)
    assert count_fronts_aware(deployment, draining) >= 1
    deployment.run(0.2)
    assert count_fronts_aware(deployment, draining) == 4
    deployment.renew()
    deployment.run(0.2)
    assert count_fronts_aware(deployment, draining) == 4
    for number in range(20):
        placed = deployment.place(deployment.fronts[1], build_quick(number))
        assert draining not in placed.upstreams


def test_next_leader_learns_of_the_drain():
    deployment = build_deployment(2, 3, has_engines=True)
    draining = deployment.endpoints[0].upstream
    deployment.lose_leader()
    deployment.record_draining(0, draining)
    assert count_fronts_aware(deployment, draining) == 1
    deployment.replace_leader()
    deployment.run(0.2)
    assert not deployment.leader.directory.is_usable(draining)
    assert count_fronts_aware(deployment, draining) == 2


def test_late_update_with_a_drain_is_applied():
    directory = EndpointDirectory(10.0)
    ready = build_endpoint(1, sequence=7)
    directory.register(ready, 0.0)
    late = msgspec.structs.replace(ready, sequence=5, is_draining=True)
    assert directory.merge(EndpointUpdate(late, is_gone=False), 1.0) is not None
    assert not directory.is_usable(ready.upstream)
    # Only once, and the newer sequence of the registration stays.
    assert directory.merge(EndpointUpdate(late, is_gone=False), 2.0) is None
    assert directory.get(ready.upstream).sequence == 7
    again = msgspec.structs.replace(ready, sequence=9)
    directory.register(again, 3.0)
    assert not directory.is_usable(ready.upstream)


def test_drain_of_an_expired_upstream_is_kept_when_it_registers_again():
    directory = EndpointDirectory(5.0)
    ready = build_endpoint(1)
    directory.register(ready, 0.0)
    assert directory.expire(6.0)
    # The response to a request that was sent before it became unresponsive.
    directory.record_draining(ready.upstream)
    directory.register(msgspec.structs.replace(ready, sequence=2), 7.0)
    assert not directory.is_usable(ready.upstream)


def test_next_incarnation_is_usable():
    deployment = build_deployment(2, 1, has_engines=True)
    deployment.record_draining(0, deployment.endpoints[0].upstream)
    deployment.run(0.2)
    restarted = build_endpoint(1, upstream=build_upstream_id("i-1", 2))
    deployment.register(restarted)
    deployment.run(0.2)
    for front in deployment.fronts:
        assert front.directory.is_usable(restarted.upstream)


async def test_response_of_a_draining_upstream_is_forwarded_and_is_the_last():
    arrived = []

    async def respond(request):
        name = request.headers["X-Request-Id"]
        arrived.append(name)
        headers = build_response_headers(name, "s", is_draining=True)
        return web.Response(headers=headers, body=b"done")

    async with run_front(build_routing()) as front, serve(respond) as address:
        front.add(1, address)
        first = await front.call()
        second = await front.call()
    assert (first.status, second.status) == (200, 503)
    assert len(arrived) == 1
