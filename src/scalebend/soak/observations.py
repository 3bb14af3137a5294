"""What callers, replicas and the operator observed during a run.

All times are in seconds, on the clock of the event loop.
"""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import (
    AvailabilityZone,
    RoutingVersion,
    ServiceName,
    UpstreamId,
)
from scalebend.soak.layout import ProcessName

GUILTY_PROMPTS = ProcessName("guilty-prompts")
"""Process that counts as disturbed while prompts crash replicas."""


class RequestKind(Enum):
    """Kind of a request, which decides its route."""

    IDEMPOTENT = "repeatable"
    NON_IDEMPOTENT = "once"
    QUICK_STREAM = "quick-stream"
    ONCE_STREAM = "once-stream"
    """A stream that may run at most once."""

    LONG_STREAM = "long-stream"


AT_MOST_ONCE = frozenset({RequestKind.NON_IDEMPOTENT, RequestKind.ONCE_STREAM})
"""Kinds whose requests may run at most once."""


class CallerRequest(msgspec.Struct):
    """One request of a caller, and its outcome."""

    request_id: str
    kind: RequestKind
    front: ProcessName
    front_start: int
    """Number of times the front had been started when the request was sent."""

    version: RoutingVersion
    """Version that added the key of the request; 0 for the lasting key."""

    sent_at: float
    timeout_s: float
    events: int
    """Number of events in the complete stream; 0 for a plain response."""

    ended_at: float | None = None
    status: int | None = None
    """Status of a complete response, or ``None`` without one."""

    mismatch: str = ""
    """How a successful response differs from the expected one; empty if it does not."""

    detail: str = ""
    """Error that kept the caller from a complete response."""

    is_cancelled: bool = False
    """Whether its caller disconnected on purpose."""

    has_timed_out: bool = False
    """Whether no complete response came until well after the timeout."""

    data_at: float | None = None
    """When the last bytes of the body came; ``None`` if there were none."""

    has_given_up: bool = False
    """Whether its caller gave the stream up since no event came."""

    seal: str | None = None
    guilty_part: str = ""
    """Part of its prompt that crashes replicas; empty if there is none."""


def describe_call(call: CallerRequest) -> str:
    """Return a request and its outcome in one line."""
    return (
        f"{call.request_id} ({call.kind.value}) at {call.front}, "
        f"sent at {call.sent_at:.3f}: status {call.status} {call.detail}"
    )


class Execution(msgspec.Struct, frozen=True):
    """A replica executed a request."""

    request_id: str
    upstream: UpstreamId
    at: float
    version: RoutingVersion
    """Version of the routing document that the front used, read from the customer's
    name."""

    is_altered: bool
    """Whether the method or the body differ from what the caller sent."""


class Arrival(msgspec.Struct, frozen=True):
    """A request reached a replica, whether or not it was executed."""

    request_id: str
    service: ServiceName
    at: float
    upstream: UpstreamId
    availability_zone: AvailabilityZone | None = None
    is_misdirected: bool = False
    """Whether it was sent to an earlier replica at the address, and answered so."""


class RateLimitPeriod(msgspec.Struct):
    """A period in which a replica announced a rate limit, in requests per second."""

    upstream: UpstreamId
    rate: float
    since: float
    until: float


class Rejection(msgspec.Struct, frozen=True):
    """A replica rejected a request and asked its front for a backoff in seconds."""

    request_id: str
    upstream: UpstreamId
    at: float
    backoff: float


class DrainNotice(msgspec.Struct, frozen=True):
    """A replica announced in its response to a request that it drains."""

    request_id: str
    upstream: UpstreamId
    at: float


class MisbehaviourPeriod(msgspec.Struct):
    """A period in which a replica mishandled requests, also after a restart."""

    upstream: UpstreamId
    """Its incarnation at the start of the period."""

    since: float
    until: float


class PartCrash(msgspec.Struct, frozen=True):
    """A replica crashed since it began to respond to a prompt with a certain part."""

    part: str
    upstream: UpstreamId
    at: float


class SentResponse(msgspec.Struct, frozen=True):
    """A replica sent a complete response."""

    request_id: str
    status: int


