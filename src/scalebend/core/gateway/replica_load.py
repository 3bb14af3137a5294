"""What one scheduler knows of one replica: its parts of open jobs, and its own words.

A view of it is built only when something of it changed, or while it reads.
"""

from __future__ import annotations

import math

import msgspec

from scalebend.core.gateway.engine_costs import QUICK_READ, compute_pass_time
from scalebend.core.gateway.engine_view import BusyTime, EngineView, Occupancy
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

    def is_helping(self, now: float) -> bool:
        """Whether a part of another replica's job is read there now.

        Parts whose turn comes later are not at the replica yet.
        """
        is_read = self.is_first or self.job.is_writing
        return not is_read and self.read_from <= now


class _Reading(msgspec.Struct):
    """What is to be read on a replica; times in seconds from now, at its usual pace."""

    pending: float = 0.0
    busy: list[BusyTime] = msgspec.field(default_factory=list)
    is_reading: bool = False
    """Whether anything is planned that is not known to be read."""

    is_overdue: bool = False
    """Whether a first token is missing that should have been seen."""


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
        reading = self._sum_reading(now)
        occupancy = self._find_occupancy(now, is_overdue=reading.is_overdue)
        held = sum(share.tokens for share in self.shares.values())
        pace = self.read_pace(now)
        return EngineView(
            endpoint=endpoint,
            rank=rank,
            free_tokens=profile.memory_tokens - held,
            occupancy=occupancy,
            jobs=occupancy.jobs,
            helping=sum(share.is_helping(now) for share in self.shares.values()),
            pending=reading.pending * pace,
            pass_time=pace * compute_pass_time(profile, self._list_contexts(occupancy)),
            pace=pace,
            busy=tuple(reading.busy),
            stable_until=self._find_next_change(now),
            is_reading=reading.is_reading,
        )

    def _sum_reading(self, now: float) -> _Reading:
        """What is to be read there, by this scheduler's word and by others'."""
        reading = _Reading()
        quick = 0.0
        for share in self.shares.values():
            left = share.read_until - now
            reading.is_reading |= left >= 0.0
            if share.is_whole and not share.job.is_writing:
                reading.is_overdue |= left < -OVERDUE
            if share.part <= QUICK_READ and share.is_whole:
                # Short prompts are read together, in one pass.
                quick += min(share.part, max(0.0, left))
            elif left > 0.0:
                reading.pending = max(reading.pending, left)
                start = max(0.0, share.read_from - now)
                reading.busy.append(BusyTime(start, left))
        reading.pending += quick
        others = self._find_others(now)
        if others is not None:
            reading.is_reading = True
            left = others.reading - (now - self.others_at)
            if left > 0.0:
                reading.pending = max(reading.pending, left)
                reading.busy.append(BusyTime(0.0, left))
        if quick > 0.0:
            reading.busy.append(BusyTime(0.0, quick))
        return reading

    def _find_occupancy(self, now: float, *, is_overdue: bool) -> Occupancy:
        gaps = sorted(
            share.job.work.event_gap for share in self.shares.values() if share.is_first
        )
        unknown_jobs = self.unknown_jobs if now < self.unknown_until else 0
        told_jobs, told_gap = 0, 0.0
        others = self._find_others(now)
        if others is not None:
            # Some of them have ended since.
            age = now - self.others_at
            told_jobs = int(others.writing * (1.0 - age / BUSY_LIFE))
            told_gap = others.event_gap
        return Occupancy(tuple(gaps), unknown_jobs, told_jobs, told_gap, is_overdue)

    def _list_contexts(self, occupancy: Occupancy) -> list[int]:
        """Sizes of the prompts that are written for; nothing is known of others'."""
        known = [
            share.job.work.prompt_tokens
            for share in self.shares.values()
            if share.is_first
        ]
        return known + [0] * occupancy.unknown_jobs

    def _find_others(self, now: float) -> BusyReplica | None:
        return self.others if now - self.others_at <= BUSY_LIFE else None

    def _find_next_change(self, now: float) -> float:
        """When the clock alone ends what is believed, reading apart."""
        times = [self.suspect_until, self.paced_until, self.unknown_until]
        if self.others is not None:
            times.append(self.others_at + BUSY_LIFE)
        times += [share.read_until for share in self.shares.values()]
        return min((time for time in times if time >= now), default=math.inf)
