"""Invalid registrations and reports of other programs change nothing."""

import json

import pytest
from hypothesis import given, strategies as st

from scalebend.exceptions import DocumentError, ErrorKind, RequestError
from scalebend.models.endpoints import MAX_NAME_CHARS, MAX_SLOTS, Deregistration
from scalebend.platform.headers import read_response_headers
from scalebend.platform.registrations import decode_deregistration, decode_registration
from scalebend.platform.reports import decode_report
from tests.lib.gateway_builders import SERVICE, build_routing
from tests.unit.gateway.test_control_instance import SingleMemberGroup

VALID = {
    "Service": SERVICE,
    "Address": "10.1.64.1:8000",
    "Zone": "pelotas",
    "Version": "v1",
    "Slots": 8,
    "State": "ready",
    "ColdRemainingMs": 0,
    "Stage": "unified",
    "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
    "Seq": 4,
    "born": 1_764_722_395_123,
}
REQUIRED = [name for name in VALID if name not in ("Stage", "Models", "born")]

BAD_VALUES = [
    ("Service", ""),
    ("Service", 7),
    ("Service", "s" * (MAX_NAME_CHARS + 1)),
    ("Address", ""),
    ("Address", "nonsense"),
    ("Address", "10.1.64.1"),
    ("Address", "10.1.64.1:"),
    ("Address", "10.1.64.1:0"),
    ("Address", "10.1.64.1:99999"),
    ("Address", "10.1.64.1:٣"),
    ("Address", "10.1.64.1/x:80"),
    ("Address", ["10.1.64.1:8000"]),
    ("Zone", ""),
    ("Zone", None),
    ("Version", 3),
    ("Slots", 0),
    ("Slots", -4),
    ("Slots", MAX_SLOTS + 1),
    ("Slots", 1_000_000_000),
    ("Slots", 10**30),
    ("Slots", "8"),
    ("Slots", True),
    ("Slots", 1.5),
    ("State", "resting"),
    ("State", "Ready"),
    ("State", ""),
    ("State", None),
    ("ColdRemainingMs", "0"),
    ("ColdRemainingMs", -1),
    ("Seq", -1),
    ("Seq", "4"),
    ("Seq", 2.5),
    ("born", "1764722395123"),
    ("born", 1764722395123.5),
    ("born", -1),
    ("born", None),
    ("born", False),
]

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=4,
)


def encode(**changes):
    return json.dumps({**VALID, **changes}).encode()


def test_valid_registration_is_decoded():
    endpoint = decode_registration("i-1", encode())
    assert (endpoint.name, endpoint.born) == ("i-1", VALID["born"])
    assert (endpoint.slots, endpoint.sequence, endpoint.is_draining) == (8, 4, False)
    assert decode_registration("i-1", encode(SomethingNew=[1])) == endpoint


@pytest.mark.parametrize("name", REQUIRED)
def test_registration_without_a_field_is_rejected(name):
    body = {key: value for key, value in VALID.items() if key != name}
    with pytest.raises(DocumentError):
        decode_registration("i-1", json.dumps(body).encode())


@pytest.mark.parametrize(("name", "value"), BAD_VALUES)
def test_registration_with_an_invalid_field_is_rejected(name, value):
    with pytest.raises(DocumentError) as caught:
        decode_registration("i-1", encode(**{name: value}))
    assert caught.value.response.status == 400


@pytest.mark.parametrize("name", ["", "a/b", "i-1~19af", "a b", "a\n", "x" * 300])
def test_invalid_upstream_name_is_rejected(name):
    with pytest.raises(DocumentError):
        decode_registration(name, encode())
    with pytest.raises(DocumentError):
        decode_deregistration(name, b"")


def test_deregistration_names_an_incarnation_or_none():
    assert decode_deregistration("i-1", b"") == Deregistration("i-1", None)
    assert decode_deregistration("i-1", b"{}") == Deregistration("i-1", None)
    assert decode_deregistration("i-1", b'{"born": 7}') == Deregistration("i-1", 7)
    for body in (b"\xff", b"[", b"[]", b'{"born": "7"}', b'{"born": 7.5}'):
        with pytest.raises(DocumentError):
            decode_deregistration("i-1", body)


