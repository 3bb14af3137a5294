"""State of one admitted request between its arrival and its conclusion."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.core.part_ledger import NO_PARTS, SentParts
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
    """Result: the response is complete; token counts are as the upstream reported."""

    output_tokens: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class Prefilled(msgspec.Struct, frozen=True):
    """Result: the first token was generated and the KV cache can be exported."""


class NeverStarted(msgspec.Struct, frozen=True):
    """Result: the upstream provably did not start the attempt.

    ``retry_after`` is in seconds. ``may_hold_memory`` means that prefill helpers may
    hold memory, so that the attempt must be cancelled there.
    """

    detail: str
    retry_after: float = 0.0
    may_hold_memory: bool = False


class Interrupted(msgspec.Struct, frozen=True):
    """Result: the request was sent, but the response is missing or incomplete.

    ``may_have_crashed`` is false if the upstream itself reported the failure, or if
    only the path to it was lost.
    """

    detail: str
    may_have_crashed: bool = True
    is_path_lost: bool = False
    """Whether the network failed, which says nothing about the upstream."""


class InvalidResponse(msgspec.Struct, frozen=True):
    """Result: the response of the upstream is malformed."""

    detail: str


AttemptResult = Completed | Prefilled | NeverStarted | Interrupted | InvalidResponse


class ToOwner(msgspec.Struct, frozen=True):
    """Action: send a message to the owner of a replica."""

    upstream: UpstreamId
    message: Reserve | Started | Release | Renew


class Phase(Enum):
    """Phases of an attempt that one engine runs.

    ``PREFILL`` ends with the first token and keeps the KV cache for export;
    ``DECODE`` imports it and continues from the second token.
    """

    WHOLE = "whole"
    PREFILL = "prefill"
    DECODE = "decode"


class StartAttempt(msgspec.Struct, frozen=True):
    """Action: send the request to these replicas; the first is the lead replica.

    ``source`` is the engine from which ``DECODE`` imports the KV cache.
    """

    attempt: AttemptId
    request: RequestId
    upstreams: tuple[UpstreamId, ...]
    priority: int
    phase: Phase = Phase.WHOLE
    source: UpstreamId | None = None


class ResumeAttempt(msgspec.Struct, frozen=True):
    """Action: reconnect and fetch the rest of a running attempt's stream."""

    attempt: AttemptId


class AbortAttempt(msgspec.Struct, frozen=True):
    """Action: close the connection of an attempt; its result is ignored."""

    attempt: AttemptId


class ClaimKey(msgspec.Struct, frozen=True):
    """Action: claim the idempotency key in the control group's log."""

    request: RequestId


class Conclude(msgspec.Struct, frozen=True):
    """Action: end the response; ``error`` is ``None`` if it is complete."""

    request: RequestId
    error: ScalebendError | None


EntryAction = (
    ToOwner | StartAttempt | ResumeAttempt | AbortAttempt | ClaimKey | Conclude
)


class FlowState(Enum):
    """What an admitted request is waiting for.

    ``TRANSFERRING``: prefill is done, and the decode engine's grant is pending.
    """

    RESERVING = "reserving"
    CLAIMING = "claiming"
    RUNNING = "running"
    TRANSFERRING = "moving"
    WAITING_TO_RETRY = "waiting-to-retry"


class Attempt(msgspec.Struct):
    """The current attempt of a request and the replicas it needs.

    If prefill and decode are split, ``works`` names the prefill engine first. The
    decode engine is added after prefill and is the only one left once it has imported
    the KV cache.
    """

    attempt: AttemptId
    works: list[Work]
    phase: Phase = Phase.WHOLE
    granted_count: int = 0
    state: AttemptState = AttemptState.QUEUED
    resumes: int = 0
    never_started: bool = False
    incarnation: Incarnation | None = None
    """Incarnation of the lead replica; ``None`` before the request was sent."""

    reserve_sent_at: float = 0.0
    parts: SentParts = NO_PARTS
    """The parts of the prompt that may still be what crashes the lead replica."""

    def has_all_grants(self) -> bool:
        """Whether all reservations are granted."""
        return self.granted_count == len(self.works)

    @property
    def was_sent(self) -> bool:
        """Whether any byte of the request may have reached the upstream."""
        return self.state not in (AttemptState.QUEUED, AttemptState.GRANTED)

    @property
    def upstreams(self) -> tuple[UpstreamId, ...]:
        """Identifiers of the replicas, in reservation order."""
        return tuple(work.upstream for work in self.works)

    @property
    def lead(self) -> UpstreamId:
        """The replica whose stream is being read."""
        return self.works[-1 if self.phase is Phase.DECODE else 0].upstream


class Flow(msgspec.Struct):
    """State of one request; ``ran`` tells whether any attempt so far may have run."""

    request: Request
    state: FlowState = FlowState.WAITING_TO_RETRY
    attempt: Attempt | None = None
    try_count: int = 0
    retry_at: float = 0.0
    ran: Ran = Ran.NO
    is_claimed: bool = False
    has_delivered: bool = False
    excluded: set[UpstreamId] = msgspec.field(default_factory=set)
    last_error: ScalebendError | None = None
