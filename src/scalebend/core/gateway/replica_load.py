"""Load of one replica as one scheduler knows it, from its open jobs and from reports.

Views are rebuilt only when the load changed, or while the replica prefills.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.engine_costs import (
    MIN_SPLIT_PREFILL_S,
    compute_batch_step_time,
)
from scalebend.core.gateway.engine_view import EngineView, Occupancy, PrefillInterval
from scalebend.core.gateway.overdue_tokens import OverdueTokens
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import BusyReplica, EngineWork, JobId
from scalebend.models.routing import EngineProfile

UNKNOWN_JOBS_LIFETIME_S = 2.0
"""Time for which jobs of other schedulers count after a replica reported them: about
the duration of a quick response."""

REPORTED_LOAD_LIFETIME_S = 2.0
"""Time for which load reported by a lost leader counts: about the duration of a quick
response."""

FIRST_TOKEN_GRACE_S = 0.0
"""Time by which a first token may be late before its replica is avoided, if another
fits: other schedulers may have placed jobs there."""

AVOID_UNHEALTHY_S = 2.0
"""Time for which a replica that refused a connection or was unresponsive is avoided."""

UNHEALTHY_PACE = 1.5
"""Pace from which on a replica counts as unhealthy."""

PACE_LIFETIME_S = 4.0
"""Time for which a reported pace counts; then the replica is used again."""


class Job(msgspec.Struct):
    """A job that was placed and has not ended."""

    work: EngineWork
    upstreams: list[UpstreamId]
    forget_at: float
    is_decoding: bool = False
    prefill_until: float = 0.0
    """Clock time at which its prefill is predicted to end."""

    decoding_since: float = 0.0
    """Clock time of its first token, once it decodes."""


class JobPart(msgspec.Struct):
    """One replica's part of a job; clock times in seconds."""

    job: Job
    prefill_time: float
    """Duration of the prefill."""

    tokens: int
    """KV cache memory reserved there."""

    is_lead: bool
    is_unsplit: bool
    """Whether this replica prefills the whole prompt."""

    prefill_from: float
    prefill_until: float

    def is_helper_active(self, now: float) -> bool:
        """Whether a part of a prompt led by another replica is prefilled there now.

        Parts that start later have not been sent to the replica yet.
        """
        is_lead_or_decoding = self.is_lead or self.job.is_decoding
        return not is_lead_or_decoding and self.prefill_from <= now


class _QueuedPrefill(msgspec.Struct):
    """Prefill queued on a replica; times in seconds from now, at its usual pace."""

    pending_prefill: float = 0.0
    intervals: list[PrefillInterval] = msgspec.field(default_factory=list)
    is_prefilling: bool = False
    """Whether a prefill is scheduled that is not known to be done."""

    is_overdue: bool = False
    """Whether a first token is overdue."""


