"""Requests and attempts in the core. Sizes in tokens, times in seconds."""

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
    PartId,
    RequestId,
    ServiceName,
    UpstreamId,
)


class AttemptState(Enum):
    """State of one attempt; see docs/design/attempts.md."""

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

    ``deadline`` is on the clock of the instance that admitted it.
    ``prefixes`` are the block hashes of the prompt, longest prefix last;
    ``fingerprint`` is a hash of the whole content, kept with claimed idempotency keys;
    ``content`` identifies the request at all instances, see
    :mod:`scalebend.core.fingerprints`. ``parts`` are those of its prompt that other
    requests may share, in order.
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
    is_idempotent: bool = True
    is_streamed: bool = True
    idempotency_key: IdempotencyKey | None = None
    fingerprint: str = ""
    content: Fingerprint | None = None
    prefixes: tuple[int, ...] = ()
    parts: tuple[PartId, ...] = ()

    @property
    def memory_tokens(self) -> int:
        """Most KV cache memory that the request may need."""
        return self.prompt_tokens + self.output_tokens


class Work(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt, as sent to the owner of its replica.

    ``timeout_s`` is how long the attempt may wait from its arrival at the owner: a
    duration, since the clocks of instances differ. ``is_reserved_elsewhere``: the
    request also reserves memory at another replica.
    """

    attempt: AttemptId
    request: RequestId
    customer: CustomerId
    entry: InstanceId
    upstream: UpstreamId
    memory_tokens: int
    prefill_tokens: int
    output_tokens: int
    timeout_s: float = msgspec.field(name="patience")
    priority: int = 0
    is_reserved_elsewhere: bool = msgspec.field(name="held_elsewhere", default=False)


class RefusalReason(Enum):
    """Why an owner rejected an attempt."""

    TOO_LARGE = "too-large"
    TOO_LATE = "too-late"
    DRAINING = "leaving"
    NOT_OWNER = "not-owner"


class Grant(msgspec.Struct, frozen=True, tag=True):
    """Permission to start an attempt; expires after ``valid`` seconds if unused."""

    attempt: AttemptId
    upstream: UpstreamId
    valid: float


class Refusal(msgspec.Struct, frozen=True, tag=True):
    """The owner rejected an attempt, which has not run."""

    attempt: AttemptId
    upstream: UpstreamId
    reason: RefusalReason
    retry_after: float


class Outcome(Enum):
    """How an attempt ended, as the entry reports it to the owner."""

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
    """Entry to owner: these attempts are open; renews leases and rebuilds state."""

    upstream: UpstreamId
    work: list[Work]


class LoadDigest(msgspec.Struct, frozen=True, array_like=True):
    """Load of one replica as its owner knows it.

    ``prefill_tokens``, by size class, are of granted attempts without a first token;
    ``queued_tokens``, by size class, are queued at the owner. ``decoding`` counts
    attempts past their first token; ``free_tokens`` is unreserved memory.
    """

    upstream: UpstreamId
    prefill_tokens: tuple[int, ...]
    decoding: int
    free_tokens: int
    queued: int
    queued_tokens: tuple[int, ...]

    def count_ahead(self, size_class: int) -> int:
        """Count prefill tokens that run before a new prompt of the class."""
        granted = sum(self.prefill_tokens[: size_class + 1])
        return granted + sum(self.queued_tokens[: size_class + 1])

    def count_all(self) -> int:
        """Count all prefill tokens, granted or queued."""
        return sum(self.prefill_tokens) + sum(self.queued_tokens)


class ReplicaView(msgspec.Struct, frozen=True, kw_only=True):
    """Static properties of a replica that routing needs."""

    upstream: UpstreamId
    availability_zone: AvailabilityZone
    memory_tokens: int
    concurrency: int
    prefill_rate: float
    step_time: float
