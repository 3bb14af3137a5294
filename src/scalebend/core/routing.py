"""Choice of the replica for one request.

The score of a replica is the time to first token that the request would see there,
plus the delay it would cause to others, both in seconds; the lowest wins. Digests
lag, so each choice is added to the digest at once and taken back when a newer
digest arrives.
"""

from __future__ import annotations

import random

import msgspec

from scalebend.core.queueing import compute_size_class
from scalebend.models.ids import AvailabilityZone, UpstreamId
from scalebend.models.upstream import EngineRole
from scalebend.models.work import LoadDigest, ReplicaView

MOST_CANDIDATES = 16
"""Replicas scored for one request; the rest are left out by a seeded sample."""

ZONE_PENALTY = 0.003
"""Seconds added for another availability zone: its round trip, rounded up."""

REGION_PENALTY = 0.1
"""Seconds added for another region."""

DELAY_WEIGHT = 0.15
"""Weight of the delay caused to one decoding attempt by a second of prefill."""

MEMORY_PENALTY = 2.0
"""Seconds added when the replica's free memory is too small now."""


class Candidate(msgspec.Struct):
    """One replica that could take the request, with its newest digest."""

    view: ReplicaView
    digest: LoadDigest
    is_local_region: bool = True
    role: EngineRole = EngineRole.BOTH


class Choice(msgspec.Struct, frozen=True):
    """The chosen replica and why; ``score`` and ``prefill_seconds`` in seconds."""

    upstream: UpstreamId
    score: float
    prefill_tokens: int
    prefill_seconds: float
    cached_tokens: int
    candidates: int
    reason: str


class Demand(msgspec.Struct, frozen=True):
    """What a request needs from a replica, in tokens."""

    prompt_tokens: int
    memory_tokens: int


class PendingLoad:
    """Load this instance sent out since the last digest of each replica."""

    def __init__(self) -> None:
        self._tokens: dict[UpstreamId, tuple[int, int]] = {}

    def add(self, upstream: UpstreamId, prefill_tokens: int) -> None:
        """Note that a request was routed to the replica."""
        tokens, count = self._tokens.get(upstream, (0, 0))
        self._tokens[upstream] = (tokens + prefill_tokens, count + 1)

    def forget(self, upstream: UpstreamId) -> None:
        """A newer digest includes what was sent."""
        self._tokens.pop(upstream, None)

    def get(self, upstream: UpstreamId) -> tuple[int, int]:
        """Prefill tokens and requests sent since the last digest."""
        return self._tokens.get(upstream, (0, 0))


def sample_candidates(
    candidates: list[Candidate],
    zone: AvailabilityZone,
    cached: dict[UpstreamId, int],
    chooser: random.Random,
) -> list[Candidate]:
    """Bound the candidates: all with a cached prefix, then of the own zone first."""
    if len(candidates) <= MOST_CANDIDATES:
        return candidates
    kept: list[Candidate] = []
    rest = candidates
    if cached:
        kept = [c for c in candidates if c.view.upstream in cached]
        kept = kept[: MOST_CANDIDATES // 2]
        names = {candidate.view.upstream for candidate in kept}
        rest = [c for c in candidates if c.view.upstream not in names]
    near: list[Candidate] = []
    far: list[Candidate] = []
    for candidate in rest:
        is_near = candidate.view.availability_zone == zone
        (near if is_near else far).append(candidate)
    room = MOST_CANDIDATES - len(kept)
    near = _take_some(near, room * 2 // 3, chooser)
    return kept + near + _take_some(far, room - len(near), chooser)


def _take_some(
    candidates: list[Candidate], count: int, chooser: random.Random
) -> list[Candidate]:
    """Return neighbours from a random place on: as good as a sample, and cheaper."""
    if len(candidates) <= count:
        return candidates
    start = chooser.randrange(len(candidates))
    return (candidates[start:] + candidates[:start])[:count]


def choose_replica(
    demand: Demand,
    candidates: list[Candidate],
    *,
    zone: AvailabilityZone,
    cached: dict[UpstreamId, int],
    pending: PendingLoad,
) -> Choice | None:
    """Return the best replica, or ``None`` when there is no candidate."""
    best: Choice | None = None
    for candidate in candidates:
        upstream = candidate.view.upstream
        if demand.memory_tokens > candidate.view.memory_tokens:
            continue
        hit = min(cached.get(upstream, 0), demand.prompt_tokens)
        prefill = demand.prompt_tokens - hit
        score = _score(demand, prefill, candidate, zone, pending.get(upstream))
        if best is None or (score, upstream) < (best.score, best.upstream):
            reason = "cached-prefix" if hit else "least-delay"
            seconds = prefill / candidate.view.prefill_rate
            count = len(candidates)
            best = Choice(upstream, score, prefill, seconds, hit, count, reason)
    return best


def _score(
    demand: Demand,
    prefill: int,
    candidate: Candidate,
    zone: AvailabilityZone,
    pending: tuple[int, int],
) -> float:
    view = candidate.view
    digest = candidate.digest
    sent_tokens, sent_count = pending
    own = prefill / view.prefill_rate
    # The engine prefills a smaller prompt before the larger ones it holds; those
    # still delay it by the chunk that runs, and stretch the steps of its answer.
    ahead = digest.count_ahead(compute_size_class(prefill)) + sent_tokens
    behind = digest.count_all() - ahead
    score = own + ahead / view.prefill_rate
    score += DELAY_WEIGHT * max(0, behind) / view.prefill_rate
    score += DELAY_WEIGHT * own * (digest.decoding + sent_count)
    score += (digest.decoding + sent_count) * view.step_time * 0.05
    if demand.memory_tokens > digest.free_tokens:
        score += MEMORY_PENALTY
    if not candidate.is_local_region:
        return score + REGION_PENALTY
    if view.availability_zone != zone:
        return score + ZONE_PENALTY
    return score


def choose_decode_replica(
    memory_tokens: int,
    candidates: list[Candidate],
    *,
    zone: AvailabilityZone,
    pending: PendingLoad,
) -> Choice | None:
    """Return the replica with the shortest steps that has room.

    ``zone`` is where the KV cache comes from.
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
            score += MEMORY_PENALTY
        if view.availability_zone != zone:
            score += ZONE_PENALTY
        if best is None or (score, view.upstream) < (best.score, best.upstream):
            count = len(candidates)
            best = Choice(view.upstream, score, 0, 0.0, 0, count, "shortest-steps")
    return best


def choose_group(
    demand: Demand, candidates: list[Candidate], most: int
) -> list[UpstreamId]:
    """Return the fewest replicas whose memory together fits, least loaded first.

    The result is sorted by name: every instance reserves in this global order, so
    that two prompts can never wait for each other. Empty when nothing fits.
    """
    by_load = sorted(
        candidates,
        key=lambda c: (
            c.digest.count_all(),
            -c.digest.free_tokens,
            c.view.upstream,
        ),
    )
    for size in range(2, most + 1):
        group = by_load[:size]
        smallest = min((c.view.memory_tokens for c in group), default=0)
        if len(group) == size and smallest * size >= demand.memory_tokens:
            return sorted(candidate.view.upstream for candidate in group)
    return []