class DrainAcknowledgement(msgspec.Struct, frozen=True):
    """A control instance acknowledged that a replica drains."""

    upstream: UpstreamId
    control: ProcessName
    at: float


class AcceptedDocument(msgspec.Struct, frozen=True):
    """A control instance acknowledged a routing document."""

    version: RoutingVersion
    at: float
    revoked: tuple[RoutingVersion, ...]
    """Versions whose keys it removed."""


class ReadBack(msgspec.Struct, frozen=True):
    """A routing document was read from a control instance."""

    version: RoutingVersion
    requested_at: float
    is_as_sent: bool


class Evacuation(msgspec.Struct):
    """A control instance acknowledged the evacuation of an availability zone."""

    availability_zone: AvailabilityZone
    acknowledged_at: float
    withdrawn_at: float
    """When the withdrawal was first sent."""


class EvacuationRead(msgspec.Struct, frozen=True):
    """The evacuated zones were read while no order was on its way."""

    requested_at: float
    listed: tuple[AvailabilityZone, ...]
    expected: tuple[AvailabilityZone, ...]


class Reservation(msgspec.Struct):
    """KV cache memory that a replica reserved."""

    upstream: UpstreamId
    name: str
    since: float
    until: float
    """When it was released or expired."""

    used_until: float
    """When the last request that used it ended; ``since`` if none did."""


class Disturbance(msgspec.Struct):
    """The time in which a fault affects a process."""

    process: ProcessName
    since: float
    until: float


class SilentRequest(msgspec.Struct):
    """A replica was silent for a request; ``until`` is ``None`` until it goes on."""

    request_id: str
    upstream: UpstreamId
    since: float
    until: float | None


class IncarnationEnd(msgspec.Struct, frozen=True):
    """An incarnation of a replica ended; requests that were there broke off."""

    upstream: UpstreamId
    at: float


class Exit(msgspec.Struct, frozen=True):
    """A process ended unexpectedly, or failed when it was terminated."""

    process: ProcessName
    at: float
    code: int


class Observations(msgspec.Struct):
    """All observations of one run."""

    caller_requests: dict[str, CallerRequest] = msgspec.field(default_factory=dict)
    executions: list[Execution] = msgspec.field(default_factory=list)
    arrivals: list[Arrival] = msgspec.field(default_factory=list)
    rate_limit_periods: list[RateLimitPeriod] = msgspec.field(default_factory=list)
    rejections: list[Rejection] = msgspec.field(default_factory=list)
    drain_notices: list[DrainNotice] = msgspec.field(default_factory=list)
    part_crashes: list[PartCrash] = msgspec.field(default_factory=list)
    sent_responses: list[SentResponse] = msgspec.field(default_factory=list)
    drain_acknowledgements: list[DrainAcknowledgement] = msgspec.field(
        default_factory=list
    )
    accepted: list[AcceptedDocument] = msgspec.field(default_factory=list)
    reads: list[ReadBack] = msgspec.field(default_factory=list)
    evacuations: list[Evacuation] = msgspec.field(default_factory=list)
    evacuation_reads: list[EvacuationRead] = msgspec.field(default_factory=list)
    reservations: list[Reservation] = msgspec.field(default_factory=list)
    disturbances: list[Disturbance] = msgspec.field(default_factory=list)
    partitions: list[Disturbance] = msgspec.field(default_factory=list)
    """Partitions of fronts from all replicas."""

    silent_requests: list[SilentRequest] = msgspec.field(default_factory=list)
    misbehaviours: list[MisbehaviourPeriod] = msgspec.field(default_factory=list)
    incarnation_ends: list[IncarnationEnd] = msgspec.field(default_factory=list)
    clock_steps: list[Disturbance] = msgspec.field(default_factory=list)
    """Those of the disturbances in which only the time of day of a process jumps."""

    exits: list[Exit] = msgspec.field(default_factory=list)
    stops: list[Disturbance] = msgspec.field(default_factory=list)
    """Planned stops, from the signal to the end of the process."""

    overdue_stops: list[Disturbance] = msgspec.field(default_factory=list)
    """Planned stops that exceeded the grace period."""

    load_ended_at: float = 0.0
    """When all faults were over."""

    ended_at: float = 0.0
