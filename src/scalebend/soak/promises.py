"""Checks the promises of the system against observations from outside it.

Some promises always hold; others hold only in calm periods, which begin some time after
the last fault. The bounds are the platform's, with margins for a busy host.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable, Iterator

import msgspec

from scalebend.models.ids import RoutingVersion, UpstreamId
from scalebend.soak.calm_promises import (
    CLOCK_MARGIN_S,
    CONFIGURATION_DELAY_S,
    DRAIN_DELAY_S,
    check_calm_service,
    check_drained,
    check_in_force,
    check_in_time,
    check_planned_stop,
)
from scalebend.soak.deployment import BOUNDS
from scalebend.soak.evacuation_promises import (
    check_evacuated,
    check_evacuations_kept,
)
from scalebend.soak.evidence import Evidence
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    AT_MOST_ONCE,
    Execution,
    Observations,
    RateLimitPeriod,
    describe_call,
)
from scalebend.soak.part_promises import (
    check_guilty_parts,
    check_served_beside_guilty_parts,
)
from scalebend.soak.partition_promises import check_partitioned_service
from scalebend.soak.silence_promises import check_second_runs, check_silences

STALE_CONFIGURATION_S = 2.0
"""Seconds after which a process that used a version uses no older one. Longer than the
platform allows, since it also applies to disturbed processes."""

RESERVATION_RELEASE_S = 4.0
"""Seconds after its last use within which a reservation must be released."""

IDLE_RESERVATION_S = 9.0
"""Seconds within which an unused reservation must be released."""

RATE_WINDOW_S = 4.0
RATE_EXCESS_FACTOR = 1.5
RATE_SLACK_REQUESTS = 5.0
"""Seconds of the window for rate limits, and the excess that is tolerated in it: a
factor of the limit, and a number of requests on top."""

RATE_LIMIT_DELAY_S = 1.0
"""Seconds from the first request of a front to a rate-limited replica until the front
must respect the limit: time for the response and the half second that the platform
allows."""

IN_FLIGHT_S = 0.5
BACKOFF_SLACK_REQUESTS = 2
"""Seconds after a rejection in which requests in flight may still arrive, and the
number of requests from one front that is tolerated in the rest of the backoff."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses which promise that a request has not run and never will."""


class Violation(msgspec.Struct, frozen=True):
    """A broken promise, and the observation that shows it."""

    promise: str
    detail: str


def check_promises(observations: Observations) -> list[Violation]:
    """Return every violation of every promise."""
    evidence = Evidence(observations)
    return [
        Violation(check.__name__.removeprefix("_").removeprefix("check_"), detail)
        for check in CHECKS
        for detail in check(evidence)
    ]


# Promises that always hold


def _check_whole_answers(evidence: Evidence) -> Iterator[str]:
    """A successful response is complete and belongs to its request."""
    for call in evidence.observations.caller_requests.values():
        if call.mismatch:
            yield f"{describe_call(call)}: {call.mismatch}"


def _check_own_status(evidence: Evidence) -> Iterator[str]:
    """A response with a replica's seal has the status that the replica sent."""
    given: dict[str, set[int]] = defaultdict(set)
    for response in evidence.observations.sent_responses:
        given[response.request_id].add(response.status)
    for call in evidence.observations.caller_requests.values():
        if call.seal is None or call.status is None or call.status == 200:
            continue
        if call.status not in given[call.request_id]:
            yield f"{describe_call(call)}: the replica sent {given[call.request_id]}"


def _check_unasked(evidence: Evidence) -> Iterator[str]:
    """Replicas execute only what callers sent, unchanged."""
    for run in evidence.observations.executions:
        if run.request_id not in evidence.observations.caller_requests:
            yield f"{run.request_id} ran at {run.upstream}, and nobody sent it"
        elif run.is_altered:
            yield f"{run.request_id} ran at {run.upstream} with another body"


def _check_at_most_once(evidence: Evidence) -> Iterator[str]:
    """Non-idempotent calls, and streams that cannot be resumed, run at most once."""
    for call in evidence.observations.caller_requests.values():
        runs = evidence.runs[call.request_id]
        if call.kind in AT_MOST_ONCE and len(runs) > 1:
            yield f"{describe_call(call)}: ran at {[run.upstream for run in runs]}"


def _check_refused_did_not_run(evidence: Evidence) -> Iterator[str]:
    """Requests with a status that means "not run" never ran."""
    for call in evidence.observations.caller_requests.values():
        if call.status in NOT_RUN_STATUSES and evidence.runs[call.request_id]:
            yield describe_call(call)


