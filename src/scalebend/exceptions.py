"""Error kinds, the HTTP response to each, and the exception classes.

Every failure reported to a caller, an operator or an upstream has exactly one
:class:`ErrorKind`. :data:`ERROR_RESPONSES` maps each kind to its HTTP status; the page
``docs/errors.md`` is generated from it.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Ran(Enum):
    """Whether the upstream ran the request, as far as known."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every kind of failure that scalebend reports."""

    MALFORMED_REQUEST = "malformed-request"
    INVALID_TIME_LIMIT = "invalid-time-limit"
    UNKNOWN_KEY = "unknown-key"
    FORBIDDEN = "forbidden"
    UNKNOWN_MODEL = "unknown-model"
    UNKNOWN_SERVICE = "unknown-service"
    UNKNOWN_ZONE = "unknown-zone"
    NOT_FOUND = "not-found"
    BODY_TOO_LARGE = "body-too-large"
    PROMPT_TOO_LONG = "prompt-too-long"
    MISSING_IDEMPOTENCY_KEY = "missing-idempotency-key"
    IDEMPOTENCY_CONFLICT = "idempotency-conflict"
    ALREADY_CLAIMED = "already-claimed"
    CUSTOMER_LIMIT = "customer-limit"
    OVERLOADED = "overloaded"
    NO_UPSTREAM = "no-upstream"
    NOT_READY = "not-ready"
    ENDS_UPSTREAMS = "ends-upstreams"
    NO_QUORUM = "no-quorum"
    TIME_LIMIT = "time-limit"
    UPSTREAM_FAILED = "upstream-failed"
    UPSTREAM_GARBLED = "upstream-garbled"
    CANCELLED = "cancelled"
    INVALID_ANNOUNCEMENT = "invalid-announcement"
    INVALID_SETTINGS = "invalid-settings"
    INVALID_CONFIGURATION = "invalid-configuration"
    CONFIGURATION_CONFLICT = "configuration-conflict"
    STORAGE_DAMAGED = "storage-damaged"
    INTERNAL = "internal"


class ErrorResponse(msgspec.Struct, frozen=True):
    """The response to an error kind.

    ``status`` is the HTTP status; ``retryable`` tells the caller that the same
    request may succeed later; ``title`` is the short text of the problem document.
    """

    status: int
    retryable: bool
    title: str


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.MALFORMED_REQUEST: ErrorResponse(400, False, "The request is malformed"),
    ErrorKind.INVALID_TIME_LIMIT: ErrorResponse(
        400, False, "The time limit is not valid"
    ),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401, False, "The key is unknown"),
    ErrorKind.FORBIDDEN: ErrorResponse(403, False, "The key does not allow this"),
    ErrorKind.UNKNOWN_MODEL: ErrorResponse(404, False, "The model is not configured"),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(
        404, False, "The service is not configured"
    ),
    ErrorKind.UNKNOWN_ZONE: ErrorResponse(
        404, False, "No upstream is in the availability zone"
    ),
    ErrorKind.NOT_FOUND: ErrorResponse(404, False, "There is nothing at this path"),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, False, "The body is too large"),
    ErrorKind.PROMPT_TOO_LONG: ErrorResponse(
        413, False, "The prompt fits no replica set"
    ),
    ErrorKind.MISSING_IDEMPOTENCY_KEY: ErrorResponse(
        428, False, "This call requires an Idempotency-Key"
    ),
    ErrorKind.IDEMPOTENCY_CONFLICT: ErrorResponse(
        422, False, "The Idempotency-Key was used with another request"
    ),
    ErrorKind.ALREADY_CLAIMED: ErrorResponse(
        409, False, "A request with this Idempotency-Key was already started"
    ),
    ErrorKind.CUSTOMER_LIMIT: ErrorResponse(
        429, True, "The customer's limit is reached"
    ),
    ErrorKind.OVERLOADED: ErrorResponse(503, True, "The fleet is overloaded"),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, True, "No upstream can take the request"),
    ErrorKind.NOT_READY: ErrorResponse(
        503, True, "The instance does not admit requests"
    ),
    ErrorKind.ENDS_UPSTREAMS: ErrorResponse(
        503, True, "Upstreams ended while they ran this request"
    ),
    ErrorKind.NO_QUORUM: ErrorResponse(503, True, "The control group has no quorum"),
    ErrorKind.TIME_LIMIT: ErrorResponse(504, True, "The time limit was reached"),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, True, "The upstream failed"),
    ErrorKind.UPSTREAM_GARBLED: ErrorResponse(
        502, True, "The upstream's answer is not valid"
    ),
    ErrorKind.CANCELLED: ErrorResponse(499, False, "The caller cancelled the request"),
    ErrorKind.INVALID_ANNOUNCEMENT: ErrorResponse(
        400, False, "The announcement is not valid"
    ),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(400, False, "The settings are not valid"),
    ErrorKind.INVALID_CONFIGURATION: ErrorResponse(
        400, False, "The configuration is not valid"
    ),
    ErrorKind.CONFIGURATION_CONFLICT: ErrorResponse(
        409, False, "Another configuration was accepted first"
    ),
    ErrorKind.STORAGE_DAMAGED: ErrorResponse(500, False, "Stored state is damaged"),
    ErrorKind.INTERNAL: ErrorResponse(500, True, "Internal error"),
}


class ScalebendError(Exception):
    """Base class of the errors that scalebend raises.

    ``retry_after`` is in seconds, or ``None`` if unknown.
    """

    kind = ErrorKind.INTERNAL

    def __init__(
        self,
        detail: str,
        *,
        kind: ErrorKind | None = None,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(detail)
        self.detail = detail
        self.kind = kind or type(self).kind
        self.ran = ran
        self.retry_after = retry_after

    @property
    def response(self) -> ErrorResponse:
        """The response to this error's kind."""
        return ERROR_RESPONSES[self.kind]


class RequestError(ScalebendError):
    """The request is invalid."""

    kind = ErrorKind.MALFORMED_REQUEST


class RefusedError(ScalebendError):
    """The request was rejected before it ran."""

    kind = ErrorKind.OVERLOADED


class UpstreamError(ScalebendError):
    """An upstream failed while it processed the request."""

    kind = ErrorKind.UPSTREAM_FAILED


class TimeLimitError(ScalebendError):
    """The request's time limit passed."""

    kind = ErrorKind.TIME_LIMIT


class ClaimError(ScalebendError):
    """A non-idempotent request could not claim its idempotency key."""

    kind = ErrorKind.ALREADY_CLAIMED


class StorageError(ScalebendError):
    """Stored state is damaged or incomplete."""

    kind = ErrorKind.STORAGE_DAMAGED


class Fault(msgspec.Struct, frozen=True):
    """An error in a JSON document: its JSON path and what was expected there."""

    path: str
    expected: str


class DocumentError(ScalebendError):
    """A JSON document (settings, configuration, announcement) is not valid."""

    kind = ErrorKind.INVALID_SETTINGS

    def __init__(self, faults: list[Fault], *, kind: ErrorKind | None = None) -> None:
        lines = [f"{fault.path}: {fault.expected}" for fault in faults]
        super().__init__("; ".join(lines), kind=kind)
        self.faults = faults
