"""Requests at replicas that paused during them, and stopped later for another reason.

Guards against a pause that another attempt outlived accusing a prompt, should its
replica be restarted within the next seconds.
"""

import pytest

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.messages import EndpointChanges
from scalebend.core.part_ledger import NO_PARTS
from scalebend.models.endpoints import EndpointUpdate, build_upstream_id
from scalebend.models.ids import Fingerprint, UpstreamName
from tests.lib.gateway_builders import build_endpoint, build_settings

CAUSE = Fingerprint("cause")
NOW = 100.0


def build_incarnation(born):
    upstream = build_upstream_id(UpstreamName("i-1"), born)
    return build_endpoint(1, upstream=upstream, born=born)


@pytest.fixture
def front():
    front = FrontInstance(build_settings(), now=NOW)
    receive(front, build_incarnation(1_000), NOW)
    return front


def receive(front, endpoint, now):
    changes = EndpointChanges([EndpointUpdate(endpoint, is_gone=False)])
    front.handle("control", changes, now)


def record_unanswered(front, now):
    upstream = build_incarnation(1_000).upstream
    front.crash_reports.record_unanswered(CAUSE, NO_PARTS, upstream, now)
    return upstream


def test_replica_that_responded_after_a_pause_had_not_crashed(front):
    upstream = record_unanswered(front, NOW)
    front.record_outcome(upstream, NOW + 1.0, has_failed=False)
    receive(front, build_incarnation(2_000), NOW + 5.0)
    assert not front.crashes.is_suspect(CAUSE)


def test_replica_that_did_not_respond_again_may_have_crashed(front):
    upstream = record_unanswered(front, NOW)
    front.record_outcome("i-2", NOW + 1.0, has_failed=False)
    front.record_outcome(upstream, NOW + 1.0, has_failed=True)
    receive(front, build_incarnation(2_000), NOW + 5.0)
    assert front.crashes.is_suspect(CAUSE)


def test_response_from_before_the_pause_shows_nothing(front):
    upstream = build_incarnation(1_000).upstream
    front.record_outcome(upstream, NOW - 0.1, has_failed=False)
    record_unanswered(front, NOW)
    receive(front, build_incarnation(2_000), NOW + 5.0)
    assert front.crashes.is_suspect(CAUSE)
