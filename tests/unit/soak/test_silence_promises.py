"""Checks of the promises for sound replicas that fall silent."""

import msgspec
import pytest

from scalebend.models.ids import RoutingVersion, ServiceName, UpstreamId
from scalebend.soak.evidence import Evidence
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    Arrival,
    CallerRequest,
    Disturbance,
    Execution,
    IncarnationEnd,
    MisbehaviourPeriod,
    Observations,
    RequestKind,
    SilentRequest,
)
from scalebend.soak.silence_promises import check_second_runs, check_silences

FRONT = ProcessName("front-0")
OTHER_FRONT = ProcessName("front-1")
UPSTREAM = UpstreamId("i-1")


def build_call(request_id="r-1", **changes):
    call = CallerRequest(
        request_id,
        RequestKind.ONCE_STREAM,
        FRONT,
        1,
        RoutingVersion(0),
        sent_at=100.0,
        timeout_s=4.0,
        events=10,
        ended_at=101.6,
    )
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def build_observations(**changes):
    """Build a request that ran at a replica which was silent for 1.3 s meanwhile."""
    observations = Observations()
    call = build_call(**changes)
    observations.caller_requests[call.request_id] = call
    add_silence(observations, call.request_id)
    return observations


def add_silence(observations, request_id, until=101.5, upstream=UPSTREAM):
    silent = SilentRequest(request_id, upstream, 100.2, until)
    observations.silent_requests.append(silent)
    run = Execution(request_id, upstream, 100.1, RoutingVersion(1), False)
    observations.executions.append(run)


def list_broken(observations):
    return list(check_silences(Evidence(observations)))


@pytest.mark.parametrize(
    ("changes", "is_broken"),
    [
        # Answered: whole, by a failure of the replica itself, refused.
        ({"status": 200}, False),
        ({"status": 500, "seal": "i-1/r-1"}, False),
        ({"status": 503}, False),
        # Cut, cut short, failed by the front.
        ({"status": None}, True),
        ({"status": 200, "mismatch": "body of 3 bytes"}, True),
        ({"status": 502}, True),
        ({"status": None, "has_timed_out": True, "ended_at": 106.0}, True),
        # The caller left by itself, or the run ended before the response.
        ({"status": None, "is_cancelled": True}, False),
        ({"status": None, "ended_at": None}, False),
        # A timeout before the deadline, at it, and at it though there was time left.
        ({"status": 504}, True),
        ({"status": 504, "kind": RequestKind.LONG_STREAM, "ended_at": 104.0}, False),
        ({"status": 504, "ended_at": 104.0}, True),
        # A stream that the deadline cuts, the same though there was time left.
        ({"kind": RequestKind.LONG_STREAM, "ended_at": 104.0}, False),
        ({"kind": RequestKind.LONG_STREAM, "ended_at": 103.8}, True),
        ({"ended_at": 104.0}, True),
        # Given up because of the silence, and though the replica had gone on.
        ({"has_given_up": True, "data_at": 100.1, "ended_at": 101.8}, False),
        ({"has_given_up": True, "data_at": 100.1, "ended_at": 102.1}, True),
        ({"has_given_up": True, "data_at": None, "ended_at": 102.0}, True),
    ],
)
def test_request_without_answer_or_refusal_is_reported(changes, is_broken):
    assert bool(list_broken(build_observations(**changes))) == is_broken


@pytest.mark.parametrize(
    ("process", "since", "until", "is_broken"),
    [
        (FRONT, 100.5, 100.6, False),
        (FRONT, 98.0, 99.0, True),
        (OTHER_FRONT, 100.5, 100.6, True),
        (ProcessName("control-0"), 99.0, 105.0, True),
        # Evacuations and rate limits leave the replica sound.
        (ProcessName("replica-0"), 99.0, 105.0, True),
    ],
)
def test_faults_of_the_front_alone_excuse_it(process, since, until, is_broken):
    observations = build_observations()
    observations.disturbances.append(Disturbance(process, since, until))
    assert bool(list_broken(observations)) == is_broken


def test_planned_stop_and_clock_step_excuse_nothing():
    observations = build_observations()
    observations.stops.append(Disturbance(FRONT, 100.5, 101.55))
    # The restart of the process counts as a disturbance.
    observations.disturbances.append(Disturbance(FRONT, 101.56, 102.6))
    step = Disturbance(FRONT, 99.0, 103.0)
    observations.disturbances.append(step)
    assert not list_broken(observations)
    observations.clock_steps.append(step)
    assert list_broken(observations)
    observations.disturbances.append(Disturbance(FRONT, 101.5, 103.0))
    assert not list_broken(observations)


