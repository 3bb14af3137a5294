"""Chooses replicas for prompts of different lengths, from an exact list of open jobs.

Two aims conflict: splitting the prefill of a long prompt over many replicas brings its
first token forward, but delays the next event of the jobs that decode on them. On each
replica, the prefill of one batch step therefore stays below the shortest event gap
promised there. Short requests are packed on as few replicas as possible; the others
prefill long prompts, in as few parts as the time to first token allows.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable, Iterable, Sequence

import msgspec

from scalebend.core.gateway.engine_costs import (
    compute_batch_step_time,
    compute_prefill_time,
)
from scalebend.core.gateway.overdue_tokens import MAX_EXCLUDED_SHARE, OverdueTokens
from scalebend.core.gateway.path_health import RETRANSMISSION_S, PathHealth
from scalebend.core.gateway.placement_choice import choose_isolated, choose_replicas
from scalebend.core.gateway.placement_plan import Plan, compute_memory
from scalebend.core.gateway.replica_load import Job, JobPart, ReplicaLoad
from scalebend.core.gateway.replica_pool import ReplicaPool
from scalebend.core.gateway.room_forecast import DecodeTimes, EngineFleet
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, ServiceName, UpstreamId
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
from scalebend.utils.decaying_maximum import DecayingMaximum

MAX_PART_S = 1.0
"""Maximum prefill time of one part if the prompt can be split into such parts. Longer
parts would occupy replicas that quick prompts need; with a quarter of it, prompts that
exceed the memory of one engine lose their turn."""

PREFILL_OVERRUN_FACTOR = 1.25
"""A part counts as unfinished for this multiple of its predicted prefill time, unless
its first token is seen earlier: predictions do not include later arrivals."""

MISSING_END_GRACE_S = 1.0
"""Time after its deadline at which a job without a reported end is removed."""

REJECTION_AVOID_S = 1.0
"""Time for which an engine that rejected a request is used only if no other is left. An
engine that rejects everything is idle and would be chosen first for each request."""

UNCOORDINATED_MAX_PART_S = 0.140
"""Maximum prefill time of one part for an uncoordinated scheduler: two such parts on
one replica still stay below a quick request's event gap."""

QUICK_SPARE_SLOTS = 12
"""Slots reserved for quick requests beyond those recently in use: room for what arrives
in less than a second."""

QUICK_DECAY_S = 3.0
"""Time constant with which the recent number of quick requests decays."""


class SchedulerSummary(msgspec.Struct, frozen=True):
    """State of a scheduler in a few figures."""

    open_jobs: int
    decoding: int
    slow: list[UpstreamId]
    suspect: list[UpstreamId]


