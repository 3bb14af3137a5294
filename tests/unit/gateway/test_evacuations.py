"""Evacuated availability zones: the order at control, and who obeys it."""

import random
from collections import Counter

import pytest
from hypothesis import given, strategies as st

from scalebend.core.evacuations import apply_order
from scalebend.core.gateway.control_actions import ProposalEnded
from scalebend.core.gateway.endpoint_directory import GONE_RETENTION_S
from scalebend.core.gateway.evacuation_push import LEARNING_HEARTBEATS
from scalebend.core.gateway.messages import ControlStatus
from scalebend.core.gateway.placement_repair import drop_replicas
from scalebend.exceptions import ErrorKind, RefusedError, RequestError
from scalebend.models.evacuations import NO_EVACUATIONS, EvacuationOrder
from scalebend.models.ids import AvailabilityZone, InstanceId
from scalebend.models.placement import Declined, Helper, Placement
from scalebend.platform.evacuations import (
    build_order_path,
    decode_order,
    encode_evacuations,
)
from tests.lib.gateway_builders import (
    PROFILE,
    SERVICE,
    build_endpoint,
    build_quick,
    build_routing,
    build_service,
    build_work,
)
from tests.lib.gateway_group import LEADER, build_deployment
from tests.unit.gateway.test_control_instance import (
    FRONT,
    OTHER_FRONT,
    SingleMemberGroup,
    list_messages_to_fronts,
)

NEAR, FAR = AvailabilityZone("near"), AvailabilityZone("far")
EVACUATE, WITHDRAW = EvacuationOrder(FAR), EvacuationOrder(FAR, is_withdrawn=True)
LEARNING_S = LEARNING_HEARTBEATS * 1.2 + 0.5
"""Time after which the group's leader has heard of all upstreams."""


# Orders and revisions


def test_repeated_order_changes_nothing():
    assert apply_order(NO_EVACUATIONS, WITHDRAW, 1.0) is NO_EVACUATIONS
    once = apply_order(NO_EVACUATIONS, EVACUATE, 1.0)
    assert apply_order(once, EVACUATE, 2.0) is once
    assert (once.revision, once.evacuated) == (1, {FAR})
    withdrawn = apply_order(once, WITHDRAW, 3.0)
    assert (withdrawn.revision, withdrawn.evacuated) == (2, frozenset())
    assert apply_order(withdrawn, WITHDRAW, 4.0) is withdrawn


@given(st.lists(st.tuples(st.sampled_from([NEAR, FAR]), st.booleans())))
def test_last_order_of_each_zone_holds(orders):
    held = NO_EVACUATIONS
    for zone, is_withdrawn in orders:
        before = held
        held = apply_order(held, EvacuationOrder(zone, is_withdrawn), 0.0)
        assert held.revision == before.revision + (held.evacuated != before.evacuated)
    last = dict(orders)
    assert held.evacuated == {zone for zone, withdrawn in last.items() if not withdrawn}


def test_order_gets_a_revision_above_all_that_its_proposer_holds():
    changed = apply_order(NO_EVACUATIONS, EvacuationOrder(FAR, held=7), 1.0)
    assert (changed.revision, changed.evacuated) == (8, {FAR})
    # Nothing but the revision changes, since fronts ignore the lower one.
    raised = apply_order(changed, EvacuationOrder(FAR, held=9), 2.0)
    assert (raised.revision, raised.evacuated) == (10, {FAR})
    assert apply_order(raised, EvacuationOrder(FAR, held=10), 3.0) is raised
    assert apply_order(raised, EvacuationOrder(FAR, held=9), 3.0) is raised
    withdrawn = EvacuationOrder(FAR, is_withdrawn=True, held=3)
    never = apply_order(NO_EVACUATIONS, withdrawn, 1.0)
    assert (never.revision, never.evacuated) == (4, frozenset())
    assert [one.revision for one in never.zones] == [4]


# The control instance


def build_leader(*, zones=(NEAR, FAR), seconds=LEARNING_S):
    group = SingleMemberGroup()
    group.run(seconds)
    group.put(build_routing(1, services=[build_service(engine=PROFILE)]))
    for number, zone in enumerate(zones, 1):
        endpoint = build_endpoint(number, availability_zone=zone)
        group.instance.register(endpoint, group.now)
    group.instance.add_front(FRONT, group.now)
    group.instance.add_front(OTHER_FRONT, group.now)
    return group


