"""A control instance: updates to peers and fronts, leases, and placement."""

import pytest

from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.control_state import RoutingResult
from scalebend.core.gateway.control_actions import (
    ProposalEnded,
    ReadConfirmed,
    ToFront,
)
from scalebend.core.gateway.control_instance import ControlInstance
from scalebend.core.gateway.leader_placement import LEARNING_TIMEOUT_S
from scalebend.core.gateway.messages import (
    ControlStatus,
    EndpointChanges,
    JobStages,
    LeaseReply,
    LeaseRequest,
    OpenJobs,
    PlacementReply,
    PlacementRequest,
    Registrations,
    Subscribe,
)
from scalebend.core.gateway.routing_store import RoutingUpdate, pack_routing
from scalebend.models.endpoints import EndpointUpdate
from scalebend.models.gateway_settings import Bounds
from scalebend.models.ids import InstanceId, Term
from scalebend.models.placement import JobStage, OpenJob, Placement
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_route,
    build_routing,
    build_service,
)
from tests.lib.gateway_group import build_deployment, pump

ME = InstanceId("10.1.0.1:7000")
FRONT = InstanceId("10.1.0.9:7000")
OTHER_FRONT = InstanceId("10.1.0.8:7000")


class SingleMemberGroup:
    """A control group with one member; the test drives its clock and writes."""

    def __init__(self, peers=()):
        recovered = Recovered(DiskId("d"), HardState(Term(0), None), None, [])
        member = ControlMember(ME, list(peers), recovered, now=0.0)
        self.instance = ControlInstance(member, 1.2, now=0.0, bounds=Bounds())
        self.now = 0.0

    def run(self, seconds=1.0):
        actions = []
        for _ in range(int(seconds / 0.05)):
            self.now += 0.05
            actions += self.instance.advance(self.now)
            actions += self.pump()
        return actions

    def pump(self):
        return pump(self.instance, self.now)

    def put(self, routing):
        stored = pack_routing(routing, b"{}")
        self.instance.propose_routing(stored, self.now, 0.0)
        return self.pump()


@pytest.fixture
def group():
    group = SingleMemberGroup()
    group.run()
    assert group.instance.is_leader
    return group


def list_messages_to_fronts(actions, kind):
    return [
        a.message
        for a in actions
        if isinstance(a, ToFront) and isinstance(a.message, kind)
    ]


def test_instance_without_a_group_acknowledges_no_registrations():
    isolated = SingleMemberGroup(peers=["10.1.0.2:7000", "10.1.0.3:7000"])
    isolated.run(3.0)
    assert not isolated.instance.may_acknowledge()


def test_leader_sends_fronts_only_changes_of_registrations(group):
    assert group.instance.may_acknowledge()
    group.instance.add_front(FRONT, group.now)
    first = group.instance.register(build_endpoint(), group.now)
    assert len(list_messages_to_fronts(first, EndpointChanges)) == 1
    repeated = group.instance.register(build_endpoint(sequence=2), group.now)
    assert not list_messages_to_fronts(repeated, EndpointChanges)
    left = group.instance.deregister("i-1", group.now)
    (changes,) = list_messages_to_fronts(left, EndpointChanges)
    assert changes.changes[0].is_gone


def test_new_link_between_control_instances_carries_the_full_state(group):
    group.instance.register(build_endpoint(), group.now)
    group.instance.deregister("i-1", group.now)
    (action,) = group.instance.sync_peer(InstanceId("10.1.0.2:7000"))
    assert action.message.registrations[0].is_gone


def test_registration_from_a_peer_is_sent_to_fronts(group):
    group.instance.add_front(FRONT, group.now)
    message = Registrations([EndpointUpdate(build_endpoint(), is_gone=False)])
    actions = group.instance.handle_peer("x", message, group.now, 0.0)
    assert len(list_messages_to_fronts(actions, EndpointChanges)) == 1


def test_front_gets_one_document_at_a_time_and_then_the_newest(group):
    group.instance.add_front(FRONT, group.now)
    group.instance.handle_front(FRONT, Subscribe(0), group.now)
    sent = list_messages_to_fronts(group.put(build_routing(1)), RoutingUpdate)
    assert [news.version for news in sent] == [1]
    routes = [build_route(path_prefix=f"/{n}/") for n in range(3)]
    for version in (2, 3, 4):
        assert not list_messages_to_fronts(
            group.put(build_routing(version, routes[: version - 1])), RoutingUpdate
        )
    actions = group.instance.handle_front(FRONT, Subscribe(1), group.now)
    (news,) = list_messages_to_fronts(actions, RoutingUpdate)
    assert (news.base, news.version) == (1, 4)


def test_change_is_packed_once_for_all_fronts(group):
    fronts = [InstanceId(f"10.1.1.{n}:7000") for n in range(3)]
    for front in fronts:
        group.instance.add_front(front, group.now)
        group.instance.handle_front(front, Subscribe(0), group.now)
    first, *others = list_messages_to_fronts(group.put(build_routing(1)), RoutingUpdate)
    assert len(others) == 2
    assert all(news is first for news in others)
    for front in fronts:
        group.instance.handle_front(front, Subscribe(1), group.now)
    (second, *_) = list_messages_to_fronts(group.put(build_routing(2)), RoutingUpdate)
    assert (second.base, second.version) == (1, 2)


def test_older_document_is_not_applied(group):
    ends = [a for a in group.put(build_routing(5)) if isinstance(a, ProposalEnded)]
    ends += [a for a in group.put(build_routing(3)) if isinstance(a, ProposalEnded)]
    assert [end.result for end in ends] == [RoutingResult(5), RoutingResult(5)]
    assert group.instance.routing.version == 5


