"""Decides whether a response is the upstream's own answer to a request.

A replica in disruption may send bytes that are no answer of its own, or one answer too
many. Callers must get neither as a success, nor as a status that promises that nothing
ran. Replicas seal their own responses, failures included, and echo the request id.
"""

from __future__ import annotations

from enum import Enum

from scalebend.models.calls import ResponseHeaders


class Verdict(Enum):
    """Whose response it is; the value is the reason in logs."""

    OWN = "own response"
    NOT_RUN = "not run"
    """A rejection, which a replica may send before it handles the request."""

    FOREIGN = "answer to another request"
    WITHOUT_SEAL = "response without seal"
    WITHOUT_ID = "response without request id"
    WITHOUT_BOTH = "response without seal and request id"
    ENCODED = "encoded response"
    """Not the body of a replica, which encodes none unless the caller accepts it."""

    @property
    def is_of_upstream(self) -> bool:
        """Whether the upstream responded to this request."""
        return self in (Verdict.OWN, Verdict.NOT_RUN)


def judge_response(
    headers: ResponseHeaders, request: str, *, accepts_encoding: bool = False
) -> Verdict:
    """Return whose response to ``request`` it is.

    Upstreams have no id to echo if ``request`` is empty.
    """
    if headers.request is not None and headers.request != request:
        return Verdict.FOREIGN
    if headers.has_not_run:
        return Verdict.NOT_RUN
    if headers.is_encoded and not accepts_encoding:
        return Verdict.ENCODED
    has_id = headers.request is not None or not request
    match (headers.has_seal, has_id):
        case (True, True):
            return Verdict.OWN
        case (True, False):
            return Verdict.WITHOUT_ID
        case (False, True):
            return Verdict.WITHOUT_SEAL
        case _:
            return Verdict.WITHOUT_BOTH