class EngineScheduler:
    """Open jobs of all fronts, or of one front while it is uncoordinated."""

    def __init__(self, salt: str = "", max_part_s: float = MAX_PART_S) -> None:
        """``max_part_s`` is the longest prefill of one part, in seconds.

        ``salt`` marks an uncoordinated scheduler, one per front. It sets the order in
        which equal replicas are chosen, so that uncoordinated fronts do not all fill
        the same ones.
        """
        self._is_uncoordinated = bool(salt)
        self._salt = salt.encode()
        self._max_part_s = max_part_s
        self._quick = DecayingMaximum(QUICK_DECAY_S)
        self._jobs: dict[JobId, Job] = {}
        self._suspects: dict[JobId, Job] = {}
        """Those of the open jobs that are suspect requests."""

        self.paths: PathHealth | None = None
        """States of the paths between zones; ``None`` if they are unknown."""

        self._replicas: dict[UpstreamId, ReplicaLoad] = {}
        self._pools: dict[ServiceName, ReplicaPool] = {}
        self._decode_times = DecodeTimes()

    @property
    def open_jobs(self) -> int:
        """Jobs that were placed and have not ended."""
        return len(self._jobs)

    # Inputs

    def record_stage(self, stage: JobStage, now: float) -> None:
        """Record a job's first token or its end, as its front saw it."""
        job = self._jobs.get(stage.job)
        if job is None:
            return
        if stage.is_ended:
            if job.is_decoding and not stage.has_failed:
                self._decode_times.record(job, now - job.decoding_since)
            self._remove_job(stage.job)
        elif not job.is_decoding:
            job.is_decoding = True
            job.decoding_since = now
            self._edit_load(job.upstreams[0]).overdue = None
            if stage.load is not None:
                self._edit_load(job.upstreams[0]).record_load(stage.load, now)
            for upstream in job.upstreams:
                part = self._edit_load(upstream).parts.get(stage.job)
                if part is not None:
                    part.prefill_until = now

    def record_failure(self, upstream: UpstreamId, now: float) -> None:
        """Record that a replica could not be reached or was unresponsive."""
        self._edit_load(upstream).record_failure(now)

    def record_overdue(self, upstream: UpstreamId, now: float) -> bool:
        """Record an overdue first token; return whether its replica is now left out.

        One that a long prefill explains does not count.
        """
        load = self._edit_load(upstream)
        if load.has_long_prefill(now):
            return False
        load.overdue = load.overdue or OverdueTokens()
        left_out = sum(one.is_left_out(now) for one in self._replicas.values())
        limit = max(1, int(MAX_EXCLUDED_SHARE * len(self._replicas)))
        if not load.overdue.record(now) or left_out >= limit:
            return False
        load.overdue.exclude(now)
        return True

    def record_rejection(self, upstream: UpstreamId, now: float) -> None:
        """Record that a replica rejected a request without running it."""
        self.avoid(upstream, now + REJECTION_AVOID_S)

    def avoid(self, upstream: UpstreamId, until: float) -> None:
        """Prefer other replicas until the given time."""
        self._edit_load(upstream).avoid(until)

    def record_pace(self, pace: ReplicaPace, now: float) -> None:
        """Record the pace that a replica reported."""
        self._edit_load(pace.upstream).record_pace(pace.pace, now)

    def adopt(self, opened: OpenJob, profile: EngineProfile, now: float) -> None:
        """Add a job that another scheduler placed."""
        if opened.work.job in self._jobs:
            return
        self._add_job(opened.work, opened.placement, profile, now - opened.age)
        if opened.is_decoding:
            self.record_stage(JobStage(opened.work.job, is_ended=False), now)

    def forget(self, job: JobId) -> None:
        """Remove a job that no longer runs where it was placed."""
        self._remove_job(job)

    def forget_front(self, is_of_front: Callable[[JobId], bool]) -> None:
        """Remove the jobs of a front that is gone."""
        for job in [job for job in self._jobs if is_of_front(job)]:
            self._remove_job(job)

    def expire(self, now: float) -> None:
        """Remove jobs whose end was never reported."""
        for job in [j for j, known in self._jobs.items() if now > known.forget_at]:
            self._remove_job(job)

    def retain(self, upstreams: Iterable[UpstreamId]) -> None:
        """Remove replicas that are not in ``upstreams`` and run nothing."""
        kept = set(upstreams)
        for upstream in list(self._replicas):
            if upstream not in kept and not self._replicas[upstream].parts:
                self._edit_load(upstream)
                del self._replicas[upstream]

    def summarise(self, now: float) -> SchedulerSummary:
        """Summarise the state for the log."""
        decoding = sum(job.is_decoding for job in self._jobs.values())
        return SchedulerSummary(
            len(self._jobs),
            decoding,
            [u for u, r in self._replicas.items() if r.get_pace(now) > 1.0],
            [
                u
                for u, r in self._replicas.items()
                if now < r.avoid_until or r.is_left_out(now)
            ],
        )

    def list_busy(self, now: float, max_count: int) -> list[BusyReplica]:
        """List the ``max_count`` busiest replicas, for uncoordinated schedulers."""
        busy = []
        for upstream, replica in self._replicas.items():
            prefill_left = 0.0
            gaps = []
            for part in replica.parts.values():
                prefill_left = max(prefill_left, part.prefill_until - now)
                if part.is_lead:
                    gaps.append(part.job.work.event_gap)
            pace = replica.get_pace(now)
            if prefill_left > 0.0 or gaps or pace > 1.0:
                gap = min(gaps, default=0.0)
                report = BusyReplica(
                    upstream, round(prefill_left, 3), len(gaps), gap, pace
                )
                busy.append(report)
        busy.sort(key=lambda one: (-one.pace, -one.prefill_s, -one.decoding))
        return busy[:max_count]

    def compute_pending_prefill(self, upstream: UpstreamId, now: float) -> float:
        """Return the seconds for which a replica is expected to prefill prompts.

        Requests that decode there get few events meanwhile, or none.
        """
        load = self._replicas.get(upstream)
        return load.compute_pending_prefill(now) if load is not None else 0.0

    def record_busy_replicas(self, busy: list[BusyReplica], now: float) -> None:
        """Replace the load that another scheduler reported."""
        for upstream, replica in self._replicas.items():
            if replica.reported is not None:
                self._edit_load(upstream).reported = None
        for one in busy:
            replica = self._edit_load(one.upstream)
            replica.reported = one
            replica.reported_at = now
            if one.pace > 1.0:
                self.record_pace(ReplicaPace(one.upstream, one.pace), now)

    def describe_fleet(
        self, endpoints: Sequence[Endpoint], profile: EngineProfile
    ) -> EngineFleet:
        """Return the replicas of a service with their loads, for forecasts."""
        return EngineFleet(endpoints, profile, self._replicas, self._decode_times)

    # Choice

    def place(
        self,
        work: EngineWork,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
        in_backoff: Iterable[UpstreamId] = (),
    ) -> Placement | Declined:
        """Choose replicas and add the job, or say when to retry.

        A job that is already known is placed anew. Replicas in ``in_backoff`` are not
        used.
        """
        self.forget(work.job)
        pool = self.refresh(work.service, endpoints, profile, now)
        self._quick.record(pool.quick_jobs, now)
        placement = self._choose(self._build_plan(work, profile, now, in_backoff), pool)
        if isinstance(placement, Placement):
            self._add_job(work, placement, profile, now)
        return placement

    def is_decoding(self, job: JobId) -> bool:
        """Whether the first token of an open job was seen."""
        found = self._jobs.get(job)
        return found is not None and found.is_decoding

    def refresh(
        self,
        service: ServiceName,
        endpoints: Sequence[Endpoint],
        profile: EngineProfile,
        now: float,
    ) -> ReplicaPool:
        """Return the replicas of a service with their load at ``now``."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = ReplicaPool(self._rank)
        pool.refresh(endpoints, profile, self._replicas, now)
        return pool

    def _choose(self, plan: Plan, pool: ReplicaPool) -> Placement | Declined:
        if plan.work.is_suspect:
            # All requests of a crashed replica are retried at once, and the cause is
            # among them. Packed on one replica, they would be lost together again.
            # Isolated, the cause crashes a replica that runs little else.
            suspects = self._suspects.values()
            with_suspects = {upstream for job in suspects for upstream in job.upstreams}
            placement = choose_isolated(plan, pool, with_suspects)
            if placement is not None:
                return placement
        return choose_replicas(plan, pool)

    def _rank(self, upstream: UpstreamId) -> int:
        return zlib.crc32(self._salt + upstream.encode())

    def _build_plan(
        self,
        work: EngineWork,
        profile: EngineProfile,
        now: float,
        in_backoff: Iterable[UpstreamId] = (),
    ) -> Plan:
        step_time = compute_batch_step_time(profile, [work.prompt_tokens])
        avoided: frozenset[AvailabilityZone] = frozenset()
        if self.paths is not None and work.event_gap < RETRANSMISSION_S + step_time:
            avoided = self.paths.list_avoided(work.availability_zone, work.job)
        return Plan(
            work,
            profile,
            compute_prefill_time(profile, work.prompt_tokens),
            step_time,
            compute_memory(work),
            self._max_part_s,
            self._quick.read(now) + QUICK_SPARE_SLOTS,
            frozenset((*work.excluded, *in_backoff)),
            self._is_uncoordinated,
            work.availability_zone,
            avoided,
        )

    # State

    def _add_job(
        self, work: EngineWork, placement: Placement, profile: EngineProfile, now: float
    ) -> None:
        prefill_time = compute_prefill_time(profile, work.prompt_tokens)
        part_time = prefill_time / (1 + len(placement.helpers))
        start = now + placement.start_in
        lead_time = placement.first_token_in - placement.start_in
        lead_until = start + PREFILL_OVERRUN_FACTOR * lead_time
        helper_until = start + PREFILL_OVERRUN_FACTOR * part_time
        helper_tokens = sum(helper.tokens for helper in placement.helpers)
        tokens = work.prompt_tokens + work.output_tokens - helper_tokens
        is_unsplit = not placement.helpers
        forget_at = now + work.remaining + MISSING_END_GRACE_S
        job = Job(work, placement.upstreams, forget_at, prefill_until=lead_until)
        self._jobs[work.job] = job
        if work.is_suspect:
            self._suspects[work.job] = job
        self._edit_load(placement.upstream).parts[work.job] = JobPart(
            job, part_time, tokens, True, is_unsplit, start, lead_until
        )
        for helper in placement.helpers:
            self._edit_load(helper.upstream).parts[work.job] = JobPart(
                job, part_time, helper.tokens, False, False, start, helper_until
            )

    def _remove_job(self, name: JobId) -> None:
        job = self._jobs.pop(name, None)
        if job is None:
            return
        self._suspects.pop(name, None)
        for upstream in job.upstreams:
            if upstream in self._replicas:
                self._edit_load(upstream).parts.pop(name, None)

    def _edit_load(self, upstream: UpstreamId) -> ReplicaLoad:
        """Return the load of a replica for an update, and mark its views as stale."""
        for pool in self._pools.values():
            pool.mark_stale(upstream)
        load = self._replicas.get(upstream)
        if load is None:
            load = self._replicas[upstream] = ReplicaLoad()
        return load
