"""Checks what is promised of evacuated availability zones."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import TYPE_CHECKING

from scalebend.soak.observations import Arrival, Evacuation

if TYPE_CHECKING:
    from scalebend.soak.evidence import Evidence

CALM_DELAY_S = 2.5
"""Seconds from an acknowledgement until all fronts obey it if no fault is near: a
second, with a margin for a busy host and for times that this process measures."""

DELAY_S = 5.0
"""The same for any front that was undisturbed for so long, as the platform's bound."""

UNSTABLE_DELAY_S = 6.0
"""Seconds on top if a control instance was disturbed near the acknowledgement."""

FINITE_LIMITS_S = (CALM_DELAY_S, DELAY_S, DELAY_S + UNSTABLE_DELAY_S)
"""Limits after which an arrival breaks the promise; some evacuations last longer."""

SETTLE_S = 4.0
"""Seconds after a fault in which its effects may last."""


def check_evacuated(evidence: Evidence) -> Iterator[str]:
    """Nothing new arrives in an evacuated zone, later than the bound."""
    observations = evidence.observations
    for evacuation in observations.evacuations:
        for arrival in observations.arrivals:
            is_there = arrival.availability_zone == evacuation.availability_zone
            if not is_there or arrival.at >= evacuation.withdrawn_at:
                continue
            limit = _compute_limit(evidence, evacuation, arrival)
            late = arrival.at - evacuation.acknowledged_at
            if late > limit:
                yield (
                    f"{arrival.request_id} reached {arrival.upstream} in "
                    f"{arrival.availability_zone} {late:.2f} s after, {limit:g} allowed"
                )


def check_evacuations_kept(evidence: Evidence) -> Iterator[str]:
    """A list that is read names the zones that are evacuated, and no others."""
    reads = evidence.observations.evacuation_reads
    for read in reads:
        if read.listed != read.expected:
            yield f"{read.listed} at {read.requested_at:.3f}, not {read.expected}"
    ends_at = evidence.observations.load_ended_at
    if evidence.observations.evacuations and (
        not reads or reads[-1].requested_at < ends_at
    ):
        yield "no list could be read at the end"


def _compute_limit(
    evidence: Evidence, evacuation: Evacuation, arrival: Arrival
) -> float:
    """Return the seconds after the acknowledgement in which a request may arrive."""
    call = evidence.observations.caller_requests.get(arrival.request_id)
    if call is None:
        return math.inf
    # Once a front has heard of it, only faults of its own may delay a request.
    since = evacuation.acknowledged_at - SETTLE_S
    heard_by = evacuation.acknowledged_at + CALM_DELAY_S
    is_stable = not any(
        one.process.startswith("control")
        and one.since <= heard_by
        and one.until >= since
        for one in [*evidence.observations.disturbances, *evidence.observations.stops]
    )
    if is_stable and not evidence.is_disturbed(call.front, since, arrival.at):
        return CALM_DELAY_S
    if evidence.is_disturbed(call.front, arrival.at - DELAY_S - SETTLE_S, arrival.at):
        return math.inf
    return DELAY_S + (0.0 if is_stable else UNSTABLE_DELAY_S)
