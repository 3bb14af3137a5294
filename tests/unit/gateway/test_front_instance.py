"""What a front believes when links, leaders and documents come and go."""

import msgspec
import pytest

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.messages import (
    ControlNews,
    EndpointChanges,
    JobStages,
    LeaseAnswer,
    LeaseQuestion,
    OpenJobs,
    Subscribe,
)
from scalebend.core.gateway.placement_repair import drop_replicas
from scalebend.core.gateway.routing_store import build_news
from scalebend.models.endpoints import EndpointNews
from scalebend.models.gateway_settings import Bounds, GatewayRole, GatewaySettings
from scalebend.models.ids import AvailabilityZone
from scalebend.models.placement import JobStage
from scalebend.models.routing import EMPTY_ROUTING
from tests.lib.gateway_builders import (
    PROFILE,
    build_endpoint,
    build_quick,
    build_route,
    build_routing,
    build_service,
    build_work,
)

A, B = "10.1.0.1:7000", "10.1.0.2:7000"
SETTINGS = GatewaySettings(
    name="front-1",
    role=GatewayRole.FRONT,
    availability_zone=AvailabilityZone("z"),
    link_address="10.1.0.9:7000",
    seeds=[A, B],
    is_first_start=True,
    tolerated_losses=1,
    heartbeat_interval=1.2,
    bounds=Bounds(),
)


@pytest.fixture
def front():
    front = FrontInstance(SETTINGS, now=0.0)
    front.add_link(A)
    front.add_link(B)
    return front


def list_messages(actions, kind):
    return [action.message for action in actions if isinstance(action.message, kind)]


def take(front, routing, base=EMPTY_ROUTING, now=1.0):
    return front.handle(A, build_news(base, routing), now)


def test_front_is_ready_only_with_document_and_lease(front):
    assert not front.is_ready(1.0)
    take(front, build_routing(1))
    assert not front.is_ready(1.0)
    front.handle(A, LeaseAnswer(1.0, 1), 1.1)
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.1)
    front.advance(1.1)
    assert front.is_ready(1.2)
    front.is_draining = True
    assert not front.is_ready(1.2)
    assert front.may_admit(1.2)


def test_front_that_hears_nothing_of_its_leader_sends_callers_elsewhere(front):
    take(front, build_routing(1))
    front.handle(A, LeaseAnswer(1.0, 1), 1.1)
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.1)
    assert front.is_ready(1.2)
    # The link still counts as up, and others are heard: the leader is not.
    front.handle(B, ControlNews([A, B], A, 1, 2), 2.0)
    front.advance(2.2)
    assert front.is_cut_off(2.2)
    assert not front.is_ready(2.2)
    assert front.may_admit(2.2)
    front.handle(A, ControlNews([A, B], A, 1, 2), 2.3)
    assert front.is_ready(2.4)


def test_older_document_is_never_taken(front):
    newer = build_routing(5, [build_route(name="five")])
    take(front, newer)
    take(front, build_routing(3, [build_route(name="three")]))
    assert front.table.routing.version == 5
    assert front.table.find_route("a.example", "/").name == "five"


def test_news_for_a_base_that_is_not_held_ask_again(front):
    take(front, build_routing(1))
    actions = take(front, build_routing(9), base=build_routing(4))
    assert list_messages(actions, Subscribe) == [Subscribe(1)]
    assert front.table.routing.version == 1


def test_lease_answer_with_a_newer_document_asks_for_it(front):
    take(front, build_routing(1))
    actions = front.handle(A, LeaseAnswer(1.0, 2), 1.1)
    assert list_messages(actions, Subscribe) == [Subscribe(1)]
    assert not front.may_admit(1.1)


def test_leader_of_the_highest_term_is_asked(front):
    front.handle(A, ControlNews([A, B], A, 4, 2), 1.0)
    assert front.leader == A
    front.handle(B, ControlNews([A, B], B, 3, 2), 1.0)
    assert front.leader == A
    actions = front.handle(B, ControlNews([A, B], B, 5, 2), 1.0)
    assert front.leader == B
    assert list_messages(actions, LeaseQuestion)
    assert {action.instance for action in actions} == {B}


def test_leader_without_a_link_is_not_asked(front):
    front.remove_link(B)
    front.handle(A, ControlNews([A, B], B, 5, 2), 1.0)
    assert front.leader is None
    front.add_link(B)
    front.handle(A, ControlNews([A, B], B, 5, 2), 1.5)
    assert front.leader == B


def test_members_are_remembered(front):
    front.handle(A, ControlNews([A, "10.1.0.3:7000"], A, 1, 2), 1.0)
    assert front.instances == {A, B, "10.1.0.3:7000"}


def test_new_leader_is_told_open_jobs_with_their_age(front):
    take(front, build_routing(1, services=[build_service(engine=PROFILE)]))
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.0)
    front.handle(A, EndpointChanges([EndpointNews(build_endpoint(), False)]), 1.0)
    for number in (1, 2):
        work = build_quick(number)
        front.open_job(work, front.place(work, 1.0), 1.0, is_own=True)
    front.record_stage(JobStage("front-1-1", is_ended=True), 1.5)
    front.record_stage(JobStage("front-1-2", is_ended=False), 1.5)
    front.remove_link(A)
    actions = front.handle(B, ControlNews([A, B], B, 2, 2), 2.0)
    (message,) = list_messages(actions, OpenJobs)
    (job,) = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=OpenJobs).jobs
    assert job.work.job == "front-1-2"
    assert job.is_writing
    assert job.age == 1.0


