"""Waiting at the leader, between a front and its leader: old, lost and new ones."""

import asyncio

import msgspec
import pytest

from scalebend.core.gateway.messages import (
    ControlStatus,
    JobStages,
    LinkMessage,
    PlacementReply,
    PlacementRequest,
)
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.ids import Term
from scalebend.models.placement import Declined, EngineWork, JobStage, Placement
from tests.lib.gateway_builders import (
    PROFILE,
    build_customer,
    build_endpoint,
    build_quick,
    build_routing,
    build_service,
    build_settings,
    build_work,
)
from tests.lib.gateway_group import LEADER, TICK, Deployment

RANKED = (msgspec.structs.replace(build_customer("crew"), priority=1),)


class OldRequest(msgspec.Struct, frozen=True, tag="PlaceQuestion"):
    work: EngineWork


class OldReply(msgspec.Struct, frozen=True, tag="PlaceAnswer"):
    job: str
    placement: Placement | None = None
    declined: Declined | None = None


def build_full_deployment(customers=RANKED, replicas=1):
    """Build a deployment whose replicas all have full memory."""
    deployment = Deployment(1, replicas, PROFILE, customers=customers)
    (front,) = deployment.fronts
    full = []
    for number in range(replicas):
        job = front.settings.instance.replace(":", "-")
        work = build_work(number, 444_000, target=60.0)
        work = msgspec.structs.replace(work, job=f"{job}-{number}")
        assert isinstance(deployment.place(front, work), Placement)
        deployment.record_stage(front, work.job, is_ended=False)
        full.append(work.job)
    return deployment, front, full


def build_job(front, number, prompt=200_000, **changes):
    job = f"{front.settings.instance.replace(':', '-')}-{number}"
    return msgspec.structs.replace(build_work(number, prompt, **changes), job=job)


def ask(deployment, work, *, may_wait=True):
    request = PlacementRequest(work, may_wait)
    (action,) = deployment.leader.handle_front(
        deployment.names[0], request, deployment.now
    )
    return action.message


def list_replies(actions, job):
    return [
        action.message
        for action in actions
        if isinstance(getattr(action, "message", None), PlacementReply)
        and action.message.job == job
    ]


# Leader


def test_waiting_request_gets_a_later_reply():
    deployment, front, (full,) = build_full_deployment()
    work = build_job(front, "next")
    reply = ask(deployment, work)
    assert reply.is_queued and reply.placement is None and reply.declined is None
    ended = JobStages([JobStage(full, is_ended=True)])
    actions = deployment.leader.handle_front(deployment.names[0], ended, deployment.now)
    (released,) = list_replies(actions + deployment.run(3 * TICK), work.job)
    assert released.placement is not None
    assert not released.is_queued


def test_document_without_ranked_customers_has_no_queue():
    for customers in ((), (build_customer("crew"),)):
        deployment, front, _ = build_full_deployment(customers)
        reply = ask(deployment, build_job(front, "next"))
        assert reply.declined is not None
        assert not reply.is_queued
        assert deployment.leader.placement.queue.waiting == 0


def test_front_of_an_earlier_version_is_answered_as_before():
    deployment, front, _ = build_full_deployment()
    work = build_job(front, "next")
    sent = msgspec.msgpack.encode(OldRequest(work))
    request = msgspec.msgpack.decode(sent, type=LinkMessage)
    assert request == PlacementRequest(work, may_wait=False)
    reply = ask(deployment, work, may_wait=request.may_wait)
    assert reply.declined is not None
    assert (
        msgspec.msgpack.decode(msgspec.msgpack.encode(reply), type=OldReply).declined
        == reply.declined
    )


def test_leader_of_an_earlier_version_reads_the_request_and_never_queues():
    work = build_work(1, 200_000)
    sent = msgspec.msgpack.encode(PlacementRequest(work, may_wait=True))
    assert msgspec.msgpack.decode(sent, type=OldRequest).work == work
    declined = Declined(0.5)
    reply = msgspec.msgpack.encode(OldReply(work.job, declined=declined))
    assert msgspec.msgpack.decode(reply, type=LinkMessage) == PlacementReply(
        work.job, declined=declined
    )


