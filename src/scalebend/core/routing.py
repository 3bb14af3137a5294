"""Choice of the replica for one request.

A replica's score is the predicted time to first token of the request plus the delay
that it would cause to others, in seconds; the lowest wins. Load digests lag behind, so
requests sent since the last digest are counted as pending load.
"""

from __future__ import annotations

import random

import msgspec

from scalebend.core.queueing import compute_size_class
from scalebend.models.ids import AvailabilityZone, UpstreamId
from scalebend.models.upstream import EngineRole
from scalebend.models.work import LoadDigest, ReplicaView

MAX_CANDIDATES = 16
"""Replicas scored for one request; larger lists are sampled."""

ZONE_PENALTY_S = 0.003
"""Added for another availability zone: a round trip, rounded up."""

REGION_PENALTY_S = 0.1
"""Added for another region."""

DELAY_WEIGHT = 0.15
"""Share of a prefill's duration that delays each decoding attempt."""

MEMORY_PENALTY_S = 2.0
"""Added if the replica currently has too little free memory."""


class Candidate(msgspec.Struct):
    """A replica that could serve the request, with its latest load digest."""

    view: ReplicaView
    digest: LoadDigest
    is_local_region: bool = True
    role: EngineRole = EngineRole.BOTH


class Choice(msgspec.Struct, frozen=True):
    """The chosen replica and the reason; ``score`` is in seconds."""

    upstream: UpstreamId
    score: float
    prefill_tokens: int
    prefill_seconds: float
    cached_tokens: int
    candidates: int
    reason: str


class Demand(msgspec.Struct, frozen=True):
    """Prompt size and memory that a request needs, in tokens."""

    prompt_tokens: int
    memory_tokens: int


class PendingLoad:
    """Load that this instance sent to each replica since its last digest."""

    def __init__(self) -> None:
        self._tokens: dict[UpstreamId, tuple[int, int]] = {}

    def add(self, upstream: UpstreamId, prefill_tokens: int) -> None:
        """Record that a request was sent to the replica."""
        tokens, count = self._tokens.get(upstream, (0, 0))
        self._tokens[upstream] = (tokens + prefill_tokens, count + 1)

    def forget(self, upstream: UpstreamId) -> None:
        """Drop the pending load, which a newer digest includes."""
        self._tokens.pop(upstream, None)

    def get(self, upstream: UpstreamId) -> tuple[int, int]:
        """Return prefill tokens and requests sent since the last digest."""
        return self._tokens.get(upstream, (0, 0))


