"""Until when a front may send a placed prompt on the permit that came with it.

A permit counts for its planned time. A front that was suspended, or that waited long
for memory, would otherwise send what it was permitted much earlier, all at once.
"""

from __future__ import annotations

from scalebend.core.gateway.placement_aging import REPLAN_INTERVAL_S
from scalebend.core.gateway.slow_start import CEILING_PERMIT_LIFETIME_S
from scalebend.models.placement import JobId, Placement


class JobPermits:
    """Send permits of the open jobs of one front."""

    def __init__(self) -> None:
        self._valid_until: dict[JobId, float] = {}
        """Latest send times on the permits held; jobs without one are absent."""

    def record(self, job: JobId, placement: Placement, asked_at: float) -> None:
        """Record a placement for which the decider was asked at ``asked_at``.

        One that starts later is placed anew before, and has no permit yet.
        """
        if placement.start_in > REPLAN_INTERVAL_S:
            self._valid_until.pop(job, None)
            return
        due = asked_at + placement.start_in
        self._valid_until[job] = due + CEILING_PERMIT_LIFETIME_S

    def renew(self, job: JobId, due: float) -> None:
        """Record another permit, for a send at ``due``."""
        self._valid_until[job] = due + CEILING_PERMIT_LIFETIME_S

    def is_valid(self, job: JobId, now: float) -> bool:
        """Whether a job may be sent now on its permit."""
        return now <= self._valid_until.get(job, now - 1.0)

    def forget(self, job: JobId) -> None:
        """Forget a job that ended."""
        self._valid_until.pop(job, None)