def test_new_leader_learns_what_waits_when_the_front_asks_again():
    deployment, front, _ = build_full_deployment()
    work = build_job(front, "next")
    assert ask(deployment, work).is_queued
    deployment.lose_leader()
    deployment.replace_leader()
    deployment.run(0.3)
    assert deployment.leader.placement.queue.waiting == 0
    assert ask(deployment, work).is_queued
    assert ask(deployment, work).is_queued
    assert deployment.leader.placement.queue.waiting == 1


def test_lost_front_does_not_wait():
    deployment, front, (full,) = build_full_deployment()
    assert ask(deployment, build_job(front, "next")).is_queued
    deployment.cut_front(0, is_noticed=True)
    assert deployment.leader.placement.queue.waiting == 0


def test_job_that_its_front_placed_alone_does_not_wait():
    deployment, front, (full,) = build_full_deployment()
    work = build_job(front, "next")
    assert ask(deployment, work).is_queued
    deployment.record_stage(front, work.job, is_ended=True)
    assert deployment.leader.placement.queue.waiting == 0
    deployment.record_stage(front, full, is_ended=True)
    assert list_replies(deployment.run(3 * TICK), work.job) == []


# Front


class FakeLeader:
    """Answers the placement requests of one front as the test says."""

    def __init__(self, runtime):
        self.runtime = runtime
        self.asked = []
        self.stages = []
        self.answers = []
        runtime.leader_calls._send = self.send

    def send(self, _, message):
        match message:
            case PlacementRequest(work):
                self.asked.append(work)
                reply = self.answers.pop(0) if self.answers else None
                if reply is not None:
                    reply = msgspec.structs.replace(reply, job=work.job)
                    asyncio.get_running_loop().call_soon(self.push, reply)

    def push(self, reply):
        self.runtime._receive(LEADER, reply)


QUEUED = PlacementReply("", is_queued=True, queued=1.0)


def build_front(replicas=0):
    runtime = FrontRuntime(build_settings(), GatewayMetrics())
    instance = runtime.instance
    instance.add_link(LEADER)
    status = ControlStatus([LEADER], LEADER, Term(1), 1)
    instance.handle(LEADER, status, runtime.now())
    routing = build_routing(services=[build_service(engine=PROFILE)])
    instance.table = type(instance.table)(routing)
    for number in range(1, replicas + 1):
        instance.directory.register(build_endpoint(number), runtime.now())
    return runtime, FakeLeader(runtime)


def build_reply(job, start_in=0.0, **changes):
    placement = Placement("i-1", "10.1.64.1:8000", (), start_in + 0.1, start_in)
    return PlacementReply(job, placement, **changes)


def run(test):
    asyncio.run(asyncio.wait_for(test(), 5.0))


def count_ends(runtime):
    ends = []
    record = runtime.instance.record_stage

    def record_stage(stage: JobStage, now):
        if stage.is_ended:
            ends.append(stage.job)
        return record(stage, now)

    runtime.instance.record_stage = record_stage
    return ends


def test_front_waits_for_the_later_reply():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED]
        work = build_work(1, 200_000)
        placing = asyncio.create_task(runtime.placements.place(work))
        await asyncio.sleep(0.1)
        assert not placing.done()
        leader.push(build_reply(work.job))
        decision = await placing
        assert decision.leader == LEADER
        assert decision.placed.upstream == "i-1"
        assert 0.09 <= decision.waited < 0.4
        assert len(leader.asked) == 1
        assert not runtime.leader_calls.is_queued(work.job)

    run(test)


def test_front_asks_again_with_its_age():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED, QUEUED, build_reply("")]
        decision = await runtime.placements.place(
            build_work(1, 200_000, remaining=10.0)
        )
        first, second, third = leader.asked
        assert first.waited == 0.0
        assert 0.4 <= second.waited < third.waited
        assert third.waited + third.remaining == pytest.approx(10.0)
        assert isinstance(decision.placed, Placement)

    run(test)


def test_front_is_told_that_there_will_be_no_room():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED]
        work = build_work(1, 200_000)
        placing = asyncio.create_task(runtime.placements.place(work))
        await asyncio.sleep(0.05)
        leader.push(PlacementReply(work.job, declined=Declined(2.0)))
        assert (await placing).placed == Declined(2.0)

    run(test)