def test_front_without_a_leader_serves_but_wants_no_new_connections(front):
    take(front, build_routing(1))
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.0)
    front.handle(A, LeaseAnswer(1.0, 1), 1.0)
    front.advance(1.0)
    front.remove_link(A)
    front.advance(1.5)
    assert front.is_ready(1.5)
    front.advance(2.5)
    assert not front.is_ready(2.5)
    assert front.may_admit(2.5)


@pytest.fixture
def long_job(front):
    """A long prompt that waits for its turn on several replicas, and its placement."""
    take(front, build_routing(1, services=[build_service(engine=PROFILE)]))
    news = [EndpointNews(build_endpoint(n), False) for n in range(1, 19)]
    front.handle(A, EndpointChanges(news), 1.0)
    work = build_work("long", 210_000)
    placement = front.place(work, 1.0)
    assert placement.helpers
    front.open_job(work, placement, 1.0, is_own=True)
    return work, placement


def let_leave(front, upstream, now):
    number = int(upstream.removeprefix("i-"))
    change = EndpointNews(build_endpoint(number, sequence=2, is_draining=True), False)
    front.handle(A, EndpointChanges([change]), now)


def test_replica_that_leaves_before_its_turn_is_seen(front, long_job):
    _, placement = long_job
    assert front.list_left(placement, 0.0) == set()
    leaving = placement.helpers[-1].upstream
    let_leave(front, leaving, 1.5)
    assert front.list_left(placement, 0.0) == {leaving}


def test_job_without_the_replica_that_left_keeps_its_time(front, long_job):
    work, placement = long_job
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.2)
    leaving = placement.helpers[-1].upstream
    let_leave(front, leaving, 1.5)
    kept = drop_replicas(placement, front.list_left(placement, 0.0))
    assert leaving not in kept.upstreams
    messages = [action.message for action in front.replace_job(work.job, kept, 1.5)]
    # The leader forgets the job first: it ignores what it knows already.
    assert messages[0] == JobStages([JobStage(work.job, is_ended=True)])
    (opened,) = messages[1].jobs
    assert opened.placement == kept
    assert opened.age == 0.5
    assert opened.work == work
    assert front.scheduler.open_jobs == 1


def test_front_without_a_lease_says_that_it_is_urgent(front):
    actions = front.handle(A, ControlNews([A, B], A, 1, 2), 1.0)
    assert list_messages(actions, LeaseQuestion)[0].is_urgent
    take(front, build_routing(1))
    front.handle(A, LeaseAnswer(1.0, 1), 1.01)
    assert not list_messages(front.advance(2.0), LeaseQuestion)[0].is_urgent


def test_front_admits_as_soon_as_the_document_comes_after_the_lease(front):
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.0)
    front.handle(A, LeaseAnswer(1.0, 1), 1.01)
    assert not front.may_admit(1.02)
    take(front, build_routing(1), now=1.03)
    # Not only after the next question, which is 0.4 s away.
    assert front.may_admit(1.03)


def test_leader_that_won_again_hears_all_open_jobs(front, long_job):
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.2)
    again = front.handle(A, ControlNews([A, B], A, 3, 2), 1.4)
    assert list_messages(again, OpenJobs)[0].jobs
    assert front.handle(A, ControlNews([A, B], A, 3, 2), 1.5) == []


def test_leader_hears_of_jobs_that_the_front_placed_alone(front):
    take(front, build_routing(1, services=[build_service(engine=PROFILE)]))
    news = [EndpointNews(build_endpoint(n), False) for n in range(1, 19)]
    front.handle(A, EndpointChanges(news), 1.0)
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.2)
    work = build_work("short", 5_000)
    placement = front.place(work, 1.3)
    actions = front.open_job(work, placement, 1.3, is_own=True)
    assert list_messages(actions, OpenJobs)[0].jobs[0].work == work
    assert front.open_job(work, placement, 1.3, is_own=False) == []


def test_control_instance_that_was_replaced_is_not_dialled_for_ever(front):
    other = "10.1.0.3:7000"
    front.note_seeds([A])
    front.handle(A, ControlNews([A, B], A, 1, 2), 1.0)
    front.handle(A, ControlNews([A, other], A, 1, 2), 2.0)
    assert front.instances == {A, B, other}, "its link is still up"
    front.remove_link(B)
    assert front.instances == {A, other}


def test_minority_s_older_list_takes_no_instance_away(front):
    other = "10.1.0.3:7000"
    front.note_seeds([])
    front.handle(A, ControlNews([A, other], A, 5, 2), 1.0)
    front.handle(B, ControlNews([A, B], None, 4, 2), 1.1)
    assert front.instances == {A, B, other}


def test_member_with_a_new_disk_takes_no_instance_away(front):
    other, newest = "10.1.0.3:7000", "10.1.0.4:7000"
    front.note_seeds([A])
    front.handle(A, ControlNews([A, B, other], other, 5, 2), 1.0)
    # It was replaced, and knows of the leader's first message only.
    front.handle(B, ControlNews([newest], other, 5, 2), 1.1)
    assert front.instances == {A, B, other, newest}