def test_lease_names_the_newest_document(group):
    group.put(build_routing(5))
    group.instance.add_front(FRONT, group.now)
    actions = group.instance.handle_front(FRONT, LeaseRequest(7.5), group.now)
    actions += group.run(0.3)
    (reply,) = list_messages_to_fronts(actions, LeaseReply)
    assert reply == LeaseReply(7.5, 5)


def test_read_is_confirmed_after_a_quorum_confirmed_the_leader(group):
    reader = group.instance.request_fresh_read(group.now)
    confirmed = [a for a in group.run(0.3) if isinstance(a, ReadConfirmed)]
    assert confirmed == [ReadConfirmed([reader])]


def test_leader_places_a_job_and_records_its_end(group):
    group.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    group.instance.register(build_endpoint(), group.now)
    group.instance.add_front(FRONT, group.now)
    work = build_quick(1)
    actions = group.instance.handle_front(FRONT, PlacementRequest(work), group.now)
    (reply,) = list_messages_to_fronts(actions, PlacementReply)
    assert reply.placement.upstream == "i-1"
    stages = JobStages([JobStage(work.job, is_ended=True)])
    group.instance.handle_front(FRONT, stages, group.now)
    assert group.instance.scheduler.open_jobs == 0


def test_heartbeat_lists_the_busiest_replicas(group):
    group.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    group.instance.register(build_endpoint(), group.now)
    group.instance.add_front(FRONT, group.now)
    group.instance.handle_front(FRONT, PlacementRequest(build_quick(1)), group.now)
    news = list_messages_to_fronts(group.run(0.6), ControlStatus)
    assert [busy.upstream for busy in news[0].busy] == ["i-1"]


@pytest.fixture
def new_leader():
    """A newly elected leader to which two fronts were linked before."""
    new_leader = SingleMemberGroup()
    new_leader.instance.add_front(FRONT, 0.0)
    new_leader.instance.add_front(OTHER_FRONT, 0.0)
    while not new_leader.instance.is_leader:
        new_leader.run(0.05)
    routing = build_routing(1, services=[build_service(engine=PROFILE)])
    new_leader.put(routing)
    for number in range(1, 5):
        new_leader.instance.register(build_endpoint(number), new_leader.now)
    return new_leader


def request_placement(group, number):
    request = PlacementRequest(build_quick(number))
    (action,) = group.instance.handle_front(FRONT, request, group.now)
    return action.message


def test_new_leader_places_once_all_fronts_reported_open_jobs(new_leader):
    instance, now = new_leader.instance, new_leader.now
    assert request_placement(new_leader, 1).placement is None
    instance.handle_front(FRONT, OpenJobs([]), now)
    assert request_placement(new_leader, 2).placement is None
    instance.handle_front(OTHER_FRONT, OpenJobs([]), now)
    assert request_placement(new_leader, 3).placement is not None


def test_front_that_reports_nothing_delays_the_new_leader_only_briefly(new_leader):
    new_leader.instance.handle_front(FRONT, OpenJobs([]), new_leader.now)
    new_leader.now += LEARNING_TIMEOUT_S
    assert request_placement(new_leader, 1).placement is not None


def test_front_that_is_gone_does_not_delay_the_new_leader(new_leader):
    new_leader.instance.handle_front(FRONT, OpenJobs([]), new_leader.now)
    new_leader.instance.remove_front(OTHER_FRONT, new_leader.now)
    assert request_placement(new_leader, 1).placement is not None


def test_jobs_reported_before_the_next_tick_are_kept():
    group = SingleMemberGroup()
    group.instance.add_front(FRONT, 0.0)
    # A message may make a member the leader between two ticks.
    while not group.instance.is_leader:
        group.now += 0.05
        group.instance.member.advance(group.now)
        group.pump()
    group.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    placement = Placement("i-1", "a", (), 0.1)
    opened = OpenJob(build_quick(7), placement, is_decoding=False)
    group.instance.handle_front(FRONT, OpenJobs([opened]), group.now)
    group.instance.advance(group.now)
    assert group.instance.scheduler.open_jobs == 1


def test_lease_request_waits_for_the_first_entry_of_a_new_leader():
    group = SingleMemberGroup()
    group.instance.add_front(FRONT, 0.0)
    while not group.instance.is_leader:
        group.now += 0.05
        group.instance.member.advance(group.now)
    # The first entry of the term is not applied yet.
    asked = group.instance.handle_front(FRONT, LeaseRequest(1.0), group.now)
    assert not list_messages_to_fronts(asked, LeaseReply)
    group.pump()
    group.now += 0.02
    answered = group.instance.advance(group.now)
    assert len(list_messages_to_fronts(answered, LeaseReply)) == 1


def test_leader_that_replied_too_late_counts_the_job_where_it_runs():
    deployment = build_deployment(fronts=1, replicas=5, has_engines=True)
    front, (name,) = deployment.fronts[0], deployment.names
    work = build_quick(1)
    (late_reply,) = deployment.leader.handle_front(
        name, PlacementRequest(work), deployment.now
    )
    others = [
        e
        for e in deployment.endpoints
        if e.upstream != late_reply.message.placement.upstream
    ]
    own_placement = front.scheduler.place(work, others, PROFILE, deployment.now)
    for action in front.open_job(
        work, own_placement, deployment.now, is_uncoordinated=True
    ):
        deployment.leader.handle_front(name, action.message, deployment.now)
    busy = deployment.leader.scheduler.list_busy(deployment.now, 5)
    assert [one.upstream for one in busy] == [own_placement.upstream]
