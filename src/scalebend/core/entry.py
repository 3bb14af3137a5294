"""Way of a request through the instance that admitted it.

The entry chooses the replica, reserves at its owner, starts the attempt when the
owner grants it, retries where that is safe, and concludes every request within its
time limit. No I/O: events and the present time in, actions out.
"""

from __future__ import annotations

import random

import msgspec
import structlog

from scalebend.core.catalog import Catalog
from scalebend.core.flow import (
    AbortAttempt,
    Attempt,
    AttemptResult,
    Broken,
    ClaimKey,
    Completed,
    Conclude,
    EntryAction,
    Flow,
    FlowState,
    Garbled,
    NeverStarted,
    ResumeAttempt,
    StartAttempt,
    ToOwner,
)
from scalebend.core.prefixes import PrefixIndex
from scalebend.core.queueing import LONG_TOKENS, SHORT_TOKENS, FirstCome, Policy
from scalebend.core.retries import OutlierDetector, RetryBudget, compute_delay
from scalebend.core.routing import (
    Candidate,
    Demand,
    PendingLoad,
    choose_group,
    choose_replica,
    sample_candidates,
)
from scalebend.core.sizes import SizeEstimator
from scalebend.exceptions import (
    ErrorKind,
    Ran,
    RefusedError,
    ScalebendError,
    TimeLimitError,
    UpstreamError,
)
from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    InstanceId,
    RequestId,
    UpstreamId,
)
from scalebend.models.work import (
    AttemptState,
    Grant,
    LoadDigest,
    Outcome,
    Refusal,
    RefusalReason,
    Release,
    Renew,
    Request,
    Reserve,
    Started,
    Work,
)

logger = structlog.get_logger(__name__)

MOST_TRIES = 4
MOST_RESUMES = 3
MOST_GROUP = 3
"""Replicas that one prompt may be spread over."""

GROUP_PATIENCE = 20.0
"""Seconds a reservation may wait while others of its group are already held."""

RESERVE_RESEND = 1.0
"""Seconds without an answer after which a reservation is sent again."""


class EntryOptions(msgspec.Struct, frozen=True):
    """Identity and policy of an entry."""

    instance: InstanceId
    availability_zone: AvailabilityZone
    policy: Policy
    seed: int = 0
    use_prefixes: bool = True


