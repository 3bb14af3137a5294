"""Checks of the promises: each violation is reported, and correct runs have none."""

import math

import msgspec
import pytest

from scalebend.models.ids import (
    AvailabilityZone,
    RoutingVersion,
    ServiceName,
    UpstreamId,
)
from scalebend.soak.deployment import BOUNDS
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    GUILTY_PROMPTS,
    AcceptedDocument,
    Arrival,
    CallerRequest,
    Disturbance,
    DrainAcknowledgement,
    DrainNotice,
    Evacuation,
    EvacuationRead,
    Execution,
    Exit,
    Observations,
    PartCrash,
    RateLimitPeriod,
    ReadBack,
    Rejection,
    RequestKind,
    Reservation,
    SentResponse,
    SilentRequest,
)
from scalebend.soak.promises import check_promises

FRONT = ProcessName("front-0")
UPSTREAM = UpstreamId("i-1")
ZONE = AvailabilityZone("zone-a")


def build_call(request_id="r-1", kind=RequestKind.IDEMPOTENT, sent_at=100.0, **changes):
    call = CallerRequest(request_id, kind, FRONT, 1, RoutingVersion(0), sent_at, 3.0, 0)
    call.ended_at = sent_at + 0.1
    call.status = 200
    call.seal = f"{UPSTREAM}/{request_id}"
    for name, value in changes.items():
        setattr(call, name, value)
    return call


def build_execution(request_id="r-1", at=100.05, version=1, upstream=UPSTREAM):
    return Execution(request_id, upstream, at, RoutingVersion(version), False)


def build_observations():
    """Build the observations of a run without violations."""
    observations = Observations(load_ended_at=200.0, ended_at=220.0)
    observations.accepted.append(AcceptedDocument(RoutingVersion(1), 10.0, ()))
    observations.caller_requests["r-1"] = build_call()
    observations.executions.append(build_execution())
    observations.arrivals.append(Arrival("r-1", ServiceName("plain"), 100.05, UPSTREAM))
    observations.sent_responses.append(SentResponse("r-1", 200))
    observations.reads.append(ReadBack(RoutingVersion(1), 210.0, True))
    return observations


def list_broken(observations):
    return {violation.promise for violation in check_promises(observations)}


def test_correct_run_has_no_violations():
    assert list_broken(build_observations()) == set()


def break_whole_answers(observations):
    observations.caller_requests["r-1"].mismatch = "body of 3 bytes"


def break_own_status(observations):
    observations.caller_requests["r-1"].status = 500


def break_unasked(observations):
    observations.executions.append(build_execution("r-2"))


def break_at_most_once(observations):
    observations.caller_requests["r-1"].kind = RequestKind.NON_IDEMPOTENT
    observations.executions.append(build_execution(upstream=UpstreamId("i-2")))


def break_refused_did_not_run(observations):
    observations.caller_requests["r-1"].status = 503
    observations.caller_requests["r-1"].seal = None


def break_not_denied(observations):
    observations.caller_requests["r-1"].status = 401
    observations.caller_requests["r-1"].seal = None


def break_revoked(observations):
    at = 99.0 - BOUNDS.key_revocation
    observations.accepted.append(
        AcceptedDocument(RoutingVersion(2), at, (RoutingVersion(1),))
    )
    observations.caller_requests["r-1"].version = RoutingVersion(1)


def break_no_way_back(observations):
    observations.caller_requests["r-2"] = build_call("r-2", sent_at=110.0)
    observations.executions.insert(0, build_execution(at=99.0, version=2))
    observations.executions.append(build_execution("r-2", 110.0, 1))


def break_read_back(observations):
    observations.accepted.append(AcceptedDocument(RoutingVersion(5), 50.0, ()))
    observations.reads.insert(0, ReadBack(RoutingVersion(1), 60.0, True))


def break_nothing_lost(observations):
    observations.accepted.append(AcceptedDocument(RoutingVersion(5), 209.9, ()))


def break_memory(observations):
    observations.reservations.append(Reservation(UPSTREAM, "t", 10.0, 30.0, 12.0))


def break_retry_budget(observations):
    for _ in range(40):
        observations.arrivals.append(
            Arrival("r-1", ServiceName("plain"), 100.06, UPSTREAM)
        )


