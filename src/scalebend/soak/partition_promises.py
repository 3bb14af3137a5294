"""Promise for fronts that are partitioned from all replicas, checked from outside."""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING

from scalebend.soak.observations import (
    CallerRequest,
    Disturbance,
    describe_call,
)

if TYPE_CHECKING:
    from scalebend.soak.evidence import Evidence

PARTITION_DETECTION_S = 3.0
"""Seconds from the start of a partition in which a front may fail requests."""

MAX_PARTITIONED_FAILURES = 1
MAX_FAILED_SHARE = 1 / 50
"""Requests that may fail at a partitioned front afterwards: a number, and a share."""

MIN_SERVED_RATIO = 2 / 3
"""Share of requests served there, relative to the other fronts, below which more
failures break the promise: replicas without room refuse everywhere."""


def check_partitioned_service(evidence: Evidence) -> Iterator[str]:
    """Fronts partitioned from replicas serve their callers, if other fronts are not."""
    partitions = evidence.observations.partitions
    for partition in partitions:
        if not evidence.is_calm_but_for_partitions(partition.since, partition.until):
            continue
        if len(_list_overlapping(partitions, partition)) > 1:
            continue
        calls = _list_calls(evidence, partition)
        there = [call for call in calls if call.front == partition.process]
        elsewhere = [call for call in calls if call.front != partition.process]
        failed = [call for call in there if call.status != 200]
        if len(failed) <= MAX_PARTITIONED_FAILURES + MAX_FAILED_SHARE * len(there):
            continue
        expected = _compute_served(elsewhere)
        if _compute_served(there) < MIN_SERVED_RATIO * expected:
            first = describe_call(failed[0])
            yield (
                f"{len(failed)} of {len(there)} failed, such as {first}; at the "
                f"others {expected:.0%} were served"
            )


def _compute_served(calls: list[CallerRequest]) -> float:
    """Return the share of calls that were served; 1 without any."""
    if not calls:
        return 1.0
    return sum(call.status == 200 for call in calls) / len(calls)


def _list_calls(evidence: Evidence, partition: Disturbance) -> list[CallerRequest]:
    """List the calls during a partition for which the promise holds."""
    since = partition.since + PARTITION_DETECTION_S
    return [
        call
        for call in evidence.observations.caller_requests.values()
        if call.ended_at is not None
        and not call.is_cancelled
        and not call.version
        and since <= call.sent_at
        and call.ended_at <= partition.until
    ]


def _list_overlapping(
    partitions: list[Disturbance], other: Disturbance
) -> list[Disturbance]:
    return [
        one for one in partitions if one.since < other.until and one.until > other.since
    ]
