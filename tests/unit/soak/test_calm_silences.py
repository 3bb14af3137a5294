"""Calm periods with silences: which requests count against the gateway."""

import pytest

from scalebend.models.ids import RoutingVersion, UpstreamId
from scalebend.soak.calm_promises import check_calm_service, check_planned_stop
from scalebend.soak.evidence import Evidence
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    CallerRequest,
    Disturbance,
    Execution,
    Observations,
    RequestKind,
    SilentRequest,
)


def build_evidence(silences, runs=(("i-1", 100.1),), **changes):
    """Build a stream that was given up 2 s after its last event, at 102.3.

    ``silences`` has replica, begin and end of each, ``runs`` replica and begin.
    """
    call = CallerRequest(
        "r-1",
        RequestKind.QUICK_STREAM,
        ProcessName("front-0"),
        1,
        RoutingVersion(0),
        sent_at=100.0,
        timeout_s=4.0,
        events=10,
        ended_at=102.3,
        data_at=100.3,
        has_given_up=True,
    )
    for name, value in changes.items():
        setattr(call, name, value)
    observations = Observations()
    observations.caller_requests["r-1"] = call
    observations.silent_requests += [
        SilentRequest("r-1", UpstreamId(name), since, until)
        for name, since, until in silences
    ]
    observations.executions += [
        Execution("r-1", UpstreamId(name), at, RoutingVersion(1), False)
        for name, at in runs
    ]
    return Evidence(observations)


FIRST = ("i-1", 100.32, None)
SECOND = ("i-2", 102.0, 102.4)
ONCE = {"kind": RequestKind.ONCE_STREAM}


@pytest.mark.parametrize(
    ("silences", "changes", "is_broken"),
    [
        # Both of its replicas were silent; the one of a request that runs once was.
        ([FIRST, SECOND], {}, False),
        ([FIRST], ONCE, False),
        # As above, in two silences that meet.
        ([("i-1", 100.32, 101.0), ("i-1", 101.1, 102.3), SECOND], {}, False),
        # No second attempt was made.
        ([FIRST], {}, True),
        # The first replica went on for longer than an event may take.
        ([("i-1", 100.32, 102.05), SECOND], {}, True),
        ([("i-1", 100.52, None), SECOND], {}, True),
        ([("i-1", 100.52, None)], ONCE, True),
        # The second one was silent only later, or not at all.
        ([FIRST, SECOND], {"runs": (("i-1", 100.1), ("i-2", 101.7))}, True),
        ([FIRST], {"runs": (("i-1", 100.1), ("i-2", 101.7))}, True),
        # It reached the first replica too late.
        ([("i-1", 101.0, None), SECOND], {"runs": ()}, True),
        # Before the first event, its target counts.
        ([FIRST, SECOND], {"data_at": None}, True),
        ([("i-1", 100.25, None), SECOND], {"data_at": None}, False),
        # It ended otherwise.
        ([FIRST, SECOND], {"has_given_up": False}, True),
        ([FIRST, SECOND], {"has_given_up": False, "status": 502}, True),
        ([], {}, True),
    ],
)
def test_caller_who_gave_up_counts_unless_all_its_replicas_were_silent(
    silences, changes, is_broken
):
    evidence = build_evidence(silences, **changes)
    assert bool(list(check_calm_service(evidence))) == is_broken
    stop = Disturbance(ProcessName("front-0"), 101.9, 106.9)
    evidence.observations.stops.append(stop)
    # A stop breaks off only what a replica runs and what ends without a response.
    has_run = bool(evidence.runs["r-1"])
    is_cut = changes.get("status") is None
    assert bool(list(check_planned_stop(evidence))) == (
        is_broken and has_run and is_cut
    )


LONG_SILENCE = ("i-1", 100.3, 102.8)


CUT = {
    "kind": RequestKind.LONG_STREAM,
    "timeout_s": 5.0,
    "ended_at": 105.0,
    "has_given_up": False,
}
"""A long stream cut at its deadline."""


@pytest.mark.parametrize(
    ("silences", "changes", "is_broken"),
    [
        # 1.4 s were left, for a prompt of 0.85 s and twelve events of 0.1 s.
        ([LONG_SILENCE, ("i-1", 104.0, None)], {}, False),
        # There was time for it.
        ([LONG_SILENCE], {}, True),
        ([], {}, True),
        # It waited for its replica, within its target, and for longer.
        ([("i-1", 101.5, 104.0)], {"runs": (("i-1", 101.2),)}, False),
        ([("i-1", 102.5, None)], {"runs": (("i-1", 102.3),)}, True),
        # Cut before its deadline, or only well after it.
        ([LONG_SILENCE, ("i-1", 104.0, None)], {"ended_at": 104.8}, True),
        ([("i-1", 100.1, None)], {"ended_at": 107.0, "has_timed_out": True}, True),
        # Not a stream.
        ([("i-1", 100.1, None)], {"events": 0}, True),
        ([("i-1", 101.0, None)], {"has_given_up": True}, True),
        ([], {"status": 200}, False),
    ],
)
def test_stream_that_its_deadline_cuts_counts_unless_silences_took_its_time(
    silences, changes, is_broken
):
    evidence = build_evidence(silences, **{**CUT, **changes})
    assert bool(list(check_calm_service(evidence))) == is_broken
    stop = Disturbance(ProcessName("front-0"), 103.9, 108.9)
    evidence.observations.stops.append(stop)
    assert bool(list(check_planned_stop(evidence))) == is_broken


@pytest.mark.parametrize(
    ("silences", "run_at", "ended_at", "is_broken"),
    [
        # 2.5 s were left, for a wait of 2 s, its prompt and its events.
        ([("i-1", 102.5, None)], 102.0, 105.0, False),
        # There was time for it, or it waited for longer than its target allows.
        ([("i-1", 102.5, 103.4)], 102.0, 105.0, True),
        ([("i-1", 102.5, None)], 102.2, 105.0, True),
        # Before its deadline, and without any silence.
        ([("i-1", 102.5, None)], 102.0, 104.8, True),
        ([], 102.0, 105.0, True),
    ],
)
def test_stream_that_its_deadline_refuses_counts_unless_silences_took_its_time(
    silences, run_at, ended_at, is_broken
):
    changes = {**CUT, "status": 504, "ended_at": ended_at, "runs": (("i-1", run_at),)}
    evidence = build_evidence(silences, **changes)
    assert bool(list(check_calm_service(evidence))) == is_broken


@pytest.mark.parametrize(
    ("silences", "changes", "is_broken"),
    [
        # 0.2 s were left, less than its target of 0.3 s.
        ([("i-1", 100.1, 101.0), ("i-1", 101.1, None)], {}, False),
        # There was time for it.
        ([("i-1", 100.1, 101.0), ("i-1", 101.25, None)], {}, True),
        ([], {}, True),
        # It ended before its deadline, or otherwise; it may be repeated.
        ([("i-1", 100.0, None)], {"ended_at": 102.8}, True),
        ([("i-1", 100.0, None)], {"status": 502}, True),
        ([("i-1", 100.0, None)], {"kind": RequestKind.IDEMPOTENT}, True),
    ],
)
def test_call_that_may_run_once_counts_unless_silences_took_its_time(
    silences, changes, is_broken
):
    call = {
        "kind": RequestKind.NON_IDEMPOTENT,
        "timeout_s": 3.0,
        "events": 0,
        "data_at": None,
        "ended_at": 103.0,
        "has_given_up": False,
        "status": 504,
    }
    evidence = build_evidence(silences, **{**call, **changes})
    assert bool(list(check_calm_service(evidence))) == is_broken
