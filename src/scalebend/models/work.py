"""Requests and attempts, as the core sees them. Sizes in tokens, times in seconds."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import (
    AttemptId,
    AvailabilityZone,
    CustomerId,
    Fingerprint,
    IdempotencyKey,
    InstanceId,
    ModelName,
    RequestId,
    ServiceName,
    UpstreamId,
)


class AttemptState(Enum):
    """Life of one attempt; see docs/design/attempts.md."""

    QUEUED = "queued"
    GRANTED = "granted"
    SENT = "sent"
    ACCEPTED = "accepted"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """An admitted request of a caller.

    ``deadline`` is in the clock of the instance that admitted it.
    ``prefixes`` are the block hashes of the prompt, longest prefix last;
    ``fingerprint`` is a hash of the whole content, kept with claimed keys; ``content``
    names the request at all instances, see :mod:`scalebend.core.fingerprints`.
    """

    request: RequestId
    customer: CustomerId
    arrived: float
    deadline: float
    model: ModelName | None = None
    adapter: str | None = None
    version: str | None = None
    service: ServiceName | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    priority: int = 0
    repeatable: bool = True
    is_streamed: bool = True
    idempotency_key: IdempotencyKey | None = None
    fingerprint: str = ""
    content: Fingerprint | None = None
    prefixes: tuple[int, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Engine memory that the request may grow to."""
        return self.prompt_tokens + self.output_tokens


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt as its replica's owner sees it.

    ``patience`` is how long the attempt may wait from its arrival at the owner;
    durations cross instances, clock readings never do.
    """

    attempt: AttemptId
    request: RequestId
    customer: CustomerId
    entry: InstanceId
    upstream: UpstreamId
    memory_tokens: int
    prefill_tokens: int
    output_tokens: int
    patience: float
    priority: int = 0
    held_elsewhere: bool = False


class RefusalReason(Enum):
    """Why an owner refused an attempt."""

    TOO_LARGE = "too-large"
    TOO_LATE = "too-late"
    LEAVING = "leaving"
    NOT_OWNER = "not-owner"


class Grant(msgspec.Struct, frozen=True, tag=True):
    """The owner lets an attempt start; unused, it expires after ``valid`` seconds."""

    attempt: AttemptId
    upstream: UpstreamId
    valid: float


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """The owner will not start an attempt; it ran nowhere."""

    attempt: AttemptId
    upstream: UpstreamId
    reason: RefusalReason
    retry_after: float


class Outcome(Enum):
    """How the entry saw an attempt end, as told to the owner."""

    UNUSED = "unused"
    FINISHED = "finished"
    ABANDONED = "abandoned"


class Reserve(msgspec.Struct, frozen=True, tag=True):
    """Entry to owner: queue this work."""

    work: Work


class Started(msgspec.Struct, frozen=True, tag=True):
    """Entry to owner: the first token of the attempt was seen."""

    attempt: AttemptId
    upstream: UpstreamId


class Release(msgspec.Struct, frozen=True, tag=True):
    """Entry to owner: the attempt ended; ``output_tokens`` is what it produced."""

    attempt: AttemptId
    upstream: UpstreamId
    outcome: Outcome
    output_tokens: int = 0


class Renew(msgspec.Struct, frozen=True, tag=True):
    """Entry to owner: these attempts are still open (lease renewal and rebuild)."""

    upstream: UpstreamId
    work: list[Work]


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """Load of one replica as its owner knows it.

    ``prefill_tokens``, by size class, are granted but not yet answered with a first
    token, and ``queued_tokens`` wait at the owner; ``decoding`` counts attempts past
    their first token; ``free_tokens`` is unreserved memory.
    """

    upstream: UpstreamId
    prefill_tokens: tuple[int, ...]
    decoding: int
    free_tokens: int
    queued: int
    queued_tokens: tuple[int, ...]

    def count_ahead(self, size_class: int) -> int:
        """Prefill tokens that run before a new prompt of the class."""
        granted = sum(self.prefill_tokens[: size_class + 1])
        return granted + sum(self.queued_tokens[: size_class + 1])

    def count_all(self) -> int:
        """Prefill tokens granted and not yet answered, or waiting."""
        return sum(self.prefill_tokens) + sum(self.queued_tokens)


class ReplicaView(msgspec.Struct, frozen=True, kw_only=True):
    """Static facts of a replica that routing needs."""

    upstream: UpstreamId
    availability_zone: AvailabilityZone
    memory_tokens: int
    concurrency: int
    prefill_rate: float
    step_time: float
