"""Chooses replicas for prompts of unlike lengths, from an exact list of open jobs.

Two promises pull apart: a long prompt should be read by many replicas at once to
start soon, yet reading delays the next event of whoever writes on the same replica.
So every choice keeps, on each replica, the reading of one pass below the shortest
event gap promised there. Short requests share as few replicas as they can; what they
leave free reads long prompts, in as few parts as the time to first token allows.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable

import msgspec

from scalebend.core.gateway.engine_costs import compute_pass_time, compute_read_time
from scalebend.core.gateway.engine_view import (
    BusyTime,
    EngineView,
    build_idle_view,
)
from scalebend.core.gateway.placement_choice import (
    MEMORY_MARGIN,
    QUICK_READ,
    Plan,
    choose,
)
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import (
    BusyReplica,
    Declined,
    EngineWork,
    JobId,
    JobStage,
    OpenJob,
    Placement,
    ReplicaPace,
)
from scalebend.models.routing import EngineProfile
from scalebend.utils.fading import FadingMaximum

LONGEST_PART = 1.0
"""Seconds of reading in one part, if there is a group with such parts. Longer ones keep
replicas from quick prompts that come meanwhile; 0.25 to 0.4 s cost the prompts over one
engine's memory their turn (0.947 against 0.956 of the long in time, 30 seeds)."""

LATENESS = 1.25
"""Times the predicted time for which a part counts as not read, unless the first token
is seen before: predictions leave out what arrives later."""

LOST_JOB = 1.0
"""Seconds after a job's deadline at which it is forgotten, if its end was not heard."""

LONGEST_PART_ALONE = 0.140
"""The same for a scheduler that does not know of other fronts' jobs: with many small
parts, two that meet on a replica still stay below a quick request's event gap."""

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

QUICK_SPARE = 12
"""Slots kept from long prompts beyond the quick requests open lately: about what
arrives in two thirds of a second. A quarter more than those open, as well, brought 0.91
instead of 0.95 of the long prompts in time, and no more of the quick ones, 30 seeds."""

QUICK_MEMORY = 3.0
"""Seconds in which the remembered number of quick requests falls to a third."""

SLOW_PACE = 1.5
"""Times the usual work time from which on a replica is avoided like an unsound one."""

PACE_LIFE = 4.0
"""Seconds for which a replica's word on its own slowness is believed; then it is tried
again, and asked again if it is late."""


class _Share(msgspec.Struct):
    """A job's part on one replica."""

    part: float
    tokens: int
    is_first: bool
    is_whole: bool
    """Whether one replica reads all of the prompt."""

    read_from: float
    read_until: float


class _Job(msgspec.Struct):
    work: EngineWork
    upstreams: list[UpstreamId]
    forget_at: float
    is_writing: bool = False


class _Replica(msgspec.Struct):
    shares: dict[JobId, _Share] = msgspec.field(default_factory=dict)
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


class SchedulerSummary(msgspec.Struct, frozen=True):
    """Beliefs of a scheduler in a few figures."""

    open_jobs: int
    writing: int
    slow: list[UpstreamId]
    suspect: list[UpstreamId]


