"""What ceilings apply to: replicas that are known, of services with slow start only."""

import msgspec
import pytest

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.core.gateway.limit_exchange import LimitExchange
from scalebend.core.gateway.messages import SendPermitReply, SendPermitRequest
from scalebend.core.gateway.slow_start import SlowStarts
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import InstanceId, ServiceName, UpstreamId
from scalebend.models.rate_limits import ObservedLimit
from scalebend.models.slow_start import SlowStart
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_endpoint,
    build_quick,
    build_routing,
    build_service,
    build_work,
)
from tests.lib.slow_start_load import SlowStartLoad

OTHER = ServiceName("other")
FRONT = InstanceId("10.2.0.1:7000")


def test_upstreams_that_are_not_registered_get_no_permit():
    load = SlowStartLoad(2, 2, rate=0.0)
    load.run(2.0)
    gone, kept = load.names
    leader = load.deployment.leader
    front = load.deployment.fronts[0]
    for directory in (leader.directory, front.directory):
        directory.remove(gone, load.now)
    for upstream, is_granted in (("i-99", False), (gone, False), (kept, True)):
        request = SendPermitRequest(1, [UpstreamId(upstream)], 0.0)
        granted = leader.limits.grant(request, load.now, may_grant=True)
        assert (granted.upstream is not None) == is_granted
        if not is_granted:
            assert front.limits.grant(request, load.now).upstream is None
            assert 0.0 < granted.wait < 1.0


def test_upstreams_that_are_not_registered_get_permits_without_slow_start():
    load = SlowStartLoad(2, 2, rate=0.0, slow_start=None)
    request = SendPermitRequest(1, [UpstreamId("i-99")], 0.0)
    limits = load.deployment.leader.limits
    assert limits.grant(request, load.now, may_grant=True).upstream == "i-99"


def place_all(other, limit, *, tokens, front=FRONT):
    """Place work of a service without slow start, beside ``other``; return results."""
    directory = EndpointDirectory(60.0)
    limits = LimitExchange(SlowStarts(directory, Bounds()))
    limits.apply_routing(build_routing(services=[build_service(engine=PROFILE), other]))
    limits.add_front(front, 0.0)
    for number in range(1, 4):
        directory.register(build_endpoint(number), 0.0)
    for number in range(11, 15):
        endpoint = build_endpoint(number, service=OTHER, cold_s=50.0)
        directory.register(endpoint, 0.0)
        limits.budget.spend(endpoint.upstream, 0.0)
    if limit is not None:
        limits.receive(front, [ObservedLimit(UpstreamId("i-1"), limit, 0)], 0.0)
    scheduler = EngineScheduler("leader")
    placed = []
    for number in range(60):
        now = 1.0 + 0.04 * number
        work = build_work(number, tokens, target=0.3, event_gap=0.2)
        usable = directory.list_usable(SERVICE)
        placed.append(
            limits.place(scheduler, work, usable, PROFILE, now, may_grant=True)
        )
    return placed


@pytest.mark.parametrize("tokens", [2_000, 60_000])
@pytest.mark.parametrize("limit", [None, 3.0])
def test_service_without_slow_start_is_served_as_before_beside_one_that_has_it(
    limit, tokens
):
    plain = build_service(OTHER, PROFILE)
    slow = build_service(OTHER, PROFILE, SlowStart(60.0, 5.0))
    assert place_all(slow, limit, tokens=tokens) == place_all(
        plain, limit, tokens=tokens
    )


@pytest.mark.parametrize("warm", [1, 2])
def test_cold_replicas_of_other_services_leave_the_choice_as_it_is(warm):
    directory = EndpointDirectory(60.0)
    limits = LimitExchange(SlowStarts(directory, Bounds()))
    slow_start = SlowStart(60.0, 5.0)
    services = [build_service(name, PROFILE, slow_start) for name in (SERVICE, OTHER)]
    limits.apply_routing(build_routing(services=services))
    for number in (1, 2):
        cold_s = 0.0 if number == warm else 50.0
        directory.register(build_endpoint(number, cold_s=cold_s), 0.0)
    for number in range(11, 20):
        directory.register(build_endpoint(number, service=OTHER, cold_s=50.0), 0.0)
    usable = directory.list_usable(SERVICE)
    placed = limits.place(
        EngineScheduler("leader"), build_quick(1), usable, PROFILE, 1.0, may_grant=True
    )
    assert placed.upstream == f"i-{warm}"


def test_slow_permits_of_one_service_leave_the_begin_of_another_as_it_is():
    directory = EndpointDirectory(60.0)
    limits = LimitExchange(SlowStarts(directory, Bounds()))
    services = [
        build_service(engine=PROFILE, slow_start=SlowStart(3.0, 17.0)),
        build_service(OTHER, PROFILE, SlowStart(3.0, 0.1)),
    ]
    limits.apply_routing(build_routing(services=services))
    limits.start_term(0.0)
    assert limits.ceilings.is_starting(SERVICE, 0.15)
    assert not limits.ceilings.is_starting(SERVICE, 0.5)
    assert limits.ceilings.is_starting(OTHER, 0.5)
    directory.register(build_endpoint(1), 0.0)
    directory.register(build_endpoint(2, service=OTHER), 0.0)
    exhausted = limits.ceilings.list_exhausted(["i-1", "i-2"], 0.5)
    assert exhausted == ["i-2"]


def test_leader_that_may_not_grant_leaves_replicas_with_ceilings_to_the_fronts():
    load = SlowStartLoad(1, 2, rate=0.0)
    leader = load.deployment.leader
    limits = leader.limits
    request = SendPermitRequest(1, load.names, 0.0)
    refused = limits.grant(request, load.now, may_grant=False)
    assert (refused.upstream, refused.is_undecided) == (None, True)
    assert 0.0 < refused.wait < 1.0
    limits.start_term(load.now)
    assert limits.grant(request, load.now, may_grant=True).is_undecided
    assert limits.grant(request, load.now + 2.0, may_grant=True).upstream is not None
    limits.receive(FRONT, [ObservedLimit(load.names[0], 3.0, 0)], load.now)
    assert not limits.grant(request, load.now, may_grant=False).is_undecided


def test_versions_without_undecided_replies_read_them_as_refused():
    class Before(msgspec.Struct, tag="SendAnswer"):
        question: int
        upstream: str | None
        wait: float

    newer = msgspec.msgpack.encode(SendPermitReply(7, None, 0.4, True))
    assert msgspec.msgpack.decode(newer, type=Before) == Before(7, None, 0.4)
    older = msgspec.msgpack.encode(Before(7, None, 0.4))
    read = msgspec.msgpack.decode(older, type=SendPermitReply)
    assert read == SendPermitReply(7, None, 0.4)


def test_nothing_is_kept_of_replicas_that_are_gone():
    load = SlowStartLoad(2, 2, rate=0.0)
    load.run(2.0)
    gone = load.names[0]
    leader, front = load.deployment.leader, load.deployment.fronts[0]
    for limits in (leader.limits, front.limits):
        limits.budget.ceilings.spend(gone, load.now)
    for directory in (leader.directory, front.directory):
        directory.remove(gone, load.now)
    later = load.now + 20.0
    leader.limits.retain([], later)
    front.limits.expire([], later)
    assert not leader.limits.ceilings.spacings
    assert not front.limits.budget.ceilings.due
