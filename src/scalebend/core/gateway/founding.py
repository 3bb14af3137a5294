"""Decides whether a starting control instance may form the control group.

The settings name the first start of a deployment once. Without a stored intention, no
process could form the group if all were killed before they had formed it.
"""

from __future__ import annotations

from scalebend.models.founding import Founding, StoredFounding
from scalebend.models.ids import InstanceId

FIRST_START_S = 5.0
"""Seconds after the first start in which a founder with an empty disk was killed before
it stored its intention, rather than lost its disk."""


def plan_founding(
    seeds: list[InstanceId],
    stored: StoredFounding | None,
    *,
    is_first_start: bool,
    now: float,
) -> Founding | None:
    """Return how this instance may form the group; ``None`` if it may not.

    The stored intention is on the disk that a group would be on, so that it is gone if
    the disk was lost. A founder that was down since the first start can't tell whether
    the others formed a group and lost their disks; it needs the intention of all.

    ``now``: wall clock in seconds.
    """
    if stored is None:
        return Founding(seeds, needs_all=False) if is_first_start else None
    is_recent = 0.0 <= now - stored.stored_at <= FIRST_START_S
    return Founding(stored.founders, needs_all=not (is_first_start or is_recent))