class EngineScheduler:
    """Open jobs of all fronts, or of this one alone while no leader answers."""

    def __init__(self, salt: str = "", longest_part: float = LONGEST_PART) -> None:
        """``longest_part`` is the longest reading in one part, in seconds.

        ``salt`` differs between schedulers that do not know of each other's jobs.

        It sets the order in which equal replicas are taken, so that many fronts
        deciding alone do not all fill the same ones.
        """
        self._is_alone = bool(salt)
        self._salt = salt.encode()
        self._longest_part = longest_part
        self._quick = FadingMaximum(QUICK_MEMORY)
        self._jobs: dict[JobId, _Job] = {}
        self._replicas: dict[UpstreamId, _Replica] = {}

    @property
    def open_jobs(self) -> int:
        """Jobs that were placed and have not ended."""
        return len(self._jobs)

    # Inputs

    def note_stage(self, stage: JobStage, now: float) -> None:
        """A front saw a job's first token, or its end."""
        job = self._jobs.get(stage.job)
        if job is None:
            return
        if stage.is_ended:
            self._drop(stage.job)
        elif not job.is_writing:
            job.is_writing = True
            self._note_load(job.upstreams[0], stage.load, now)
            for upstream in job.upstreams:
                share = self._replicas[upstream].shares.get(stage.job)
                if share is not None:
                    share.read_until = now

    def _note_load(self, upstream: UpstreamId, load: int | None, now: float) -> None:
        """A replica counted its requests: those not known here are of other fronts."""
        if load is None:
            return
        replica = self._replicas[upstream]
        known = sum(share.is_first for share in replica.shares.values())
        replica.unknown_jobs = max(0, load - known)
        replica.unknown_until = now + UNKNOWN_LIFE

    def note_failure(self, upstream: UpstreamId, now: float) -> None:
        """A front could not reach a replica, or it fell silent."""
        replica = self._replicas.setdefault(upstream, _Replica())
        replica.suspect_until = now + SUSPECT_TIME

    def note_pace(self, pace: ReplicaPace, now: float) -> None:
        """A replica told how slow it is."""
        replica = self._replicas.setdefault(pace.upstream, _Replica())
        replica.pace = pace.pace
        replica.paced_until = now + PACE_LIFE

    def adopt(self, opened: OpenJob, profile: EngineProfile, now: float) -> None:
        """Learn of a job that another scheduler placed."""
        if opened.work.job in self._jobs:
            return
        self._put(opened.work, opened.placement, profile, now - opened.age)
        if opened.is_writing:
            self.note_stage(JobStage(opened.work.job, is_ended=False), now)

    def forget(self, job: JobId) -> None:
        """A job is not where it was placed."""
        self._drop(job)

    def forget_front(self, is_of_front: Callable[[JobId], bool]) -> None:
        """A front is gone, and its jobs with it."""
        for job in [job for job in self._jobs if is_of_front(job)]:
            self._drop(job)

    def expire(self, now: float) -> None:
        """Forget jobs whose end was never heard, and replicas without jobs."""
        for job in [j for j, known in self._jobs.items() if now > known.forget_at]:
            self._drop(job)

    def retain(self, upstreams: Iterable[UpstreamId]) -> None:
        """Forget replicas that no longer exist and run nothing."""
        kept = set(upstreams)
        for upstream in list(self._replicas):
            if upstream not in kept and not self._replicas[upstream].shares:
                del self._replicas[upstream]

    def summarise(self, now: float) -> SchedulerSummary:
        """What is believed now, for the log."""
        writing = sum(job.is_writing for job in self._jobs.values())
        return SchedulerSummary(
            len(self._jobs),
            writing,
            [u for u, r in self._replicas.items() if r.read_pace(now) > 1.0],
            [u for u, r in self._replicas.items() if now < r.suspect_until],
        )

    def list_busy(self, now: float, most: int) -> list[BusyReplica]:
        """The busiest replicas, for schedulers that may have to decide alone."""
        busy = []
        for upstream, replica in self._replicas.items():
            reading = 0.0
            gaps = []
            for name, share in replica.shares.items():
                reading = max(reading, share.read_until - now)
                if share.is_first:
                    gaps.append(self._jobs[name].work.event_gap)
            pace = replica.read_pace(now)
            if reading > 0.0 or gaps or pace > 1.0:
                gap = min(gaps, default=0.0)
                told = BusyReplica(upstream, round(reading, 3), len(gaps), gap, pace)
                busy.append(told)
        busy.sort(key=lambda one: (-one.pace, -one.reading, -one.writing))
        return busy[:most]

    def note_busy(self, busy: list[BusyReplica], now: float) -> None:
        """Another scheduler told which replicas are busy."""
        for replica in self._replicas.values():
            replica.others = None
        for one in busy:
            replica = self._replicas.setdefault(one.upstream, _Replica())
            replica.others = one
            replica.others_at = now
            if one.pace > 1.0:
                self.note_pace(ReplicaPace(one.upstream, one.pace), now)

    # Choice

    def place(
        self,
        work: EngineWork,
        endpoints: list[Endpoint],
        profile: EngineProfile,
        now: float,
    ) -> Placement | Declined:
        """Choose replicas and count the job, or say when to come back.

        A job that is known already is placed anew.
        """
        self.forget(work.job)
        views = [
            self._view(endpoint, work, profile, now)
            for endpoint in endpoints
            if endpoint.upstream not in work.excluded
        ]
        sound = [view for view in views if self._is_sound(view.endpoint, now)]
        views = sound or views
        self._quick.note(sum(view.count_quick() for view in views), now)
        placement = choose(self._plan(work, profile, now), views)
        if isinstance(placement, Placement):
            self._put(work, placement, profile, now)
        return placement

    def _rank(self, upstream: UpstreamId) -> int:
        return zlib.crc32(self._salt + upstream.encode())

    def _plan(self, work: EngineWork, profile: EngineProfile, now: float) -> Plan:
        return Plan(
            work,
            profile,
            compute_read_time(profile, work.prompt_tokens),
            compute_pass_time(profile, [work.prompt_tokens]),
            work.prompt_tokens + work.output_tokens + MEMORY_MARGIN,
            self._longest_part,
            self._quick.read(now) + QUICK_SPARE,
            self._rank,
            self._is_alone,
        )

    def _is_sound(self, endpoint: Endpoint, now: float) -> bool:
        replica = self._replicas.get(endpoint.upstream)
        if replica is None:
            return True
        return now >= replica.suspect_until and replica.read_pace(now) < SLOW_PACE

    def _view(
        self, endpoint: Endpoint, work: EngineWork, profile: EngineProfile, now: float
    ) -> EngineView:
        replica = self._replicas.get(endpoint.upstream)
        view = build_idle_view(endpoint, profile.memory_tokens)
        if replica is None:
            return view
        contexts = []
        quick_reading = 0.0
        for name, share in replica.shares.items():
            job = self._jobs[name]
            if share.is_whole and not job.is_writing:
                view.is_overdue |= now > share.read_until + OVERDUE
            left = max(0.0, share.read_until - now)
            if share.part <= QUICK_READ and share.is_whole:
                # Short prompts are read together, in one pass.
                quick_reading += min(share.part, left)
            else:
                view.pending = max(view.pending, left)
                if left > 0.0:
                    start = max(0.0, share.read_from - now)
                    view.busy.append(BusyTime(start, left))
            view.free_tokens -= share.tokens
            if not share.is_first:
                # Parts whose turn comes later are not at the replica yet.
                view.helping += not job.is_writing and share.read_from <= now
                continue
            view.first_jobs += 1
            contexts.append(job.work.prompt_tokens)
            if job.work.event_gap <= work.event_gap:
                view.tight_jobs += 1
            else:
                view.loose_jobs += 1
            if view.event_gap is None or job.work.event_gap < view.event_gap:
                view.event_gap = job.work.event_gap
        view.pending += quick_reading
        _add_others(view, replica, work, now)
        if quick_reading > 0.0:
            view.busy.append(BusyTime(0.0, quick_reading))
        if replica.unknown_jobs and now < replica.unknown_until:
            view.first_jobs += replica.unknown_jobs
            # Nothing is known of their gaps.
            view.loose_jobs += replica.unknown_jobs
            contexts += [work.prompt_tokens] * replica.unknown_jobs
        view.pace = replica.read_pace(now)
        view.pending *= view.pace
        view.pass_time = view.pace * compute_pass_time(profile, contexts)
        return view

    # State

    def _put(
        self, work: EngineWork, placement: Placement, profile: EngineProfile, now: float
    ) -> None:
        read = compute_read_time(profile, work.prompt_tokens)
        part = read / (1 + len(placement.helpers))
        start = now + placement.start_in
        reading = placement.first_token_in - placement.start_in
        first_until = start + LATENESS * reading
        helper_until = start + LATENESS * part
        held = sum(helper.tokens for helper in placement.helpers)
        tokens = work.prompt_tokens + work.output_tokens - held
        is_whole = not placement.helpers
        first = _Share(part, tokens, True, is_whole, start, first_until)
        self._share(placement.upstream, work.job, first)
        for helper in placement.helpers:
            share = _Share(part, helper.tokens, False, False, start, helper_until)
            self._share(helper.upstream, work.job, share)
        forget_at = now + work.remaining + LOST_JOB
        self._jobs[work.job] = _Job(work, placement.upstreams, forget_at)

    def _share(self, upstream: UpstreamId, job: JobId, share: _Share) -> None:
        self._replicas.setdefault(upstream, _Replica()).shares[job] = share

    def _drop(self, name: JobId) -> None:
        job = self._jobs.pop(name, None)
        if job is None:
            return
        for upstream in job.upstreams:
            replica = self._replicas.get(upstream)
            if replica is not None:
                replica.shares.pop(name, None)


def _add_others(
    view: EngineView, replica: _Replica, work: EngineWork, now: float
) -> None:
    """Count what another scheduler told of the replica before it was lost."""
    others = replica.others
    age = now - replica.others_at
    if others is None or age > BUSY_LIFE:
        return
    reading = others.reading - age
    view.pending = max(view.pending, reading)
    if reading > 0.0:
        view.busy.append(BusyTime(0.0, reading))
    # Some of them have ended since.
    writing = int(others.writing * (1.0 - age / BUSY_LIFE))
    # Not counted as company: all fronts would join the same replicas at once.
    view.first_jobs = max(view.first_jobs, writing)
    gap = others.event_gap
    if gap > work.event_gap:
        view.loose_jobs += writing
    if gap and (view.event_gap is None or gap < view.event_gap):
        view.event_gap = gap
