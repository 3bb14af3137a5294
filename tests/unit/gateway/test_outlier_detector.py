"""Ejection of a replica that fails all requests, behind hundreds of fronts.

Each front alone calls the replica too seldom to notice its failures; this guards
against losing one non-idempotent call for each front.
"""

import random

import pytest

from scalebend.core.gateway.messages import AttemptOutcomes, EjectedUpstreams
from scalebend.core.gateway.outlier_detector import (
    FIRST_EJECTION_S,
    MAX_EJECTION_S,
    RESET_AFTER_S,
    OutlierDetector,
)
from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import ServiceName, UpstreamId
from tests.lib.gateway_builders import SERVICE
from tests.lib.gateway_group import build_deployment

FAILING, HEALTHY = UpstreamId("i-1"), UpstreamId("i-2")


def fail(detector, upstream=FAILING, *, count=1, usable=5, now=0.0, service=SERVICE):
    for _ in range(count):
        detector.record(UpstreamOutcomes(upstream, 0, 1), service, usable, now)


def succeed(detector, upstream=FAILING, *, count=1, usable=5, now=0.0):
    detector.record(UpstreamOutcomes(upstream, count, 0), SERVICE, usable, now)


def list_ejected(detector, now=0.0):
    return [one.upstream for one in detector.list_ejections(now)]


def test_three_failures_over_all_fronts_lead_to_ejection():
    detector = OutlierDetector()
    fail(detector, count=2)
    assert list_ejected(detector) == []
    fail(detector)
    assert list_ejected(detector) == [FAILING]


def test_mostly_successful_replica_is_not_ejected():
    detector = OutlierDetector()
    for tenth in range(100):
        now = tenth / 10
        succeed(detector, count=2, now=now)
        if tenth % 5 == 0:
            fail(detector, now=now)
        assert list_ejected(detector, now) == []


def test_old_failures_do_not_count():
    detector = OutlierDetector()
    for second in range(0, 40, 4):
        fail(detector, now=float(second))
        assert list_ejected(detector, float(second)) == []


def test_repeated_failures_lengthen_the_ejection():
    detector = OutlierDetector()
    now, lengths = 0.0, []
    for _ in range(4):
        fail(detector, count=3, now=now)
        (ejection,) = detector.list_ejections(now)
        lengths.append(ejection.until - now)
        now = ejection.until
        assert list_ejected(detector, now) == []
    assert lengths == [FIRST_EJECTION_S, 4.0, MAX_EJECTION_S, MAX_EJECTION_S]


def test_record_expires_without_failures():
    detector = OutlierDetector()
    fail(detector, count=3)
    detector.expire(RESET_AFTER_S)
    fail(detector, count=3, now=RESET_AFTER_S)
    (ejection,) = detector.list_ejections(RESET_AFTER_S)
    assert ejection.until == RESET_AFTER_S + FIRST_EJECTION_S


@pytest.mark.parametrize(("usable", "most"), [(1, 0), (2, 1), (5, 1), (30, 10)])
def test_ejections_of_a_service_are_limited(usable, most):
    detector = OutlierDetector()
    for number in range(usable):
        fail(detector, UpstreamId(f"i-{number}"), count=3, usable=usable)
    assert len(list_ejected(detector)) == most


def test_services_are_counted_separately():
    detector = OutlierDetector()
    fail(detector, FAILING, count=3)
    fail(detector, HEALTHY, count=3, service=ServiceName("orders"))
    assert len(list_ejected(detector)) == 2


# End to end: fronts report outcomes, the leader ejects, fronts avoid the replica


@pytest.fixture
def deployment():
    return build_deployment(fronts=195, replicas=5)


def test_fronts_share_the_outcomes_at_a_failing_replica(deployment):
    chooser = random.Random(4)
    failing = deployment.endpoints[0].upstream
    lost = 0
    for _ in range(int(7.5 * 15)):
        deployment.run(1 / 15)
        front = chooser.choice(deployment.fronts)
        chosen = deployment.choose_upstream(front, chooser)
        front.record_outcome(chosen, deployment.now, has_failed=chosen == failing)
        lost += chosen == failing
    # Three failures lead to the ejection, and some more happen meanwhile; if fronts did
    # not report, it would be one in five of 112 calls.
    assert 3 <= lost <= 12


def test_new_front_receives_ejections_and_their_end(deployment):
    leader = deployment.leader
    seen = AttemptOutcomes([UpstreamOutcomes(deployment.endpoints[0].upstream, 0, 3)])
    sent = leader.handle_front(deployment.names[0], seen, deployment.now)
    assert [a.message for a in sent if isinstance(a.message, EjectedUpstreams)]
    greeted = leader.add_front("front-late", deployment.now)
    (update,) = [a.message for a in greeted if isinstance(a.message, EjectedUpstreams)]
    assert update.upstreams == [deployment.endpoints[0].upstream]
    ended = [
        action.message
        for action in deployment.run(FIRST_EJECTION_S + 0.1)
        if isinstance(action.message, EjectedUpstreams)
    ]
    assert ended[-1].upstreams == []


def test_front_accepts_ejections_only_from_its_leader(deployment):
    front = deployment.fronts[0]
    failing = deployment.endpoints[0].upstream
    front.handle("10.9.9.9:7000", EjectedUpstreams([failing]), deployment.now)
    chosen = {deployment.choose_upstream(front, random.Random(n)) for n in range(40)}
    assert failing in chosen
    front.handle(deployment.leader.me, EjectedUpstreams([failing]), deployment.now)
    chosen = {deployment.choose_upstream(front, random.Random(n)) for n in range(40)}
    assert failing not in chosen