@pytest.mark.parametrize(
    "data",
    [
        b"\xff\xfe",
        b"",
        b"[]",
        b'{"pace": 1.0, "Waiting": 1}',
        b'{"pace": -2.0, "Waiting": 1, "Running": 1}',
        b'{"pace": "2", "Waiting": 1, "Running": 1}',
        b'{"pace": 2.0, "Waiting": -1, "Running": 1}',
        b'{"pace": 2.0, "Waiting": 1, "Running": 1.5}',
        b'{"pace": 2.0, "Waiting": 1, "Running": 1, "born": "x"}',
    ],
)
def test_invalid_report_is_ignored(data):
    assert decode_report(data) is None


@pytest.mark.parametrize(
    "text", ["", "1,2", "1,2,3,4", "a,b,c", "-1,0,8", "1,2,0", "1, 2,8", "9999999,0,8"]
)
def test_invalid_load_is_ignored(text):
    assert read_response_headers(200, {"X-Server-Load": text}).load is None


@pytest.mark.parametrize(
    "text", ["", "-1", "1e3", "nan", "inf", "1,5", " 2", "2 ", "+2", "x", "9" * 10]
)
def test_invalid_rate_limit_is_ignored(text):
    assert read_response_headers(200, {"Server-Limit": text}).rate_limit is None


@pytest.mark.parametrize(
    "text", ["", "-1", "1e3", "nan", "9" * 10, "Wed, 21 Oct 2026 07:28:00 GMT"]
)
def test_invalid_backoff_is_unreadable(text):
    read = read_response_headers(503, {"Retry-After": text})
    assert read.backoff is None
    assert read.has_unreadable_backoff


def build_leader():
    """Return a group with a leader, a service and one healthy upstream."""
    group = SingleMemberGroup()
    group.run(3.0)
    group.put(build_routing(1))
    endpoint = decode_registration("i-1", encode())
    group.instance.register(endpoint, group.now)
    return group


def send(group, name, data):
    """Decode and register as the HTTP handler does; return no actions if rejected."""
    try:
        endpoint = decode_registration(name, data)
        return group.instance.register(endpoint, group.now)
    except (DocumentError, RequestError):
        return []


def list_usable_upstreams(group):
    return group.instance.directory.list_usable(SERVICE)


def test_registration_for_an_unknown_service_is_rejected():
    group = build_leader()
    before = list_usable_upstreams(group)
    for name, address in (("i-1", "10.1.64.1:8000"), ("i-9", "10.1.64.1:8000")):
        endpoint = decode_registration(name, encode(Service="none", Address=address))
        with pytest.raises(RequestError) as caught:
            group.instance.register(endpoint, group.now)
        assert caught.value.kind is ErrorKind.UNKNOWN_SERVICE
    assert list_usable_upstreams(group) == before


def test_upstream_of_a_removed_service_can_still_drain():
    group = build_leader()
    group.put(build_routing(2, routes=[], services=[]))
    draining = decode_registration("i-1", encode(State="draining", Seq=5))
    group.instance.register(draining, group.now)
    assert not list_usable_upstreams(group)


@given(st.sampled_from(sorted(VALID)), JSON_VALUES)
def test_invalid_field_values_change_nothing(name, value):
    group = build_leader()
    before = list_usable_upstreams(group)
    send(group, "i-1", encode(**{name: value}))
    after = list_usable_upstreams(group)
    if not is_valid_change(name, value):
        assert after == before
    assert all(isinstance(e.slots, int) and 0 < e.slots <= MAX_SLOTS for e in after)


def is_valid_change(name, value):
    """Return whether the registration is valid with this value."""
    try:
        decode_registration("i-1", encode(**{name: value}))
    except DocumentError:
        return False
    return True


@given(st.binary(), st.integers(0, len(encode())), st.integers(0, 255))
def test_malformed_messages_change_nothing(data, position, byte):
    group = build_leader()
    before = list_usable_upstreams(group)
    assert send(group, "i-1", data) == []
    if position < len(encode()):
        assert send(group, "i-1", encode()[:position]) == []
    damaged = bytearray(encode())
    damaged[min(position, len(damaged) - 1)] = byte
    try:
        decode_registration("i-2", bytes(damaged))
    except DocumentError:
        assert send(group, "i-2", bytes(damaged)) == []
        assert list_usable_upstreams(group) == before
