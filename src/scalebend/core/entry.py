"""Request handling at the instance that admitted the request.

The entry chooses a replica, reserves memory at its owner, starts the attempt once the
owner grants it, retries where that is safe, and concludes every request within its
time limit. No I/O: methods take an event and the current time and return actions.
"""

from __future__ import annotations

import random

import msgspec
import structlog

from scalebend.core.catalog import Catalog
from scalebend.core.crash_watch import CrashWatch
from scalebend.core.flow import (
    Attempt,
    AttemptResult,
    ClaimKey,
    Completed,
    EntryAction,
    Flow,
    FlowState,
    Interrupted,
    InvalidResponse,
    NeverStarted,
    Phase,
    Prefilled,
    ResumeAttempt,
    StartAttempt,
    ToOwner,
)
from scalebend.core.open_requests import OpenRequests
from scalebend.core.part_ledger import NO_PARTS
from scalebend.core.placement import Placement
from scalebend.core.queueing import FirstCome, Strategy, compute_size_class
from scalebend.core.refusals import explain_refusal, explain_unroutable
from scalebend.core.retries import RetryBudget, compute_delay
from scalebend.core.upstream_silence import may_send_again
from scalebend.exceptions import (
    ErrorKind,
    RefusedError,
    ScalebendError,
    TimeLimitError,
    UpstreamError,
)
from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    Incarnation,
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
    Request,
    Started,
)

logger = structlog.get_logger(__name__)

MAX_ATTEMPTS = 4
MAX_RESUMES = 3
OWNER_CHANGE_DELAY_S = 0.15
"""Delay before a request is routed again after an instance that does not own the
replica (any more, or yet) refused it."""


class EntryOptions(msgspec.Struct, frozen=True):
    """Identity and scheduling strategy of an entry."""

    instance: InstanceId
    availability_zone: AvailabilityZone
    strategy: Strategy
    seed: int = 0


