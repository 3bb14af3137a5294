"""Evidence on paths, from the observation at a front to the leader and back."""

import msgspec
import pytest

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.messages import (
    AttemptOutcomes,
    ControlStatus,
    EndpointChanges,
    OpenJobs,
    PlacementRequest,
)
from scalebend.core.gateway.path_evidence import (
    CONNECTION_LOSS_INTERVAL_S,
    TOLD_LIFETIME_S,
    FrontPaths,
    LeaderPaths,
)
from scalebend.core.gateway.routing_store import build_update
from scalebend.models.endpoints import EndpointUpdate, UpstreamOutcomes
from scalebend.models.ids import InstanceId, UpstreamId
from scalebend.models.paths import (
    PathEvidence,
    PathReport,
    PathState,
)
from scalebend.models.routing import EMPTY_ROUTING
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_routing,
    build_service,
    build_settings,
)
from tests.lib.path_builders import (
    BAD,
    FRONT,
    ZONES,
    A,
    C,
    build_path_report,
)
from tests.unit.gateway.test_control_instance import SingleMemberGroup

LATE = PathReport(C, [PathEvidence(A, 20.0, 2.0), PathEvidence(C, 100.0, 0.0)])
"""Report with few losses, too few to degrade a path again."""


def test_front_judges_its_own_evidence():
    paths = FrontPaths(C, 0.0)
    paths.record(C, 100, 0, 0.0)
    paths.record(A, 50, 0, 0.0)
    for number in range(4):
        paths.record(A, 10, 1, 0.1 * number)
    assert paths.list_avoided() == {A}


def test_dead_host_counts_once_in_a_while():
    paths = FrontPaths(C, 0.0)
    for number in range(20):
        paths.record_failed_connection(A, UpstreamId("i-1"), 0.1 * number)
    assert not paths.health.has_judged
    for number in range(4):
        paths.record_failed_connection(A, UpstreamId(f"i-{number}"), 2.0)
    assert paths.list_avoided() == {A}
    paths.advance(2.0 + CONNECTION_LOSS_INTERVAL_S)
    assert not paths._connection_losses


def test_dead_replica_that_all_fronts_notice_degrades_no_path():
    leader = LeaderPaths()
    for zone in ZONES:
        for number in range(4):
            paths = FrontPaths(zone, 0.0)
            for other in ZONES:
                paths.record(other, 300 if other == zone else 30, 0, 0.0)
            paths.record_failed_connection(A, UpstreamId("i-1"), 0.1)
            paths.record_failed_connection(A, UpstreamId("i-2"), 0.1)
            assert not paths.health.has_judged
            report = paths.build_report(0.1)
            leader.record(InstanceId(f"{zone}-{number}"), report, 0.1)
    leader.advance(0.2)
    assert not leader.health.has_judged


def test_front_tries_a_path_with_a_small_share_of_its_plain_requests():
    paths = FrontPaths(C, 0.0)
    paths.record(C, 100, 0, 0.0)
    for number in range(4):
        paths.record(A, 25, 1, 0.1 * number)
    requests = [f"id-{number}" for number in range(800)]
    assert all(paths.list_avoided(one) == {A} for one in requests)
    paths.record(C, 100, 0, 2.0)
    for step in range(60):
        paths.advance(0.1 * step)
        if paths.health.get_state(BAD) is PathState.TRIAL:
            break
    tried = sum(not paths.list_avoided(one) for one in requests)
    assert 0.05 < tried / len(requests) < 0.25


def test_fronts_are_not_told_of_paths_on_trial():
    paths = LeaderPaths()
    for number in range(2):
        paths.record(InstanceId(f"front-{number}"), build_path_report(4.0), 0.0)
    paths.advance(0.1)
    assert paths.health.list_avoided_paths() == [BAD]
    for step in range(200):
        paths.advance(0.2 + 0.1 * step)
        if paths.health.get_state(BAD) is PathState.TRIAL:
            break
    assert paths.health.list_degraded() == [BAD]
    assert paths.health.list_avoided_paths() == []


def test_evidence_ends_with_its_age():
    paths = FrontPaths(C, 0.0)
    paths.record(A, 100, 5, 0.0)
    assert paths.build_report(0.0).evidence == [PathEvidence(A, 100.0, 5.0)]
    aged = paths.build_report(2.0).evidence[0]
    assert aged.lost == pytest.approx(5.0 / 2.718, rel=0.01)
    assert paths.build_report(30.0) is None


