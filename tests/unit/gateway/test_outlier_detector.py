"""A replica that fails what it is sent, behind hundreds of fronts that see it seldom.

The pattern: a plain service gets 15 calls a second over 195 fronts, so each front calls
one of its five replicas every minute. One replica fails all for 7.5 s: alone, each
front had to lose a request there before it knew, 12 of 70 calls that must not be sent
twice, and 120 attempts in all.
"""

import random

import pytest

from scalebend.core.gateway.messages import AttemptOutcomes, EjectedUpstreams
from scalebend.core.gateway.outlier_detector import (
    FIRST_EJECTION,
    FORGET_AFTER,
    LONGEST_EJECTION,
    OutlierDetector,
)
from scalebend.models.endpoints import UpstreamOutcomes
from scalebend.models.ids import ServiceName, UpstreamId
from tests.lib.gateway_builders import SERVICE
from tests.lib.gateway_group import build_deployment

BAD, GOOD = UpstreamId("i-1"), UpstreamId("i-2")


def fail(detector, upstream=BAD, *, count=1, usable=5, now=0.0, service=SERVICE):
    for _ in range(count):
        detector.note(UpstreamOutcomes(upstream, 0, 1), service, usable, now)


def answer(detector, upstream=BAD, *, count=1, usable=5, now=0.0):
    detector.note(UpstreamOutcomes(upstream, count, 0), SERVICE, usable, now)


def list_ejected(detector, now=0.0):
    return [one.upstream for one in detector.list_ejections(now)]


def test_three_failures_over_all_fronts_eject():
    detector = OutlierDetector()
    fail(detector, count=2)
    assert list_ejected(detector) == []
    fail(detector)
    assert list_ejected(detector) == [BAD]


def test_replica_that_mostly_answers_stays():
    detector = OutlierDetector()
    for tenth in range(100):
        now = tenth / 10
        answer(detector, count=2, now=now)
        if tenth % 5 == 0:
            fail(detector, now=now)
        assert list_ejected(detector, now) == []


def test_old_failures_count_no_more():
    detector = OutlierDetector()
    for second in range(0, 40, 4):
        fail(detector, now=float(second))
        assert list_ejected(detector, float(second)) == []


def test_one_that_fails_again_is_left_out_for_longer():
    detector = OutlierDetector()
    now, lengths = 0.0, []
    for _ in range(4):
        fail(detector, count=3, now=now)
        (ejection,) = detector.list_ejections(now)
        lengths.append(ejection.until - now)
        now = ejection.until
        assert list_ejected(detector, now) == []
    assert lengths == [FIRST_EJECTION, 4.0, LONGEST_EJECTION, LONGEST_EJECTION]


def test_one_that_answers_again_starts_over():
    detector = OutlierDetector()
    fail(detector, count=3)
    detector.expire(FORGET_AFTER)
    fail(detector, count=3, now=FORGET_AFTER)
    (ejection,) = detector.list_ejections(FORGET_AFTER)
    assert ejection.until == FORGET_AFTER + FIRST_EJECTION


@pytest.mark.parametrize(("usable", "most"), [(1, 0), (2, 1), (5, 1), (30, 10)])
def test_most_of_a_service_is_never_left_out(usable, most):
    detector = OutlierDetector()
    for number in range(usable):
        fail(detector, UpstreamId(f"i-{number}"), count=3, usable=usable)
    assert len(list_ejected(detector)) == most


def test_services_are_counted_apart():
    detector = OutlierDetector()
    fail(detector, BAD, count=3)
    fail(detector, GOOD, count=3, service=ServiceName("orders"))
    assert len(list_ejected(detector)) == 2


# The whole path: fronts tell, the leader finds out, fronts avoid


@pytest.fixture
def deployment():
    return build_deployment(fronts=195, replicas=5)


def test_hundreds_of_fronts_learn_of_a_failing_replica_from_each_other(deployment):
    chance = random.Random(4)
    bad = deployment.endpoints[0].upstream
    lost = 0
    for _ in range(int(7.5 * 15)):
        deployment.run(1 / 15)
        front = chance.choice(deployment.fronts)
        chosen = deployment.choose_upstream(front, chance)
        front.record_outcome(chosen, has_failed=chosen == bad)
        lost += chosen == bad
    # Three to find out, and those under way meanwhile; without a word among the
    # fronts it would be one in five of 112.
    assert 3 <= lost <= 12


def test_new_front_and_new_leader_know_what_is_ejected(deployment):
    leader = deployment.leader
    seen = AttemptOutcomes([UpstreamOutcomes(deployment.endpoints[0].upstream, 0, 3)])
    told = leader.handle_front(deployment.names[0], seen, deployment.now)
    assert [a.message for a in told if isinstance(a.message, EjectedUpstreams)]
    late = leader.add_front("front-late", deployment.now)
    (news,) = [a.message for a in late if isinstance(a.message, EjectedUpstreams)]
    assert news.upstreams == [deployment.endpoints[0].upstream]
    ended = [
        action.message
        for action in deployment.run(FIRST_EJECTION + 0.1)
        if isinstance(action.message, EjectedUpstreams)
    ]
    assert ended[-1].upstreams == []


def test_front_believes_nobody_but_its_leader(deployment):
    front = deployment.fronts[0]
    bad = deployment.endpoints[0].upstream
    front.handle("10.9.9.9:7000", EjectedUpstreams([bad]), deployment.now)
    chosen = {deployment.choose_upstream(front, random.Random(n)) for n in range(40)}
    assert bad in chosen
    front.handle(deployment.leader.me, EjectedUpstreams([bad]), deployment.now)
    chosen = {deployment.choose_upstream(front, random.Random(n)) for n in range(40)}
    assert bad not in chosen
