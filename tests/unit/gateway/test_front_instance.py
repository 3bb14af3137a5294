"""State of a front when links, leaders and routing documents change."""

import msgspec
import pytest

from scalebend.core.gateway.front_instance import FrontInstance
from scalebend.core.gateway.messages import (
    ControlStatus,
    EndpointChanges,
    JobStages,
    LeaseReply,
    LeaseRequest,
    OpenJobs,
    Subscribe,
)
from scalebend.core.gateway.placement_repair import drop_replicas
from scalebend.core.gateway.routing_store import build_update
from scalebend.models.endpoints import EndpointUpdate
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


def apply_routing(front, routing, base=EMPTY_ROUTING, now=1.0):
    return front.handle(A, build_update(base, routing), now)


def test_front_is_ready_only_with_document_and_lease(front):
    assert not front.is_ready(1.0)
    apply_routing(front, build_routing(1))
    assert not front.is_ready(1.0)
    front.handle(A, LeaseReply(1.0, 1), 1.1)
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.1)
    front.advance(1.1)
    assert front.is_ready(1.2)
    front.is_draining = True
    assert not front.is_ready(1.2)
    assert front.may_admit(1.2)


def test_front_without_messages_from_its_leader_is_not_ready(front):
    apply_routing(front, build_routing(1))
    front.handle(A, LeaseReply(1.0, 1), 1.1)
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.1)
    assert front.is_ready(1.2)
    # The link is up and others send messages, but the leader does not.
    front.handle(B, ControlStatus([A, B], A, 1, 2), 2.0)
    front.advance(2.2)
    assert front.is_cut_off(2.2)
    assert not front.is_ready(2.2)
    assert front.may_admit(2.2)
    front.handle(A, ControlStatus([A, B], A, 1, 2), 2.3)
    assert front.is_ready(2.4)


def test_older_document_is_never_applied(front):
    newer = build_routing(5, [build_route(name="five")])
    apply_routing(front, newer)
    apply_routing(front, build_routing(3, [build_route(name="three")]))
    assert front.table.routing.version == 5
    assert front.table.find_route("a.example", "/").name == "five"


def test_update_for_another_base_subscribes_again(front):
    apply_routing(front, build_routing(1))
    actions = apply_routing(front, build_routing(9), base=build_routing(4))
    assert list_messages(actions, Subscribe) == [Subscribe(1)]
    assert front.table.routing.version == 1


def test_lease_reply_with_a_newer_version_subscribes_to_it(front):
    apply_routing(front, build_routing(1))
    actions = front.handle(A, LeaseReply(1.0, 2), 1.1)
    assert list_messages(actions, Subscribe) == [Subscribe(1)]
    assert not front.may_admit(1.1)


def test_leader_of_the_highest_term_gets_requests(front):
    front.handle(A, ControlStatus([A, B], A, 4, 2), 1.0)
    assert front.leader == A
    front.handle(B, ControlStatus([A, B], B, 3, 2), 1.0)
    assert front.leader == A
    actions = front.handle(B, ControlStatus([A, B], B, 5, 2), 1.0)
    assert front.leader == B
    assert list_messages(actions, LeaseRequest)
    assert {action.instance for action in actions} == {B}


def test_leader_without_a_link_gets_no_requests(front):
    front.remove_link(B)
    front.handle(A, ControlStatus([A, B], B, 5, 2), 1.0)
    assert front.leader is None
    front.add_link(B)
    front.handle(A, ControlStatus([A, B], B, 5, 2), 1.5)
    assert front.leader == B


def test_members_are_remembered(front):
    front.handle(A, ControlStatus([A, "10.1.0.3:7000"], A, 1, 2), 1.0)
    assert front.instances == {A, B, "10.1.0.3:7000"}


def test_new_leader_receives_open_jobs_with_their_age(front):
    apply_routing(front, build_routing(1, services=[build_service(engine=PROFILE)]))
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.0)
    front.handle(A, EndpointChanges([EndpointUpdate(build_endpoint(), False)]), 1.0)
    for number in (1, 2):
        work = build_quick(number)
        front.open_job(work, front.place(work, 1.0), 1.0, is_uncoordinated=True)
    front.record_stage(JobStage("front-1-1", is_ended=True), 1.5)
    front.record_stage(JobStage("front-1-2", is_ended=False), 1.5)
    front.remove_link(A)
    actions = front.handle(B, ControlStatus([A, B], B, 2, 2), 2.0)
    (message,) = list_messages(actions, OpenJobs)
    (job,) = msgspec.msgpack.decode(msgspec.msgpack.encode(message), type=OpenJobs).jobs
    assert job.work.job == "front-1-2"
    assert job.is_decoding
    assert job.age == 1.0


def test_front_without_a_leader_admits_requests_but_is_not_ready(front):
    apply_routing(front, build_routing(1))
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.0)
    front.handle(A, LeaseReply(1.0, 1), 1.0)
    front.advance(1.0)
    front.remove_link(A)
    front.advance(1.5)
    assert front.is_ready(1.5)
    front.advance(2.5)
    assert not front.is_ready(2.5)
    assert front.may_admit(2.5)