def break_evacuated(observations):
    observations.arrivals[0] = Arrival(
        "r-1", ServiceName("plain"), 100.05, UPSTREAM, ZONE
    )
    observations.evacuations.append(Evacuation(ZONE, 97.0, 130.0))
    observations.evacuation_reads.append(EvacuationRead(210.0, (), ()))


def break_evacuations_kept(observations):
    observations.evacuation_reads.append(EvacuationRead(210.0, (), (ZONE,)))


def break_exits(observations):
    observations.exits.append(Exit(FRONT, 20.0, 1))


def break_calm_service(observations):
    observations.caller_requests["r-1"].status = None


def break_in_time(observations):
    observations.caller_requests["r-1"].ended_at = 105.0


def break_in_force(observations):
    observations.accepted.append(AcceptedDocument(RoutingVersion(4), 90.0, ()))
    observations.reads[-1] = ReadBack(RoutingVersion(4), 210.0, True)


def break_drained(observations):
    observations.drain_acknowledgements.append(
        DrainAcknowledgement(UPSTREAM, ProcessName("control-0"), 95.0)
    )


def break_planned_stop(observations):
    observations.stops.append(Disturbance(FRONT, 100.02, 103.0))
    observations.caller_requests["r-1"].status = None


@pytest.mark.parametrize(
    "break_promise",
    [
        break_whole_answers,
        break_own_status,
        break_unasked,
        break_at_most_once,
        break_refused_did_not_run,
        break_not_denied,
        break_revoked,
        break_no_way_back,
        break_read_back,
        break_nothing_lost,
        break_memory,
        break_retry_budget,
        break_evacuated,
        break_evacuations_kept,
        break_exits,
        break_calm_service,
        break_in_time,
        break_in_force,
        break_drained,
        break_planned_stop,
    ],
)
def test_broken_promise_is_reported(break_promise):
    observations = build_observations()
    break_promise(observations)
    assert break_promise.__name__.removeprefix("break_") in list_broken(observations)


@pytest.mark.parametrize(
    "break_promise", [break_calm_service, break_in_time, break_in_force, break_drained]
)
def test_promises_of_calm_periods_do_not_apply_during_a_fault(break_promise):
    observations = build_observations()
    break_promise(observations)
    observations.disturbances.append(
        Disturbance(ProcessName("control-1"), 80.0, math.inf)
    )
    assert break_promise.__name__.removeprefix("break_") not in list_broken(
        observations
    )


@pytest.mark.parametrize(
    "break_promise",
    [
        break_calm_service,
        break_in_time,
        break_in_force,
        break_drained,
        break_planned_stop,
    ],
)
def test_silences_of_sound_replicas_end_no_calm(break_promise):
    observations = build_observations()
    break_promise(observations)
    for request_id in ("r-1", "r-2"):
        silent = SilentRequest(request_id, UPSTREAM, 100.02, 100.09)
        observations.silent_requests.append(silent)
    assert break_promise.__name__.removeprefix("break_") in list_broken(observations)


def arrive(observations, at, front=FRONT):
    request_id = f"limited-{len(observations.arrivals)}"
    observations.caller_requests[request_id] = build_call(
        request_id, sent_at=at, front=front
    )
    observations.executions.append(build_execution(request_id, at))
    observations.sent_responses.append(SentResponse(request_id, 200))
    observations.arrivals.append(
        Arrival(request_id, ServiceName("plain"), at, UPSTREAM)
    )


def test_requests_beyond_a_rate_limit_are_reported():
    observations = build_observations()
    observations.rate_limit_periods.append(RateLimitPeriod(UPSTREAM, 1.0, 110.0, 120.0))
    fronts = [ProcessName(f"front-{number}") for number in range(3)]
    # Requests before the limit, or before fronts know it, do not count.
    for step in range(30):
        arrive(observations, 109.0 + step / 30)
    for front in fronts:
        for step in range(10):
            arrive(observations, 110.0 + step / 20, front)
    assert list_broken(observations) == set()
    # Each front alone respects the limit; all together exceed it.
    for front in fronts:
        for step in range(4):
            arrive(observations, 112.0 + step, front)
    assert list_broken(observations) == {"request_limits"}
    observations.rate_limit_periods[0].rate = 2.0
    assert list_broken(observations) == set()


