"""Adjusts queued work and its placement for the time already spent waiting.

Start times are planned with a margin, and earlier work may end early, drain, or
overrun. A queued prompt is therefore placed again from time to time.
"""

from __future__ import annotations

import msgspec

from scalebend.models.placement import EngineWork, Placement

REPLAN_INTERVAL_S = 0.15
"""Time between two placements of a queued prompt: short against the target of a long
prompt, and few messages for each queued one."""


def age_work(work: EngineWork, waited: float) -> EngineWork:
    """Return the work after ``waited`` seconds, with less time left."""
    return msgspec.structs.replace(
        work,
        target=max(0.0, work.target - waited),
        remaining=max(0.0, work.remaining - waited),
        waited=work.waited + waited,
    )


def age_placement(placement: Placement, waited: float) -> Placement:
    """Return the same placement after ``waited`` seconds.

    Used when no new placement is received.
    """
    return msgspec.structs.replace(
        placement,
        first_token_in=placement.first_token_in - waited,
        start_in=max(0.0, placement.start_in - waited),
    )


def postpone_placement(placement: Placement, start_in: float) -> Placement:
    """Return the placement with a start that is at least ``start_in`` seconds away."""
    delay = max(0.0, start_in - placement.start_in)
    return msgspec.structs.replace(
        placement,
        first_token_in=placement.first_token_in + delay,
        start_in=placement.start_in + delay,
    )
