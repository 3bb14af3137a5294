"""What one front saw of a request that ends replicas, all others know at once."""

from scalebend.core.crash_ledger import MOST_ENDED
from scalebend.core.gateway.crash_exchange import SPREAD_PERIOD, CrashExchange
from scalebend.core.gateway.messages import CrashUpdates
from scalebend.models.crashes import CrashRecord
from scalebend.models.ids import Fingerprint, InstanceId, UpstreamId
from tests.lib.gateway_group import LEADER, build_deployment

CAUSE = Fingerprint("cause")


def lose(deployment, number, upstream, fingerprint=CAUSE):
    front = deployment.fronts[number]
    actions = front.record_crash(fingerprint, UpstreamId(upstream), deployment.now)
    deployment._send(deployment.names[number], actions)


def list_holds(deployment):
    return [
        front.crashes.compute_hold(CAUSE, deployment.now) > 0.0
        for front in deployment.fronts
    ]


def test_replicas_that_ended_at_different_fronts_are_counted_together():
    deployment = build_deployment(fronts=4, replicas=6)
    for number in range(MOST_ENDED):
        assert list_holds(deployment) == [False] * 4
        lose(deployment, number, f"i-{number}")
        deployment.run(0.05)
    assert list_holds(deployment) == [True] * 4


def test_first_word_is_passed_on_without_waiting():
    deployment = build_deployment(fronts=2, replicas=6)
    lose(deployment, 0, "i-1")
    assert deployment.fronts[1].crashes.is_suspect(CAUSE)


def test_front_that_starts_is_told_what_is_held():
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(MOST_ENDED):
        lose(deployment, 0, f"i-{number}")
    deployment.run(0.05)
    deployment.add_front(7)
    deployment.run(0.05)
    assert list_holds(deployment) == [True] * 3


def test_leader_that_knows_nothing_is_told_by_the_fronts():
    deployment = build_deployment(fronts=2, replicas=6)
    for number in range(MOST_ENDED - 1):
        lose(deployment, number, f"i-{number}")
    deployment.run(0.05)
    deployment.leader.crashes = CrashExchange()
    for name, front in zip(deployment.names, deployment.fronts, strict=True):
        front.remove_link(LEADER)
        deployment.leader.remove_front(name, deployment.now)
        front.add_link(LEADER)
        deployment._deliver(deployment.leader.add_front(name, deployment.now))
    deployment.run(0.6)
    lose(deployment, 1, "i-9")
    deployment.run(0.05)
    assert list_holds(deployment) == [True] * 2


def test_answer_at_one_front_clears_it_at_all():
    deployment = build_deployment(fronts=2, replicas=6)
    lose(deployment, 0, "i-1")
    deployment.run(0.05)
    actions = deployment.fronts[1].record_completed(CAUSE, deployment.now)
    deployment._send(deployment.names[1], actions)
    deployment.run(0.05)
    assert not any(front.crashes.is_suspect(CAUSE) for front in deployment.fronts)


def test_victims_of_one_crash_go_on_in_few_messages():
    exchange = CrashExchange()
    fronts = [InstanceId(f"front-{number}") for number in range(300)]
    sent = []
    for number in range(8):
        record = CrashRecord(Fingerprint(f"victim-{number}"), (UpstreamId("i-1"),))
        now = number * SPREAD_PERIOD / 10
        exchange.take(CrashUpdates([record], []), now)
        sent += exchange.send_due(fronts, [], now, is_leader=True)
    sent += exchange.send_due(fronts, [], SPREAD_PERIOD, is_leader=True)
    assert len(sent) == 600
    told = [record for action in sent for record in action.message.records]
    assert len({record.fingerprint for record in told}) == 8
