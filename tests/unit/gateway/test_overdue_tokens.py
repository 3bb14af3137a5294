"""Replicas whose first tokens do not come, and second attempts at the leader."""

import msgspec

from scalebend.core.gateway.engine_scheduler import (
    PREFILL_OVERRUN_FACTOR,
    EngineScheduler,
)
from scalebend.core.gateway.hedging import MAX_LOAD, is_fit
from scalebend.core.gateway.leader_placement import LeaderPlacement
from scalebend.core.gateway.messages import LinkMessage, ReplicaFailures
from scalebend.core.gateway.overdue_tokens import (
    FIRST_EXCLUSION_S,
    MAX_EXCLUDED_SHARE,
    MAX_EXCLUSION_S,
    MIN_OVERDUE,
    OVERDUE_WINDOW_S,
)
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import (
    BusyReplica,
    Declined,
    EngineWork,
    JobStage,
    Placement,
)
from scalebend.models.rate_limits import ObservedLimit
from tests.lib.gateway_builders import PROFILE, build_endpoint, build_quick, build_work
from tests.lib.gateway_group import build_deployment

ENDPOINTS = [build_endpoint(number) for number in range(1, 10)]
NOW = 100.0
FREE_PERMITS_S = 2.0
"""Time in which permits of a limited replica become free."""


def place(scheduler, number, now):
    return scheduler.place(build_quick(number), ENDPOINTS, PROFILE, now)


def record_overdue(scheduler, upstream, now, count=MIN_OVERDUE):
    """Record overdue tokens; return whether the replica is left out after the last."""
    return [scheduler.record_overdue(upstream, now) for _ in range(count)][-1]


def build_scheduler():
    """Return a scheduler that knows some replicas by their load."""
    scheduler = EngineScheduler()
    for endpoint in ENDPOINTS:
        scheduler.avoid(endpoint.upstream, NOW - 1.0)
    return scheduler


def list_chosen(scheduler, now, count=20):
    """Return the replicas of quick prompts that end at once."""
    chosen = set()
    for number in range(count):
        chosen.add(place(scheduler, number, now).upstream)
        scheduler.forget(build_quick(number).job)
    return chosen


def test_replica_is_left_out_after_several_overdue_tokens():
    scheduler = build_scheduler()
    (hung,) = list_chosen(scheduler, NOW)
    for _ in range(MIN_OVERDUE - 1):
        assert not scheduler.record_overdue(hung, NOW)
    assert hung in list_chosen(scheduler, NOW)
    assert scheduler.record_overdue(hung, NOW)
    assert hung not in list_chosen(scheduler, NOW)
    assert hung in scheduler.summarise(NOW).suspect
    assert hung in list_chosen(scheduler, NOW + FIRST_EXCLUSION_S + 0.01)


def test_token_in_between_resets_the_count():
    scheduler = build_scheduler()
    first = place(scheduler, 1, NOW)
    hung = first.upstream
    record_overdue(scheduler, hung, NOW, MIN_OVERDUE - 1)
    scheduler.record_stage(JobStage(build_quick(1).job, is_ended=False), NOW)
    assert not record_overdue(scheduler, hung, NOW, MIN_OVERDUE - 1)


def test_first_token_ends_the_exclusion():
    scheduler = build_scheduler()
    hung = place(scheduler, 1, NOW).upstream
    assert record_overdue(scheduler, hung, NOW)
    scheduler.record_stage(JobStage(build_quick(1).job, is_ended=False), NOW)
    scheduler.forget(build_quick(1).job)
    assert hung in list_chosen(scheduler, NOW)


def test_known_long_prefill_explains_overdue_tokens():
    """Guards against leaving a replica out because of prefill that was placed there."""
    scheduler = build_scheduler()
    quick = place(scheduler, 1, NOW)
    others = tuple(one.upstream for one in ENDPOINTS if one.upstream != quick.upstream)
    work = build_work(2, 200_000, excluded=others)
    long = scheduler.place(work, ENDPOINTS, PROFILE, NOW + 0.01)
    assert long.upstreams == [quick.upstream]
    assert long.first_token_in > 1.0
    assert not record_overdue(scheduler, quick.upstream, NOW + 0.1)
    assert quick.upstream not in scheduler.summarise(NOW + 0.1).suspect
    # It hangs if that prefill doesn't end either.
    late = NOW + 0.02 + PREFILL_OVERRUN_FACTOR * long.first_token_in
    assert record_overdue(scheduler, quick.upstream, late)


