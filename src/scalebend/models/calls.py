"""A request that a front forwards, and the upstream's response. Times in seconds."""

from __future__ import annotations

from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId, ServiceName, UpstreamId
from scalebend.models.routing import Route


class PromptSize(msgspec.Struct, frozen=True, array_like=True):
    """Prompt and output tokens of a request, as its caller states them."""

    prompt: int
    max_output_tokens: int = msgspec.field(name="output_most")
    expected_output_tokens: int = msgspec.field(name="output_expected")


class CallerHeaders(msgspec.Struct, frozen=True):
    """Request headers that the gateway reads."""

    request: str
    """Request id set by the caller, forwarded unchanged."""

    wait: float | None
    """Seconds that the caller will wait; ``None`` if not stated."""

    key: str | None
    last_event: int | None
    """Id of the last event that the caller received, if it resumes a stream."""

    prompt: PromptSize | None
    model: str = ""
    """Name of the model, as the caller states it; empty if it states none."""

    shared_parts: tuple[str, ...] = ()
    """Ids of the parts of the prompt that other requests may share, in its order."""

    accepts_encoding: bool = False
    """Whether the caller takes a response with an encoded body."""


class Call(msgspec.Struct, frozen=True):
    """An admitted request; times are on the front's monotonic clock."""

    headers: CallerHeaders
    route: Route
    service: ServiceName
    customer: CustomerId | None
    method: str
    target: str
    """Path and query, exactly as they were received."""

    arrived: float
    deadline: float
    """When the caller's wait or the route's timeout ends, whichever is earlier."""

    priority: int = 0
    """Rank of the customer, or else of the route; 0 is the most urgent."""


class ReportedLoad(msgspec.Struct, frozen=True):
    """Load that an upstream reports in a response."""

    running: int
    waiting: int
    slots: int


class ResponseHeaders(msgspec.Struct, frozen=True):
    """Response headers of an upstream that the gateway reads."""

    request: str | None
    """Echoed request id; a different id marks the response to another request."""

    has_seal: bool
    """Whether it carries the signature that the upstream gives its own responses."""

    is_encoded: bool
    """Whether the body is encoded, such as compressed."""

    has_not_run: bool
    """Whether the upstream declares that it did not run the request."""

    load: ReportedLoad | None
    faulty_address: str | None
    """Address of the upstream that caused the failure, where several took part."""

    rate_limit: float | None
    """Requests per second that the upstream accepts from all fronts together;
    ``UNLIMITED`` if it states none. ``None`` leaves the known limit unchanged: the
    value is invalid, or the response came from another upstream."""

    backoff: float | None = None
    """Seconds for which the upstream asks this front to send nothing."""

    has_unreadable_backoff: bool = False
    """Whether it stated a backoff that is not a number of seconds."""

    is_draining: bool = False
    """Whether the upstream is draining and takes no new requests from any front."""

    unknown_headers: tuple[str, ...] = ()
    """Names of headers about the upstream itself that the gateway does not know."""


class Outcome(Enum):
    """How one attempt at an upstream ended."""

    ANSWERED = "answered"
    NOT_SENT = "not sent"
    WITHDRAWN = "left"
    """Not sent: the upstream, or the request, became ineligible before the send."""

    REJECTED = "rejected"
    """The upstream declared that it did not run the request."""

    FAILED = "failed"
    """The upstream ran the request and responded with an error of its own."""

    INTERRUPTED = "broken"
    """The response is missing or incomplete; the request may have run."""

    PATH_LOST = "path lost"
    """The same, but the network between this process and the upstream failed."""

    TIMED_OUT = "timed out"
    UNRESPONSIVE = "silent"
    """Another attempt, started because nothing had come for a while, went on."""


class UpstreamTarget(msgspec.Struct, frozen=True, array_like=True):
    """The upstream chosen for one attempt."""

    upstream: UpstreamId
    address: str