def test_misdirected_requests_neither_name_a_rate_limit_nor_count():
    observations = build_observations()
    observations.rate_limit_periods.append(RateLimitPeriod(UPSTREAM, 0.4, 110.0, 120.0))
    for step in range(20):
        arrive(observations, 110.0 + step / 2)
    assert list_broken(observations) == {"request_limits"}
    observations.arrivals[1:] = [
        msgspec.structs.replace(arrival, is_misdirected=True)
        for arrival in observations.arrivals[1:]
    ]
    assert list_broken(observations) == set()


def reject(observations, at, backoff=3.0):
    request_id = f"refused-{len(observations.rejections)}"
    observations.caller_requests[request_id] = build_call(
        request_id, sent_at=at, status=503, seal=None
    )
    observations.rejections.append(Rejection(request_id, UPSTREAM, at, backoff))


def test_requests_within_a_backoff_are_reported():
    observations = build_observations()
    reject(observations, 110.0)
    # In flight at the rejection; two tolerated ones; after the backoff.
    for at in (110.1, 110.2, 110.3, 111.0, 112.0, 113.1, 113.2, 113.3):
        arrive(observations, at)
    for at in (111.0, 111.1, 111.2):
        arrive(observations, at, ProcessName("front-1"))
    assert list_broken(observations) == set()
    arrive(observations, 112.9)
    assert list_broken(observations) == {"pauses"}
    observations.disturbances.append(Disturbance(FRONT, 110.5, 110.8))
    assert list_broken(observations) == set()


def test_requests_after_a_drain_notice_are_reported():
    observations = build_observations()
    arrive(observations, 110.0)
    observations.drain_notices.append(DrainNotice("limited-1", UPSTREAM, 110.0))
    arrive(observations, 112.0)
    arrive(observations, 114.0, ProcessName("front-1"))
    assert list_broken(observations) == set()
    arrive(observations, 114.0)
    assert list_broken(observations) == {"farewells"}
    observations.disturbances.append(Disturbance(FRONT, 113.0, 113.5))
    assert list_broken(observations) == set()


@pytest.mark.parametrize(
    ("disturbed", "since", "until", "late", "is_broken"),
    [
        (None, 0.0, 0.0, 2.4, False),
        (None, 0.0, 0.0, 2.6, True),
        # Withdrawn meanwhile.
        (None, 0.0, 0.0, 31.0, False),
        # The control group was unstable near the order.
        ("control-1", 96.0, 98.0, 10.9, False),
        ("control-1", 96.0, 98.0, 11.1, True),
        # It became unstable once all fronts had heard.
        ("control-1", 103.0, 108.0, 2.6, True),
        # The front was cut off near the order, long before the request.
        (FRONT, 96.0, 98.0, 4.9, False),
        (FRONT, 96.0, 98.0, 12.0, True),
        (FRONT, 96.0, 110.0, 12.0, False),
    ],
)
def test_requests_in_an_evacuated_zone_are_reported(
    disturbed, since, until, late, is_broken
):
    observations = build_observations()
    observations.evacuations.append(Evacuation(ZONE, 100.0, 130.0))
    observations.evacuation_reads.append(EvacuationRead(210.0, (), ()))
    at = 100.0 + late
    arrive(observations, at)
    observations.arrivals[-1] = Arrival(
        f"limited-{len(observations.arrivals) - 1}",
        ServiceName("plain"),
        at,
        UPSTREAM,
        ZONE,
    )
    if disturbed is not None:
        process = ProcessName(disturbed)
        observations.disturbances.append(Disturbance(process, since, until))
    assert list_broken(observations) == ({"evacuated"} if is_broken else set())


def test_list_that_was_never_read_is_reported():
    observations = build_observations()
    observations.evacuations.append(Evacuation(ZONE, 150.0, 160.0))
    assert list_broken(observations) == {"evacuations_kept"}


def build_partition(failed, calls=20, failed_elsewhere=0):
    """Build calls at a partitioned front and at another; the last ones fail."""
    observations = build_observations()
    observations.partitions.append(Disturbance(FRONT, 99.0, 110.0))
    for number in range(calls):
        has_failed = number >= calls - failed
        call = build_call(
            f"p-{number}",
            sent_at=102.5 + number / 10,
            status=503 if has_failed else 200,
        )
        call.seal = f"{UPSTREAM}/{call.request_id}"
        observations.caller_requests[call.request_id] = call
        has_failed = number >= calls - failed_elsewhere
        other = build_call(
            f"o-{number}",
            sent_at=102.5 + number / 10,
            status=503 if has_failed else 200,
        )
        other.front = ProcessName("front-1")
        observations.caller_requests[other.request_id] = other
    return observations


