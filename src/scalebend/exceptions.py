"""The closed list of error kinds, the answer to each, and the exception tree.

Every failure that a caller, an operator or an upstream can meet has exactly one
:class:`ErrorKind`. :data:`ANSWERS` maps each kind to its HTTP status; the page
``docs/errors.md`` is generated from it.
"""

from __future__ import annotations

from enum import Enum

import msgspec


class Ran(Enum):
    """What is known of whether the upstream executed the request."""

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


class Answer(msgspec.Struct, frozen=True):
    """How a kind is answered.

    ``status`` is the HTTP status; ``retryable`` tells the caller that the same
    request may succeed later; ``title`` is the short text of the problem document.
    """

    status: int
    retryable: bool
    title: str


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.MALFORMED_REQUEST: Answer(400, False, "The request is malformed"),
    ErrorKind.INVALID_TIME_LIMIT: Answer(400, False, "The time limit is not valid"),
    ErrorKind.UNKNOWN_KEY: Answer(401, False, "The key is unknown"),
    ErrorKind.FORBIDDEN: Answer(403, False, "The key does not allow this"),
    ErrorKind.UNKNOWN_MODEL: Answer(404, False, "The model is not configured"),
    ErrorKind.UNKNOWN_SERVICE: Answer(404, False, "The service is not configured"),
    ErrorKind.NOT_FOUND: Answer(404, False, "There is nothing at this path"),
    ErrorKind.BODY_TOO_LARGE: Answer(413, False, "The body is too large"),
    ErrorKind.PROMPT_TOO_LONG: Answer(413, False, "The prompt fits no replica set"),
    ErrorKind.MISSING_IDEMPOTENCY_KEY: Answer(
        428, False, "This call requires an Idempotency-Key"
    ),
    ErrorKind.IDEMPOTENCY_CONFLICT: Answer(
        422, False, "The Idempotency-Key was used with another request"
    ),
    ErrorKind.ALREADY_CLAIMED: Answer(
        409, False, "A request with this Idempotency-Key was already started"
    ),
    ErrorKind.CUSTOMER_LIMIT: Answer(429, True, "The customer's limit is reached"),
    ErrorKind.OVERLOADED: Answer(503, True, "The fleet is overloaded"),
    ErrorKind.NO_UPSTREAM: Answer(503, True, "No upstream can take the request"),
    ErrorKind.NOT_READY: Answer(503, True, "The instance does not admit requests"),
    ErrorKind.ENDS_UPSTREAMS: Answer(
        503, True, "Upstreams ended while they ran this request"
    ),
    ErrorKind.NO_QUORUM: Answer(503, True, "The control group has no quorum"),
    ErrorKind.TIME_LIMIT: Answer(504, True, "The time limit was reached"),
    ErrorKind.UPSTREAM_FAILED: Answer(502, True, "The upstream failed"),
    ErrorKind.UPSTREAM_GARBLED: Answer(502, True, "The upstream's answer is not valid"),
    ErrorKind.CANCELLED: Answer(499, False, "The caller cancelled the request"),
    ErrorKind.INVALID_ANNOUNCEMENT: Answer(400, False, "The announcement is not valid"),
    ErrorKind.INVALID_SETTINGS: Answer(400, False, "The settings are not valid"),
    ErrorKind.INVALID_CONFIGURATION: Answer(
        400, False, "The configuration is not valid"
    ),
    ErrorKind.CONFIGURATION_CONFLICT: Answer(
        409, False, "Another configuration was accepted first"
    ),
    ErrorKind.STORAGE_DAMAGED: Answer(500, False, "Stored state is damaged"),
    ErrorKind.INTERNAL: Answer(500, True, "Internal error"),
}


class ScalebendError(Exception):
    """Base of every error that scalebend raises on purpose.

    ``retry_after`` is in seconds, or ``None`` where no return time is known.
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
    def answer(self) -> Answer:
        """The answer that belongs to this error's kind."""
        return ANSWERS[self.kind]


class RequestError(ScalebendError):
    """The request itself cannot be served as it was sent."""

    kind = ErrorKind.MALFORMED_REQUEST


class RefusedError(ScalebendError):
    """The request was refused before anything ran."""

    kind = ErrorKind.OVERLOADED


class UpstreamError(ScalebendError):
    """An upstream failed while it held the request."""

    kind = ErrorKind.UPSTREAM_FAILED


class TimeLimitError(ScalebendError):
    """The request's time limit passed."""

    kind = ErrorKind.TIME_LIMIT


class ClaimError(ScalebendError):
    """A request that is not to be repeated could not claim its key."""

    kind = ErrorKind.ALREADY_CLAIMED


class StorageError(ScalebendError):
    """Durable state cannot be read or written."""

    kind = ErrorKind.STORAGE_DAMAGED


class Fault(msgspec.Struct, frozen=True):
    """One fault of a JSON document: its JSON path and what was expected there."""

    path: str
    expected: str


class DocumentError(ScalebendError):
    """A JSON document (settings, configuration, announcement) is not valid."""

    kind = ErrorKind.INVALID_SETTINGS

    def __init__(self, faults: list[Fault], *, kind: ErrorKind | None = None) -> None:
        lines = [f"{fault.path}: {fault.expected}" for fault in faults]
        super().__init__("; ".join(lines), kind=kind)
        self.faults = faults
