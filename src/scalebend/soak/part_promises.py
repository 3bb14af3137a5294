"""Promises about parts of prompts that crash replicas, checked from outside."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from scalebend.soak.observations import CallerRequest, describe_call

if TYPE_CHECKING:
    from scalebend.soak.evidence import Evidence

CRASHES_UNTIL_VERDICT = 5
"""Crashed replicas after which all processes must soon know the part."""

CONTACT_S = 3.0
"""Seconds from the last of these crashes until few requests with the part are sent."""

MAX_LATE_ARRIVALS = 3
"""Requests with the part that may reach replicas later."""

SOUND_AFTER_S = 2.0 * CONTACT_S
"""Seconds from that crash until the other requests are served again."""

MIN_SERVED_RATIO = 0.5
"""Share of them that must be served, relative to those before any crash."""

MIN_COMPARED_CALLS = 20
"""Number of requests, before and after, below which nothing is compared."""


def check_guilty_parts(evidence: Evidence) -> Iterator[str]:
    """Requests with a part that crashes replicas soon reach none, without faults."""
    for part, crashes in evidence.part_crashes.items():
        if len(crashes) < CRASHES_UNTIL_VERDICT:
            continue
        fifth = crashes[CRASHES_UNTIL_VERDICT - 1]
        late = [
            arrival
            for arrival in evidence.observations.arrivals
            if arrival.at > fifth + CONTACT_S
            and evidence.find_guilty_part(arrival.request_id) == part
            and evidence.are_processes_calm(fifth, arrival.at)
        ]
        if len(late) > MAX_LATE_ARRIVALS:
            yield (
                f"{len(late)} requests with {part} reached replicas later than "
                f"{CONTACT_S:g} s after the fifth crash; {len(crashes)} crashed"
            )


def check_served_beside_guilty_parts(evidence: Evidence) -> Iterator[str]:
    """Other requests are served while those with such a part still come."""
    for part, crashes in evidence.part_crashes.items():
        guilty = [
            call.sent_at
            for call in evidence.observations.caller_requests.values()
            if call.guilty_part == part
        ]
        since = crashes[:CRASHES_UNTIL_VERDICT][-1] + SOUND_AFTER_S
        until = max(guilty)
        if not evidence.is_calm_but_for_parts(since, until):
            continue
        before = _list_sound(evidence, crashes[0] - SOUND_AFTER_S, crashes[0])
        after = _list_sound(evidence, since, until)
        if min(len(before), len(after)) < MIN_COMPARED_CALLS:
            continue
        if _compute_served(after) < MIN_SERVED_RATIO * _compute_served(before):
            failed = next(call for call in after if call.status != 200)
            yield (
                f"{_compute_served(after):.0%} of {len(after)} served beside {part}, "
                f"{_compute_served(before):.0%} before; such as {describe_call(failed)}"
            )


def _list_sound(evidence: Evidence, since: float, until: float) -> list[CallerRequest]:
    return [
        call
        for call in evidence.observations.caller_requests.values()
        if since <= call.sent_at <= until
        and call.ended_at is not None
        and not (call.guilty_part or call.is_cancelled or call.version)
    ]


def _compute_served(calls: list[CallerRequest]) -> float:
    return sum(call.status == 200 for call in calls) / len(calls)
