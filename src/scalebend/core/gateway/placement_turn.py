"""A prompt that waits for its turn asks now and then whether it comes sooner.

Turns are planned with a margin, and what was planned before may end early, leave, or
overrun. A placement made once would sleep through all of that.
"""

from __future__ import annotations

import msgspec

from scalebend.models.placement import EngineWork, Placement

REPLAN_PERIOD = 0.15
"""Seconds between two questions of a waiting prompt: a twentieth of the target of the
longest, so a handful of messages for each of the few that wait."""


def renew_work(work: EngineWork, waited: float) -> EngineWork:
    """The same work after ``waited`` seconds: less is left of all that it was given."""
    return msgspec.structs.replace(
        work,
        target=max(0.0, work.target - waited),
        remaining=max(0.0, work.remaining - waited),
    )


def keep_turn(placement: Placement, waited: float) -> Placement:
    """The same placement after ``waited`` seconds, when nobody answers."""
    return msgspec.structs.replace(
        placement,
        first_token_in=placement.first_token_in - waited,
        start_in=max(0.0, placement.start_in - waited),
    )