def order(group, one):
    group.instance.propose_evacuation(one, group.now, 1_000.0)
    return group.pump()


def read_revisions(actions):
    return [
        status.evacuations and status.evacuations.revision
        for status in list_messages_to_fronts(actions, ControlStatus)
    ]


def test_order_reaches_all_fronts_at_once_and_with_each_heartbeat():
    group = build_leader()
    actions = order(group, EVACUATE)
    assert [a.result.revision for a in actions if isinstance(a, ProposalEnded)] == [1]
    assert read_revisions(actions) == [1, 1]
    assert set(read_revisions(group.run(0.6))) == {1}
    # The first message to a new front has it, too.
    first = group.instance.add_front(InstanceId("late"), group.now)
    assert read_revisions(first[:1]) == [1]


def test_repeated_order_is_acknowledged_without_a_message():
    group = build_leader()
    order(group, EVACUATE)
    actions = order(group, EVACUATE)
    assert [a.result.revision for a in actions if isinstance(a, ProposalEnded)] == [1]
    assert read_revisions(actions) == []


@pytest.mark.parametrize("last", [EVACUATE, WITHDRAW])
def test_order_is_in_force_though_the_log_s_revisions_restart_lower(last):
    group = build_leader()
    for one in (EVACUATE, WITHDRAW, EVACUATE):
        order(group, one)
    # As from the snapshot of a member of the version before.
    group.instance.member.state.evacuations = NO_EVACUATIONS
    actions = order(group, last)
    assert [a.result.revision for a in actions if isinstance(a, ProposalEnded)] == [4]
    assert read_revisions(actions) == [4, 4]
    assert group.instance.evacuations.newest.evacuated == (
        {FAR} if last is EVACUATE else frozenset()
    )


def test_heartbeat_says_nothing_of_evacuations_before_the_first():
    group = build_leader()
    assert set(read_revisions(group.run(0.6))) == {None}


def test_unknown_zone_is_refused_and_not_stored():
    group = build_leader()
    with pytest.raises(RequestError) as caught:
        order(group, EvacuationOrder(AvailabilityZone("nowhere")))
    assert caught.value.kind is ErrorKind.UNKNOWN_ZONE
    assert caught.value.response.status == 404
    assert "nowhere" in caught.value.detail
    group.pump()
    assert group.instance.member.state.evacuations == NO_EVACUATIONS


@pytest.mark.parametrize("zones", [(), (NEAR,)])
def test_zone_is_not_refused_for_good_before_upstreams_registered(zones):
    group = build_leader(zones=zones, seconds=1.0)
    with pytest.raises(RefusedError) as caught:
        order(group, EVACUATE)
    assert caught.value.response.status == 503
    group.instance.register(build_endpoint(9, availability_zone=FAR), group.now)
    order(group, EVACUATE)
    assert group.instance.evacuations.newest.evacuated == {FAR}


def test_zone_without_any_upstream_left_stays_known():
    group = build_leader(zones=(FAR,))
    group.run(10.0 + GONE_RETENTION_S)
    assert not group.instance.directory.list_updates()
    order(group, EVACUATE)
    assert group.instance.evacuations.newest.evacuated == {FAR}


def test_withdrawal_is_acknowledged_again_after_the_zone_s_upstreams_left():
    group = build_leader()
    order(group, EVACUATE)
    order(group, WITHDRAW)
    group.instance.directory.zones.discard(FAR)
    actions = order(group, WITHDRAW)
    assert [a.result.revision for a in actions if isinstance(a, ProposalEnded)] == [2]


def test_order_waits_for_members_that_would_lose_it():
    group = build_leader()
    instance = group.instance
    instance.evacuations.record_member(instance.me, knows_evacuations=False)
    with pytest.raises(RefusedError) as caught:
        order(group, EVACUATE)
    assert caught.value.response.status == 503
    assert instance.me in caught.value.detail
    instance.evacuations.record_member(instance.me, knows_evacuations=True)
    order(group, EVACUATE)


def test_leader_neither_places_nor_inspects_in_an_evacuated_zone():
    group = build_leader()
    assert set(group.instance.list_engines()) == {"i-1", "i-2"}
    order(group, EVACUATE)
    assert set(group.instance.list_engines()) == {"i-1"}
    assert {e.upstream for e in group.instance.directory.list_usable(SERVICE)} == {
        "i-1"
    }
    order(group, WITHDRAW)
    assert set(group.instance.list_engines()) == {"i-1", "i-2"}


