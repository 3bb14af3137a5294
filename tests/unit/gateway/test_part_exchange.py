"""Crashes under a part of prompts are counted over all fronts, and told to all."""

import msgspec
import pytest

from scalebend.core.fingerprints import compute_fingerprint
from scalebend.core.gateway.crash_exchange import CrashExchange
from scalebend.core.gateway.front_crashes import CONFIRMATION_HEARTBEATS
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.models.crashes import RequestIdentity
from scalebend.models.endpoints import build_upstream_id
from scalebend.models.ids import UpstreamId
from scalebend.storage.crash_file import read_part_crashes, write_part_crashes
from tests.lib.gateway_builders import build_settings
from tests.lib.gateway_group import LEADER, build_deployment

CRASHES = 5
HEARTBEAT_INTERVAL_S = build_settings().heartbeat_interval
POOL = "service"
COMMON, CAUSE, OTHER = "m/common", "m/cause", "m/other"


def identify(number, *parts):
    body = b"%d" % number
    return RequestIdentity(compute_fingerprint(None, "POST", "h", "/", body), parts)


def crash(deployment, number, parts=(COMMON, CAUSE), upstream=None):
    """Crash an upstream under a request of its own at one of the fronts."""
    front = number % len(deployment.fronts)
    instance = deployment.fronts[front]
    upstream = upstream or UpstreamId(f"i-{number}")
    sent = instance.parts.record_sent(parts, POOL, upstream)
    fingerprint = identify(number, *parts).fingerprint
    report = instance.crash_reports.record_crash(
        fingerprint, sent, upstream, deployment.now
    )
    deployment._send(deployment.names[front], instance.report(report))
    deployment.run(0.05)


def respond(deployment, front, parts):
    instance = deployment.fronts[front]
    sent = instance.parts.record_sent(parts, POOL, UpstreamId("healthy"))
    report = instance.crash_reports.record_under_way(sent, deployment.now)
    deployment._send(deployment.names[front], instance.report(report))
    deployment.run(0.05)


def list_refusing(deployment, *parts):
    identity = identify(999, *parts)
    return [
        front.crash_reports.compute_quarantine(identity, deployment.now) > 0.0
        for front in deployment.fronts
    ]


def test_crashes_at_different_fronts_quarantine_the_part_at_all():
    deployment = build_deployment(fronts=4, replicas=6)
    respond(deployment, 0, (COMMON,))
    for number in range(CRASHES):
        assert list_refusing(deployment, CAUSE) == [False] * 4
        crash(deployment, number)
        # Only the front that has seen responses knows that the part is sound.
        respond(deployment, 0, (COMMON,))
    assert list_refusing(deployment, COMMON, CAUSE) == [True] * 4
    assert list_refusing(deployment, COMMON, OTHER) == [False] * 4


def test_starting_front_receives_the_quarantined_parts():
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(CRASHES):
        crash(deployment, number, (CAUSE,))
    deployment.add_front(7)
    deployment.run(0.05)
    assert list_refusing(deployment, CAUSE) == [True] * 3


def test_new_leader_receives_the_parts_from_the_fronts():
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(CRASHES - 1):
        crash(deployment, number, (CAUSE,))
    deployment.leader.crashes = CrashExchange()
    for number in range(len(deployment.fronts)):
        deployment.cut_front(number, is_noticed=True)
        deployment.link_front(number)
    deployment.run(0.6)
    assert deployment.leader.crashes.parts.list_records()
    crash(deployment, 90, (CAUSE,))
    assert list_refusing(deployment, CAUSE) == [True] * 2


def test_response_at_one_front_ends_the_quarantine_at_all():
    deployment = build_deployment(fronts=3, replicas=6)
    for number in range(CRASHES):
        crash(deployment, number, (CAUSE,))
    respond(deployment, 2, (CAUSE,))
    assert list_refusing(deployment, CAUSE) == [False] * 3


def test_front_without_a_leader_counts_its_own_crashes():
    deployment = build_deployment(fronts=1, replicas=6)
    deployment.fronts[0].remove_link(LEADER)
    for number in range(CRASHES):
        crash(deployment, number, (CAUSE,))
    assert list_refusing(deployment, CAUSE) == [True]


def respond_as(deployment, upstream):
    """Let an upstream respond to a request of another part at the first front."""
    instance = deployment.fronts[0]
    sent = instance.parts.record_sent((OTHER,), POOL, upstream)
    instance.crash_reports.record_response(sent, deployment.now)


def crash_replicas(deployment):
    """Break a connection to each replica under the cause; return their ids."""
    for number in range(CRASHES):
        crash(deployment, number, (CAUSE,), deployment.endpoints[number].upstream)
    assert list_refusing(deployment, CAUSE) == [True] * len(deployment.fronts)
    return [one.upstream for one in deployment.endpoints[:CRASHES]]


def test_upstream_that_responds_and_stays_did_not_crash():
    deployment = build_deployment(fronts=2, replicas=6)
    upstreams = crash_replicas(deployment)
    respond_as(deployment, upstreams[0])
    deployment.run(CONFIRMATION_HEARTBEATS * HEARTBEAT_INTERVAL_S + 1.0)
    assert list_refusing(deployment, CAUSE) == [False] * 2


def test_upstream_that_responds_under_the_name_of_a_crashed_one_did_crash():
    deployment = build_deployment(fronts=2, replicas=6)
    crash_replicas(deployment)
    before = deployment.endpoints[0]
    respond_as(deployment, before.upstream)
    restarted = msgspec.structs.replace(
        before, upstream=build_upstream_id(before.name, 99), born=99, sequence=0
    )
    deployment.run(HEARTBEAT_INTERVAL_S)
    deployment.register(restarted)
    deployment.run(2 * CONFIRMATION_HEARTBEATS * HEARTBEAT_INTERVAL_S)
    assert list_refusing(deployment, CAUSE) == [True] * 2


def test_quarantined_parts_survive_on_disk(tmp_path):
    exchange, restarted = CrashExchange(), CrashExchange()
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(CRASHES):
        crash(deployment, number, (CAUSE,))
    records = deployment.leader.crashes.parts.list_records()
    write_part_crashes(tmp_path, records)
    restarted.restore_parts(read_part_crashes(tmp_path), 0.0)
    assert restarted.parts.causes == {CAUSE}
    exchange.receive_from_peer(CrashUpdates([], [], records), 0.0)
    assert exchange.parts.causes == {CAUSE}


@pytest.mark.parametrize("count", [1, 2])
def test_requests_with_the_likely_cause_are_suspect_before_the_verdict(count):
    deployment = build_deployment(fronts=2, replicas=6)
    respond(deployment, 0, (COMMON,))
    for number in range(count):
        crash(deployment, 2 * number)
    for front in deployment.fronts:
        assert front.crash_reports.is_suspect(identify(900, COMMON, CAUSE)) == (
            count == 2
        )
        assert not front.crash_reports.is_suspect(identify(901, COMMON, OTHER))
