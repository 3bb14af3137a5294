"""The platform adapter decodes the platform's formats into the project's types."""

import json

import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from scalebend.exceptions import DocumentError, ErrorKind
from scalebend.models.endpoints import Endpoint
from scalebend.models.gateway_settings import GatewayRole
from scalebend.models.ids import (
    AvailabilityZone,
    RoutingVersion,
    ServiceName,
    UpstreamId,
)
from scalebend.models.placement import ReplicaReport
from scalebend.models.rate_limits import UNLIMITED
from scalebend.models.routing import RouteKind
from scalebend.platform.headers import (
    build_upstream_headers,
    copy_response_headers,
    read_caller_headers,
    read_response_headers,
)
from scalebend.platform.orders import (
    MemoryOrder,
    decode_order,
    encode_release,
    encode_reservation,
    format_helper,
)
from scalebend.platform.registrations import decode_registration, encode_registration
from scalebend.platform.reports import decode_report, encode_report
from scalebend.platform.routing import decode_routing, encode_routing
from scalebend.platform.settings import encode_gateway_settings, read_gateway_settings
from scalebend.soak.documents import build_routing
from tests.lib.gateway_builders import build_call, build_settings
from tests.lib.platform_replicas import build_document

SETTINGS = {
    "NodeName": "core-1",
    "Serves": ["control"],
    "Ip": "10.1.0.43",
    "Zone": "z",
    "Listen": {"Control": "10.1.0.43:8229"},
    "PortRange": [7340, 7355],
    "Seeds": ["10.1.0.43:8229", "10.2.0.32:8229"],
    "Bootstrap": True,
    "Tolerate": {"Machines": 2, "Zones": 0},
    "Bounds": {"RevokeMs": 4000, "GraceS": 6, "RetrySlack": 99, "Unknown": True},
    "DataDir": "/data/x",
    "HeartbeatMs": 1200,
    "SomethingNew": {"a": 1},
}


def test_settings_are_decoded_and_unknown_fields_ignored(tmp_path):
    path = tmp_path / "node.json"
    path.write_text(json.dumps(SETTINGS))
    settings = read_gateway_settings(path)
    assert settings.role is GatewayRole.CONTROL
    assert settings.link_address == "10.1.0.43:7340"
    assert settings.seeds == ["10.1.0.43:7340", "10.2.0.32:7340"]
    assert settings.bounds.key_revocation == 4.0
    assert settings.bounds.drain_grace == 6.0
    assert settings.bounds.retry_slack == 99
    assert settings.tolerated_losses == 2


@pytest.mark.parametrize("text", ["", "{", "{}", '{"NodeName": 1}'])
def test_invalid_settings_are_rejected(tmp_path, text):
    path = tmp_path / "node.json"
    path.write_text(text)
    with pytest.raises(DocumentError) as caught:
        read_gateway_settings(path)
    assert caught.value.kind is ErrorKind.INVALID_SETTINGS


def test_routing_document_is_decoded():
    routing = decode_routing(build_document(4, ["a"]))
    assert routing.version == 4
    assert [route.kind for route in routing.routes] == list(RouteKind)
    assert routing.routes[2].event_gap == 0.2
    assert routing.routes[2].is_idempotent
    assert not routing.routes[1].is_idempotent
    assert routing.customers[0].keys == ("key-1",)
    assert routing.limits.body_bytes == 65_536
    assert routing.needs_key


def test_truncated_document_is_rejected():
    document = build_document(4, ["a"])
    for end in (0, 1, 100, len(document) - 1):
        with pytest.raises(DocumentError):
            decode_routing(document[:end])


def test_document_without_customers_needs_no_key():
    document = json.loads(build_document(1, ["a"]))
    del document["Tenants"]
    assert not decode_routing(json.dumps(document).encode()).needs_key


def test_registration_is_decoded():
    body = {"Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "State": "draining"}
    body |= {"Version": "v1", "Slots": 8, "ColdRemainingMs": 0}
    endpoint = decode_registration("i-1", json.dumps({**body, "Seq": 4}).encode())
    assert endpoint.is_draining
    assert endpoint.sequence == 4
    with pytest.raises(DocumentError):
        decode_registration("i-1", b"[]")


def test_caller_headers():
    read = read_caller_headers(
        CIMultiDict(
            {
                "x-request-id": "id",
                "X-Deadline-Ms": "2500",
                "Authorization": "bearer  k",
                "X-Token-Counts": "1460,80",
                "X-Length-Hint": "900",
                "Last-Event-Id": "12",
            }
        )
    )
    assert read.wait == 2.5
    assert read.key == "k"
    assert read.last_event == 12
    assert (read.prompt.prompt, read.prompt.max_output_tokens) == (1460, 80)
    assert read.prompt.expected_output_tokens == 80


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("a:1, b:2 ,a:1,c:1", ("a", "b")),
        ("e4402b7d:250", ()),
        (",:,;:x,,", (";",)),
        ("", ()),
        (",".join(f"{n:x}:1" for n in range(999)), tuple(f"{n:x}" for n in range(64))),
    ],
)
def test_parts_of_a_prompt_are_read_without_the_last(text, parts):
    read = read_caller_headers(CIMultiDict({"X-Model": "m", "X-Prompt-Prefix": text}))
    assert (read.model, read.shared_parts) == ("m", parts)


