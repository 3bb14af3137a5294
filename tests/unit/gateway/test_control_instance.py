"""A control instance: who hears of upstreams, what fronts get, when it confirms."""

import pytest

from scalebend.core.consensus.messages import DiskId, HardState, Recovered
from scalebend.core.control_member import ControlMember
from scalebend.core.gateway.control_actions import (
    ProposalEnded,
    ReadConfirmed,
    ToFront,
)
from scalebend.core.gateway.control_instance import ControlInstance
from scalebend.core.gateway.leader_placement import LEARNING_TIME
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
from scalebend.models.endpoints import EndpointNews
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


class Single:
    """A group of one member, whose clock and writes the test drives."""

    def __init__(self, peers=()):
        recovered = Recovered(DiskId("d"), HardState(Term(0), None), None, [])
        member = ControlMember(ME, list(peers), recovered, now=0.0)
        self.instance = ControlInstance(member, 1.2, now=0.0)
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
def single():
    single = Single()
    single.run()
    assert single.instance.is_leader
    return single


def list_to_fronts(actions, kind):
    return [
        a.message
        for a in actions
        if isinstance(a, ToFront) and isinstance(a.message, kind)
    ]


def test_instance_without_a_group_acknowledges_no_registrations():
    alone = Single(peers=["10.1.0.2:7000", "10.1.0.3:7000"])
    alone.run(3.0)
    assert not alone.instance.may_acknowledge()


def test_leader_takes_registrations_and_tells_fronts_only_changes(single):
    assert single.instance.may_acknowledge()
    single.instance.add_front(FRONT, single.now)
    first = single.instance.register(build_endpoint(), single.now)
    assert len(list_to_fronts(first, EndpointChanges)) == 1
    again = single.instance.register(build_endpoint(sequence=2), single.now)
    assert not list_to_fronts(again, EndpointChanges)
    left = single.instance.remove("i-1", single.now)
    (changes,) = list_to_fronts(left, EndpointChanges)
    assert changes.changes[0].is_gone


def test_new_link_between_control_instances_carries_everything(single):
    single.instance.register(build_endpoint(), single.now)
    single.instance.remove("i-1", single.now)
    (action,) = single.instance.introduce(InstanceId("10.1.0.2:7000"))
    assert action.message.registrations[0].is_gone


def test_upstream_that_others_hear_is_told_to_fronts(single):
    single.instance.add_front(FRONT, single.now)
    message = Registrations([EndpointNews(build_endpoint(), is_gone=False)])
    actions = single.instance.handle_peer("x", message, single.now, 0.0)
    assert len(list_to_fronts(actions, EndpointChanges)) == 1


def test_front_gets_one_document_at_a_time_and_then_the_newest(single):
    single.instance.add_front(FRONT, single.now)
    single.instance.handle_front(FRONT, Subscribe(0), single.now)
    sent = list_to_fronts(single.put(build_routing(1)), RoutingUpdate)
    assert [news.version for news in sent] == [1]
    routes = [build_route(path_prefix=f"/{n}/") for n in range(3)]
    for version in (2, 3, 4):
        assert not list_to_fronts(
            single.put(build_routing(version, routes[: version - 1])), RoutingUpdate
        )
    actions = single.instance.handle_front(FRONT, Subscribe(1), single.now)
    (news,) = list_to_fronts(actions, RoutingUpdate)
    assert (news.base, news.version) == (1, 4)


def test_change_is_packed_once_for_all_fronts(single):
    fronts = [InstanceId(f"10.1.1.{n}:7000") for n in range(3)]
    for front in fronts:
        single.instance.add_front(front, single.now)
        single.instance.handle_front(front, Subscribe(0), single.now)
    first, *others = list_to_fronts(single.put(build_routing(1)), RoutingUpdate)
    assert len(others) == 2
    assert all(news is first for news in others)
    for front in fronts:
        single.instance.handle_front(front, Subscribe(1), single.now)
    (second, *_) = list_to_fronts(single.put(build_routing(2)), RoutingUpdate)
    assert (second.base, second.version) == (1, 2)


def test_documents_that_arrive_again_change_nothing(single):
    ends = [a for a in single.put(build_routing(5)) if isinstance(a, ProposalEnded)]
    ends += [a for a in single.put(build_routing(3)) if isinstance(a, ProposalEnded)]
    assert [end.held for end in ends] == [5, 5]
    assert single.instance.routing.version == 5


def test_lease_names_the_newest_document(single):
    single.put(build_routing(5))
    single.instance.add_front(FRONT, single.now)
    actions = single.instance.handle_front(FRONT, LeaseRequest(7.5), single.now)
    actions += single.run(0.3)
    (answer,) = list_to_fronts(actions, LeaseReply)
    assert answer == LeaseReply(7.5, 5)