def _check_not_denied(evidence: Evidence) -> Iterator[str]:
    """Requests with the lasting key, on routes of all versions, are never denied."""
    for call in evidence.observations.caller_requests.values():
        if call.version == 0 and call.status in (400, 401, 403, 404):
            yield describe_call(call)


def _check_revoked(evidence: Evidence) -> Iterator[str]:
    """No process accepts a revoked key after the revocation time."""
    revoked_at: dict[RoutingVersion, float] = {}
    for accepted in evidence.observations.accepted:
        for version in accepted.revoked:
            revoked_at.setdefault(version, accepted.at)
    for call in evidence.observations.caller_requests.values():
        limit = revoked_at.get(call.version, math.inf) + BOUNDS.key_revocation
        if call.sent_at > limit and evidence.runs[call.request_id]:
            late = call.sent_at - limit
            yield f"{describe_call(call)}: {late:.2f} s after revocation"


def _check_no_way_back(evidence: Evidence) -> Iterator[str]:
    """A process that used a version uses no older one later."""
    seen_versions: dict[tuple[ProcessName, int], list[Execution]] = defaultdict(list)
    for run in evidence.observations.executions:
        call = evidence.observations.caller_requests.get(run.request_id)
        if call is None:
            continue
        for earlier in seen_versions[call.front, call.front_start]:
            is_later = call.sent_at > earlier.at + STALE_CONFIGURATION_S
            if is_later and run.version < earlier.version:
                yield f"{describe_call(call)}: {run.version} after {earlier.version}"
                break
        known = seen_versions[call.front, call.front_start]
        if not known or run.version > known[-1].version:
            known.append(run)


def _check_read_back(evidence: Evidence) -> Iterator[str]:
    """A document that is read is as sent, and not older than the acknowledged one."""
    for read in evidence.observations.reads:
        expected = evidence.find_version(read.requested_at - CONFIGURATION_DELAY_S)
        if read.version < expected:
            yield f"version {read.version} at {read.requested_at:.3f}, not {expected}"
        if not read.is_as_sent:
            yield f"version {read.version} is not what was sent"


def _check_nothing_lost(evidence: Evidence) -> Iterator[str]:
    """The newest acknowledged document is still stored at the end."""
    expected = max((one.version for one in evidence.observations.accepted), default=0)
    last = evidence.observations.reads[-1] if evidence.observations.reads else None
    if last is None or last.requested_at < evidence.observations.load_ended_at:
        yield "no document could be read at the end"
    elif last.version < expected:
        yield f"version {last.version} at the end, not {expected}"


def _check_memory(evidence: Evidence) -> Iterator[str]:
    """Reservations are released soon after their last use, or if they stay unused.

    An order that a partition holds back may arrive after the release, so the platform
    counts no time in which a link was cut.
    """
    for reservation in evidence.observations.reservations:
        since, bound = reservation.since, IDLE_RESERVATION_S
        if reservation.used_until > reservation.since:
            since, bound = reservation.used_until, RESERVATION_RELEASE_S
        held = reservation.until - since
        spare = held - evidence.compute_partitioned(since, reservation.until) - bound
        if spare > CLOCK_MARGIN_S:
            yield (
                f"{reservation.name} at {reservation.upstream}, {spare:.1f} s too long"
            )


def _check_retry_budget(evidence: Evidence) -> Iterator[str]:
    """Retries never exceed the budget that all processes share."""
    window = BOUNDS.retry_window
    firsts: dict[str, list[float]] = defaultdict(list)
    repeats: dict[str, list[float]] = defaultdict(list)
    known: set[str] = set()
    for arrival in sorted(evidence.observations.arrivals, key=lambda one: one.at):
        counted = repeats if arrival.request_id in known else firsts
        counted[arrival.service].append(arrival.at)
        known.add(arrival.request_id)
    for service, times in repeats.items():
        for place, at in enumerate(times):
            count = place + 1 - bisect_left(times, at - window)
            requests = max(
                _count(firsts[service], at - back - window, at - back)
                for back in (0.0, window / 2.0, window)
            )
            allowed = BOUNDS.retry_ratio * requests + BOUNDS.retry_slack
            if count > allowed:
                yield f"{service} at {at:.3f}: {count} retries, {allowed:.0f} allowed"
                break


def _check_request_limits(evidence: Evidence) -> Iterator[str]:
    """Fronts that know of a rate limit respect it together, in every window."""
    for period in evidence.observations.rate_limit_periods:
        times = _list_informed_arrivals(evidence, period)
        allowed = RATE_EXCESS_FACTOR * period.rate * RATE_WINDOW_S + RATE_SLACK_REQUESTS
        for at in times:
            count = _count(times, at, at + RATE_WINDOW_S)
            if count > allowed:
                yield (
                    f"{period.upstream} at {at:.3f}: {count} requests in "
                    f"{RATE_WINDOW_S:g} s, {period.rate:g} per second allowed"
                )
                break


