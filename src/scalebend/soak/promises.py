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
from scalebend.soak.deployment import BOUNDS
from scalebend.soak.evacuation_promises import (
    check_evacuated,
    check_evacuations_kept,
)
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    GUILTY_PROMPTS,
    CallerRequest,
    Disturbance,
    DrainAcknowledgement,
    Execution,
    Observations,
    RateLimitPeriod,
    RequestKind,
    describe_call,
)
from scalebend.soak.part_promises import (
    check_guilty_parts,
    check_served_beside_guilty_parts,
)
from scalebend.soak.partition_promises import check_partitioned_service

SETTLE_S = 4.0
"""Seconds after the last fault until a calm period begins."""

CONFIGURATION_DELAY_S = 2.0
"""Seconds from the acknowledgement of a document until all processes use it."""

STALE_CONFIGURATION_S = 2.0
"""Seconds after which a process that used a version uses no older one. Longer than the
platform allows, since it also applies to disturbed processes."""

DRAIN_DELAY_S = 2.0
"""Seconds from the acknowledgement of a drain until the replica gets no new request."""

RESPONSE_DELAY_S = 1.0
"""Seconds beyond its timeout within which a request must have ended."""

RESERVATION_RELEASE_S = 4.0
"""Seconds after its last use within which a reservation must be released."""

IDLE_RESERVATION_S = 9.0
"""Seconds within which an unused reservation must be released."""

CLOCK_MARGIN_S = 0.5
"""Seconds of tolerance for times that this process measures."""

STOP_ACCEPT_S = 2.5
"""Seconds after the signal in which a stopping front still completes new requests."""

MAX_REJECTED_SHARE = 0.05
"""Share of the requests in calm periods that may be rejected."""

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


class Evidence:
    """Observations with indexes for the checks."""

    def __init__(self, observations: Observations) -> None:
        self.observations = observations
        self.runs: dict[str, list[Execution]] = defaultdict(list)
        for run in observations.executions:
            self.runs[run.request_id].append(run)
        self.part_crashes: dict[str, list[float]] = defaultdict(list)
        for crash in sorted(observations.part_crashes, key=lambda one: one.at):
            self.part_crashes[crash.part].append(crash.at)
        self._accepted = sorted(observations.accepted, key=lambda accepted: accepted.at)
        self._newest: list[RoutingVersion] = []
        for accepted in self._accepted:
            newest = max([accepted.version, *self._newest[-1:]])
            self._newest.append(newest)

    def find_version(self, at: float) -> RoutingVersion:
        """Return the newest version that was acknowledged before ``at``, or 0."""
        place = bisect_left(self._accepted, at, key=lambda accepted: accepted.at)
        return self._newest[place - 1] if place else RoutingVersion(0)

    def is_calm(
        self, since: float, until: float, excluding: ProcessName | None = None
    ) -> bool:
        """Whether no fault was active from ``SETTLE_S`` before ``since`` to ``until``.

        Planned stops count as faults, except those of the process ``excluding``.
        """
        if not self.is_calm_but_for_partitions(since, until, excluding):
            return False
        return not self._list_active(self.observations.partitions, since, until)

    def is_calm_but_for_partitions(
        self, since: float, until: float, excluding: ProcessName | None = None
    ) -> bool:
        """The same, apart from partitions of fronts from replicas."""
        observations = self.observations
        if self._list_active(observations.disturbances, since, until):
            return False
        stops = self._list_active(observations.stops, since, until)
        return all(one.process == excluding for one in stops)

    def find_guilty_part(self, request_id: str) -> str:
        """Return the part of a request that crashes replicas; empty without one."""
        call = self.observations.caller_requests.get(request_id)
        return call.guilty_part if call is not None else ""

    def are_processes_calm(self, since: float, until: float) -> bool:
        """Whether no fault of a gateway process was active from ``SETTLE_S`` before."""
        observations = self.observations
        active = self._list_active(
            [
                *observations.disturbances,
                *observations.stops,
                *observations.partitions,
            ],
            since,
            until,
        )
        return all(
            one.process == GUILTY_PROMPTS or one.process.startswith("replica-")
            for one in active
        )

    def is_calm_but_for_parts(self, since: float, until: float) -> bool:
        """Whether no fault was active but prompts that crash replicas."""
        active = self._list_active(self.observations.disturbances, since, until)
        is_only_parts = all(one.process == GUILTY_PROMPTS for one in active)
        return is_only_parts and self.are_processes_calm(since, until)

    def compute_partitioned(self, since: float, until: float) -> float:
        """Return the seconds of a period in which any front was partitioned."""
        total, counted_until = 0.0, since
        for one in sorted(self.observations.partitions, key=lambda one: one.since):
            begin = max(one.since, counted_until)
            end = min(one.until, until)
            if end > begin:
                total += end - begin
                counted_until = end
        return total

    def _list_active(
        self, disturbances: list[Disturbance], since: float, until: float
    ) -> list[Disturbance]:
        return [
            one
            for one in disturbances
            if one.since <= until and one.until >= since - SETTLE_S
        ]

    def is_disturbed(self, process: ProcessName, since: float, until: float) -> bool:
        """Whether a fault affected the process itself in that time."""
        return any(
            one.process == process and one.since <= until and one.until >= since
            for one in self.observations.disturbances
        )


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
    """Non-idempotent calls run at most once."""
    for call in evidence.observations.caller_requests.values():
        runs = evidence.runs[call.request_id]
        if call.kind is RequestKind.NON_IDEMPOTENT and len(runs) > 1:
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


# Promises that hold only in calm periods


def _check_calm_service(evidence: Evidence) -> Iterator[str]:
    """In calm periods few requests are rejected, and all others succeed."""
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
        elif call.status != 200:
            yield describe_call(call)
    if len(rejected) > max(2.0, MAX_REJECTED_SHARE * count):
        first = describe_call(rejected[0])
        yield f"{len(rejected)} of {count} rejected, such as {first}"


def _check_in_time(evidence: Evidence) -> Iterator[str]:
    """In calm periods every request ends within its timeout."""
    for call in evidence.observations.caller_requests.values():
        end = call.ended_at
        if end is None or not evidence.is_calm(call.sent_at, end):
            continue
        if end - call.sent_at > call.timeout_s + RESPONSE_DELAY_S:
            yield f"{describe_call(call)}: ended after {end - call.sent_at:.2f} s"


def _check_in_force(evidence: Evidence) -> Iterator[str]:
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


def _check_drained(evidence: Evidence) -> Iterator[str]:
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


def _check_planned_stop(evidence: Evidence) -> Iterator[str]:
    """A planned stop breaks off no request that is running at a replica."""
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
            if call.status is None and has_run and call.ended_at > stop.since:
                yield describe_call(call)


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
    _check_calm_service,
    check_partitioned_service,
    check_guilty_parts,
    check_served_beside_guilty_parts,
    _check_in_time,
    _check_in_force,
    _check_drained,
    _check_planned_stop,
)