def test_reader_is_answered_after_a_quorum_confirmed(single):
    reader = single.instance.ask_fresh(single.now)
    confirmed = [a for a in single.run(0.3) if isinstance(a, ReadConfirmed)]
    assert confirmed == [ReadConfirmed([reader])]


def test_leader_places_and_learns_ends(single):
    single.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    single.instance.register(build_endpoint(), single.now)
    single.instance.add_front(FRONT, single.now)
    work = build_quick(1)
    actions = single.instance.handle_front(FRONT, PlacementRequest(work), single.now)
    (answer,) = list_to_fronts(actions, PlacementReply)
    assert answer.placement.upstream == "i-1"
    stages = JobStages([JobStage(work.job, is_ended=True)])
    single.instance.handle_front(FRONT, stages, single.now)
    assert single.instance.scheduler.open_jobs == 0


def test_heartbeat_tells_the_busiest_replicas(single):
    single.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    single.instance.register(build_endpoint(), single.now)
    single.instance.add_front(FRONT, single.now)
    single.instance.handle_front(FRONT, PlacementRequest(build_quick(1)), single.now)
    news = list_to_fronts(single.run(0.6), ControlStatus)
    assert [busy.upstream for busy in news[0].busy] == ["i-1"]


@pytest.fixture
def learning():
    """A member that has just won the lead, with two fronts linked before."""
    learning = Single()
    learning.instance.add_front(FRONT, 0.0)
    learning.instance.add_front(OTHER_FRONT, 0.0)
    while not learning.instance.is_leader:
        learning.run(0.05)
    routing = build_routing(1, services=[build_service(engine=PROFILE)])
    learning.put(routing)
    for number in range(1, 5):
        learning.instance.register(build_endpoint(number), learning.now)
    return learning


def ask(single, number):
    question = PlacementRequest(build_quick(number))
    (action,) = single.instance.handle_front(FRONT, question, single.now)
    return action.message


def test_new_leader_places_once_it_heard_what_is_open(learning):
    instance, now = learning.instance, learning.now
    assert ask(learning, 1).placement is None
    instance.handle_front(FRONT, OpenJobs([]), now)
    assert ask(learning, 2).placement is None
    instance.handle_front(OTHER_FRONT, OpenJobs([]), now)
    assert ask(learning, 3).placement is not None


def test_front_that_tells_nothing_holds_the_new_leader_up_only_briefly(learning):
    learning.instance.handle_front(FRONT, OpenJobs([]), learning.now)
    learning.now += LEARNING_TIME
    assert ask(learning, 1).placement is not None


def test_front_that_is_gone_holds_nobody_up(learning):
    learning.instance.handle_front(FRONT, OpenJobs([]), learning.now)
    learning.instance.remove_front(OTHER_FRONT, learning.now)
    assert ask(learning, 1).placement is not None


def test_jobs_told_before_the_next_tick_are_not_forgotten():
    single = Single()
    single.instance.add_front(FRONT, 0.0)
    # A member may win the lead by a message, between two ticks.
    while not single.instance.is_leader:
        single.now += 0.05
        single.instance.member.advance(single.now)
        single.pump()
    single.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    placement = Placement("i-1", "a", (), 0.1)
    opened = OpenJob(build_quick(7), placement, is_writing=False)
    single.instance.handle_front(FRONT, OpenJobs([opened]), single.now)
    single.instance.advance(single.now)
    assert single.instance.scheduler.open_jobs == 1


def test_question_for_the_lease_waits_for_the_first_entry_of_a_new_leader():
    single = Single()
    single.instance.add_front(FRONT, 0.0)
    while not single.instance.is_leader:
        single.now += 0.05
        single.instance.member.advance(single.now)
    # The entry of its term is not applied yet.
    asked = single.instance.handle_front(FRONT, LeaseRequest(1.0), single.now)
    assert not list_to_fronts(asked, LeaseReply)
    single.pump()
    single.now += 0.02
    answered = single.instance.advance(single.now)
    assert len(list_to_fronts(answered, LeaseReply)) == 1


def test_leader_that_answered_too_late_counts_the_job_where_it_runs():
    deployment = build_deployment(fronts=1, replicas=5, has_engines=True)
    front, (name,) = deployment.fronts[0], deployment.names
    work = build_quick(1)
    (late,) = deployment.leader.handle_front(
        name, PlacementRequest(work), deployment.now
    )
    others = [
        e for e in deployment.endpoints if e.upstream != late.message.placement.upstream
    ]
    own = front.scheduler.place(work, others, PROFILE, deployment.now)
    for told in front.open_job(work, own, deployment.now, is_uncoordinated=True):
        deployment.leader.handle_front(name, told.message, deployment.now)
    busy = deployment.leader.scheduler.list_busy(deployment.now, 5)
    assert [one.upstream for one in busy] == [own.upstream]
