"""State of one admitted request between its arrival and its conclusion."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.exceptions import Ran, ScalebendError
from scalebend.models.ids import AttemptId, RequestId, UpstreamId
from scalebend.models.work import (
    AttemptState,
    Release,
    Renew,
    Request,
    Reserve,
    Started,
    Work,
)


class Completed(msgspec.Struct, frozen=True):
    """The upstream gave its whole answer; counts are its own, in tokens."""

    output_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class NeverStarted(msgspec.Struct, frozen=True):
    """The upstream provably did not start the attempt.

    ``may_hold_memory``: helpers of a group may hold memory that must be cancelled.
    """

    detail: str
    retry_after: float = 0.0
    may_hold_memory: bool = False


class Broken(msgspec.Struct, frozen=True):
    """The link to the upstream was lost after the request was sent."""

    detail: str


class Garbled(msgspec.Struct, frozen=True):
    """The upstream answered something that is not a valid answer."""

    detail: str


AttemptResult = Completed | NeverStarted | Broken | Garbled


class ToOwner(msgspec.Struct, frozen=True):
    """Action: send a message to the owner of a replica."""

    upstream: UpstreamId
    message: Reserve | Started | Release | Renew


class StartAttempt(msgspec.Struct, frozen=True):
    """Action: send the request to these replicas; the first leads."""

    attempt: AttemptId
    request: RequestId
    upstreams: tuple[UpstreamId, ...]
    priority: int


class ResumeAttempt(msgspec.Struct, frozen=True):
    """Action: fetch the rest of a running attempt's stream again."""

    attempt: AttemptId


class AbortAttempt(msgspec.Struct, frozen=True):
    """Action: close the connection of an attempt; its result no longer counts."""

    attempt: AttemptId


class ClaimKey(msgspec.Struct, frozen=True):
    """Action: claim the idempotency key in the control group's log."""

    request: RequestId


class Conclude(msgspec.Struct, frozen=True):
    """Action: answer the caller; ``error`` is ``None`` after a whole answer."""

    request: RequestId
    error: ScalebendError | None


EntryAction = (
    ToOwner | StartAttempt | ResumeAttempt | AbortAttempt | ClaimKey | Conclude
)


class FlowState(Enum):
    """What an admitted request is waiting for."""

    RESERVING = "reserving"
    CLAIMING = "claiming"
    RUNNING = "running"
    WAITING_TO_RETRY = "waiting-to-retry"


class Attempt(msgspec.Struct):
    """The current attempt of a request and the replicas it needs."""

    attempt: AttemptId
    works: list[Work]
    granted: int = 0
    state: AttemptState = AttemptState.QUEUED
    resumes: int = 0
    never_started: bool = False
    sent_reserve: float = 0.0

    def has_all_grants(self) -> bool:
        """Whether every replica granted its part."""
        return self.granted == len(self.works)

    @property
    def was_sent(self) -> bool:
        """Whether a byte may have reached the upstream."""
        return self.state not in (AttemptState.QUEUED, AttemptState.GRANTED)

    @property
    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Names of the replicas, in reservation order."""
        return tuple(work.upstream for work in self.works)


class Flow(msgspec.Struct):
    """One request; ``ran`` is what is known of earlier and current attempts."""

    request: Request
    state: FlowState = FlowState.WAITING_TO_RETRY
    attempt: Attempt | None = None
    tries: int = 0
    retry_at: float = 0.0
    ran: Ran = Ran.NO
    is_claimed: bool = False
    has_delivered: bool = False
    excluded: set[UpstreamId] = msgspec.field(default_factory=set)
    last_error: ScalebendError | None = None
