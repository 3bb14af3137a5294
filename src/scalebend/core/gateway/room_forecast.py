"""Forecasts when the engines of a service have room for a prompt.

Load answered: too little room for long prompts, while short requests fill the slots. A
prompt that was declined then needs the time at which memory is given back and the
prefill scheduled before it is done, not a constant.
"""

from __future__ import annotations

import heapq
from collections.abc import Mapping, Sequence

import msgspec

from scalebend.core.gateway.engine_costs import (
    compute_batch_step_time,
    compute_prefill_time,
)
from scalebend.core.gateway.engine_view import QUICK_EVENT_GAP_S
from scalebend.core.gateway.placement_plan import MAX_HELPERS, MEMORY_MARGIN_TOKENS
from scalebend.core.gateway.replica_load import Job, ReplicaLoad
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import ServiceName, UpstreamId
from scalebend.models.placement import EngineWork
from scalebend.models.routing import EngineProfile

OVERRUN_FACTOR = 1.25
"""A job that decodes for longer than predicted is taken to need this multiple of the
time so far: callers often expect far too few tokens."""

MEMORY_OF_TIMES = 1.0 / 64.0
"""Weight of one ended job in the learned decode time: the mix of requests changes
within seconds, in which several hundred jobs end."""

MAX_REPLICAS = 64
"""Replicas that are considered for one prompt; bounds the cost at any fleet size."""

_NO_LOAD = ReplicaLoad()


class DecodeTimes:
    """Seconds of decoding for each token that callers expected, by service."""

    def __init__(self) -> None:
        self._learned: dict[ServiceName, tuple[float, float]] = {}
        """Decayed sums of seconds and of expected tokens of jobs that ended."""

    def record(self, job: Job, seconds: float) -> None:
        """Record a job that ended after it decoded for ``seconds``."""
        past_seconds, past_tokens = self._learned.get(job.work.service, (0.0, 0.0))
        kept = 1.0 - MEMORY_OF_TIMES
        self._learned[job.work.service] = (
            kept * past_seconds + max(0.0, seconds),
            kept * past_tokens + max(1, job.work.expected_tokens),
        )

    def predict(self, work: EngineWork, profile: EngineProfile) -> float:
        """Predict for how many seconds a request decodes."""
        seconds, tokens = self._learned.get(work.service, (0.0, 0.0))
        if tokens > 0.0:
            return work.expected_tokens * seconds / tokens
        step = compute_batch_step_time(profile, [work.prompt_tokens])
        return work.expected_tokens * step / profile.decode_steps_per_batch_step

    def predict_end(self, job: Job, profile: EngineProfile, now: float) -> float:
        """Predict the clock time at which an open job ends, its deadline at most."""
        decoding = self.predict(job.work, profile)
        if job.is_decoding:
            elapsed = max(0.0, now - job.decoding_since)
            end = job.decoding_since + max(decoding, OVERRUN_FACTOR * elapsed)
        else:
            end = max(now, job.prefill_until) + decoding
        return max(now, min(end, job.forget_at))


class EngineFleet(msgspec.Struct, frozen=True):
    """Replicas of one service with their loads, as one scheduler knows them."""

    endpoints: Sequence[Endpoint]
    profile: EngineProfile
    loads: Mapping[UpstreamId, ReplicaLoad]
    decode_times: DecodeTimes


class QueuedAhead(msgspec.Struct, frozen=True):
    """Work that gets room first, in addition to the open jobs."""

    prefill_s: float = 0.0
    """Its prefill on one engine."""

    tokens: int = 0


NOTHING_AHEAD = QueuedAhead()


def compute_shortest_prefill(work: EngineWork, fleet: EngineFleet) -> float:
    """Compute the prefill time on as many idle replicas as a prompt may use."""
    width = max(1, min(len(fleet.endpoints), MAX_HELPERS + 1))
    return compute_prefill_time(fleet.profile, work.prompt_tokens) / width


def is_servable(work: EngineWork, fleet: EngineFleet) -> bool:
    """Whether idle replicas could serve the work before its deadline."""
    width = min(len(fleet.endpoints), MAX_HELPERS + 1)
    usable_tokens = width * (fleet.profile.memory_tokens - MEMORY_MARGIN_TOKENS)
    return (
        work.prompt_tokens + work.output_tokens <= usable_tokens
        and compute_shortest_prefill(work, fleet) < work.remaining
    )


def forecast_room(
    work: EngineWork,
    fleet: EngineFleet,
    now: float,
    ahead: QueuedAhead = NOTHING_AHEAD,
) -> float | None:
    """Return the seconds until room for the work is expected.

    ``None`` if there is none even on idle replicas. Replicas on which quick requests
    decode count only if there are no others: a long prompt would make those late.
    """
    if not is_servable(work, fleet):
        return None
    loads = [fleet.loads.get(one.upstream, _NO_LOAD) for one in fleet.endpoints]
    usable = [load for load in loads if not _is_quick(load)] or loads
    usable = heapq.nsmallest(MAX_REPLICAS, usable, key=lambda load: len(load.parts))
    pending = ahead.prefill_s + sum(_sum_prefill(load, now) for load in usable)
    needed = work.prompt_tokens + work.output_tokens + ahead.tokens
    return max(pending / len(usable), _find_memory(needed, usable, fleet, now))


def _is_quick(load: ReplicaLoad) -> bool:
    return any(
        part.is_lead and part.job.work.event_gap <= QUICK_EVENT_GAP_S
        for part in load.parts.values()
    )


def _sum_prefill(load: ReplicaLoad, now: float) -> float:
    """Return the seconds until the last scheduled prefill of a replica ends."""
    ends = (part.prefill_until for part in load.parts.values())
    return max(0.0, max(ends, default=now) - now) * load.get_pace(now)


def _find_memory(
    needed: int, loads: Sequence[ReplicaLoad], fleet: EngineFleet, now: float
) -> float:
    """Return the seconds until so much memory is free, as far as jobs give it back."""
    per_replica = fleet.profile.memory_tokens - MEMORY_MARGIN_TOKENS
    free = 0
    releases: list[tuple[float, int]] = []
    for load in loads:
        free += per_replica
        for part in load.parts.values():
            free -= part.tokens
            end = fleet.decode_times.predict_end(part.job, fleet.profile, now)
            releases.append((end, part.tokens))
    last = now
    for end, tokens in sorted(releases):
        if free >= needed:
            break
        free += tokens
        last = end
    return last - now