def test_malformed_numbers_count_as_absent():
    read = read_caller_headers(
        CIMultiDict({"X-Deadline-Ms": "soon", "X-Token-Counts": "1,", "Host": "h"})
    )
    assert read.wait is None
    assert read.prompt is None
    assert read.key is None


def test_headers_that_the_gateway_sets_are_never_the_caller_s():
    received = CIMultiDictProxy(
        CIMultiDict(
            [
                ("Host", "a.example"),
                ("X-Tenant", "somebody-else"),
                ("X-Expect-Instance", "i-9"),
                ("X-Helpers", "10.0.0.1:1"),
                ("Authorization", "Bearer k"),
                ("Connection", "keep-alive, X-Hop"),
                ("X-Hop", "1"),
                ("Transfer-Encoding", "chunked"),
                ("Accept", "a"),
                ("Accept", "b"),
            ]
        )
    )
    sent = build_upstream_headers(
        received,
        build_call(),
        "i-1",
        remaining=1.5,
        last_event=None,
        helpers=[],
        urgency=None,
    )
    assert sorted(name for name, _ in sent.items()) == [
        "Accept",
        "Accept",
        "Host",
        "X-Deadline-Ms",
        "X-Expect-Instance",
    ]
    assert sent["X-Deadline-Ms"] == "1500"
    assert sent["X-Expect-Instance"] == "i-1"


def test_response_headers():
    read = read_response_headers(
        503, {"X-Not-Executed": "1", "At-Server": "10.0.0.1:1"}
    )
    assert read.has_not_run
    assert read.faulty_address == "10.0.0.1:1"
    assert read_response_headers(421, {}).has_not_run
    assert not read_response_headers(500, {"X-Server-Load": "1,2"}).has_not_run
    load = read_response_headers(200, {"X-Server-Load": "3,0,8"}).load
    assert (load.running, load.waiting, load.slots) == (3, 0, 8)
    assert read_response_headers(200, {"Server-Limit": "1.25"}).rate_limit == 1.25
    assert read_response_headers(503, {"Server-Limit": "0"}).rate_limit == 0.0
    assert read_response_headers(200, {}).rate_limit == UNLIMITED
    # 421: the response is from another upstream at this address.
    assert read_response_headers(421, {"Server-Limit": "3"}).rate_limit is None
    assert not read_response_headers(421, {"Server-Leaving": "1"}).is_draining
    assert read_response_headers(200, {"Server-Leaving": "1"}).is_draining
    assert not read_response_headers(200, {"Server-Leaving": "0"}).is_draining
    assert read_response_headers(503, {"Retry-After": "2.5"}).backoff == 2.5
    assert read_response_headers(200, {"Retry-After": "2.5"}).backoff is None
    kept = copy_response_headers(
        CIMultiDictProxy(CIMultiDict({"Connection": "close", "X-Server-Seal": "s"}))
    )
    assert dict(kept) == {"X-Server-Seal": "s"}


def test_orders_and_reports():
    order = json.loads(encode_reservation("t81", 60_000, 3.0))
    assert order == {
        "Op": "reserve",
        "Id": "t81",
        "Tokens": 60_000,
        "HoldMs": 3000,
        "Wait": False,
    }
    assert format_helper("10.0.0.1:1", "t") == "10.0.0.1:1/t"
    assert decode_report(b'{"pace": 3.9, "Waiting": 2, "Running": 8}').pace == 3.9
    assert decode_report(b"[]") is None


def test_encoded_messages_decode_to_the_same_values(tmp_path):
    settings = build_settings(tunnel_address="127.0.0.1:7341")
    path = tmp_path / "node.json"
    path.write_bytes(encode_gateway_settings(settings))
    assert read_gateway_settings(path) == settings
    routing = build_routing(RoutingVersion(3), (RoutingVersion(2),))
    assert decode_routing(encode_routing(routing)) == routing
    endpoint = Endpoint(
        UpstreamId("i-1"),
        ServiceName("svc"),
        "127.0.0.1:9",
        AvailabilityZone("z"),
        8,
        True,
        4,
    )
    assert decode_registration("i-1", encode_registration(endpoint)) == endpoint
    report = ReplicaReport(2.0, 3, 4)
    assert decode_report(encode_report(report)) == report
    assert decode_order(encode_reservation("t", 5, 3.4)) == MemoryOrder("t", 5, 3.4)
    assert decode_order(encode_release("t")) == MemoryOrder("t", 0, 0.0)
