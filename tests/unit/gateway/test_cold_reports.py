"""Cold times in registrations: what is a change, and what is passed on."""

import msgspec
import pytest

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.core.gateway.messages import EndpointChanges, LinkMessage
from scalebend.core.gateway.slow_start import SlowStarts
from scalebend.models.endpoints import Endpoint, EndpointUpdate
from scalebend.models.gateway_settings import Bounds
from scalebend.models.routing import RoutedService
from scalebend.models.slow_start import SlowStart
from scalebend.platform.registrations import decode_registration, encode_registration
from scalebend.platform.routing import decode_routing, encode_routing
from scalebend.platform.settings import encode_gateway_settings, read_gateway_settings
from tests.lib.gateway_builders import (
    build_endpoint,
    build_routing,
    build_service,
    build_settings,
)


def register(directory, sequence, cold_s, now):
    endpoint = build_endpoint(sequence=sequence, cold_s=cold_s)
    return directory.register(endpoint, now)


def test_falling_cold_time_is_no_change():
    directory = EndpointDirectory(10.0)
    assert register(directory, 1, 3.0, 0.0) is not None
    usable = directory.list_usable(build_endpoint().service)
    assert register(directory, 2, 1.8, 1.2) is None
    assert register(directory, 3, 0.55, 2.4) is None
    assert register(directory, 4, 0.0, 3.6) is None
    assert directory.list_usable(build_endpoint().service) is usable


def test_replica_that_turns_cold_again_is_a_change():
    directory = EndpointDirectory(10.0)
    register(directory, 1, 0.0, 0.0)
    change = register(directory, 2, 2.5, 1.2)
    assert change.endpoint.cold_s == 2.5
    assert directory.cold.compute_remaining("i-1", 2.2) == pytest.approx(1.5)
    assert register(directory, 3, 0.0, 2.4) is not None
    assert directory.cold.compute_remaining("i-1", 2.4) == 0.0


def test_late_registration_does_not_change_the_cold_time():
    directory = EndpointDirectory(10.0)
    register(directory, 5, 0.0, 0.0)
    assert register(directory, 4, 3.0, 0.1) is None
    assert directory.cold.compute_remaining("i-1", 0.1) == 0.0


def test_cold_time_of_a_forgotten_replica_is_forgotten():
    directory = EndpointDirectory(1.0)
    register(directory, 1, 1e9, 0.0)
    directory.expire(2.0)
    directory.expire(200.0)
    assert directory.cold.list_reported() == []


def test_fronts_learn_the_cold_time_with_the_change():
    control, front = EndpointDirectory(10.0), EndpointDirectory(10.0)
    front.merge(register(control, 1, 0.0, 0.0), 0.0)
    front.merge(register(control, 2, 3.0, 1.2), 1.2)
    assert front.cold.compute_remaining("i-1", 2.2) == pytest.approx(2.0)


class _EarlierEndpoint(msgspec.Struct, frozen=True, array_like=True):
    """The fields of the version before."""

    upstream: str
    service: str
    address: str
    availability_zone: str
    slots: int
    is_draining: bool
    sequence: int
    born: int | None = None


def test_processes_of_the_version_before_read_and_send_endpoints():
    endpoint = build_endpoint(cold_s=2.0)
    data = msgspec.msgpack.encode(endpoint)
    earlier = msgspec.msgpack.decode(data, type=_EarlierEndpoint)
    assert earlier.upstream == endpoint.upstream
    read = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=Endpoint)
    assert read == build_endpoint(cold_s=0.0)


def test_cold_time_passes_between_processes():
    changes = EndpointChanges([EndpointUpdate(build_endpoint(cold_s=2.0), False)])
    data = msgspec.msgpack.encode(changes)
    assert msgspec.msgpack.decode(data, type=LinkMessage) == changes


def test_services_of_the_version_before_have_no_slow_start():
    data = msgspec.msgpack.encode(["assistant", 100, "/health", None])
    assert msgspec.msgpack.decode(data, type=RoutedService).slow_start is None


def test_registration_names_the_cold_time():
    endpoint = build_endpoint(cold_s=2.5)
    data = encode_registration(endpoint)
    assert decode_registration("i-1", data).cold_s == 2.5


def test_routing_document_names_the_slow_start():
    service = build_service(slow_start=SlowStart(3.0, 17.0))
    routing = build_routing(services=[service])
    assert decode_routing(encode_routing(routing)).services == (service,)
    data = encode_routing(routing).replace(b'"ColdPerS":17.0', b'"ColdPerS":0.0')
    (read,) = decode_routing(data).services
    assert read.slow_start is None


def test_settings_name_the_bounds(tmp_path):
    settings = build_settings()
    changed = msgspec.structs.replace(
        settings.bounds, slow_start_excess=2.0, slow_start_slack=7.0
    )
    settings = msgspec.structs.replace(settings, bounds=changed)
    path = tmp_path / "settings.json"
    path.write_bytes(encode_gateway_settings(settings))
    assert b'"ColdExcess":2.0' in path.read_bytes()
    assert read_gateway_settings(path).bounds == changed


def apply_services(directory, *services):
    starts = SlowStarts(directory, Bounds())
    starts.apply(build_routing(services=services))
    return starts


def test_constant_cold_time_is_a_change_only_when_it_would_end_soon():
    directory = EndpointDirectory(10.0)
    starts = apply_services(directory, build_service(slow_start=SlowStart(3.0, 5.0)))
    changes = 0
    for number in range(20):
        now = 1.2 * number
        changes += register(directory, number + 1, 1e9, now) is not None
        assert starts.is_cold("i-1", now + 1.2)
    assert changes <= 10
    assert register(directory, 30, 0.0, 24.0) is not None
    assert not starts.is_cold("i-1", 24.0)


def test_cold_time_of_a_service_without_slow_start_is_no_change():
    directory = EndpointDirectory(10.0)
    apply_services(directory, build_service())
    register(directory, 1, 0.0, 0.0)
    assert register(directory, 2, 5.0, 1.2) is None
    assert register(directory, 3, 5.0, 2.4) is None
    # It counts as soon as a document names a slow start.
    starts = apply_services(directory, build_service(slow_start=SlowStart(3.0, 5.0)))
    assert starts.is_cold("i-1", 2.5)


def test_negative_cold_time_is_none():
    directory = EndpointDirectory(10.0)
    register(directory, 1, -1.0, 0.0)
    assert directory.cold.list_reported() == []
    register(directory, 2, 3.0, 1.2)
    assert register(directory, 3, -1.0, 2.4) is not None
    assert directory.cold.list_reported() == []