class Entry:
    """All admitted requests of one instance."""

    def __init__(self, options: EntryOptions, catalog: Catalog) -> None:
        self.catalog = catalog
        self.prefixes = PrefixIndex()
        self.sizes = SizeEstimator()
        self.outliers = OutlierDetector()
        self.local_zones: set[AvailabilityZone] | None = None
        self._options = options
        self._chooser = random.Random(options.seed)
        self._pending = PendingLoad()
        self._budget = RetryBudget()
        self._flows: dict[RequestId, Flow] = {}
        self._requests: dict[AttemptId, RequestId] = {}
        self._attempt_count = 0

    def __len__(self) -> int:
        return len(self._flows)

    def admit(self, request: Request, now: float) -> list[EntryAction]:
        """Take an admitted request and route it."""
        self._budget.earn()
        flow = Flow(request)
        self._flows[request.request] = flow
        return self._route(flow, now)

    def take_digest(self, digest: LoadDigest) -> None:
        """Take a newer load digest of a replica."""
        self.catalog.take_digest(digest)
        self._pending.forget(digest.upstream)

    def handle_grant(self, grant: Grant, now: float) -> list[EntryAction]:
        """The owner lets an attempt start."""
        flow = self._find_flow(grant.attempt)
        if flow is None or flow.attempt is None:
            release = Release(grant.attempt, grant.upstream, Outcome.UNUSED)
            return [ToOwner(grant.upstream, release)]
        attempt = flow.attempt
        if attempt.has_all_grants():
            return []
        if attempt.works[attempt.granted].upstream != grant.upstream:
            return []
        attempt.granted += 1
        if not attempt.has_all_grants():
            return [self._reserve_next(flow, now)]
        attempt.state = AttemptState.GRANTED
        if flow.request.repeatable or flow.is_claimed:
            return self._start(flow)
        flow.state = FlowState.CLAIMING
        return [ClaimKey(flow.request.request)]

    def handle_refusal(self, refusal: Refusal, now: float) -> list[EntryAction]:
        """The owner will not start an attempt; it ran nowhere."""
        flow = self._find_flow(refusal.attempt)
        if flow is None or flow.attempt is None or flow.attempt.has_all_grants():
            return []
        actions = self._release_attempt(flow, Outcome.UNUSED)
        if refusal.reason is not RefusalReason.NOT_OWNER:
            flow.excluded.add(refusal.upstream)
        flow.last_error = RefusedError(
            f"{refusal.upstream} refused the request: {refusal.reason.value}",
            kind=_REFUSAL_KINDS[refusal.reason],
            retry_after=max(1.0, refusal.retry_after),
        )
        return actions + self._retry(flow, now, delay=0.0)

    def handle_claim(
        self, request: RequestId, error: ScalebendError | None, now: float
    ) -> list[EntryAction]:
        """The control group answered a claim; ``error`` says why it did not take."""
        flow = self._flows.get(request)
        if flow is None or flow.state is not FlowState.CLAIMING:
            return []
        if error is not None:
            return self._conclude(flow, error)
        flow.is_claimed = True
        return self._start(flow)

    def handle_started(self, attempt: AttemptId, now: float) -> list[EntryAction]:
        """The first token of an attempt arrived."""
        flow = self._find_flow(attempt)
        if flow is None or flow.attempt is None:
            return []
        if not flow.attempt.was_sent or flow.attempt.state is AttemptState.RUNNING:
            return []
        flow.attempt.state = AttemptState.RUNNING
        flow.has_delivered = flow.request.is_streamed
        return [
            ToOwner(upstream, Started(attempt, upstream))
            for upstream in flow.attempt.upstreams
        ]

    def handle_result(
        self, attempt: AttemptId, result: AttemptResult, now: float
    ) -> list[EntryAction]:
        """An attempt ended, as far as the connection to the upstream tells."""
        flow = self._find_flow(attempt)
        if flow is None or flow.attempt is None:
            return []
        lead = flow.attempt.upstreams[0]
        match result:
            case Completed():
                self.outliers.record_success(lead)
                self._learn(flow, result)
                return self._conclude(flow, None, result.output_tokens)
            case NeverStarted(detail, retry_after, may_hold_memory):
                self._record_failure(lead, now)
                flow.attempt.never_started = True
                error = UpstreamError(detail, retry_after=retry_after or None)
                outcome = Outcome.ABANDONED if may_hold_memory else Outcome.UNUSED
                return self._fail_attempt(flow, error, now, outcome)
            case Broken(detail):
                return self._handle_broken(flow, detail, now)
            case Garbled(detail):
                self._record_failure(lead, now)
                flow.attempt.state = AttemptState.RUNNING
                error = UpstreamError(detail, kind=ErrorKind.UPSTREAM_GARBLED)
                return self._fail_attempt(flow, error, now, Outcome.ABANDONED)

    def cancel(self, request: RequestId, now: float) -> list[EntryAction]:
        """The caller went away; give back what its request held."""
        flow = self._flows.get(request)
        if flow is None:
            return []
        return self._conclude(
            flow, ScalebendError("cancelled", kind=ErrorKind.CANCELLED)
        )

    def handle_upstream_gone(
        self, upstream: UpstreamId, now: float
    ) -> list[EntryAction]:
        """An upstream fell silent: attempts not sent yet are routed anew."""
        self.prefixes.forget_replica(upstream)
        self._pending.forget(upstream)
        actions: list[EntryAction] = []
        for flow in list(self._flows.values()):
            attempt = flow.attempt
            if attempt is None or upstream not in attempt.upstreams:
                continue
            if attempt.was_sent:
                actions += self._handle_broken(flow, f"{upstream} fell silent", now)
            elif flow.state is FlowState.RESERVING:
                flow.last_error = UpstreamError(f"{upstream} fell silent")
                actions += self._release_attempt(flow, Outcome.UNUSED)
                actions += self._retry(flow, now, delay=0.0)
        return actions

    def renew(self, now: float) -> list[EntryAction]:
        """Renew what is held and repeat unanswered reservations; once a second."""
        actions: list[EntryAction] = []
        held: dict[UpstreamId, list[Work]] = {}
        for flow in self._flows.values():
            attempt = flow.attempt
            if attempt is None:
                continue
            for work in attempt.works[: attempt.granted]:
                held.setdefault(work.upstream, []).append(work)
            is_late = now - attempt.sent_reserve >= RESERVE_RESEND
            if not attempt.has_all_grants() and is_late:
                actions.append(self._reserve_next(flow, now))
        for upstream, works in held.items():
            actions.append(ToOwner(upstream, Renew(upstream, works)))
        return actions

    def handle_owner_changed(
        self, upstreams: set[UpstreamId], now: float
    ) -> list[EntryAction]:
        """Tell the new owners at once what is held and what waits."""
        actions: list[EntryAction] = []
        for flow in self._flows.values():
            attempt = flow.attempt
            if attempt is None:
                continue
            for work in attempt.works[: attempt.granted]:
                if work.upstream in upstreams:
                    renew = Renew(work.upstream, [work])
                    actions.append(ToOwner(work.upstream, renew))
            if attempt.has_all_grants():
                continue
            if attempt.works[attempt.granted].upstream in upstreams:
                actions.append(self._reserve_next(flow, now))
        return actions

    def advance(self, now: float) -> list[EntryAction]:
        """Conclude what is past its time limit; start retries that are due."""
        actions: list[EntryAction] = []
        for flow in list(self._flows.values()):
            if now >= flow.request.deadline:
                actions += self._conclude(flow, self._build_time_limit_error(flow))
            elif flow.state is FlowState.WAITING_TO_RETRY and now >= flow.retry_at:
                actions += self._route(flow, now)
        return actions

    def get_next_time(self) -> float | None:
        """When :meth:`advance` next has something to do."""
        times = [flow.request.deadline for flow in self._flows.values()]
        times += [
            flow.retry_at
            for flow in self._flows.values()
            if flow.state is FlowState.WAITING_TO_RETRY
        ]
        return min(times, default=None)

    def _route(self, flow: Flow, now: float) -> list[EntryAction]:
        request = flow.request
        excluded = flow.excluded
        found = self.catalog.list_candidates(request, excluded, self.local_zones)
        usable = [
            candidate
            for candidate in found
            if self.outliers.is_usable(candidate.view.upstream, now)
        ]
        # With every replica set aside, a poor one is better than none.
        candidates = usable or found
        works = self._choose(flow, candidates, now)
        if not works:
            return self._refuse_unroutable(flow, now)
        flow.tries += 1
        attempt = Attempt(works[0].attempt, works)
        flow.attempt = attempt
        flow.state = FlowState.RESERVING
        self._requests[attempt.attempt] = request.request
        for work in works:
            self._pending.add(work.upstream, work.prefill_tokens)
            self.outliers.note_chosen(work.upstream, now)
        return [self._reserve_next(flow, now)]

    def _choose(
        self, flow: Flow, candidates: list[Candidate], now: float
    ) -> list[Work]:
        request = flow.request
        cached: dict[UpstreamId, int] = {}
        if request.prefixes and request.model and self._options.use_prefixes:
            ratio = self.sizes.get_bytes_per_token(request.model)
            cached = self.prefixes.count_cached(request.prefixes, ratio)
        zone = self._options.availability_zone
        sampled = sample_candidates(candidates, zone, cached, self._chooser)
        choice = choose_replica(
            Demand(request.prompt_tokens, request.memory_tokens),
            sampled,
            zone=zone,
            cached=cached,
            pending=self._pending,
        )
        attempt = self._build_attempt_id(request)
        if choice is not None:
            logger.info(
                "routed",
                request=request.request,
                customer=request.customer,
                tokens=request.prompt_tokens,
                candidates=choice.candidates,
                upstream=choice.upstream,
                cached_tokens=choice.cached_tokens,
                score=round(choice.score, 4),
                reason=choice.reason,
            )
            view = next(c.view for c in sampled if c.view.upstream == choice.upstream)
            patience = request.deadline - now
            patience -= choice.prefill_tokens / view.prefill_rate
            return [
                self._build_work(
                    request, attempt, choice.upstream, choice.prefill_tokens, patience
                )
            ]
        return self._choose_group(request, attempt, candidates, now)

    def _choose_group(
        self,
        request: Request,
        attempt: AttemptId,
        candidates: list[Candidate],
        now: float,
    ) -> list[Work]:
        demand = Demand(request.prompt_tokens, request.memory_tokens)
        group = choose_group(demand, candidates, MOST_GROUP)
        if not group:
            return []
        logger.info(
            "routed",
            request=request.request,
            customer=request.customer,
            tokens=request.prompt_tokens,
            candidates=len(candidates),
            upstream=group,
            reason="spread-over-group",
        )
        patience = min(GROUP_PATIENCE, request.deadline - now)
        return [
            self._build_work(
                request,
                attempt,
                upstream,
                _divide(request.prompt_tokens, len(group)),
                request.deadline - now if number == 0 else patience,
                parts=len(group),
            )
            for number, upstream in enumerate(group)
        ]

    def _build_work(
        self,
        request: Request,
        attempt: AttemptId,
        upstream: UpstreamId,
        prefill_tokens: int,
        patience: float,
        parts: int = 1,
    ) -> Work:
        return Work(
            attempt=attempt,
            request=request.request,
            customer=request.customer,
            entry=self._options.instance,
            upstream=upstream,
            memory_tokens=_divide(request.memory_tokens, parts),
            prefill_tokens=prefill_tokens,
            output_tokens=_divide(request.output_tokens, parts),
            patience=patience,
            priority=request.priority,
        )

    def _build_attempt_id(self, request: Request) -> AttemptId:
        self._attempt_count += 1
        return AttemptId(f"{request.request}.{self._attempt_count}")

    def _reserve_next(self, flow: Flow, now: float) -> ToOwner:
        attempt = flow.attempt
        assert attempt is not None
        attempt.sent_reserve = now
        work = attempt.works[attempt.granted]
        if attempt.granted:
            work = msgspec.structs.replace(work, held_elsewhere=True)
            attempt.works[attempt.granted] = work
        return ToOwner(work.upstream, Reserve(work))

    def _start(self, flow: Flow) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        attempt.state = AttemptState.SENT
        flow.state = FlowState.RUNNING
        priority = self._compute_engine_priority(flow.request)
        return [
            StartAttempt(
                attempt.attempt, flow.request.request, attempt.upstreams, priority
            )
        ]

    def _compute_engine_priority(self, request: Request) -> int:
        match self._options.policy:
            case FirstCome():
                return 0
            case _ if request.prompt_tokens < SHORT_TOKENS:
                return 2
            case _ if request.prompt_tokens < LONG_TOKENS:
                return 1
            case _:
                return 0

    def _handle_broken(self, flow: Flow, detail: str, now: float) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        record = self.catalog.get(attempt.upstreams[0])
        can_resume = attempt.state is AttemptState.RUNNING and record is not None
        if can_resume and attempt.resumes < MOST_RESUMES:
            attempt.resumes += 1
            return [ResumeAttempt(attempt.attempt)]
        self._record_failure(attempt.upstreams[0], now)
        return self._fail_attempt(flow, UpstreamError(detail), now, Outcome.ABANDONED)

    def _fail_attempt(
        self, flow: Flow, error: UpstreamError, now: float, outcome: Outcome
    ) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        flow.last_error = error
        flow.excluded.add(attempt.upstreams[0])
        actions = self._release_attempt(flow, outcome)
        is_safe = attempt.never_started or flow.request.repeatable
        if not is_safe or flow.has_delivered:
            return actions + self._conclude(flow, error)
        if not self._budget.spend():
            return actions + self._conclude(flow, error)
        delay = compute_delay(flow.tries, self._chooser)
        return actions + self._retry(flow, now, delay=delay)

    def _retry(self, flow: Flow, now: float, *, delay: float) -> list[EntryAction]:
        if flow.tries >= MOST_TRIES:
            error = flow.last_error or RefusedError("no replica took the request")
            return self._conclude(flow, error)
        flow.state = FlowState.WAITING_TO_RETRY
        flow.retry_at = now + delay
        if delay > 0.0:
            return []
        return self._route(flow, now)

    def _refuse_unroutable(self, flow: Flow, now: float) -> list[EntryAction]:
        if flow.last_error is not None:
            return self._conclude(flow, flow.last_error)
        request = flow.request
        serving = self.catalog.list_candidates(request, set())
        if serving and request.model is not None:
            error = RefusedError(
                f"{request.memory_tokens} tokens fit no {MOST_GROUP} replicas",
                kind=ErrorKind.PROMPT_TOO_LONG,
            )
        else:
            error = RefusedError(
                "no upstream serves this request now",
                kind=ErrorKind.NO_UPSTREAM,
                retry_after=1.0,
            )
        return self._conclude(flow, error)

    def _conclude(
        self, flow: Flow, error: ScalebendError | None, output_tokens: int = 0
    ) -> list[EntryAction]:
        self._flows.pop(flow.request.request, None)
        outcome = Outcome.FINISHED if error is None else Outcome.ABANDONED
        actions = self._release_attempt(flow, outcome, output_tokens)
        if error is not None and error.ran is Ran.NO:
            error.ran = flow.ran
        return [*actions, Conclude(flow.request.request, error)]

    def _release_attempt(
        self, flow: Flow, outcome: Outcome, output_tokens: int = 0
    ) -> list[EntryAction]:
        attempt = flow.attempt
        if attempt is None:
            return []
        flow.attempt = None
        flow.ran = _combine_ran(flow.ran, attempt)
        del self._requests[attempt.attempt]
        actions: list[EntryAction] = []
        if not attempt.was_sent:
            outcome = Outcome.UNUSED
        elif outcome is not Outcome.FINISHED:
            actions.append(AbortAttempt(attempt.attempt))
        # One reservation beyond the granted ones may be waiting at its owner.
        for number, work in enumerate(attempt.works[: attempt.granted + 1]):
            self.outliers.release_probe(work.upstream)
            # A helper's memory is given back by cancelling it, however it ended.
            is_helper = number > 0 and attempt.was_sent
            ended = Outcome.ABANDONED if is_helper else outcome
            release = Release(attempt.attempt, work.upstream, ended, output_tokens)
            actions.append(ToOwner(work.upstream, release))
        return actions

    def _build_time_limit_error(self, flow: Flow) -> TimeLimitError:
        return TimeLimitError("the time limit passed", retry_after=1.0)

    def _learn(self, flow: Flow, result: Completed) -> None:
        request = flow.request
        attempt = flow.attempt
        if request.prefixes and attempt is not None and len(attempt.works) == 1:
            self.prefixes.learn(attempt.upstreams[0], request.prefixes)

    def _record_failure(self, upstream: UpstreamId, now: float) -> None:
        if self.outliers.record_failure(upstream, now):
            logger.warning("replica set aside", upstream=upstream)

    def _find_flow(self, attempt: AttemptId) -> Flow | None:
        request = self._requests.get(attempt)
        return self._flows.get(request) if request is not None else None


def _combine_ran(earlier: Ran, attempt: Attempt) -> Ran:
    if attempt.never_started or not attempt.was_sent:
        return earlier
    if earlier is Ran.YES or attempt.state is AttemptState.RUNNING:
        return Ran.YES
    return Ran.UNKNOWN


def _divide(tokens: int, parts: int) -> int:
    return -(-tokens // parts)


_REFUSAL_KINDS = {
    RefusalReason.TOO_LARGE: ErrorKind.PROMPT_TOO_LONG,
    RefusalReason.TOO_LATE: ErrorKind.OVERLOADED,
    RefusalReason.LEAVING: ErrorKind.NO_UPSTREAM,
    RefusalReason.NOT_OWNER: ErrorKind.NO_UPSTREAM,
}