def list_promises(observations):
    return {violation.promise for violation in check_promises(observations)}


def test_partitioned_front_must_serve_its_callers():
    assert "partitioned_service" not in list_promises(build_partition(failed=1))
    assert "partitioned_service" not in list_promises(build_partition(failed=6))
    assert "partitioned_service" in list_promises(build_partition(failed=7))
    assert "partitioned_service" in list_promises(build_partition(failed=5, calls=5))


def test_refusals_at_all_fronts_do_not_count_against_a_partitioned_one():
    observations = build_partition(failed=7, failed_elsewhere=7)
    assert "partitioned_service" not in list_promises(observations)


def test_partition_of_all_fronts_or_beside_faults_promises_nothing():
    observations = build_partition(failed=20)
    observations.partitions.append(Disturbance(ProcessName("front-1"), 98.0, 105.0))
    assert "partitioned_service" not in list_promises(observations)
    observations = build_partition(failed=20)
    observations.disturbances.append(Disturbance(ProcessName("control-0"), 96.0, 97.0))
    assert "partitioned_service" not in list_promises(observations)


def test_no_calm_while_a_front_is_partitioned():
    observations = build_partition(failed=1)
    assert "calm_service" not in list_promises(observations)


def test_memory_is_not_judged_while_a_front_is_partitioned():
    observations = build_observations()
    reservation = Reservation(UPSTREAM, "job", 100.0, 106.0, 101.0)
    observations.reservations.append(reservation)
    assert "memory" in list_promises(observations)
    observations.partitions.append(Disturbance(FRONT, 100.5, 102.0))
    assert "memory" not in list_promises(observations)
    # Overlapping partitions are one time, and the rest counts as before.
    observations.partitions.append(Disturbance(ProcessName("front-1"), 100.7, 101.5))
    reservation.until = 107.0
    assert "memory" in list_promises(observations)


GUILTY = "badc0de5"


def send_guilty(observations, since, until):
    """Send guilty requests twice a second that all reach replicas."""
    for number in range(int(2 * (until - since))):
        at = since + number / 2
        arrive(observations, at)
        request_id = observations.arrivals[-1].request_id
        observations.caller_requests[request_id].guilty_part = GUILTY


def crash_replicas(observations, count, since=100.0):
    observations.disturbances.append(Disturbance(GUILTY_PROMPTS, since, since + 40.0))
    for number in range(count):
        upstream = UpstreamId(f"i-{number}")
        crash = PartCrash(GUILTY, upstream, since + number / 10)
        observations.part_crashes.append(crash)


def send_sound(observations, since, until, status):
    for number in range(int(10 * (until - since))):
        request_id = f"sound-{since}-{number}"
        call = build_call(request_id, sent_at=since + number / 10, status=status)
        if status != 200:
            call.seal = None
        else:
            observations.executions.append(build_execution(request_id, call.sent_at))
        observations.caller_requests[request_id] = call


@pytest.mark.parametrize("crashes", [4, 5])
def test_guilty_requests_after_the_fifth_crash_are_reported(crashes):
    observations = build_observations()
    crash_replicas(observations, crashes)
    send_guilty(observations, 100.0, 108.0)
    assert ("guilty_parts" in list_broken(observations)) == (crashes == 5)


def test_few_guilty_requests_or_faults_of_processes_break_nothing():
    observations = build_observations()
    crash_replicas(observations, 5)
    send_guilty(observations, 100.0, 103.0)
    assert "guilty_parts" not in list_broken(observations)
    send_guilty(observations, 104.0, 108.0)
    observations.disturbances.append(
        Disturbance(ProcessName("control-0"), 101.0, 102.0)
    )
    assert "guilty_parts" not in list_broken(observations)


@pytest.mark.parametrize("status", [200, 503])
def test_sound_requests_must_be_served_beside_guilty_ones(status):
    observations = build_observations()
    send_sound(observations, 95.0, 99.0, 200)
    crash_replicas(observations, 5)
    send_guilty(observations, 100.0, 101.0)
    send_sound(observations, 107.0, 112.0, status)
    guilty = build_call("late", sent_at=112.0, status=503, seal=None)
    guilty.guilty_part = GUILTY
    observations.caller_requests["late"] = guilty
    broken = list_broken(observations)
    assert ("served_beside_guilty_parts" in broken) == (status == 503)