def test_front_without_losses_and_other_zones_reports_nothing():
    paths = FrontPaths(C, 0.0)
    assert paths.build_report(0.0) is None
    paths.record(C, 100, 0, 0.0)
    assert paths.build_report(0.0) is None
    paths.record(A, 1, 0, 0.0)
    assert paths.build_report(0.0) is not None


def test_leader_sums_the_last_report_of_each_front():
    paths = LeaderPaths()
    for _ in range(5):
        paths.record(FRONT, build_path_report(2.0), 0.0)
    paths.advance(0.2)
    assert not paths.health.has_judged
    paths.record(InstanceId("front-2"), build_path_report(2.0), 0.2)
    paths.advance(0.4)
    assert paths.health.list_avoided(C) == {A}


def test_leader_forgets_lost_fronts_and_old_reports():
    for is_lost in (True, False):
        paths = LeaderPaths()
        paths.record(FRONT, build_path_report(4.0), 0.0)
        if is_lost:
            paths.remove_front(FRONT)
        paths.record(
            InstanceId("front-2"), build_path_report(2.0), 0.1 if is_lost else 9.0
        )
        paths.advance(9.1)
        assert not paths.health.has_judged


@pytest.mark.parametrize("relinks", [False, True])
def test_evidence_of_a_front_that_links_anew_fails_no_trial(relinks):
    paths = LeaderPaths()
    paths.record(FRONT, build_path_report(4.0), 0.0)
    paths.record(InstanceId("front-2"), build_path_report(4.0), 0.0)
    now = 0.0
    while paths.health.get_state(BAD) is not PathState.TRIAL:
        now += 0.1
        paths.advance(now)
        assert now < 20.0
    if relinks:
        paths.remove_front(FRONT)
    paths.record(InstanceId("front-3" if not relinks else FRONT), LATE, now)
    for _ in range(5):
        now += 0.1
        paths.advance(now)
        assert paths.health.get_state(BAD) is PathState.TRIAL


def test_new_losses_of_a_front_fail_a_trial_after_another_one_left():
    paths = LeaderPaths()
    names = [FRONT, InstanceId("front-2")]
    for name in names:
        paths.record(name, build_path_report(4.0), 0.0)
    now = 0.0
    while paths.health.get_state(BAD) is not PathState.TRIAL:
        now += 0.1
        paths.advance(now)
        assert now < 20.0
    paths.remove_front(FRONT)
    paths.record(names[1], LATE, now)
    paths.advance(now + 0.1)
    assert paths.health.get_state(BAD) is PathState.DEGRADED


# Processes of the version before


class OldAttemptOutcomes(msgspec.Struct, frozen=True, tag="OutcomesSeen"):
    outcomes: list[UpstreamOutcomes]


class OldControlStatus(msgspec.Struct, frozen=True, tag="ControlNews"):
    instances: list[str]
    leader: str | None
    term: int
    fronts: int


def test_new_front_reads_the_status_of_an_older_leader():
    old = msgspec.msgpack.encode(OldControlStatus(["leader:1"], "leader:1", 3, 2))
    status = msgspec.msgpack.decode(old, type=ControlStatus)
    assert status.leader == "leader:1"
    assert status.degraded_paths == []
    front = FrontInstance(build_settings(availability_zone=C), now=0.0)
    front.add_link("leader:1")
    front.handle("leader:1", status, 0.0)
    assert front.leader == "leader:1"
    assert front.paths.list_avoided() == frozenset()


def test_older_processes_read_and_send_outcomes_without_paths():
    outcomes = [UpstreamOutcomes(UpstreamId("i-1"), 1, 2)]
    new = msgspec.msgpack.encode(AttemptOutcomes(outcomes, build_path_report(3.0)))
    read = msgspec.msgpack.decode(new, type=OldAttemptOutcomes)
    assert read == OldAttemptOutcomes(outcomes)
    old = msgspec.msgpack.encode(OldAttemptOutcomes(outcomes))
    assert msgspec.msgpack.decode(old, type=AttemptOutcomes) == AttemptOutcomes(
        outcomes
    )
    assert msgspec.msgpack.decode(new, type=AttemptOutcomes).paths == build_path_report(
        3.0
    )


