"""Promises about sound replicas that fall silent, checked from outside."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec

from scalebend.core.gateway.engine_costs import compute_prefill_time
from scalebend.models.endpoints import get_upstream_name
from scalebend.models.ids import UpstreamId
from scalebend.soak import documents
from scalebend.soak.callers import SHAPES
from scalebend.soak.observations import (
    AT_MOST_ONCE,
    CallerRequest,
    Disturbance,
    RequestKind,
    SilentRequest,
    describe_call,
)
from scalebend.soak.partition_promises import PARTITION_DETECTION_S

if TYPE_CHECKING:
    from scalebend.soak.evidence import Evidence

REFUSAL_STATUSES = frozenset({401, 403, 404, 408, 421, 429, 503})
"""Statuses of a refusal; whether it ran nevertheless is a promise of its own."""

MARGIN_S = 0.5
"""Seconds for work at front and replica, on a busy host, beside the silences."""

CLOCK_MARGIN_S = 0.1
"""Seconds by which the deadline is earlier at a front than at its caller, at most."""

RESTART_DELAY_S = 0.2
"""Seconds from the end of a planned stop within which the process is started again."""

SHORT_SILENCE_S = 1.3
"""Silence up to which a sound replica is waited for, and nothing runs again."""

MAX_REPEATED_SHARE = 0.1
REPEATED_SLACK = 2
"""Share and number of the requests with such a silence that may run again."""


class _Silenced(msgspec.Struct, frozen=True):
    """A call, and its silences at replicas that were sound."""

    call: CallerRequest
    ended_at: float
    silences: list[SilentRequest]


def check_silences(evidence: Evidence) -> Iterator[str]:
    """A request at a sound, silent replica is answered or refused in time."""
    for one in _list_silenced(evidence):
        if _is_answered(one) or _has_no_time_left(one):
            continue
        if not _was_lost_elsewhere(evidence, one):
            yield describe_with_silences(evidence, one.call)


def check_second_runs(evidence: Evidence) -> Iterator[str]:
    """Short silences of sound replicas cause few second runs."""
    compared = [
        one
        for one in _list_silenced(evidence)
        if one.call.kind not in AT_MOST_ONCE
        and _compute_silent(one.silences, one.call.sent_at, one.ended_at)
        <= SHORT_SILENCE_S
        and all(
            _is_sound(evidence, run.upstream, one.call.sent_at, one.ended_at)
            for run in evidence.runs[one.call.request_id]
        )
    ]
    repeated = [one for one in compared if len(evidence.runs[one.call.request_id]) > 1]
    if len(repeated) > REPEATED_SLACK + MAX_REPEATED_SHARE * len(compared):
        first = describe_with_silences(evidence, repeated[0].call)
        yield f"{len(repeated)} of {len(compared)} ran again, such as {first}"


def _list_silenced(evidence: Evidence) -> list[_Silenced]:
    """List the calls for which sound replicas were silent while their front ran on."""
    found = []
    for request_id, of_request in evidence.silences.items():
        call = evidence.observations.caller_requests.get(request_id)
        if call is None or call.ended_at is None or call.is_cancelled:
            continue
        sound = [
            silent
            for silent in of_request
            if _is_sound(evidence, silent.upstream, call.sent_at, call.ended_at)
        ]
        if sound and _has_front_run_on(evidence, call, call.ended_at):
            found.append(_Silenced(call, call.ended_at, sound))
    return found


def _is_sound(
    evidence: Evidence, upstream: UpstreamId, since: float, until: float
) -> bool:
    """Whether a replica neither mishandled requests nor ended in that time."""
    observations = evidence.observations
    # A replica goes on to mishandle requests after a restart.
    has_misbehaved = any(
        get_upstream_name(one.upstream) == get_upstream_name(upstream)
        and one.since <= until
        and one.until >= since
        for one in observations.misbehaviours
    )
    has_ended = any(
        one.upstream == upstream and since <= one.at <= until
        for one in observations.incarnation_ends
    )
    return not has_misbehaved and not has_ended


def _has_front_run_on(evidence: Evidence, call: CallerRequest, until: float) -> bool:
    """Whether no fault affected the front of a call; a planned stop is none."""
    observations = evidence.observations

    def is_planned(one: Disturbance) -> bool:
        return one in observations.clock_steps or any(
            stop.process == one.process
            and stop.until <= one.since <= stop.until + RESTART_DELAY_S
            for stop in observations.stops
        )

    unplanned = [one for one in observations.disturbances if not is_planned(one)]
    for one in _list_overlapping(unplanned, call.sent_at, until):
        if one.process == call.front:
            return False
    for one in _list_overlapping(observations.partitions, call.sent_at, until):
        if one.process != call.front:
            continue
        is_steady = (
            one.since + PARTITION_DETECTION_S <= call.sent_at and until <= one.until
        )
        # Its requests pass other fronts.
        disturbed = [*unplanned, *observations.stops, *observations.partitions]
        if not is_steady or any(
            other.process.startswith("front-") and other is not one
            for other in _list_overlapping(disturbed, call.sent_at, until)
        ):
            return False
    return True


def _list_overlapping(
    disturbances: list[Disturbance], since: float, until: float
) -> list[Disturbance]:
    return [one for one in disturbances if one.since <= until and one.until >= since]


def _is_answered(one: _Silenced) -> bool:
    call = one.call
    if call.status == 200:
        return not call.mismatch
    return call.seal is not None or call.status in REFUSAL_STATUSES


def _was_lost_elsewhere(evidence: Evidence, one: _Silenced) -> bool:
    """Whether the silent replicas rejected a call that an unsound one lost.

    Their silences had ended, and none of them ran it.
    """
    silent = {silence.upstream for silence in one.silences}
    has_run = any(run.upstream in silent for run in evidence.runs[one.call.request_id])
    silent_until = max(
        math.inf if silence.until is None else silence.until for silence in one.silences
    )
    if one.call.status != 502 or has_run or silent_until > one.ended_at:
        return False
    # A replica that crashes may not have read the request, so that no arrival shows it.
    has_one_ended = any(
        end.upstream not in silent and silent_until <= end.at <= one.ended_at
        for end in evidence.observations.incarnation_ends
    )
    return has_one_ended or any(
        arrival.request_id == one.call.request_id
        and arrival.upstream not in silent
        and not _is_sound(evidence, arrival.upstream, arrival.at, one.ended_at)
        for arrival in evidence.observations.arrivals
    )


def _has_no_time_left(one: _Silenced) -> bool:
    """Whether the silences took the time that the caller gave the request."""
    call = one.call
    shape = SHAPES[call.kind]
    if call.has_given_up:
        since = call.sent_at if call.data_at is None else call.data_at
        silent = _compute_silent(one.silences, since, one.ended_at)
        return one.ended_at - since - silent < MARGIN_S
    # At its deadline, a stream that has begun is cut.
    has_reached_deadline = one.ended_at - call.sent_at > call.timeout_s - CLOCK_MARGIN_S
    if call.status not in (None, 504) or not has_reached_deadline:
        return False
    if call.has_timed_out:
        return False
    needed = MARGIN_S + shape.route.target_latency_s + shape.events * shape.event_gap_s
    silent = _compute_silent(one.silences, call.sent_at, one.ended_at)
    return one.ended_at - call.sent_at - silent < needed


def has_waited_in_silence(evidence: Evidence, call: CallerRequest) -> bool:
    """Whether the caller of a stream gave up since all its replicas were silent.

    They may have sounded for the route's target before the first event, or its event
    gap after one. A stream that may be repeated must have reached two of them.
    """
    if not call.has_given_up or call.ended_at is None:
        return False
    route = SHAPES[call.kind].route
    since, allowed = call.sent_at, route.target_latency_s
    if call.data_at is not None:
        since, allowed = call.data_at, route.event_gap_s or 0.0
    silences = evidence.silences[call.request_id]
    reached_at = {silent.upstream: silent.since for silent in reversed(silences)}
    for run in evidence.runs[call.request_id]:
        reached_at[run.upstream] = min(run.at, reached_at.get(run.upstream, run.at))
    if len(reached_at) < (1 if call.kind in AT_MOST_ONCE else 2):
        return False
    silent = _compute_silent(silences, since, call.ended_at)
    if call.ended_at - since - silent > allowed:
        return False
    for upstream, at in reached_at.items():
        begin = max(since, at)
        there = [one for one in silences if one.upstream == upstream]
        silent = _compute_silent(there, begin, call.ended_at)
        if call.ended_at - begin - silent > allowed:
            return False
    return True


def has_silence_until_deadline(evidence: Evidence, call: CallerRequest) -> bool:
    """Whether silences left a request that its deadline ended too little time.

    Too little for a call that may run once is less than its target. For a stream it is
    less than a single replica takes for its prompt and its events, after the wait for
    it that the target of the route allows.
    """
    if call.has_given_up or call.has_timed_out or call.ended_at is None:
        return False
    lasted = call.ended_at - call.sent_at
    if lasted <= call.timeout_s - CLOCK_MARGIN_S:
        return False
    shape = SHAPES[call.kind]
    silences = evidence.silences[call.request_id]
    left = lasted - _compute_silent(silences, call.sent_at, call.ended_at)
    if call.kind is RequestKind.NON_IDEMPOTENT:
        return call.status == 504 and left < shape.route.target_latency_s
    # A stream that has not begun is answered at its deadline, and cut otherwise.
    if call.status not in (None, 504) or not call.events:
        return False
    prefill = compute_prefill_time(documents.ENGINE, shape.prompt_tokens)
    run_at = min((run.at for run in evidence.runs[call.request_id]), default=math.inf)
    waited = run_at - call.sent_at
    if waited > shape.route.target_latency_s - prefill:
        return False
    return left < waited + prefill + shape.events * shape.event_gap_s


def _compute_silent(silences: list[SilentRequest], since: float, until: float) -> float:
    """Return the seconds of a period in which any of the silences lasted."""
    total, counted_until = 0.0, since
    for silent in sorted(silences, key=lambda silent: silent.since):
        end = until if silent.until is None else min(silent.until, until)
        begin = max(silent.since, counted_until)
        if end > begin:
            total += end - begin
            counted_until = end
    return total


def describe_with_silences(evidence: Evidence, call: CallerRequest) -> str:
    """Return a request, its outcome, its silences and its runs in one line."""
    silences = ", ".join(
        f"{silent.upstream} silent from {silent.since:.3f} to "
        f"{'its end' if silent.until is None else format(silent.until, '.3f')}"
        for silent in evidence.silences[call.request_id]
    )
    runs = ", ".join(
        f"{run.upstream} at {run.at:.3f}" for run in evidence.runs[call.request_id]
    )
    ended = "not ended" if call.ended_at is None else f"ended at {call.ended_at:.3f}"
    return (
        f"{describe_call(call)}, {ended}; {silences or 'no silence'}; ran at [{runs}]"
    )