@pytest.fixture
def long_job(front):
    """A long prompt that is queued on several replicas, and its placement."""
    apply_routing(front, build_routing(1, services=[build_service(engine=PROFILE)]))
    changes = [EndpointUpdate(build_endpoint(n), False) for n in range(1, 19)]
    front.handle(A, EndpointChanges(changes), 1.0)
    work = build_work("long", 210_000)
    placement = front.place(work, 1.0)
    assert placement.helpers
    front.open_job(work, placement, 1.0, is_uncoordinated=True)
    return work, placement


def start_drain(front, upstream, now):
    number = int(upstream.removeprefix("i-"))
    change = EndpointUpdate(build_endpoint(number, sequence=2, is_draining=True), False)
    front.handle(A, EndpointChanges([change]), now)


def test_replica_that_drains_before_the_job_starts_is_unusable(front, long_job):
    _, placement = long_job
    assert front.list_unusable(placement, 0.0) == set()
    draining = placement.helpers[-1].upstream
    start_drain(front, draining, 1.5)
    assert front.list_unusable(placement, 0.0) == {draining}


def test_job_without_its_draining_replica_keeps_its_age(front, long_job):
    work, placement = long_job
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.2)
    draining = placement.helpers[-1].upstream
    start_drain(front, draining, 1.5)
    kept = drop_replicas(placement, front.list_unusable(placement, 0.0))
    assert draining not in kept.upstreams
    messages = [action.message for action in front.replace_job(work.job, kept, 1.5)]
    # The leader must drop the job first: it ignores jobs that it knows.
    assert messages[0] == JobStages([JobStage(work.job, is_ended=True)])
    (opened,) = messages[1].jobs
    assert opened.placement == kept
    assert opened.age == 0.5
    assert opened.work == work
    assert front.scheduler.open_jobs == 1


def test_lease_request_is_urgent_without_a_lease(front):
    actions = front.handle(A, ControlStatus([A, B], A, 1, 2), 1.0)
    assert list_messages(actions, LeaseRequest)[0].is_urgent
    apply_routing(front, build_routing(1))
    front.handle(A, LeaseReply(1.0, 1), 1.01)
    assert not list_messages(front.advance(2.0), LeaseRequest)[0].is_urgent


def test_front_admits_once_the_document_of_its_lease_arrives(front):
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.0)
    front.handle(A, LeaseReply(1.0, 1), 1.01)
    assert not front.may_admit(1.02)
    apply_routing(front, build_routing(1), now=1.03)
    # Without waiting for the next lease request, 0.4 s later.
    assert front.may_admit(1.03)


def test_leader_of_a_newer_term_receives_all_open_jobs(front, long_job):
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.2)
    again = front.handle(A, ControlStatus([A, B], A, 3, 2), 1.4)
    assert list_messages(again, OpenJobs)[0].jobs
    assert front.handle(A, ControlStatus([A, B], A, 3, 2), 1.5) == []


def test_leader_receives_uncoordinated_jobs(front):
    apply_routing(front, build_routing(1, services=[build_service(engine=PROFILE)]))
    changes = [EndpointUpdate(build_endpoint(n), False) for n in range(1, 19)]
    front.handle(A, EndpointChanges(changes), 1.0)
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.2)
    work = build_work("short", 5_000)
    placement = front.place(work, 1.3)
    actions = front.open_job(work, placement, 1.3, is_uncoordinated=True)
    assert list_messages(actions, OpenJobs)[0].jobs[0].work == work
    assert front.open_job(work, placement, 1.3, is_uncoordinated=False) == []


def test_replaced_control_instance_is_not_dialled_once_its_link_is_lost(front):
    other = "10.1.0.3:7000"
    front.set_seeds([A])
    front.handle(A, ControlStatus([A, B], A, 1, 2), 1.0)
    front.handle(A, ControlStatus([A, other], A, 1, 2), 2.0)
    assert front.instances == {A, B, other}, "its link is still up"
    front.remove_link(B)
    assert front.instances == {A, other}


def test_list_of_an_older_term_removes_no_instance(front):
    other = "10.1.0.3:7000"
    front.set_seeds([])
    front.handle(A, ControlStatus([A, other], A, 5, 2), 1.0)
    front.handle(B, ControlStatus([A, B], None, 4, 2), 1.1)
    assert front.instances == {A, B, other}


def test_list_of_a_member_with_a_new_disk_removes_no_instance(front):
    other, newest = "10.1.0.3:7000", "10.1.0.4:7000"
    front.set_seeds([A])
    front.handle(A, ControlStatus([A, B, other], other, 5, 2), 1.0)
    # It was replaced, and has received only the leader's first message.
    front.handle(B, ControlStatus([newest], other, 5, 2), 1.1)
    assert front.instances == {A, B, other, newest}