class ReplicaLoad(msgspec.Struct):
    """Load and health of one replica as a scheduler knows them."""

    parts: dict[JobId, JobPart] = msgspec.field(default_factory=dict)
    pace: float = 1.0
    """How many times slower than usual the replica works, as it reported."""

    pace_until: float = 0.0
    """Clock time until which ``pace`` counts."""

    avoid_until: float = 0.0
    reported: BusyReplica | None = None
    """Load reported by another scheduler, while this one is uncoordinated."""

    reported_at: float = 0.0
    unknown_jobs: int = 0
    """Requests there that this scheduler did not place, by the replica's own count."""

    unknown_until: float = 0.0
    overdue: OverdueTokens | None = None
    """First tokens overdue there; ``None`` if the last one came."""

    def get_pace(self, now: float) -> float:
        """Return the reported pace while it counts, else 1."""
        return self.pace if now < self.pace_until else 1.0

    def is_healthy(self, now: float) -> bool:
        """Whether it responds, at about its usual pace."""
        if self.is_left_out(now):
            return False
        return now >= self.avoid_until and self.get_pace(now) < UNHEALTHY_PACE

    def is_left_out(self, now: float) -> bool:
        """Whether it is left out for first tokens that did not come."""
        return self.overdue is not None and now < self.overdue.excluded_until

    def record_load(self, load: int, now: float) -> None:
        """Record the replica's count of its requests.

        Those beyond the known jobs come from other fronts.
        """
        known = sum(part.is_lead for part in self.parts.values())
        self.unknown_jobs = max(0, load - known)
        self.unknown_until = now + UNKNOWN_JOBS_LIFETIME_S

    def record_failure(self, now: float) -> None:
        """Record that the replica could not be reached or was unresponsive."""
        self.avoid(now + AVOID_UNHEALTHY_S)

    def avoid(self, until: float) -> None:
        """Use the replica only if no other is left, until the given time."""
        self.avoid_until = max(self.avoid_until, until)

    def record_pace(self, pace: float, now: float) -> None:
        """Record the pace that the replica reported."""
        self.pace = pace
        self.pace_until = now + PACE_LIFETIME_S

    def build_view(
        self, endpoint: Endpoint, rank: int, profile: EngineProfile, now: float
    ) -> EngineView:
        """Build the view of the replica at ``now``."""
        queued = self._sum_prefill(now)
        occupancy = self._find_occupancy(now, is_overdue=queued.is_overdue)
        reserved_tokens = sum(part.tokens for part in self.parts.values())
        pace = self.get_pace(now)
        return EngineView(
            endpoint=endpoint,
            rank=rank,
            free_tokens=profile.memory_tokens - reserved_tokens,
            occupancy=occupancy,
            jobs=occupancy.jobs,
            helper_parts=sum(
                part.is_helper_active(now) for part in self.parts.values()
            ),
            pending_prefill=queued.pending_prefill * pace,
            batch_step_time=pace
            * compute_batch_step_time(profile, self._list_contexts(occupancy)),
            pace=pace,
            intervals=tuple(queued.intervals),
            valid_until=self._find_next_change(now),
            is_prefilling=queued.is_prefilling,
        )

    def compute_pending_prefill(self, now: float) -> float:
        """Return the seconds until all prefill that is known has ended."""
        return self._sum_prefill(now).pending_prefill * self.get_pace(now)

    def has_long_prefill(self, now: float) -> bool:
        """Whether it is expected to prefill a long prompt now.

        Requests that decode there, and quick prompts, get few events meanwhile.
        """
        reported = self._find_reported(now)
        if reported is not None and reported.prefill_s > MIN_SPLIT_PREFILL_S:
            if now < self.reported_at + reported.prefill_s:
                return True
        return any(
            part.prefill_time > MIN_SPLIT_PREFILL_S
            and part.prefill_from <= now < part.prefill_until
            for part in self.parts.values()
        )

    def _sum_prefill(self, now: float) -> _QueuedPrefill:
        """Sum up the prefill queued there, from own jobs and reported load."""
        queued = _QueuedPrefill()
        quick_time = 0.0
        for part in self.parts.values():
            left = part.prefill_until - now
            queued.is_prefilling |= left >= 0.0
            if part.is_unsplit and not part.job.is_decoding:
                queued.is_overdue |= left < -FIRST_TOKEN_GRACE_S
            if part.prefill_time <= MIN_SPLIT_PREFILL_S and part.is_unsplit:
                # Short prompts are prefilled together, in one batch step.
                quick_time += min(part.prefill_time, max(0.0, left))
            elif left > 0.0:
                queued.pending_prefill = max(queued.pending_prefill, left)
                start = max(0.0, part.prefill_from - now)
                queued.intervals.append(PrefillInterval(start, left))
        queued.pending_prefill += quick_time
        reported = self._find_reported(now)
        if reported is not None:
            queued.is_prefilling = True
            left = reported.prefill_s - (now - self.reported_at)
            if left > 0.0:
                queued.pending_prefill = max(queued.pending_prefill, left)
                queued.intervals.append(PrefillInterval(0.0, left))
        if quick_time > 0.0:
            queued.intervals.append(PrefillInterval(0.0, quick_time))
        return queued

    def _find_occupancy(self, now: float, *, is_overdue: bool) -> Occupancy:
        event_gaps = sorted(
            part.job.work.event_gap for part in self.parts.values() if part.is_lead
        )
        unknown_jobs = self.unknown_jobs if now < self.unknown_until else 0
        reported_jobs, reported_event_gap = 0, 0.0
        reported = self._find_reported(now)
        if reported is not None:
            # Jobs have ended since the report: count them down over its lifetime.
            age = now - self.reported_at
            reported_jobs = int(
                reported.decoding * (1.0 - age / REPORTED_LOAD_LIFETIME_S)
            )
            reported_event_gap = reported.event_gap
        return Occupancy(
            tuple(event_gaps),
            unknown_jobs,
            reported_jobs,
            reported_event_gap,
            is_overdue,
        )

    def _list_contexts(self, occupancy: Occupancy) -> list[int]:
        """List context sizes of decoding jobs; 0 for jobs of other schedulers."""
        known = [
            part.job.work.prompt_tokens for part in self.parts.values() if part.is_lead
        ]
        return known + [0] * occupancy.unknown_jobs

    def _find_reported(self, now: float) -> BusyReplica | None:
        return (
            self.reported
            if now - self.reported_at <= REPORTED_LOAD_LIFETIME_S
            else None
        )

    def _find_next_change(self, now: float) -> float:
        """Find when the view changes through time alone, apart from its prefill."""
        times = [self.avoid_until, self.pace_until, self.unknown_until]
        if self.overdue is not None:
            times.append(self.overdue.excluded_until)
        if self.reported is not None:
            times.append(self.reported_at + REPORTED_LOAD_LIFETIME_S)
        times += [part.prefill_until for part in self.parts.values()]
        return min((time for time in times if time >= now), default=math.inf)