def test_replica_that_misbehaves_or_ends_is_not_sound():
    observations = build_observations()
    observations.misbehaviours.append(MisbehaviourPeriod(UPSTREAM, 101.0, 102.0))
    assert not list_broken(observations)
    observations.misbehaviours[0].since = 101.7
    assert list_broken(observations)
    observations.incarnation_ends.append(IncarnationEnd(UPSTREAM, 101.5))
    assert not list_broken(observations)
    observations.incarnation_ends[0] = IncarnationEnd(UPSTREAM, 101.7)
    assert list_broken(observations)


OTHER = UpstreamId("i-2")


@pytest.mark.parametrize(
    ("misbehaving", "since", "is_broken"),
    [("i-2~a", 101.0, False), ("i-3~a", 101.0, True), ("i-2~a", 101.7, True)],
)
def test_replica_that_restarted_while_it_misbehaved_is_not_sound(
    misbehaving, since, is_broken
):
    observations = build_observations(status=502)
    observations.executions.clear()
    arrival = Arrival("r-1", ServiceName("s"), 101.52, UpstreamId("i-2~b"))
    observations.arrivals.append(arrival)
    period = MisbehaviourPeriod(UpstreamId(misbehaving), since, 103.0)
    observations.misbehaviours.append(period)
    assert bool(list_broken(observations)) == is_broken


@pytest.mark.parametrize(
    ("changes", "silent_until", "has_run", "lost_at", "is_broken"),
    [
        # The silent replica rejected it, another one ended with it.
        ({"status": 502}, 101.5, False, 101.55, False),
        # The other one ended before it got the request, or after the response.
        ({"status": 502}, 101.5, False, 101.45, True),
        ({"status": 502}, 101.5, False, 101.7, True),
        # The silent one ran it, or was still silent when its front gave up.
        ({"status": 502}, 101.5, True, 101.55, True),
        ({"status": 502}, 101.7, False, 101.55, True),
        ({"status": 502}, None, False, 101.55, True),
        # Not answered by the front.
        ({"status": None}, 101.5, False, 101.55, True),
    ],
)
def test_request_that_another_replica_lost_is_excused_if_the_silent_one_rejected_it(
    changes, silent_until, has_run, lost_at, is_broken
):
    observations = build_observations(**changes)
    observations.silent_requests[0].until = silent_until
    if not has_run:
        observations.executions.clear()
    service = ServiceName("s")
    observations.arrivals += [
        Arrival("r-1", service, 100.1, UPSTREAM),
        Arrival("r-1", service, 101.52, OTHER),
    ]
    assert list_broken(observations)
    observations.incarnation_ends.append(IncarnationEnd(OTHER, lost_at))
    assert bool(list_broken(observations)) == is_broken


@pytest.mark.parametrize(
    ("lost", "lost_at", "is_broken"),
    [
        (OTHER, 101.55, False),
        # Before it could get the request, or after the response.
        (OTHER, 101.45, True),
        (OTHER, 101.65, True),
    ],
)
def test_crash_of_another_replica_excuses_a_loss_that_it_did_not_record(
    lost, lost_at, is_broken
):
    observations = build_observations(status=502)
    observations.executions.clear()
    assert list_broken(observations)
    observations.incarnation_ends.append(IncarnationEnd(lost, lost_at))
    assert bool(list_broken(observations)) == is_broken


def test_partition_excuses_a_front_unless_it_was_found_before():
    observations = build_observations()
    partition = Disturbance(FRONT, 100.5, 103.0)
    observations.partitions.append(partition)
    assert not list_broken(observations)
    partition.since = 96.9
    assert list_broken(observations)
    # Another front, through which the request may have passed, was disturbed.
    observations.disturbances.append(Disturbance(OTHER_FRONT, 101.0, 101.1))
    assert not list_broken(observations)


@pytest.mark.parametrize(
    ("repeated", "until", "kind", "is_broken"),
    [
        (4, 101.5, RequestKind.QUICK_STREAM, False),
        (5, 101.5, RequestKind.QUICK_STREAM, True),
        # A longer silence may cost a second run; at most once is a promise of its own.
        (5, 101.6, RequestKind.QUICK_STREAM, False),
        (5, 101.5, RequestKind.ONCE_STREAM, False),
    ],
)
def test_many_second_runs_because_of_short_silences_are_reported(
    repeated, until, kind, is_broken
):
    observations = Observations()
    for number in range(20):
        call = build_call(f"r-{number}", kind=kind, status=200)
        observations.caller_requests[call.request_id] = call
        add_silence(observations, call.request_id, until)
    first = observations.executions[0]
    for number in range(repeated):
        again = msgspec.structs.replace(
            first, request_id=f"r-{number}", upstream=UpstreamId("i-2")
        )
        observations.executions.append(again)
    evidence = Evidence(observations)
    assert bool(list(check_second_runs(evidence))) == is_broken
    # Run again since the other replica broke off.
    end = IncarnationEnd(UpstreamId("i-2"), 100.9)
    observations.incarnation_ends.append(end)
    assert not list(check_second_runs(Evidence(observations)))