def sample_candidates(
    candidates: list[Candidate],
    zone: AvailabilityZone,
    cached: dict[UpstreamId, int],
    rng: random.Random,
) -> list[Candidate]:
    """Limit the candidates: those with a cached prefix, then a sample of the others.

    The sample prefers the availability zone ``zone``.
    """
    if len(candidates) <= MAX_CANDIDATES:
        return candidates
    kept: list[Candidate] = []
    rest = candidates
    if cached:
        kept = [c for c in candidates if c.view.upstream in cached]
        kept = kept[: MAX_CANDIDATES // 2]
        names = {candidate.view.upstream for candidate in kept}
        rest = [c for c in candidates if c.view.upstream not in names]
    same_zone: list[Candidate] = []
    other_zones: list[Candidate] = []
    for candidate in rest:
        is_same_zone = candidate.view.availability_zone == zone
        (same_zone if is_same_zone else other_zones).append(candidate)
    free_places = MAX_CANDIDATES - len(kept)
    same_zone = _sample_adjacent(same_zone, free_places * 2 // 3, rng)
    return (
        kept
        + same_zone
        + _sample_adjacent(other_zones, free_places - len(same_zone), rng)
    )


def _sample_adjacent(
    candidates: list[Candidate], count: int, rng: random.Random
) -> list[Candidate]:
    """Return adjacent candidates from a random start; cheaper than a full sample."""
    if len(candidates) <= count:
        return candidates
    start = rng.randrange(len(candidates))
    return (candidates[start:] + candidates[:start])[:count]


def choose_replica(
    demand: Demand,
    candidates: list[Candidate],
    *,
    zone: AvailabilityZone,
    cached: dict[UpstreamId, int],
    pending: PendingLoad,
) -> Choice | None:
    """Return the replica with the lowest score; ``None`` if none has the memory."""
    best: Choice | None = None
    for candidate in candidates:
        upstream = candidate.view.upstream
        if demand.memory_tokens > candidate.view.memory_tokens:
            continue
        cached_tokens = min(cached.get(upstream, 0), demand.prompt_tokens)
        prefill_tokens = demand.prompt_tokens - cached_tokens
        score = _score(demand, prefill_tokens, candidate, zone, pending.get(upstream))
        if best is None or (score, upstream) < (best.score, best.upstream):
            reason = "cached-prefix" if cached_tokens else "least-delay"
            prefill_seconds = prefill_tokens / candidate.view.prefill_rate
            count = len(candidates)
            best = Choice(
                upstream,
                score,
                prefill_tokens,
                prefill_seconds,
                cached_tokens,
                count,
                reason,
            )
    return best


def _score(
    demand: Demand,
    prefill_tokens: int,
    candidate: Candidate,
    zone: AvailabilityZone,
    pending: tuple[int, int],
) -> float:
    view = candidate.view
    digest = candidate.digest
    sent_tokens, sent_count = pending
    own = prefill_tokens / view.prefill_rate
    # The engine prefills smaller prompts first. Larger ones still delay the request
    # by the chunk in progress, and lengthen its decode steps.
    ahead = digest.count_ahead(compute_size_class(prefill_tokens)) + sent_tokens
    behind = digest.count_all() - ahead
    score = own + ahead / view.prefill_rate
    score += DELAY_WEIGHT * max(0, behind) / view.prefill_rate
    score += DELAY_WEIGHT * own * (digest.decoding + sent_count)
    score += (digest.decoding + sent_count) * view.step_time * 0.05
    if demand.memory_tokens > digest.free_tokens:
        score += MEMORY_PENALTY_S
    if not candidate.is_local_region:
        return score + REGION_PENALTY_S
    if view.availability_zone != zone:
        return score + ZONE_PENALTY_S
    return score


def choose_decode_replica(
    memory_tokens: int,
    candidates: list[Candidate],
    *,
    zone: AvailabilityZone,
    pending: PendingLoad,
) -> Choice | None:
    """Return the replica with the shortest batch steps that has enough memory.

    ``zone`` is the availability zone that the KV cache is transferred from.
    """
    best: Choice | None = None
    for candidate in candidates:
        view = candidate.view
        if memory_tokens > view.memory_tokens:
            continue
        digest = candidate.digest
        batch = digest.decoding + digest.queued + pending.get(view.upstream)[1]
        score = batch * view.step_time / view.concurrency
        if digest.prefill_tokens or digest.queued_tokens:
            score += digest.count_all() / view.prefill_rate
        if memory_tokens > digest.free_tokens:
            score += MEMORY_PENALTY_S
        if view.availability_zone != zone:
            score += ZONE_PENALTY_S
        if best is None or (score, view.upstream) < (best.score, best.upstream):
            count = len(candidates)
            best = Choice(view.upstream, score, 0, 0.0, 0, count, "shortest-steps")
    return best


def choose_group(
    demand: Demand, candidates: list[Candidate], max_replicas: int
) -> list[UpstreamId]:
    """Return the smallest group with enough memory, of the least loaded replicas.

    The result is sorted by name: every instance reserves in this global order, which
    prevents deadlocks between two prompts. Empty if no group has enough memory.
    """
    by_load = sorted(
        candidates,
        key=lambda c: (
            c.digest.count_all(),
            -c.digest.free_tokens,
            c.view.upstream,
        ),
    )
    for size in range(2, max_replicas + 1):
        group = by_load[:size]
        smallest = min((c.view.memory_tokens for c in group), default=0)
        if len(group) == size and smallest * size >= demand.memory_tokens:
            return sorted(candidate.view.upstream for candidate in group)
    return []
