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
    from scalebend.soak.promises import Evidence

PARTITION_DETECTION_S = 3.0
"""Seconds from the start of a partition in which a front may fail requests."""

MAX_PARTITIONED_FAILURES = 1
MAX_FAILED_SHARE = 1 / 50
"""Requests that may fail at a partitioned front afterwards: a number, and a share."""


def check_partitioned_service(evidence: Evidence) -> Iterator[str]:
    """Fronts partitioned from replicas serve their callers, if other fronts are not."""
    partitions = evidence.observations.partitions
    for partition in partitions:
        if not evidence.is_calm_but_for_partitions(partition.since, partition.until):
            continue
        if len(_list_overlapping(partitions, partition)) > 1:
            continue
        calls = _list_calls(evidence, partition)
        failed = [call for call in calls if call.status != 200]
        if len(failed) > MAX_PARTITIONED_FAILURES + MAX_FAILED_SHARE * len(calls):
            first = describe_call(failed[0])
            yield f"{len(failed)} of {len(calls)} failed, such as {first}"


def _list_calls(evidence: Evidence, partition: Disturbance) -> list[CallerRequest]:
    """List the calls at a partitioned front for which the promise holds."""
    since = partition.since + PARTITION_DETECTION_S
    return [
        call
        for call in evidence.observations.caller_requests.values()
        if call.front == partition.process
        and call.ended_at is not None
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
