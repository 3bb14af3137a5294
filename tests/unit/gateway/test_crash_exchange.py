"""Crash records of one front reach all other fronts immediately."""

from scalebend.core.crash_ledger import CRASHES_UNTIL_QUARANTINE
from scalebend.core.gateway.crash_exchange import SEND_INTERVAL_S, CrashExchange
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.core.part_ledger import NO_PARTS
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, InstanceId, UpstreamId
from tests.lib.gateway_group import build_deployment

CAUSE = Fingerprint("cause")


def record_crash(deployment, number, upstream, fingerprint=CAUSE):
    front = deployment.fronts[number]
    report = front.crash_reports.record_crash(
        fingerprint, NO_PARTS, UpstreamId(upstream), deployment.now
    )
    deployment._send(deployment.names[number], front.report(report))


def list_quarantined(deployment):
    return [
        front.crashes.compute_quarantine(CAUSE, deployment.now) > 0.0
        for front in deployment.fronts
    ]


def test_crashes_seen_by_different_fronts_are_counted_together():
    deployment = build_deployment(fronts=4, replicas=6)
    for number in range(CRASHES_UNTIL_QUARANTINE):
        assert list_quarantined(deployment) == [False] * 4
        record_crash(deployment, number, f"i-{number}")
        deployment.run(0.05)
    assert list_quarantined(deployment) == [True] * 4


def test_first_crash_is_sent_on_without_delay():
    deployment = build_deployment(fronts=2, replicas=6)
    record_crash(deployment, 0, "i-1")
    assert deployment.fronts[1].crashes.is_suspect(CAUSE)


def test_starting_front_receives_quarantined_requests():
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(CRASHES_UNTIL_QUARANTINE):
        record_crash(deployment, 0, f"i-{number}")
    deployment.run(0.05)
    deployment.add_front(7)
    deployment.run(0.05)
    assert list_quarantined(deployment) == [True] * 3


def test_new_leader_receives_crash_records_from_the_fronts():
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(CRASHES_UNTIL_QUARANTINE - 1):
        record_crash(deployment, number, f"i-{number}")
    deployment.run(0.05)
    deployment.leader.crashes = CrashExchange()
    for number in range(len(deployment.fronts)):
        deployment.cut_front(number, is_noticed=True)
        deployment.link_front(number)
    deployment.run(0.6)
    record_crash(deployment, 1, "i-9")
    deployment.run(0.05)
    assert list_quarantined(deployment) == [True] * 2


def test_response_at_one_front_clears_the_request_at_all_fronts():
    deployment = build_deployment(fronts=2, replicas=6)
    record_crash(deployment, 0, "i-1")
    deployment.run(0.05)
    front = deployment.fronts[1]
    report = front.crash_reports.record_completed(CAUSE, deployment.now)
    deployment._send(deployment.names[1], front.report(report))
    deployment.run(0.05)
    assert not any(front.crashes.is_suspect(CAUSE) for front in deployment.fronts)


def test_suspect_requests_of_one_crash_are_sent_in_few_messages():
    exchange = CrashExchange()
    fronts = [InstanceId(f"front-{number}") for number in range(300)]
    sent = []
    for number in range(8):
        record = CrashRecord(Fingerprint(f"victim-{number}"), (UpstreamId("i-1"),))
        now = number * SEND_INTERVAL_S / 10
        exchange.receive(CrashUpdates([record], []), now)
        sent += exchange.send_due(fronts, [], now, is_leader=True)
    sent += exchange.send_due(fronts, [], SEND_INTERVAL_S, is_leader=True)
    assert len(sent) == 600
    sent_records = [record for action in sent for record in action.message.records]
    assert len({record.fingerprint for record in sent_records}) == 8