# Fronts


class Deployment:
    """A leader with fronts, and two replicas in each of two zones."""

    def __init__(self, fronts=1):
        self.group = build_deployment(fronts, 0, has_engines=True)
        self.fronts, self.leader = self.group.fronts, self.group.leader
        for number, zone in enumerate((NEAR, NEAR, FAR, FAR), 1):
            endpoint = build_endpoint(number, availability_zone=zone)
            self.group.register(endpoint)
        self.front = self.fronts[0]

    def order(self, one):
        self.leader.propose_evacuation(one, self.group.now, 0.0)
        # Less than a tick, so that no heartbeat is due.
        self.group._deliver(self.group._pump())

    def send(self, evacuations, sender=LEADER, term=1):
        status = ControlStatus([LEADER], LEADER, term, 1, evacuations=evacuations)
        return self.front.handle(sender, status, self.group.now)

    def list_usable(self, front=None):
        usable = (front or self.front).directory.list_usable(SERVICE)
        return {endpoint.upstream for endpoint in usable}


@pytest.mark.parametrize("fronts", [1, 63, 144])
def test_every_front_obeys_before_the_next_heartbeat(fronts):
    deployment = Deployment(fronts)
    deployment.order(EVACUATE)
    for front in deployment.fronts:
        assert deployment.list_usable(front) == {"i-1", "i-2"}
    deployment.order(WITHDRAW)
    for front in deployment.fronts:
        assert deployment.list_usable(front) == {"i-1", "i-2", "i-3", "i-4"}


def test_front_that_missed_the_order_gets_it_by_a_heartbeat_or_its_next_link():
    deployment = Deployment(2)
    one, other = deployment.fronts
    deployment.leader.propose_evacuation(EVACUATE, deployment.group.now, 0.0)
    deployment.group._pump()
    assert deployment.list_usable(one) == {"i-1", "i-2", "i-3", "i-4"}
    deployment.group.cut_front(1, is_noticed=True)
    deployment.group.run(0.6)
    assert deployment.list_usable(one) == {"i-1", "i-2"}
    assert deployment.list_usable(other) == {"i-1", "i-2", "i-3", "i-4"}
    deployment.group.link_front(1)
    assert deployment.list_usable(other) == {"i-1", "i-2"}


def test_higher_revision_wins_whoever_sends_it_and_whenever():
    deployment = Deployment()
    first = apply_order(NO_EVACUATIONS, EVACUATE, 0.0)
    second = apply_order(first, WITHDRAW, 1.0)
    third = apply_order(second, EVACUATE, 2.0)
    deployment.send(third, sender=InstanceId("follower"), term=0)
    assert deployment.list_usable() == {"i-1", "i-2"}
    for stale in (second, first, NO_EVACUATIONS, None):
        deployment.send(stale, term=9)
        assert deployment.list_usable() == {"i-1", "i-2"}
    deployment.send(apply_order(third, WITHDRAW, 3.0))
    assert deployment.list_usable() == {"i-1", "i-2", "i-3", "i-4"}


def test_front_cut_off_from_control_keeps_what_it_knew():
    deployment = Deployment()
    deployment.order(EVACUATE)
    deployment.group.lose_leader()
    deployment.group.run(3.0)
    assert deployment.list_usable() == {"i-1", "i-2"}
    for number in range(40):
        placed = deployment.group.place(deployment.front, build_quick(number))
        assert placed.upstream in ("i-1", "i-2")


def test_new_replica_of_an_evacuated_zone_is_not_used():
    deployment = Deployment()
    deployment.order(EVACUATE)
    deployment.group.register(build_endpoint(9, availability_zone=FAR))
    deployment.group.run(0.2)
    assert deployment.list_usable() == {"i-1", "i-2"}
    deployment.order(WITHDRAW)
    assert "i-9" in deployment.list_usable()


@pytest.mark.parametrize("is_led", [True, False])
def test_neither_lead_replicas_nor_helpers_are_chosen_there(is_led):
    deployment = Deployment()
    deployment.order(EVACUATE)
    if not is_led:
        deployment.group.lose_leader()
    placed = deployment.group.place(
        deployment.front, build_work(1, 700_000, target=9.0)
    )
    assert set(placed.upstreams) == {"i-1", "i-2"}