# Front and leader


def test_front_reports_losses_with_its_outcomes():
    front = FrontInstance(build_settings(availability_zone=C), now=0.0)
    front.add_link("leader:1")
    front.handle("leader:1", ControlStatus(["leader:1"], "leader:1", 1, 2), 0.0)
    update = EndpointUpdate(build_endpoint(1, availability_zone=A), is_gone=False)
    front.handle("leader:1", EndpointChanges([update]), 0.0)
    front.advance(0.0)
    front.record_path(UpstreamId("i-1"), 20, 2, 1.0)
    front.record_path(UpstreamId("i-unknown"), 20, 2, 1.0)
    sent = [
        action.message
        for action in front.advance(1.0)
        if isinstance(action.message, AttemptOutcomes)
    ]
    assert sent == [AttemptOutcomes([], PathReport(C, [PathEvidence(A, 20.0, 2.0)]))]
    assert not [
        action
        for action in front.advance(1.3)
        if isinstance(action.message, AttemptOutcomes)
    ]


def test_front_without_its_leader_goes_by_the_paths_that_it_named():
    front = FrontInstance(build_settings(availability_zone=C), now=0.0)
    for name in ("leader:1", "other:1"):
        front.add_link(name)
    names = ["leader:1", "other:1"]
    status = ControlStatus(names, "leader:1", 1, 2, degraded_paths=[BAD])
    front.handle("leader:1", status, 0.0)
    front.handle("other:1", ControlStatus(names, "leader:1", 1, 2), 0.1)
    front.advance(0.2)
    assert front.paths.list_avoided() == {A}
    updates = [
        EndpointUpdate(build_endpoint(n, availability_zone=ZONES[n % 3]), False)
        for n in range(6)
    ]
    front.handle("leader:1", EndpointChanges(updates), 0.2)
    routing = build_routing(1, services=[build_service(engine=PROFILE)])
    front.handle("leader:1", build_update(EMPTY_ROUTING, routing), 0.2)
    for number in range(8):
        work = build_quick(number, availability_zone=C)
        placed = front.place(work, 0.3)
        assert front.directory.get(placed.upstream).availability_zone != A
    front.advance(0.1 + TOLD_LIFETIME_S)
    assert front.paths.list_avoided() == frozenset()


def test_leader_names_degraded_paths_in_its_heartbeats():
    group = SingleMemberGroup()
    group.run()
    group.instance.add_front(FRONT, group.now)
    for front in (FRONT, InstanceId("front-2")):
        outcomes = AttemptOutcomes([], build_path_report(4.0))
        group.instance.handle_front(front, outcomes, group.now)
    sent = [action.message for action in group.run(1.0) if hasattr(action, "front")]
    statuses = [one for one in sent if isinstance(one, ControlStatus)]
    assert statuses[-1].degraded_paths == [BAD]
    encoded = msgspec.msgpack.encode(statuses[-1])
    assert msgspec.msgpack.decode(encoded, type=ControlStatus) == statuses[-1]
    assert msgspec.msgpack.decode(encoded, type=OldControlStatus).leader is not None


def test_leader_places_by_the_reports_of_fronts():
    group = SingleMemberGroup()
    group.run()
    group.put(build_routing(services=[build_service(engine=PROFILE)]))
    instance = group.instance
    for number in range(6):
        zone = ZONES[number % 3]
        endpoint = build_endpoint(number, availability_zone=zone)
        instance.register(endpoint, group.now)
    for number in range(2):
        front = InstanceId(f"front-{number}")
        instance.add_front(front, group.now)
        instance.handle_front(front, OpenJobs([]), group.now)
        report = PathReport(
            C, [PathEvidence(one, 100.0, 4.0 if one != C else 0.0) for one in ZONES]
        )
        instance.handle_front(front, AttemptOutcomes([], report), group.now)
    group.run(0.2)
    for number in range(PROFILE.slots + 2):
        work = build_quick(number, availability_zone=C)
        (action,) = instance.handle_front(FRONT, PlacementRequest(work), group.now)
        endpoint = instance.directory.get(action.message.placement.upstream)
        assert endpoint.availability_zone == C
