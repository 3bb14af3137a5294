"""Timeouts of a front: for a send permit, the leader's placement and a response."""

from __future__ import annotations

from scalebend.models.calls import Call
from scalebend.models.routing import Route

PLACEMENT_TIMEOUT_S = 0.06
"""Timeout of a placement request to the leader, after which a front decides alone: well
above the usual delay of a reply of 3 ms, a fifth of the target latency of a quick
prompt."""

LEADER_BACKOFF_S = 0.5
"""Time for which a leader that did not reply in time gets no placement requests."""

MIN_FIRST_BYTE_S = 1.2
"""Minimum timeout for the first byte: four times the target latency of a quick
prompt."""

FIRST_BYTE_FACTOR = 6.0
"""Timeout for the first byte as a multiple of the predicted time to the first token:
large, since a repeated prefill of a long prompt delays all other requests, and since
crashed or slow replicas are found sooner by their connection or their report."""

FIRST_BYTE_MARGIN_S = 0.6
"""Added to the timeout for the first byte, for work unknown to the scheduler."""

MIN_EVENT_GAP_S = 1.0
"""Minimum timeout between two events: callers give up a stream after twice as long."""

EVENT_GAP_FACTOR = 4.0
"""Timeout between two events as a multiple of the route's event gap."""

INSPECTION_FACTOR = 1.6
"""Delay of an inspection as a multiple of the predicted time to the first token."""

INSPECTION_MARGIN_S = 0.1
"""Added to the delay of an inspection, for the round trip to the replica."""

SERVICE_FACTOR = 4.0
"""Timeout of a call to a plain service as a multiple of its target latency."""

ROOM_WAIT_SHARE = 0.5
"""Share of the target latency for which a request waits for an upstream. The rest is
for its response; a request that would be late gets a ``Retry-After`` instead."""


def compute_room_timeout(call: Call, now: float) -> float:
    """Seconds to wait for an upstream that may be sent the call."""
    left = call.arrived + call.route.target_latency - now
    return max(0.0, ROOM_WAIT_SHARE * left)


def compute_first_byte_timeout(route: Route, predicted: float | None) -> float:
    """Seconds to wait for the first byte.

    ``predicted`` is the time to the first token in seconds, for engines only.
    """
    if predicted is None:
        return max(MIN_FIRST_BYTE_S, SERVICE_FACTOR * route.target_latency)
    return max(MIN_FIRST_BYTE_S, FIRST_BYTE_FACTOR * predicted + FIRST_BYTE_MARGIN_S)


def compute_event_timeout(route: Route) -> float:
    """Seconds to wait for the next event of a stream."""
    gap = route.event_gap or route.target_latency
    return max(MIN_EVENT_GAP_S, EVENT_GAP_FACTOR * gap)


def compute_inspection_delay(predicted: float) -> float:
    """Seconds without a first token after which reports of the replicas are fetched."""
    return INSPECTION_FACTOR * predicted + INSPECTION_MARGIN_S
