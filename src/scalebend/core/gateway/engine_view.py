"""State of one replica that a placement depends on; times in seconds."""

from __future__ import annotations

import math
from bisect import bisect_right

import msgspec

from scalebend.models.endpoints import Endpoint

EVENT_GAP_MARGIN_S = 0.030
"""Part of an event gap kept free for delivery and for prefill not yet known."""

QUICK_EVENT_GAP_S = 0.25
"""Event gap up to which a request is quick; one part of a long prompt exceeds it."""


class PrefillInterval(msgspec.Struct, frozen=True):
    """Interval in which a replica prefills a long part, in seconds from now."""

    start: float
    end: float


class Occupancy(msgspec.Struct, frozen=True):
    """Jobs that decode on a replica; many replicas share equal values."""

    event_gaps: tuple[float, ...] = ()
    """Event gaps of the known jobs that decode there, shortest first."""

    unknown_jobs: int = 0
    """Jobs there that this scheduler did not place; their event gaps are unknown."""

    reported_jobs: int = 0
    """Jobs there that a lost leader reported, including those in ``event_gaps``."""

    reported_event_gap: float = 0.0
    """Shortest event gap of the reported jobs; 0 when there are none."""

    is_overdue: bool = False
    """Whether a first token is overdue."""

    @property
    def jobs(self) -> int:
        """Jobs that decode there or are about to."""
        # Uncoordinated fronts all receive the same report and would all place there.
        return max(len(self.event_gaps), self.reported_jobs) + self.unknown_jobs

    @property
    def event_gap(self) -> float | None:
        """Shortest event gap promised there; ``None`` if none is known."""
        known_gap = self.event_gaps[0] if self.event_gaps else None
        if not self.reported_event_gap or (
            known_gap is not None and known_gap <= self.reported_event_gap
        ):
            return known_gap
        return self.reported_event_gap

    @property
    def is_quick(self) -> bool:
        """Whether a quick request decodes there."""
        gap = self.event_gap
        return gap is not None and gap <= QUICK_EVENT_GAP_S

    def count_jobs_within(self, event_gap: float) -> int:
        """Count the known jobs whose event gap is at most ``event_gap``."""
        return bisect_right(self.event_gaps, event_gap)

    def count_jobs_beyond(self, event_gap: float) -> int:
        """Count the jobs whose event gap may exceed ``event_gap``.

        Long prompts may join them.
        """
        reported = self.reported_jobs if self.reported_event_gap > event_gap else 0
        return (
            len(self.event_gaps)
            - self.count_jobs_within(event_gap)
            + self.unknown_jobs
            + reported
        )


IDLE = Occupancy()


class EngineView(msgspec.Struct):
    """State of one replica at one moment."""

    endpoint: Endpoint
    rank: int
    """Position in the order in which equal replicas are chosen."""

    free_tokens: int
    occupancy: Occupancy = IDLE
    jobs: int = 0
    """Copy of :attr:`Occupancy.jobs`, which each choice reads for each candidate."""

    helper_parts: int = 0
    """Parts of prompts led by other replicas that are prefilled there now."""

    pending_prefill: float = 0.0
    """Time until all prefill queued there is done."""

    batch_step_time: float = 0.0
    """Duration of one batch step without prefill."""

    pace: float = 1.0
    """How many times slower than usual the replica works."""

    intervals: tuple[PrefillInterval, ...] = ()
    """Scheduled prefills of long parts."""

    valid_until: float = math.inf
    """Clock time until which this view holds if nothing new is recorded about the
    replica; a view of a replica that prefills holds for one moment only."""

    is_prefilling: bool = False
    """Whether a prefill is scheduled there that is not known to be done."""

    def compute_part_headroom(self, start: float) -> float:
        """Compute the prefill time that fits in one part from ``start`` on.

        It ends before the next scheduled prefill and stays below the shortest event gap
        of the jobs that decode there.
        """
        headroom = math.inf
        for interval in self.intervals:
            if interval.start <= start < interval.end:
                return 0.0
            if interval.start > start:
                headroom = min(headroom, interval.start - start)
        event_gap = self.occupancy.event_gap
        if event_gap is not None:
            headroom = min(
                headroom, event_gap - EVENT_GAP_MARGIN_S - self.batch_step_time
            )
        return headroom / self.pace

    def compute_batch_headroom(self, limit: float) -> float:
        """Compute the prefill time that may join the pending prefill within ``limit``.

        It delays no decoding job beyond its event gap.
        """
        event_gap = self.occupancy.event_gap
        if event_gap is not None:
            limit = min(limit, event_gap - EVENT_GAP_MARGIN_S)
        return (limit - self.batch_step_time - self.pending_prefill) / self.pace