def test_plain_calls_are_not_sent_there():
    deployment = Deployment()
    deployment.order(EVACUATE)
    chance = random.Random(1)
    chosen = {
        deployment.group.choose_upstream(deployment.front, chance) for _ in range(50)
    }
    assert chosen == {"i-1", "i-2"}


def test_queued_prompt_drops_the_zone_before_it_is_sent():
    deployment = Deployment()
    helpers = (Helper("i-3", "a"), Helper("i-2", "b"))
    placement = Placement("i-1", "c", helpers, 2.0, 1.0)
    now = deployment.group.now
    assert not deployment.front.list_unusable(placement, now)
    deployment.order(EVACUATE)
    unusable = deployment.front.list_unusable(placement, now)
    assert unusable == {"i-3"}
    assert drop_replicas(placement, unusable).upstreams == ["i-1", "i-2"]


def test_work_without_any_replica_left_is_declined_with_a_time():
    deployment = Deployment()
    deployment.order(EVACUATE)
    deployment.order(EvacuationOrder(NEAR))
    placed = deployment.group.place(deployment.front, build_quick(1))
    assert isinstance(placed, Declined) and placed.retry_after > 0.0
    assert deployment.front.directory.is_evacuated(SERVICE)
    assert not deployment.front.directory.is_evacuated("of-nobody")


def test_open_jobs_and_records_of_the_zone_are_kept():
    deployment = Deployment()
    group, scheduler = deployment.group, deployment.leader.scheduler

    def count_jobs():
        busy = scheduler.list_busy(group.now, 9)
        return Counter({one.upstream: one.decoding for one in busy if one.decoding})

    works = [build_quick(number) for number in range(16)]
    placed = {w.job: group.place(deployment.front, w).upstream for w in works[:8]}
    before = count_jobs()
    there = [job for job, upstream in placed.items() if upstream in ("i-3", "i-4")]
    assert len(there) == before["i-3"] + before["i-4"] > 0
    deployment.order(EVACUATE)
    # Each choice works on the replicas that are left.
    for work in works[8:]:
        placed[work.job] = group.place(deployment.front, work).upstream
        assert placed[work.job] in ("i-1", "i-2")
    group.run(2.0)
    directory = deployment.front.directory
    assert scheduler.open_jobs == 16
    during = count_jobs()
    assert during["i-3"] + during["i-4"] == len(there)
    # What ends there gives its load back, as do the others.
    for job in there:
        group.record_stage(deployment.front, job, is_ended=True)
    assert count_jobs().keys() <= {"i-1", "i-2"}
    assert scheduler.open_jobs == 16 - len(there)
    deployment.order(EvacuationOrder(NEAR))
    deployment.order(WITHDRAW)
    late = group.place(deployment.front, build_quick(99)).upstream
    assert late in ("i-3", "i-4")
    assert count_jobs()[late] == 1
    assert directory.get("i-3") is not None
    assert not directory.is_lost("i-3")
    assert "i-3" in directory.list_ids()


# The operator's interface


def test_orders_are_decoded():
    assert decode_order("POST", "/evacuations/far", b"") == EVACUATE
    assert decode_order("DELETE", "/evacuations/far", b"") == WITHDRAW


@pytest.mark.parametrize("zone", ["a/b", "a b", "50%", "a%2Fb", "ö?"])
def test_quoted_names_are_decoded_once(zone):
    order = decode_order("POST", build_order_path(zone), b"")
    assert order.availability_zone == zone


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/evacuations/", b"", 404),
        ("/evacuations/far/", b"", 404),
        ("/evacuations/far/near", b"", 404),
        ("/evacuations%2Ffar", b"", 404),
        ("/evacuations/" + "x" * 300, b"", 404),
        ("/evacuations/far", b"{}", 400),
    ],
)
def test_malformed_orders_are_refused_with_their_path(path, body, status):
    with pytest.raises(RequestError) as caught:
        decode_order("POST", path, body)
    assert caught.value.response.status == status
    assert path in caught.value.detail


def test_list_names_evacuated_and_withdrawn_zones():
    held = apply_order(NO_EVACUATIONS, EvacuationOrder(NEAR), 1.0)
    held = apply_order(held, EVACUATE, 2.0)
    held = apply_order(held, WITHDRAW, 3.5)
    assert encode_evacuations(held) == (
        b'{"Revision":3,"Evacuated":[{"Zone":"near","Since":1.0,"Revision":1}],'
        b'"Withdrawn":[{"Zone":"far","Since":3.5,"Revision":3}]}'
    )
