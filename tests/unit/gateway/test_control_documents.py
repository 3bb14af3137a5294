"""Documents of the replicated log, as an earlier version stored them."""

import msgspec

from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.gateway.control_documents import ControlDocuments
from scalebend.core.gateway.routing_store import pack_routing
from scalebend.models.ids import InstanceId, Term
from scalebend.models.slow_start import SlowStart
from scalebend.platform.routing import decode_routing, encode_routing
from tests.lib.gateway_builders import PROFILE, build_routing, build_service

SLOW_START = SlowStart(3.0, 17.0)


def build_documents(decode=None):
    recovered = Recovered(DiskId("d"), HardState(Term(0), None), None, [])
    member = ControlMember(InstanceId("10.1.0.1:7000"), [], recovered, now=0.0)
    return ControlDocuments(member.replica, decode)


def store_as_before(version=7):
    """Store a document as a version did that decoded no slow start."""
    service = build_service(engine=PROFILE, slow_start=SLOW_START)
    document = encode_routing(build_routing(version, services=[service]))
    old = msgspec.structs.replace(service, slow_start=None)
    return pack_routing(build_routing(version, services=[old]), document)


def test_stored_document_of_an_earlier_version_is_decoded_anew():
    documents = build_documents(decode_routing)
    assert documents.load(store_as_before())
    assert documents.routing.version == 7
    assert documents.routing.services[0].slow_start == SLOW_START
    assert not documents.load(store_as_before())


def test_stored_document_that_cannot_be_decoded_is_used_as_stored():
    documents = build_documents(decode_routing)
    routing = build_routing(8)
    assert documents.load(pack_routing(routing, b"[]"))
    assert documents.routing == routing