class Entry:
    """All requests that one instance admitted and has not concluded."""

    def __init__(self, options: EntryOptions, catalog: Catalog) -> None:
        self.catalog = catalog
        self.placement = Placement(
            options.instance,
            options.availability_zone,
            catalog,
            is_split=options.strategy.is_split,
            seed=options.seed,
        )
        self._strategy = options.strategy
        self._random = random.Random(options.seed)
        self._retry_budget = RetryBudget()
        self.crashes = CrashWatch(options.instance)
        self._requests = OpenRequests(self.placement.outliers)
        self._attempt_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    def admit(self, request: Request, now: float) -> list[EntryAction]:
        """Register an admitted request and route it."""
        self._retry_budget.earn()
        return self._route(self._requests.add(request), now)

    def apply_digest(self, digest: LoadDigest) -> None:
        """Apply a newer load digest of a replica."""
        self.catalog.apply_digest(digest)
        self.placement.pending.forget(digest.upstream)

    def handle_grant(self, grant: Grant, now: float) -> list[EntryAction]:
        """Handle the owner's permission to start an attempt."""
        flow = self._requests.find_by_attempt(grant.attempt)
        if flow is None or flow.attempt is None:
            release = Release(grant.attempt, grant.upstream, Outcome.UNUSED)
            return [ToOwner(grant.upstream, release)]
        attempt = flow.attempt
        if attempt.has_all_grants():
            return []
        if attempt.works[attempt.granted_count].upstream != grant.upstream:
            return []
        attempt.granted_count += 1
        if not attempt.has_all_grants():
            return [self._requests.reserve_next(flow, now)]
        if flow.state is FlowState.TRANSFERRING:
            return self._start_decode(flow)
        attempt.state = AttemptState.GRANTED
        if flow.request.is_idempotent or flow.is_claimed:
            return self._start(flow, now)
        flow.state = FlowState.CLAIMING
        return [ClaimKey(flow.request.request)]

    def handle_refusal(self, refusal: Refusal, now: float) -> list[EntryAction]:
        """Handle an owner's refusal: the attempt did not run."""
        flow = self._requests.find_by_attempt(refusal.attempt)
        if flow is None or flow.attempt is None or flow.attempt.has_all_grants():
            return []
        if flow.state is FlowState.TRANSFERRING:
            if refusal.reason is RefusalReason.NOT_OWNER:
                # renew() or handle_owner_changed() sends the reservation again.
                return []
            return self._reserve_other_decode(flow, refusal.upstream, now)
        actions = self._requests.release_attempt(flow, Outcome.UNUSED)
        delay = 0.0
        if refusal.reason is RefusalReason.NOT_OWNER:
            # Ownership is moving to another instance: the replica is not at fault, and
            # the newer instance list is about to arrive.
            flow.try_count -= 1
            delay = OWNER_CHANGE_DELAY_S
        else:
            flow.excluded.add(refusal.upstream)
        flow.last_error = explain_refusal(refusal)
        return actions + self._retry(flow, now, delay=delay)

    def handle_claim(
        self, request: RequestId, error: ScalebendError | None, now: float
    ) -> list[EntryAction]:
        """Handle the result of a claim; ``error`` tells why it was rejected."""
        flow = self._requests.get(request)
        if flow is None or flow.state is not FlowState.CLAIMING:
            return []
        if error is not None:
            return self._requests.conclude(flow, error)
        flow.is_claimed = True
        return self._start(flow, now)

    def handle_started(self, attempt: AttemptId, now: float) -> list[EntryAction]:
        """Handle the arrival of an attempt's first token."""
        flow = self._requests.find_by_attempt(attempt)
        if flow is None or flow.attempt is None:
            return []
        current = flow.attempt
        if current.phase is Phase.DECODE:
            return self._requests.release_source(flow)
        if not current.was_sent or current.state is AttemptState.RUNNING:
            return []
        current.state = AttemptState.RUNNING
        self.crashes.record_response(current.parts, now)
        flow.has_delivered = flow.request.is_streamed
        return [
            ToOwner(upstream, Started(attempt, upstream))
            for upstream in current.upstreams
        ]

    def handle_under_way(self, attempt: AttemptId, now: float) -> None:
        """Handle events of an attempt some time after its first token."""
        flow = self._requests.find_by_attempt(attempt)
        if flow is None or flow.attempt is None:
            return
        self.crashes.record_under_way(flow.attempt.parts, now)
        flow.attempt.parts = NO_PARTS

    def handle_result(
        self, attempt: AttemptId, result: AttemptResult, now: float
    ) -> list[EntryAction]:
        """Handle the end of an attempt as the connection to the upstream shows it."""
        flow = self._requests.find_by_attempt(attempt)
        if flow is None or flow.attempt is None:
            return []
        lead = flow.attempt.lead
        match result:
            case Prefilled():
                return self._reserve_decode(flow, now)
            case Completed():
                self.placement.outliers.record_success(lead)
                self._record_prefix(flow)
                self.crashes.record_completed(flow.request, now)
                self.crashes.record_under_way(flow.attempt.parts, now)
                return self._requests.conclude(flow, None, result.output_tokens)
            case NeverStarted(detail) if flow.attempt.phase is Phase.DECODE:
                self._record_failure(lead, now)
                return self._reserve_other_decode(flow, lead, now)
            case NeverStarted(detail, retry_after, may_hold_memory):
                self._record_failure(lead, now)
                flow.attempt.never_started = True
                error = UpstreamError(detail, retry_after=retry_after or None)
                outcome = Outcome.ABANDONED if may_hold_memory else Outcome.UNUSED
                return self._fail_attempt(flow, error, now, outcome)
            case Interrupted():
                return self._handle_interrupted(flow, result, now)
            case InvalidResponse(detail):
                self._record_failure(lead, now)
                flow.attempt.state = AttemptState.RUNNING
                error = UpstreamError(detail, kind=ErrorKind.UPSTREAM_GARBLED)
                return self._fail_attempt(flow, error, now, Outcome.ABANDONED)

    def record_backoff(self, upstream: UpstreamId, seconds: float, now: float) -> None:
        """Record the backoff that a replica asked for when it rejected a request."""
        logger.info("backoff heard", upstream=upstream, seconds=seconds)
        self.placement.record_backoff(upstream, seconds, now)

    def cancel(self, request: RequestId, now: float) -> list[EntryAction]:
        """Conclude the request of a caller that disconnected."""
        flow = self._requests.get(request)
        if flow is None:
            return []
        return self._requests.conclude(
            flow, ScalebendError("cancelled", kind=ErrorKind.CANCELLED)
        )

    def handle_upstream_gone(
        self, upstream: UpstreamId, now: float
    ) -> list[EntryAction]:
        """Handle an upstream that announces nothing any more; it may be paused.

        Attempts that were not sent yet are routed again.
        """
        self.placement.prefixes.forget_replica(upstream)
        self.placement.pending.forget(upstream)
        actions: list[EntryAction] = []
        for flow in self._requests.list_all():
            attempt = flow.attempt
            if attempt is None or upstream not in attempt.upstreams:
                continue
            if flow.state is FlowState.TRANSFERRING and upstream != attempt.lead:
                actions += self._reserve_other_decode(flow, upstream, now)
            elif attempt.was_sent:
                actions += self._handle_silence(flow, upstream, now)
            elif flow.state is FlowState.RESERVING:
                flow.last_error = UpstreamError(f"{upstream} became unresponsive")
                actions += self._requests.release_attempt(flow, Outcome.UNUSED)
                actions += self._retry(flow, now, delay=0.0)
        return actions

    def renew(self, now: float) -> list[EntryAction]:
        """Renew granted reservations, resend those without a reply; once a second."""
        self.placement.backoffs.expire(now)
        return self._requests.renew(now)

    def handle_owner_changed(
        self, upstreams: set[UpstreamId], now: float
    ) -> list[EntryAction]:
        """Send the new owners at once the granted and the pending reservations."""
        return self._requests.renew_at(upstreams, now)

    def advance(self, now: float) -> list[EntryAction]:
        """Conclude requests past their time limit; start retries that are due."""
        actions: list[EntryAction] = []
        for flow in self._requests.list_all():
            if now >= flow.request.deadline:
                actions += self._requests.conclude(
                    flow, TimeLimitError("the time limit passed", retry_after=1.0)
                )
            elif flow.state is FlowState.WAITING_TO_RETRY and now >= flow.retry_at:
                actions += self._route(flow, now)
        return actions

    def _route(self, flow: Flow, now: float) -> list[EntryAction]:
        request = flow.request
        quarantine_error = self.crashes.find_quarantine(request, now)
        if quarantine_error is not None:
            return self._requests.conclude(flow, flow.last_error or quarantine_error)
        self._attempt_count += 1
        name = AttemptId(f"{request.request}.{self._attempt_count}")
        placed = self.placement.place(request, name, flow.excluded, now)
        if placed is None:
            error = flow.last_error
            if error is None:
                error = explain_unroutable(request, self.catalog, self.placement, now)
            return self._requests.conclude(flow, error)
        flow.try_count += 1
        phase = Phase.PREFILL if placed.is_split else Phase.WHOLE
        attempt = Attempt(name, placed.works, phase)
        return [self._requests.begin_attempt(flow, attempt, now)]

    def _start(self, flow: Flow, now: float) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        quarantine_error = self.crashes.find_quarantine(flow.request, now)
        if quarantine_error is not None:
            # The quarantine began while the request waited for its grant.
            return self._requests.conclude(flow, flow.last_error or quarantine_error)
        in_backoff = [
            u for u in attempt.upstreams if not self.placement.may_send(u, now)
        ]
        if in_backoff:
            # Their backoff began while the request waited for its grant.
            flow.excluded.update(in_backoff)
            actions = self._requests.release_attempt(flow, Outcome.UNUSED)
            return actions + self._retry(flow, now, delay=0.0)
        attempt.state = AttemptState.SENT
        attempt.incarnation = self._find_incarnation(attempt.lead)
        attempt.parts = self.crashes.record_sent(
            flow.request, attempt.lead, attempt.incarnation, now
        )
        flow.state = FlowState.RUNNING
        priority = self._compute_engine_priority(attempt.works[0].prefill_tokens)
        return [
            StartAttempt(
                attempt.attempt,
                flow.request.request,
                attempt.upstreams,
                priority,
                attempt.phase,
            )
        ]

    # Transfer of the KV cache from the prefill engine to the decode engine

    def _reserve_decode(self, flow: Flow, now: float) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        source = attempt.works[0]
        self.placement.prefixes.learn(source.upstream, flow.request.prefixes)
        excluded = flow.excluded
        work = self.placement.place_decode(flow.request, source, excluded, now)
        if work is None:
            error = UpstreamError("no engine can decode the prefilled request")
            return self._fail_attempt(flow, error, now, Outcome.ABANDONED)
        attempt.works = [source, work]
        attempt.granted_count = 1
        attempt.phase = Phase.PREFILL
        flow.state = FlowState.TRANSFERRING
        return [self._requests.reserve_next(flow, now)]

    def _reserve_other_decode(
        self, flow: Flow, upstream: UpstreamId, now: float
    ) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        flow.excluded.add(upstream)
        release = Release(attempt.attempt, upstream, Outcome.ABANDONED)
        return [ToOwner(upstream, release), *self._reserve_decode(flow, now)]

    def _start_decode(self, flow: Flow) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        attempt.phase = Phase.DECODE
        attempt.incarnation = self._find_incarnation(attempt.lead)
        flow.state = FlowState.RUNNING
        source, target = attempt.upstreams
        return [
            StartAttempt(
                attempt.attempt,
                flow.request.request,
                (target,),
                self._compute_engine_priority(0),
                Phase.DECODE,
                source,
            )
        ]

    def _compute_engine_priority(self, prefill_tokens: int) -> int:
        match self._strategy.queue:
            case FirstCome():
                return 0
            case _:
                return -compute_size_class(prefill_tokens)

    def _find_incarnation(self, upstream: UpstreamId) -> Incarnation | None:
        record = self.catalog.get(upstream)
        return record.announcement.incarnation if record is not None else None

    def _handle_interrupted(
        self, flow: Flow, interrupted: Interrupted, now: float
    ) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        record = self.catalog.get(attempt.lead)
        may_resume = attempt.state is AttemptState.RUNNING and record is not None
        if may_resume and attempt.resumes < MAX_RESUMES:
            attempt.resumes += 1
            return [ResumeAttempt(attempt.attempt)]
        if not interrupted.is_path_lost:
            self._record_failure(attempt.lead, now)
        if interrupted.may_have_crashed:
            lead, incarnation = attempt.lead, attempt.incarnation
            parts = attempt.parts
            self.crashes.record_crash(flow.request, lead, incarnation, now, parts)
        error = UpstreamError(interrupted.detail)
        return self._fail_attempt(
            flow,
            error,
            now,
            Outcome.ABANDONED,
            excludes_lead=not interrupted.is_path_lost,
        )

    def _handle_silence(
        self, flow: Flow, upstream: UpstreamId, now: float
    ) -> list[EntryAction]:
        """Send a request again if another upstream may run it; otherwise wait on.

        A silence alone accuses neither the upstream nor the request.
        """
        attempt = flow.attempt
        assert attempt is not None
        excluded = flow.excluded | {attempt.lead}
        others = self.catalog.list_candidates(flow.request, excluded)
        is_sent_again = (
            may_send_again(flow, others, MAX_ATTEMPTS) and self._retry_budget.spend()
        )
        logger.info(
            "upstream silent during attempt",
            attempt=attempt.attempt,
            upstream=upstream,
            is_sent_again=is_sent_again,
        )
        if not is_sent_again:
            return []
        flow.excluded = excluded
        flow.last_error = UpstreamError(f"{upstream} became unresponsive")
        actions = self._requests.release_attempt(flow, Outcome.ABANDONED)
        delay = compute_delay(flow.try_count, self._random)
        return actions + self._retry(flow, now, delay=delay)

    def _fail_attempt(
        self,
        flow: Flow,
        error: UpstreamError,
        now: float,
        outcome: Outcome,
        *,
        excludes_lead: bool = True,
    ) -> list[EntryAction]:
        attempt = flow.attempt
        assert attempt is not None
        flow.last_error = error
        if excludes_lead:
            flow.excluded.add(attempt.lead)
        actions = self._requests.release_attempt(flow, outcome)
        is_safe = attempt.never_started or flow.request.is_idempotent
        if not is_safe or flow.has_delivered:
            return actions + self._requests.conclude(flow, error)
        if not self._retry_budget.spend():
            return actions + self._requests.conclude(flow, error)
        delay = compute_delay(flow.try_count, self._random)
        return actions + self._retry(flow, now, delay=delay)

    def _retry(self, flow: Flow, now: float, *, delay: float) -> list[EntryAction]:
        if flow.try_count >= MAX_ATTEMPTS:
            error = flow.last_error or RefusedError("no replica accepted the request")
            return self._requests.conclude(flow, error)
        flow.state = FlowState.WAITING_TO_RETRY
        flow.retry_at = now + delay
        if delay > 0.0:
            return []
        return self._route(flow, now)

    def _record_prefix(self, flow: Flow) -> None:
        request = flow.request
        attempt = flow.attempt
        if attempt is not None and attempt.phase is Phase.WHOLE:
            self.placement.prefixes.learn(attempt.lead, request.prefixes)

    def _record_failure(self, upstream: UpstreamId, now: float) -> None:
        if self.placement.outliers.record_failure(upstream, now):
            logger.warning("replica set aside", upstream=upstream)
