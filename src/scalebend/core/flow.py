"""State of one admitted request between its arrival and its conclusion."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.exceptions import Ran, ScalebendError
from scalebend.models.ids import AttemptId, Incarnation, RequestId, UpstreamId
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


class Prefilled(msgspec.Struct, frozen=True):
    """The first token was generated and the KV cache can be exported."""


class NeverStarted(msgspec.Struct, frozen=True):
    """The upstream provably did not start the attempt.

    ``may_hold_memory``: helpers of a group may hold memory that must be cancelled.
    """

    detail: str
    retry_after: float = 0.0
    may_hold_memory: bool = False


class Broken(msgspec.Struct, frozen=True):
    """No whole answer came after the request was sent.

    ``may_have_ended``: unless the upstream said itself that it failed.
    """

    detail: str
    may_have_ended: bool = True


class Garbled(msgspec.Struct, frozen=True):
    """The upstream answered something that is not a valid answer."""

    detail: str


AttemptResult = Completed | Prefilled | NeverStarted | Broken | Garbled


class ToOwner(msgspec.Struct, frozen=True):
    """Action: send a message to the owner of a replica."""

    upstream: UpstreamId
    message: Reserve | Started | Release | Renew


class Part(Enum):
    """What of an attempt an engine runs.

    ``PREFILL`` ends with the first token and keeps the KV cache for export;
    ``DECODE`` imports it and goes on from the second token.
    """

    WHOLE = "whole"
    PREFILL = "prefill"
    DECODE = "decode"


class StartAttempt(msgspec.Struct, frozen=True):
    """Action: send the request to these replicas; the first leads.

    ``source`` is where a ``DECODE`` part imports its KV cache from.
    """

    attempt: AttemptId
    request: RequestId
    upstreams: tuple[UpstreamId, ...]
    priority: int
    part: Part = Part.WHOLE
    source: UpstreamId | None = None


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
    """What an admitted request is waiting for.

    ``MOVING``: its KV cache is ready, and it waits for an engine to decode it.
    """

    RESERVING = "reserving"
    CLAIMING = "claiming"
    RUNNING = "running"
    MOVING = "moving"
    WAITING_TO_RETRY = "waiting-to-retry"


class Attempt(msgspec.Struct):
    """The current attempt of a request and the replicas it needs.

    Of a split attempt ``works`` holds the prefill engine, then the decode engine
    too until it has imported the KV cache.
    """

    attempt: AttemptId
    works: list[Work]
    part: Part = Part.WHOLE
    granted: int = 0
    state: AttemptState = AttemptState.QUEUED
    resumes: int = 0
    never_started: bool = False
    incarnation: Incarnation | None = None
    """Of the replica whose stream is read now, once the request was sent."""

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

    @property
    def lead(self) -> UpstreamId:
        """The replica whose stream is read now."""
        return self.works[-1 if self.part is Part.DECODE else 0].upstream


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