def test_long_prefill_that_another_scheduler_reports_explains_overdue_tokens():
    scheduler = build_scheduler()
    hung = UpstreamId("i-1")
    scheduler.record_busy_replicas([BusyReplica(hung, 1.5, 1, 0.8)], NOW)
    assert not record_overdue(scheduler, hung, NOW + 1.0)
    assert record_overdue(scheduler, hung, NOW + 1.6)


def test_quick_prompts_explain_no_overdue_tokens():
    scheduler = build_scheduler()
    for number in range(4):
        hung = place(scheduler, number, NOW).upstream
    assert record_overdue(scheduler, hung, NOW + 0.01)


def test_overdue_tokens_long_apart_do_not_add_up():
    scheduler = build_scheduler()
    hung = UpstreamId("i-1")
    for number in range(3 * MIN_OVERDUE):
        now = NOW + number * (OVERDUE_WINDOW_S + 0.1)
        assert not scheduler.record_overdue(hung, now)


def test_exclusion_doubles_while_no_token_comes():
    scheduler = build_scheduler()
    hung, now = UpstreamId("i-1"), NOW
    assert record_overdue(scheduler, hung, now)
    expected = FIRST_EXCLUSION_S
    for _ in range(6):
        # Further ones during the exclusion do not prolong it.
        assert not record_overdue(scheduler, hung, now + expected / 2)
        now += expected
        assert scheduler.summarise(now).suspect == []
        assert scheduler.record_overdue(hung, now)
        expected = min(MAX_EXCLUSION_S, 2.0 * expected)
        assert scheduler.summarise(now + expected - 0.01).suspect == [hung]
    assert expected == MAX_EXCLUSION_S


def test_only_a_share_of_the_replicas_is_left_out():
    scheduler = build_scheduler()
    left_out = [
        record_overdue(scheduler, endpoint.upstream, NOW) for endpoint in ENDPOINTS
    ]
    assert sum(left_out) == int(MAX_EXCLUDED_SHARE * len(ENDPOINTS))


# Messages


class _EarlierFailures(msgspec.Struct, frozen=True, tag="ReplicaFailures"):
    upstreams: list[UpstreamId]


def test_report_is_read_by_processes_of_the_version_before():
    encoded = msgspec.msgpack.encode(ReplicaFailures([], [UpstreamId("i-1")]))
    assert msgspec.msgpack.decode(encoded, type=_EarlierFailures).upstreams == []
    earlier = msgspec.msgpack.encode(_EarlierFailures([UpstreamId("i-2")]))
    decoded = msgspec.msgpack.decode(earlier, type=LinkMessage)
    assert decoded == ReplicaFailures([UpstreamId("i-2")])
    assert decoded.overdue == []


def test_work_of_the_version_before_is_no_second_attempt():
    *earlier, is_second = msgspec.to_builtins(build_quick(1))
    assert is_second is False
    assert msgspec.convert(earlier, EngineWork) == build_quick(1)


# At the leader


def build_group(replicas=9):
    return build_deployment(fronts=2, replicas=replicas, has_engines=True)


def test_report_of_a_front_reaches_the_leader():
    deployment = build_group()
    front = deployment.fronts[0]
    placed = [deployment.place(front, build_quick(n)) for n in range(3)]
    (hung,) = {one.upstream for one in placed}
    for _ in range(MIN_OVERDUE):
        actions = front.record_overdue(hung, deployment.now)
        deployment._send(deployment.names[0], actions)
    assert deployment.leader.scheduler.summarise(deployment.now).suspect == [hung]
    assert deployment.place(deployment.fronts[1], build_quick(9)).upstream != hung


def test_second_attempt_gets_a_replica_of_its_own():
    deployment = build_group()
    front = deployment.fronts[0]
    first = deployment.place(front, build_quick(1))
    work = build_quick(2, is_second=True, excluded=(first.upstream,))
    second = deployment.place(front, work)
    assert isinstance(second, Placement)
    assert is_fit(work, second)
    assert second.upstream != first.upstream


