"""Placement of attempts: on a replica, a prefill group, or split engines."""

from __future__ import annotations

import random

import msgspec
import structlog

from scalebend.core.catalog import Catalog
from scalebend.core.lanes import Lanes, LaneShares, compute_decode_seconds, split_lanes
from scalebend.core.prefixes import PrefixIndex
from scalebend.core.queueing import LONG_TOKENS
from scalebend.core.retries import OutlierDetector
from scalebend.core.routing import (
    Candidate,
    Choice,
    Demand,
    PendingLoad,
    choose_decode_replica,
    choose_group,
    choose_replica,
    sample_candidates,
)
from scalebend.core.sizes import SizeEstimator
from scalebend.core.upstream_backoff import UpstreamBackoffs
from scalebend.models.endpoints import build_upstream_id
from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    InstanceId,
    ModelName,
    UpstreamId,
    UpstreamName,
)
from scalebend.models.upstream import Announcement
from scalebend.models.work import Request, Work
from scalebend.utils.division import divide_up

logger = structlog.get_logger(__name__)

MAX_GROUP_REPLICAS = 3
"""Replicas that may prefill one prompt together."""

GROUP_RESERVATION_TIMEOUT_S = 20.0
"""Maximum wait for a reservation while other replicas of its group are reserved."""


class PlacedAttempt(msgspec.Struct):
    """Work of one attempt per replica, in the order of reservation.

    ``is_split``: the work is the prefill only; decode is placed afterwards.
    """

    works: list[Work]
    is_split: bool = False


