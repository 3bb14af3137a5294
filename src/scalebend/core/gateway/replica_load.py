"""What one scheduler knows of one replica: its parts of open jobs, and its own words.

A view of it is built only when something of it changed, or while it reads.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.engine_costs import QUICK_READ, compute_pass_time
from scalebend.core.gateway.engine_view import BusyTime, Company, EngineView
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import BusyReplica, EngineWork, JobId
from scalebend.models.routing import EngineProfile

UNKNOWN_LIFE = 2.0
"""Seconds for which jobs of others are counted after a replica told of them: about as
long as a quick answer takes. With five of twelve fronts cut off from the leader, 1.0 s
brings 0.83 of the quick prompts in time and 2.0 s 0.88, 30 seeds."""

BUSY_LIFE = 2.0
"""Seconds for which the load that a lost leader told of is still counted: about the
time that a quick answer takes."""

OVERDUE = 0.0
"""Seconds after the predicted time of a first token, lateness included, from which a
replica counts as fuller than is known here: others may have placed there without a
word. It is avoided while another fits (0.81 -> 0.83 in time, as above)."""

SUSPECT_TIME = 2.0
"""Seconds for which a replica that failed to connect or fell silent is avoided."""

SLOW_PACE = 1.5
"""Times the usual work time from which on a replica is avoided like an unsound one."""

PACE_LIFE = 4.0
"""Seconds for which a replica's word on its own slowness is believed; then it is tried
again, and asked again if it is late."""


class Job(msgspec.Struct):
    """A job that was placed and has not ended."""

    work: EngineWork
    upstreams: list[UpstreamId]
    forget_at: float
    is_writing: bool = False


class Share(msgspec.Struct):
    """A job's part on one replica; times in seconds of the clock."""

    job: Job
    part: float
    """Seconds of reading."""

    tokens: int
    is_first: bool
    is_whole: bool
    """Whether one replica reads all of the prompt."""

    read_from: float
    read_until: float


class ReplicaLoad(msgspec.Struct):
    """One replica, as far as a scheduler knows."""

    shares: dict[JobId, Share] = msgspec.field(default_factory=dict)
    pace: float = 1.0
    """How many times slower than usual it works, by its own word."""

    paced_until: float = 0.0
    suspect_until: float = 0.0
    others: BusyReplica | None = None
    """Load that another scheduler told of, while this one decides alone."""

    others_at: float = 0.0
    unknown_jobs: int = 0
    """Requests there that this scheduler did not place, by the replica's own count."""

    unknown_until: float = 0.0

    def read_pace(self, now: float) -> float:
        """The pace, while it is believed."""
        return self.pace if now < self.paced_until else 1.0

    def is_sound(self, now: float) -> bool:
        """Whether it answers, and about as fast as usual."""
        return now >= self.suspect_until and self.read_pace(now) < SLOW_PACE

    def note_load(self, load: int, now: float) -> None:
        """It counted its requests: those not known here are of other fronts."""
        known = sum(share.is_first for share in self.shares.values())
        self.unknown_jobs = max(0, load - known)
        self.unknown_until = now + UNKNOWN_LIFE

    def note_failure(self, now: float) -> None:
        """It could not be reached, or fell silent."""
        self.avoid(now + SUSPECT_TIME)

    def avoid(self, until: float) -> None:
        """It is to be used only if no other is left."""
        self.suspect_until = max(self.suspect_until, until)

    def note_pace(self, pace: float, now: float) -> None:
        """It told how slow it is."""
        self.pace = pace
        self.paced_until = now + PACE_LIFE

    def build_view(
        self, endpoint: Endpoint, rank: int, profile: EngineProfile, now: float
    ) -> EngineView:
        """What matters of it now."""
        contexts = []
        gaps = []
        busy = []
        is_overdue = is_reading = False
        helping = 0
        pending = quick_reading = 0.0
        free_tokens = profile.memory_tokens
        for share in self.shares.values():
            job = share.job
            left = share.read_until - now
            is_reading |= left >= 0.0
            if share.is_whole and not job.is_writing:
                is_overdue |= left < -OVERDUE
            if share.part <= QUICK_READ and share.is_whole:
                # Short prompts are read together, in one pass.
                quick_reading += min(share.part, max(0.0, left))
            elif left > 0.0:
                pending = max(pending, left)
                busy.append(BusyTime(max(0.0, share.read_from - now), left))
            free_tokens -= share.tokens
            if share.is_first:
                contexts.append(job.work.prompt_tokens)
                gaps.append(job.work.event_gap)
            elif not job.is_writing and share.read_from <= now:
                # Parts whose turn comes later are not at the replica yet.
                helping += 1
        pending += quick_reading
        told_jobs, told_gap = 0, 0.0
        others = self._find_others(now)
        if others is not None:
            age = now - self.others_at
            # Some of them have ended since.
            told_jobs = int(others.writing * (1.0 - age / BUSY_LIFE))
            told_gap = others.event_gap
            if others.reading > age:
                pending = max(pending, others.reading - age)
                busy.append(BusyTime(0.0, others.reading - age))
        if quick_reading > 0.0:
            busy.append(BusyTime(0.0, quick_reading))
        unknown_jobs = self.unknown_jobs if now < self.unknown_until else 0
        # Nothing is known of their sizes, either.
        contexts += [0] * unknown_jobs
        gaps.sort()
        company = Company(tuple(gaps), unknown_jobs, told_jobs, told_gap, is_overdue)
        pace = self.read_pace(now)
        return EngineView(
            endpoint=endpoint,
            rank=rank,
            free_tokens=free_tokens,
            company=company,
            jobs=company.jobs,
            helping=helping,
            pending=pending * pace,
            pass_time=pace * compute_pass_time(profile, contexts),
            pace=pace,
            busy=tuple(busy),
            stable_until=self._find_next_change(now),
            is_reading=is_reading or others is not None,
        )

    def _find_others(self, now: float) -> BusyReplica | None:
        return self.others if now - self.others_at <= BUSY_LIFE else None

    def _find_next_change(self, now: float) -> float:
        """When the clock alone ends what is believed, reading apart."""
        times = [self.suspect_until, self.paced_until, self.unknown_until]
        if self.others is not None:
            times.append(self.others_at + BUSY_LIFE)
        times += [share.read_until for share in self.shares.values()]
        return min((time for time in times if time >= now), default=math.inf)