def test_second_attempt_gets_an_idle_replica():
    deployment = build_group()
    front = deployment.fronts[0]
    used = set()
    for number in range(12):
        placed = deployment.place(front, build_quick(number))
        deployment.record_stage(front, build_quick(number).job, is_ended=False)
        used.add(placed.upstream)
    usual = deployment.place(front, build_quick(100))
    second = deployment.place(front, build_quick(101, is_second=True))
    assert usual.upstream in used
    assert second.upstream not in used
    assert second.first_token_in < usual.first_token_in


def test_there_are_no_copies_under_overload():
    deployment = build_group()
    front = deployment.fronts[0]
    slots = PROFILE.slots * len(deployment.endpoints)
    for number in range(slots):
        work = build_quick(number)
        first = deployment.place(front, work)
        assert isinstance(first, Placement)
        deployment.record_stage(front, work.job, is_ended=False)
        opened = deployment.leader.scheduler.open_jobs
        copy = build_quick(10_000 + number, is_second=True, excluded=(first.upstream,))
        placed = deployment.place(front, copy)
        assert isinstance(placed, Placement) == (opened < MAX_LOAD * slots)
        deployment.record_stage(front, copy.job, is_ended=True)
        # A copy that was declined leaves nothing at the leader.
        assert deployment.leader.scheduler.open_jobs == opened


def test_second_attempt_is_not_placed_where_it_would_wait():
    deployment = build_group(replicas=2)
    front = deployment.fronts[0]
    first = deployment.place(front, build_quick(1))
    # The other one has room, but prefills a long prompt.
    long = build_work(2, 100_000, excluded=(first.upstream,))
    busy = deployment.place(front, long)
    assert isinstance(busy, Placement)
    usual = deployment.place(front, build_quick(3, excluded=(first.upstream,)))
    assert isinstance(usual, Placement)
    assert usual.upstream == busy.upstream
    copy = build_quick(4, is_second=True, excluded=(first.upstream,))
    assert isinstance(deployment.place(front, copy), Declined)
    assert deployment.leader.scheduler.open_jobs == 3


def test_second_attempt_does_not_go_to_a_limited_replica():
    deployment = build_group(replicas=2)
    front = deployment.fronts[0]
    limited = [endpoint.upstream for endpoint in deployment.endpoints]
    for upstream in limited:
        deployment.record_limit(front, ObservedLimit(upstream, 5.0, 0))
    deployment.run(FREE_PERMITS_S)
    copy = build_quick(1, is_second=True)
    assert isinstance(deployment.place(front, copy), Declined)
    assert deployment.leader.scheduler.open_jobs == 0


def test_second_attempts_leave_the_send_permits_to_first_ones():
    deployment = build_group(replicas=1)
    front = deployment.fronts[0]
    limit = ObservedLimit(deployment.endpoints[0].upstream, 5.0, 0)
    deployment.record_limit(front, limit)
    deployment.run(FREE_PERMITS_S)
    for number in range(20):
        copy = build_quick(100 + number, is_second=True)
        deployment.place(front, copy)
        deployment.record_stage(front, copy.job, is_ended=True)
    first = deployment.place(front, build_quick(1))
    assert isinstance(first, Placement)
    assert first.start_in == 0.0


def test_second_attempt_does_not_go_to_a_replica_that_is_left_out():
    scheduler = EngineScheduler()
    first, hung = ENDPOINTS[:2]
    assert record_overdue(scheduler, hung.upstream, NOW)
    work = build_quick(1, is_second=True, excluded=(first.upstream,))
    placed = scheduler.place(work, [first, hung], PROFILE, NOW)
    assert isinstance(placed, Declined)
    assert scheduler.open_jobs == 0
    # Other work goes there if no other replica is left.
    usual = build_quick(2, excluded=(first.upstream,))
    assert isinstance(scheduler.place(usual, [first, hung], PROFILE, NOW), Placement)


def test_second_attempt_does_not_overtake_waiting_work(monkeypatch):
    deployment = build_group()
    front = deployment.fronts[0]
    monkeypatch.setattr(LeaderPlacement, "_is_work_waiting", lambda self: True)
    copy = build_quick(1, is_second=True)
    assert isinstance(deployment.place(front, copy), Declined)
    assert isinstance(deployment.place(front, build_quick(2)), Placement)
    assert deployment.leader.scheduler.open_jobs == 1