class Placement:
    """Chooses replicas by the catalog and their known load."""

    def __init__(
        self,
        instance: InstanceId,
        zone: AvailabilityZone,
        catalog: Catalog,
        *,
        is_split: bool,
        seed: int,
    ) -> None:
        self.prefixes = PrefixIndex()
        self.sizes = SizeEstimator()
        self.outliers = OutlierDetector()
        self.pending = PendingLoad()
        self.backoffs = UpstreamBackoffs()
        """Keyed by incarnation; see :meth:`record_backoff`."""

        self._instance = instance
        self._zone = zone
        self._catalog = catalog
        self._is_split = is_split
        self._lane_shares = LaneShares()
        self._lanes: dict[ModelName, tuple[list[Candidate], float, Lanes]] = {}
        self._random = random.Random(seed)

    def place(
        self,
        request: Request,
        attempt: AttemptId,
        excluded: set[UpstreamId],
        now: float,
    ) -> PlacedAttempt | None:
        """Choose where an attempt starts; ``None`` if no replica can serve it."""
        candidates = self._list_usable(request, excluded, now)
        if request.model is None or not self._is_split:
            return self._place_unsplit(request, attempt, candidates, now)
        self._record_load(request, candidates, now)
        lanes = self._split_lanes(request.model, candidates)
        if not lanes.is_split:
            return self._place_unsplit(request, attempt, candidates, now)
        prefill_engines = lanes.prefill
        if request.prompt_tokens >= LONG_TOKENS:
            prefill_engines = lanes.list_for_long_prompts(
                self._lane_shares.compute_long_prompt_share(request.model)
            )
        if request.memory_tokens > lanes.max_memory_tokens:
            # No decode engine has enough memory: one prefill engine or a group of
            # them does both.
            return self._place_unsplit(
                request, attempt, prefill_engines, now, candidates
            )
        first_part = msgspec.structs.replace(request, output_tokens=1)
        placed = self._place_one(first_part, attempt, prefill_engines, now)
        if placed is None:
            return self._place_unsplit(request, attempt, candidates, now)
        placed.is_split = True
        return placed

    def place_decode(
        self, request: Request, work: Work, excluded: set[UpstreamId], now: float
    ) -> Work | None:
        """Choose the engine that decodes after the prefill by ``work``."""
        assert request.model is not None
        candidates = self._list_usable(request, excluded, now)
        lanes = self._split_lanes(request.model, candidates)
        record = self._catalog.get(work.upstream)
        zone = record.view.availability_zone if record else self._zone
        sampled = [
            candidate
            for candidate in sample_candidates(lanes.decode, zone, {}, self._random)
            if candidate.view.upstream != work.upstream
        ]
        choice = choose_decode_replica(
            request.memory_tokens, sampled, zone=zone, pending=self.pending
        )
        if choice is None:
            return None
        self._log(request, choice, "decode")
        self.pending.add(choice.upstream, 0)
        return self._build_work(
            request,
            work.attempt,
            choice.upstream,
            memory_tokens=request.memory_tokens,
            prefill_tokens=0,
            output_tokens=request.output_tokens,
            timeout_s=request.deadline - now,
            is_reserved_elsewhere=True,
        )

    def _split_lanes(self, model: ModelName, candidates: list[Candidate]) -> Lanes:
        """Divide the candidates into lanes; caches the result for the same list."""
        share = round(self._lane_shares.compute_prefill_share(model), 2)
        cached_lanes = self._lanes.get(model)
        if (
            cached_lanes is not None
            and cached_lanes[0] is candidates
            and cached_lanes[1] == share
        ):
            return cached_lanes[2]
        lanes = split_lanes(candidates, share)
        self._lanes[model] = (candidates, share, lanes)
        return lanes

    def record_backoff(self, upstream: UpstreamId, seconds: float, now: float) -> None:
        """Record that a replica rejected a request of this instance for ``seconds``."""
        self.backoffs.record(self._build_incarnation_name(upstream), seconds, now)

    def record_restart(
        self, known: Announcement, announcement: Announcement, now: float
    ) -> None:
        """Record an announcement from the address of the one that was known."""
        if announcement.incarnation == known.incarnation:
            return
        name = UpstreamName(announcement.upstream)
        ended = build_upstream_id(name, known.incarnation)
        successor = build_upstream_id(name, announcement.incarnation)
        self.backoffs.apply_to_successor(ended, successor, now)

    def may_send(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the replica is not in backoff for this instance."""
        if not self.backoffs.has_any:
            return True
        return self.backoffs.may_send(self._build_incarnation_name(upstream), now)

    def compute_backoff(self, request: Request, now: float) -> float:
        """Return the seconds until a serving replica is out of backoff; 0 if one is."""
        if not self.backoffs.has_any:
            return 0.0
        serving = self._catalog.list_candidates(request, set())
        names = [self._build_incarnation_name(c.view.upstream) for c in serving]
        return self.backoffs.compute_shortest_wait(names, now)

    def _build_incarnation_name(self, upstream: UpstreamId) -> UpstreamId:
        record = self._catalog.get(upstream)
        born = record.announcement.incarnation if record is not None else None
        return build_upstream_id(UpstreamName(upstream), born)

    def _list_usable(
        self, request: Request, excluded: set[UpstreamId], now: float
    ) -> list[Candidate]:
        candidates = self._catalog.list_candidates(request, excluded)
        if self.backoffs.has_any:
            candidates = [c for c in candidates if self.may_send(c.view.upstream, now)]
        if not self.outliers.has_any():
            return candidates
        usable = [
            c for c in candidates if self.outliers.is_usable(c.view.upstream, now)
        ]
        # Ejections are ignored if they would leave no replica.
        return usable or candidates

    def _record_load(
        self, request: Request, candidates: list[Candidate], now: float
    ) -> None:
        if not candidates or request.model is None:
            return
        view = candidates[0].view
        prefill = request.prompt_tokens / view.prefill_rate
        decode = compute_decode_seconds(request, view)
        is_long = request.prompt_tokens >= LONG_TOKENS
        self._lane_shares.record_request(
            request.model, prefill, decode, now, is_long=is_long
        )

    def _place_unsplit(
        self,
        request: Request,
        attempt: AttemptId,
        candidates: list[Candidate],
        now: float,
        fallback: list[Candidate] | None = None,
    ) -> PlacedAttempt | None:
        placed = self._place_one(request, attempt, candidates, now)
        if placed is not None:
            return placed
        return self._place_group(request, attempt, candidates, now) or (
            self._place_group(request, attempt, fallback, now) if fallback else None
        )

    def _place_one(
        self,
        request: Request,
        attempt: AttemptId,
        candidates: list[Candidate],
        now: float,
    ) -> PlacedAttempt | None:
        cached: dict[UpstreamId, int] = {}
        if request.prefixes and request.model:
            ratio = self.sizes.get_bytes_per_token(request.model)
            cached = self.prefixes.count_cached(request.prefixes, ratio)
        sampled = sample_candidates(candidates, self._zone, cached, self._random)
        choice = choose_replica(
            Demand(request.prompt_tokens, request.memory_tokens),
            sampled,
            zone=self._zone,
            cached=cached,
            pending=self.pending,
        )
        if choice is None:
            return None
        self._log(request, choice, "start")
        self._record_chosen(choice.upstream, choice.prefill_tokens, now)
        work = self._build_work(
            request,
            attempt,
            choice.upstream,
            memory_tokens=request.memory_tokens,
            prefill_tokens=choice.prefill_tokens,
            output_tokens=request.output_tokens,
            timeout_s=request.deadline - now - choice.prefill_seconds,
        )
        return PlacedAttempt([work])

    def _place_group(
        self,
        request: Request,
        attempt: AttemptId,
        candidates: list[Candidate],
        now: float,
    ) -> PlacedAttempt | None:
        demand = Demand(request.prompt_tokens, request.memory_tokens)
        group = choose_group(demand, candidates, MAX_GROUP_REPLICAS)
        if not group:
            return None
        logger.info(
            "routed",
            request=request.request,
            customer=request.customer,
            tokens=request.prompt_tokens,
            candidates=len(candidates),
            upstream=group,
            reason="spread-over-group",
        )
        timeout_s = request.deadline - now
        works = []
        for number, upstream in enumerate(group):
            prefill_tokens = divide_up(request.prompt_tokens, len(group))
            self._record_chosen(upstream, prefill_tokens, now)
            work = self._build_work(
                request,
                attempt,
                upstream,
                memory_tokens=divide_up(request.memory_tokens, len(group)),
                prefill_tokens=prefill_tokens,
                output_tokens=divide_up(request.output_tokens, len(group)),
                timeout_s=timeout_s
                if number == 0
                else min(GROUP_RESERVATION_TIMEOUT_S, timeout_s),
                is_reserved_elsewhere=number > 0,
            )
            works.append(work)
        return PlacedAttempt(works)

    def _record_chosen(
        self, upstream: UpstreamId, prefill_tokens: int, now: float
    ) -> None:
        self.pending.add(upstream, prefill_tokens)
        self.outliers.record_chosen(upstream, now)

    def _build_work(
        self,
        request: Request,
        attempt: AttemptId,
        upstream: UpstreamId,
        *,
        memory_tokens: int,
        prefill_tokens: int,
        output_tokens: int,
        timeout_s: float,
        is_reserved_elsewhere: bool = False,
    ) -> Work:
        return Work(
            attempt=attempt,
            request=request.request,
            customer=request.customer,
            entry=self._instance,
            upstream=upstream,
            memory_tokens=memory_tokens,
            prefill_tokens=prefill_tokens,
            output_tokens=output_tokens,
            timeout_s=timeout_s,
            priority=request.priority,
            is_reserved_elsewhere=is_reserved_elsewhere,
        )

    def _log(self, request: Request, choice: Choice, part: str) -> None:
        logger.info(
            "routed",
            request=request.request,
            customer=request.customer,
            tokens=request.prompt_tokens,
            part=part,
            candidates=choice.candidates,
            upstream=choice.upstream,
            cached_tokens=choice.cached_tokens,
            score=round(choice.score, 4),
            reason=choice.reason,
        )
