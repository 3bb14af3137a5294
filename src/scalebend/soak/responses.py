"""Bodies of the replicas' responses, and how a caller's differs from them."""

from __future__ import annotations

from scalebend.soak.observations import CallerRequest


def build_event(request_id: str, number: int) -> bytes:
    """Build event ``number`` of the response to ``request_id``."""
    return f"id: {number}\ndata: {request_id}/{number}\n\n".encode()


def build_body(request_id: str) -> bytes:
    """Build the response body of the plain service to ``request_id``."""
    return f"done {request_id}".encode()


def find_mismatch(call: CallerRequest, body: bytes) -> str:
    """Return how a successful response differs from the expected one, or ``""``."""
    expected = build_body(call.request_id)
    if call.events:
        numbers = range(1, call.events + 1)
        expected = b"".join(build_event(call.request_id, number) for number in numbers)
    if body != expected:
        return f"body of {len(body)} bytes, not {len(expected)}: {body[-60:]!r}"
    if call.seal is None or not call.seal.endswith(f"/{call.request_id}"):
        return f"seal {call.seal}"
    return ""