def test_front_decides_alone_when_the_leader_is_silent():
    async def test():
        runtime, leader = build_front(replicas=2)
        leader.answers = [QUEUED]
        ends = count_ends(runtime)
        work = build_work(1, 100_000)
        decision = await runtime.placements.place(work)
        assert decision.leader is None
        assert isinstance(decision.placed, Placement)
        assert work.job in ends

    run(test)


def test_front_announces_to_a_new_leader_at_once():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED, build_reply("")]
        placing = asyncio.create_task(runtime.placements.place(build_work(1, 200_000)))
        await asyncio.sleep(0.05)
        runtime.leader_calls.record_new_leader()
        decision = await asyncio.wait_for(placing, 0.2)
        assert isinstance(decision.placed, Placement)
        assert len(leader.asked) == 2

    run(test)


def test_front_without_room_waits_for_the_next_leader():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED, None, None, build_reply("")]
        decision = await runtime.placements.place(
            build_work(1, 200_000, remaining=20.0)
        )
        assert isinstance(decision.placed, Placement)
        assert decision.leader == LEADER
        assert len(leader.asked) == 4

    run(test)


def test_wait_without_a_leader_ends_in_time():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED]
        started = runtime.now()
        decision = await runtime.placements.place(build_work(1, 200_000, remaining=2.0))
        assert isinstance(decision.placed, Declined)
        assert runtime.now() - started < 1.7

    run(test)


def test_caller_that_leaves_is_reported():
    async def test():
        runtime, leader = build_front()
        leader.answers = [QUEUED]
        ends = count_ends(runtime)
        work = build_work(1, 200_000)
        placing = asyncio.create_task(runtime.placements.place(work))
        await asyncio.sleep(0.05)
        placing.cancel()
        with pytest.raises(asyncio.CancelledError):
            await placing
        assert ends == [work.job]
        assert not runtime.leader_calls.is_queued(work.job)

    run(test)


def test_planned_prompt_is_sent_as_soon_as_the_leader_says_so():
    async def test():
        runtime, leader = build_front(replicas=1)
        leader.answers = [build_reply("", 3.0, is_queued=True, queued=3.0)]
        work = build_work(1, 200_000)
        decision = await runtime.placements.place(work)
        waiting = asyncio.create_task(
            runtime.placements.wait_for_start(work, decision.placed)
        )
        await asyncio.sleep(0.05)
        leader.push(build_reply(work.job))
        placed = await asyncio.wait_for(waiting, 0.2)
        assert placed.start_in == 0.0
        assert len(leader.asked) == 1

    run(test)


def test_planned_prompt_starts_as_planned_without_a_leader():
    async def test():
        runtime, leader = build_front(replicas=1)
        leader.answers = [build_reply("", 0.4, is_queued=True, queued=0.4)]
        work = build_work(1, 200_000)
        decision = await runtime.placements.place(work)
        ends = count_ends(runtime)
        started = runtime.now()
        placed = await runtime.placements.wait_for_start(work, decision.placed)
        assert placed.upstream == "i-1"
        assert 0.3 <= runtime.now() - started < 0.8
        assert not runtime.leader_calls.is_queued(work.job)
        assert ends == []

    run(test)


def test_planned_prompt_does_not_start_when_its_room_was_given_away():
    async def test():
        runtime, leader = build_front(replicas=1)
        planned = build_reply("", 0.3, is_queued=True, queued=0.3)
        leader.answers = [planned, QUEUED, build_reply("")]
        work = build_work(1, 200_000)
        decision = await runtime.placements.place(work)
        started = runtime.now()
        await runtime.placements.wait_for_start(work, decision.placed)
        assert len(leader.asked) == 3
        assert runtime.now() - started > 0.7

    run(test)


def test_late_reply_to_a_front_that_decided_alone_is_dropped():
    async def test():
        runtime, leader = build_front(replicas=1)
        work = build_quick(1)
        decision = await runtime.placements.place(work)
        assert decision.leader is None
        leader.push(msgspec.structs.replace(QUEUED, job=work.job))
        assert not runtime.leader_calls.is_queued(work.job)

    run(test)
