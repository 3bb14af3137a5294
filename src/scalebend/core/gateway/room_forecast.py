"""Forecasts when the engines of a service have room for a prompt.

Load answered: too little room for long prompts, while short requests fill the slots. A
prompt that was declined then needs the time at which memory is given back and the
prefill scheduled before it is done, not a constant.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from collections.abc import Mapping, Sequence
from itertools import accumulate

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

PREFILL_SHARE = 0.7
"""Share of the remaining time that the prefill of a prompt may take; the rest is for
decoding and for delays."""

MAX_REPLICAS = 64
"""Replicas that are considered for one prompt; bounds the cost at any fleet size."""

OUTLOOK_LIFETIME_S = 0.05
"""Time for which an outlook is used: few jobs end in it, and building one costs as much
as many choices."""

_NO_LOAD = ReplicaLoad()


class _Learned(msgspec.Struct):
    """Decayed sums over jobs that ended."""

    seconds: float = 0.0
    tokens: float = 0.0
    """Tokens that callers expected."""


class DecodeTimes:
    """Seconds of decoding for each token that callers expected, by service."""

    def __init__(self) -> None:
        self._learned: dict[ServiceName, _Learned] = {}

    def record(self, job: Job, seconds: float) -> None:
        """Record a job that ended after it decoded for ``seconds``."""
        learned = self._learned.setdefault(job.work.service, _Learned())
        kept = 1.0 - MEMORY_OF_TIMES
        learned.seconds = kept * learned.seconds + max(0.0, seconds)
        learned.tokens = kept * learned.tokens + max(1, job.work.expected_tokens)

    def predict(self, work: EngineWork, profile: EngineProfile) -> float:
        """Predict for how many seconds a request decodes."""
        learned = self._learned.get(work.service)
        if learned is not None:
            return work.expected_tokens * learned.seconds / learned.tokens
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


def compute_latest_start(work: EngineWork, fleet: EngineFleet) -> float:
    """Compute for how many seconds the work may wait and still be served in time.

    Negative if there is no time for it even on idle replicas.
    """
    decoding = fleet.decode_times.predict(work, fleet.profile)
    # Callers often expect far too many tokens.
    decoding = min(decoding, (1.0 - PREFILL_SHARE) * work.remaining)
    prefill = compute_shortest_prefill(work, fleet)
    return work.remaining - max(prefill / PREFILL_SHARE, prefill + decoding)


class RoomOutlook(msgspec.Struct, frozen=True):
    """When the replicas of a service give room back, as seen at one moment."""

    built_at: float
    pending_s: float
    """Mean prefill scheduled on a replica, in seconds."""

    replicas: int
    """Replicas that long prompts may use; the others are not considered."""

    free_tokens: int
    ends: list[float]
    """Clock times at which jobs are predicted to end, ascending."""

    given_back: list[int]
    """Memory given back up to each of them, in tokens."""

    def find_room(
        self, work: EngineWork, fleet: EngineFleet, now: float, ahead: QueuedAhead
    ) -> float | None:
        """Return the seconds until room for the work is expected behind ``ahead``.

        ``None`` if there is none even on idle replicas.
        """
        if not is_servable(work, fleet):
            return None
        missing = work.prompt_tokens + work.output_tokens + ahead.tokens
        missing -= self.free_tokens
        with_memory = now
        if missing > 0 and self.ends:
            place = bisect_left(self.given_back, missing)
            with_memory = self.ends[min(place, len(self.ends) - 1)]
            if place == len(self.ends) and self.given_back[-1]:
                # Those ahead give their memory back, too, at the rate of the others.
                duration = max(0.0, self.ends[-1] - self.built_at)
                with_memory += duration * (missing / self.given_back[-1] - 1.0)
        pending = self.pending_s - (now - self.built_at)
        pending += ahead.prefill_s / self.replicas
        return max(0.0, pending, with_memory - now)


def build_outlook(fleet: EngineFleet, now: float) -> RoomOutlook:
    """Build the outlook of a service with at least one replica.

    Replicas on which quick requests decode count only if there are no others: a long
    prompt would make those late.
    """
    loads = [fleet.loads.get(one.upstream, _NO_LOAD) for one in fleet.endpoints]
    usable = [load for load in loads if not _is_quick(load)] or loads
    usable = heapq.nsmallest(MAX_REPLICAS, usable, key=lambda load: len(load.parts))
    free = len(usable) * (fleet.profile.memory_tokens - MEMORY_MARGIN_TOKENS)
    releases: list[_Release] = []
    for load in usable:
        for part in load.parts.values():
            free -= part.tokens
            end = fleet.decode_times.predict_end(part.job, fleet.profile, now)
            releases.append(_Release(end, part.tokens))
    releases.sort(key=lambda one: one.at)
    return RoomOutlook(
        now,
        sum(_sum_prefill(load, now) for load in usable) / len(usable),
        len(usable),
        free,
        [one.at for one in releases],
        list(accumulate(one.tokens for one in releases)),
    )


class Outlooks:
    """The last outlook of each service."""

    def __init__(self) -> None:
        self._built: dict[ServiceName, RoomOutlook] = {}

    def forecast_room(
        self, work: EngineWork, fleet: EngineFleet, now: float, ahead: QueuedAhead
    ) -> float | None:
        """Return the same as :func:`forecast_room`, to some tens of milliseconds."""
        if not fleet.endpoints:
            return None
        built = self._built.get(work.service)
        if built is None or now - built.built_at > OUTLOOK_LIFETIME_S:
            built = self._built[work.service] = build_outlook(fleet, now)
        return built.find_room(work, fleet, now, ahead)


def forecast_room(
    work: EngineWork,
    fleet: EngineFleet,
    now: float,
    ahead: QueuedAhead = NOTHING_AHEAD,
) -> float | None:
    """Return the seconds until room for the work is expected.

    ``None`` if there is none even on idle replicas.
    """
    if not fleet.endpoints:
        return None
    return build_outlook(fleet, now).find_room(work, fleet, now, ahead)


class _Release(msgspec.Struct, frozen=True):
    """Memory that a job gives back."""

    at: float
    tokens: int


def _is_quick(load: ReplicaLoad) -> bool:
    return any(
        part.is_lead and part.job.work.event_gap <= QUICK_EVENT_GAP_S
        for part in load.parts.values()
    )


def _sum_prefill(load: ReplicaLoad, now: float) -> float:
    """Return the seconds until the last scheduled prefill of a replica ends."""
    ends = (part.prefill_until for part in load.parts.values())
    return max(0.0, max(ends, default=now) - now) * load.get_pace(now)