def _list_informed_arrivals(evidence: Evidence, period: RateLimitPeriod) -> list[float]:
    """List when a rate-limited replica got requests from fronts that knew the limit.

    The response to a misdirected request names no limit.
    """
    informed_at: dict[tuple[ProcessName, int], float] = {}
    times = []
    for arrival in sorted(evidence.observations.arrivals, key=lambda one: one.at):
        call = evidence.observations.caller_requests.get(arrival.request_id)
        is_there = arrival.upstream == period.upstream and not arrival.is_misdirected
        if call is None or not is_there:
            continue
        if not period.since <= arrival.at <= period.until:
            continue
        known_from = informed_at.setdefault(
            (call.front, call.front_start), arrival.at + RATE_LIMIT_DELAY_S
        )
        if arrival.at >= known_from:
            times.append(arrival.at)
    return times


def _check_pauses(evidence: Evidence) -> Iterator[str]:
    """A front respects a requested backoff, unless a fault affects it meanwhile."""
    arrivals = _list_arrivals(evidence)
    for rejection in evidence.observations.rejections:
        call = evidence.observations.caller_requests.get(rejection.request_id)
        if call is None:
            continue
        until = rejection.at + rejection.backoff
        if evidence.is_disturbed(call.front, rejection.at, until):
            continue
        times = arrivals[call.front, call.front_start, rejection.upstream]
        count = _count(times, rejection.at + IN_FLIGHT_S, until)
        if count > BACKOFF_SLACK_REQUESTS:
            yield (
                f"{rejection.upstream} at {rejection.at:.3f}: {count} requests of "
                f"{call.front} in the {rejection.backoff:g} s of its backoff"
            )


def _check_farewells(evidence: Evidence) -> Iterator[str]:
    """A front that received a drain notice sends that replica no later requests."""
    informed_at: dict[tuple[ProcessName, int, UpstreamId], float] = {}
    for notice in evidence.observations.drain_notices:
        call = evidence.observations.caller_requests.get(notice.request_id)
        if call is not None and call.status == 200 and call.ended_at is not None:
            place = (call.front, call.front_start, notice.upstream)
            informed_at[place] = min(call.ended_at, informed_at.get(place, math.inf))
    for arrival in evidence.observations.arrivals:
        call = evidence.observations.caller_requests.get(arrival.request_id)
        if call is None:
            continue
        informed = informed_at.get(
            (call.front, call.front_start, arrival.upstream), math.inf
        )
        if call.sent_at <= informed + DRAIN_DELAY_S + CLOCK_MARGIN_S:
            continue
        if not evidence.is_disturbed(call.front, informed, arrival.at):
            late = call.sent_at - informed
            detail = f"reached {arrival.upstream} {late:.2f} s after"
            yield f"{describe_call(call)}: {detail}"


def _list_arrivals(
    evidence: Evidence,
) -> dict[tuple[ProcessName, int, UpstreamId], list[float]]:
    """List when requests arrived, by front, start of the front and replica."""
    arrivals: dict[tuple[ProcessName, int, UpstreamId], list[float]]
    arrivals = defaultdict(list)
    for arrival in sorted(evidence.observations.arrivals, key=lambda one: one.at):
        call = evidence.observations.caller_requests.get(arrival.request_id)
        if call is not None:
            arrivals[call.front, call.front_start, arrival.upstream].append(arrival.at)
    return arrivals


def _count(times: list[float], since: float, until: float) -> int:
    return bisect_left(times, until) - bisect_left(times, since)


def _check_exits(evidence: Evidence) -> Iterator[str]:
    """Processes end only when terminated, with exit code 0."""
    for one in evidence.observations.exits:
        yield f"{one.process} at {one.at:.3f} with code {one.code}"


CHECKS: tuple[Callable[[Evidence], Iterator[str]], ...] = (
    _check_whole_answers,
    _check_own_status,
    _check_unasked,
    _check_at_most_once,
    _check_refused_did_not_run,
    _check_not_denied,
    _check_revoked,
    _check_no_way_back,
    _check_read_back,
    _check_nothing_lost,
    _check_memory,
    _check_retry_budget,
    _check_request_limits,
    _check_pauses,
    _check_farewells,
    check_evacuated,
    check_evacuations_kept,
    _check_exits,
    check_silences,
    check_second_runs,
    check_calm_service,
    check_partitioned_service,
    check_guilty_parts,
    check_served_beside_guilty_parts,
    check_in_time,
    check_in_force,
    check_drained,
    check_planned_stop,
)
