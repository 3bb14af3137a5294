"""Requests that an entry has not concluded, and their reservations at owners.

Decides which reservation of an attempt is sent next, when it is sent again, which
granted ones are renewed, and with which outcome each is released. An attempt that ends
releases all its reservations; a request is concluded once.
"""

from __future__ import annotations

from scalebend.core.flow import (
    AbortAttempt,
    Attempt,
    Conclude,
    EntryAction,
    Flow,
    FlowState,
    ToOwner,
)
from scalebend.core.retries import OutlierDetector
from scalebend.exceptions import Ran, ScalebendError
from scalebend.models.ids import AttemptId, RequestId, UpstreamId
from scalebend.models.work import (
    AttemptState,
    Outcome,
    Release,
    Renew,
    Request,
    Reserve,
    Started,
    Work,
)

RESERVE_RESEND_INTERVAL_S = 1.0
"""Time without a reply after which a reservation is sent again."""


class OpenRequests:
    """All requests that one instance admitted and has not concluded."""

    def __init__(self, outliers: OutlierDetector) -> None:
        """``outliers`` learns that an attempt ended which may have been a probe."""
        self._outliers = outliers
        self._flows: dict[RequestId, Flow] = {}
        self._request_ids: dict[AttemptId, RequestId] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def add(self, request: Request) -> Flow:
        """Add an admitted request."""
        flow = Flow(request)
        self._flows[request.request] = flow
        return flow

    def get(self, request: RequestId) -> Flow | None:
        """Return the state of a request; ``None`` if it was concluded."""
        return self._flows.get(request)

    def find_by_attempt(self, attempt: AttemptId) -> Flow | None:
        """Return the request whose current attempt this is; ``None`` if it ended."""
        request = self._request_ids.get(attempt)
        return self._flows.get(request) if request is not None else None

    def list_all(self) -> list[Flow]:
        """All open requests; some may be concluded while the list is read."""
        return list(self._flows.values())

    def begin_attempt(self, flow: Flow, attempt: Attempt, now: float) -> ToOwner:
        """Set the current attempt of a request, and send its first reservation."""
        flow.attempt = attempt
        flow.state = FlowState.RESERVING
        self._request_ids[attempt.attempt] = flow.request.request
        return self.reserve_next(flow, now)

    def reserve_next(self, flow: Flow, now: float) -> ToOwner:
        """Send the reservation after the granted ones."""
        attempt = flow.attempt
        assert attempt is not None
        attempt.reserve_sent_at = now
        work = attempt.works[attempt.granted_count]
        return ToOwner(work.upstream, Reserve(work))

    def renew(self, now: float) -> list[EntryAction]:
        """Renew granted reservations, and resend those without a reply for a while."""
        actions = self._renew_granted(None)
        for flow in self._flows.values():
            attempt = flow.attempt
            if attempt is None or attempt.has_all_grants():
                continue
            if now - attempt.reserve_sent_at >= RESERVE_RESEND_INTERVAL_S:
                actions.append(self.reserve_next(flow, now))
        return actions

    def renew_at(self, upstreams: set[UpstreamId], now: float) -> list[EntryAction]:
        """Send the owners of ``upstreams`` the granted and the pending reservations."""
        actions = self._renew_granted(upstreams)
        for flow in self._flows.values():
            attempt = flow.attempt
            if attempt is None or attempt.has_all_grants():
                continue
            if attempt.works[attempt.granted_count].upstream in upstreams:
                actions.append(self.reserve_next(flow, now))
        return actions

    def _renew_granted(self, upstreams: set[UpstreamId] | None) -> list[EntryAction]:
        """Build one renewal for each of ``upstreams``; for all if it is ``None``."""
        granted: dict[UpstreamId, list[Work]] = {}
        for flow in self._flows.values():
            attempt = flow.attempt
            if attempt is None:
                continue
            for work in attempt.works[: attempt.granted_count]:
                if upstreams is None or work.upstream in upstreams:
                    granted.setdefault(work.upstream, []).append(work)
        return [
            ToOwner(upstream, Renew(upstream, works))
            for upstream, works in granted.items()
        ]

    def release_source(self, flow: Flow) -> list[EntryAction]:
        """Release the prefill engine: the decode engine has imported the KV cache."""
        attempt = flow.attempt
        assert attempt is not None
        if len(attempt.works) == 1:
            return []
        source, target = attempt.works
        attempt.works = [target]
        attempt.granted_count = 1
        name = attempt.attempt
        return [
            ToOwner(source.upstream, Release(name, source.upstream, Outcome.ABANDONED)),
            ToOwner(target.upstream, Started(name, target.upstream)),
        ]

    def release_attempt(
        self, flow: Flow, outcome: Outcome, output_tokens: int = 0
    ) -> list[EntryAction]:
        """End the current attempt of a request, if there is one."""
        attempt = flow.attempt
        if attempt is None:
            return []
        flow.attempt = None
        flow.ran = _combine_ran(flow.ran, attempt)
        del self._request_ids[attempt.attempt]
        actions: list[EntryAction] = []
        if not attempt.was_sent:
            outcome = Outcome.UNUSED
        elif outcome is not Outcome.FINISHED:
            actions.append(AbortAttempt(attempt.attempt))
        # The reservation after the granted ones may be pending at its owner.
        for work in attempt.works[: attempt.granted_count + 1]:
            self._outliers.release_probe(work.upstream)
            # Memory on other engines than the lead is released by cancelling the
            # attempt there, however it ended.
            is_helper = work.upstream != attempt.lead and attempt.was_sent
            ended = Outcome.ABANDONED if is_helper else outcome
            release = Release(attempt.attempt, work.upstream, ended, output_tokens)
            actions.append(ToOwner(work.upstream, release))
        return actions

    def conclude(
        self, flow: Flow, error: ScalebendError | None, output_tokens: int = 0
    ) -> list[EntryAction]:
        """End a request and its attempt; ``error`` is ``None`` if it is complete."""
        self._flows.pop(flow.request.request, None)
        outcome = Outcome.FINISHED if error is None else Outcome.ABANDONED
        actions = self.release_attempt(flow, outcome, output_tokens)
        if error is not None and error.ran is Ran.NO:
            error.ran = flow.ran
        return [*actions, Conclude(flow.request.request, error)]


def _combine_ran(earlier: Ran, attempt: Attempt) -> Ran:
    if attempt.never_started or not attempt.was_sent:
        return earlier
    if earlier is Ran.YES or attempt.state is AttemptState.RUNNING:
        return Ran.YES
    return Ran.UNKNOWN
