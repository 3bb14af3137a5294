"""Promises that hold only in calm periods, some time after the last fault."""

from __future__ import annotations

from collections.abc import Iterator

from scalebend.models.ids import UpstreamId
from scalebend.soak.evidence import Evidence
from scalebend.soak.observations import (
    CallerRequest,
    DrainAcknowledgement,
    describe_call,
)
from scalebend.soak.silence_promises import (
    describe_with_silences,
    has_silence_until_deadline,
    has_waited_in_silence,
)

RESPONSE_DELAY_S = 1.0
"""Seconds beyond its timeout within which a request must have ended."""

STOP_ACCEPT_S = 2.5
"""Seconds after the signal in which a stopping front still completes new requests."""

MAX_REJECTED_SHARE = 0.05
"""Share of the requests in calm periods that may be rejected."""

DRAIN_DELAY_S = 2.0
"""Seconds from the acknowledgement of a drain until the replica gets no new request."""

CONFIGURATION_DELAY_S = 2.0
"""Seconds from the acknowledgement of a document until all processes use it."""

CLOCK_MARGIN_S = 0.5
"""Seconds of tolerance for times that this process measures."""


def check_calm_service(evidence: Evidence) -> Iterator[str]:
    """In calm periods few requests are rejected, and all others succeed.

    Streams whose callers gave up while all their replicas were silent were not failed
    by the gateway, nor what silences kept until its deadline.
    """
    rejected: list[CallerRequest] = []
    count = 0
    for call in evidence.observations.caller_requests.values():
        if call.ended_at is None or call.is_cancelled or call.version:
            continue
        if not evidence.is_calm(call.sent_at, call.ended_at):
            continue
        count += 1
        if call.status == 503:
            rejected.append(call)
        elif call.status != 200 and not _is_ended_by_silences(evidence, call):
            yield describe_with_silences(evidence, call)
    if len(rejected) > max(2.0, MAX_REJECTED_SHARE * count):
        first = describe_call(rejected[0])
        yield f"{len(rejected)} of {count} rejected, such as {first}"


def check_in_time(evidence: Evidence) -> Iterator[str]:
    """In calm periods every request ends within its timeout."""
    for call in evidence.observations.caller_requests.values():
        end = call.ended_at
        if end is None or not evidence.is_calm(call.sent_at, end):
            continue
        if end - call.sent_at > call.timeout_s + RESPONSE_DELAY_S:
            yield f"{describe_call(call)}: ended after {end - call.sent_at:.2f} s"


def check_in_force(evidence: Evidence) -> Iterator[str]:
    """In calm periods all processes use the acknowledged document."""
    for call in evidence.observations.caller_requests.values():
        expected = evidence.find_version(
            call.sent_at - CONFIGURATION_DELAY_S - CLOCK_MARGIN_S
        )
        for run in evidence.runs[call.request_id]:
            if run.version >= expected:
                continue
            if evidence.is_calm(call.sent_at, run.at):
                yield f"{describe_call(call)}: {run.version} used, not {expected}"


def check_drained(evidence: Evidence) -> Iterator[str]:
    """In calm periods a draining replica gets no new requests."""
    acknowledged_by_upstream: dict[UpstreamId, DrainAcknowledgement] = {}
    for one in evidence.observations.drain_acknowledgements:
        acknowledged_by_upstream.setdefault(one.upstream, one)
    for run in evidence.observations.executions:
        acknowledged = acknowledged_by_upstream.get(run.upstream)
        if (
            acknowledged is None
            or run.at <= acknowledged.at + DRAIN_DELAY_S + CLOCK_MARGIN_S
        ):
            continue
        if evidence.is_calm(acknowledged.at, run.at):
            yield (
                f"{run.request_id} reached {run.upstream} "
                f"{run.at - acknowledged.at:.2f} s after"
            )


def check_planned_stop(evidence: Evidence) -> Iterator[str]:
    """A planned stop breaks off no request that is running at a replica.

    Streams that silences alone keep until their deadline, or until their callers give
    up, are not broken off by it.
    """
    for stop in evidence.observations.stops:
        if not evidence.is_calm(stop.since, stop.until, excluding=stop.process):
            continue
        if stop in evidence.observations.overdue_stops:
            yield f"{stop.process} did not end within its grace period"
        for call in evidence.observations.caller_requests.values():
            is_there = call.front == stop.process and not call.is_cancelled
            sent_in = (
                stop.since - call.timeout_s < call.sent_at < stop.since + STOP_ACCEPT_S
            )
            if not (is_there and sent_in) or call.ended_at is None:
                continue
            has_run = bool(evidence.runs[call.request_id])
            if call.status is not None or not has_run or call.ended_at <= stop.since:
                continue
            if not _is_ended_by_silences(evidence, call):
                yield describe_with_silences(evidence, call)


def _is_ended_by_silences(evidence: Evidence, call: CallerRequest) -> bool:
    """Whether silences of replicas alone kept a request from its response."""
    return has_waited_in_silence(evidence, call) or has_silence_until_deadline(
        evidence, call
    )
