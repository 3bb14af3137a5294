"""Names and formats of HTTP headers on the platform, in both directions."""

from __future__ import annotations

from collections.abc import Mapping

from multidict import CIMultiDict, CIMultiDictProxy

from scalebend.models.calls import (
    Call,
    CallerHeaders,
    PromptSize,
    ReportedLoad,
    ResponseHeaders,
)
from scalebend.models.endpoints import get_upstream_name
from scalebend.models.ids import UpstreamId
from scalebend.models.rate_limits import UNLIMITED
from scalebend.utils.decimals import parse_decimal

REQUEST_ID = "X-Request-Id"
DEADLINE = "X-Deadline-Ms"
CUSTOMER = "X-Tenant"
EXPECTED_UPSTREAM = "X-Expect-Instance"
LAST_EVENT = "Last-Event-Id"
HELPERS = "X-Helpers"
URGENCY = "X-Request-Priority"
SEAL = "X-Server-Seal"
"""A replica's signature of its whole response; callers require it for a success."""

_NOT_EXECUTED = "X-Not-Executed"
_LOAD = "X-Server-Load"
_FAULTY_ADDRESS = "At-Server"
_RATE_LIMIT = "Server-Limit"
"""Rate limit in requests per second over all fronts together."""

_DRAINING = "Server-Leaving"

_RETRY_AFTER = "Retry-After"
"""Seconds, may be fractional, in both directions; dates are not supported."""

_TOKENS = "X-Token-Counts"
_LENGTH_HINT = "X-Length-Hint"
_MODEL = "X-Model"
_PARTS = "X-Prompt-Prefix"
"""Parts of the prompt in order, as ``ID:TOKENS`` joined by commas. The last one belongs
to the request or its session alone."""

MAX_PARTS = 64
"""Maximum number of parts that are read, the first ones. Prompts have a few."""

MAX_COUNT_DIGITS = 6
"""Maximum digits of a count in a load header; a replica with a larger, bogus count
would never be chosen again."""

_UPSTREAM_HEADER_PREFIXES = ("server-", "x-server-")
"""Prefixes of headers in which replicas describe themselves."""

_KNOWN_UPSTREAM_HEADERS = frozenset(
    name.lower() for name in (SEAL, _LOAD, _RATE_LIMIT, _DRAINING, "Server-Timing")
)
"""Headers with these prefixes that are read here, and a standard one of HTTP."""

_CONNECTION_HEADERS = frozenset(
    name.lower()
    for name in (
        "Connection",
        "Keep-Alive",
        "Proxy-Connection",
        "Proxy-Authenticate",
        "Proxy-Authorization",
        "TE",
        "Trailer",
        "Transfer-Encoding",
        "Upgrade",
        "Content-Length",
        "Expect",
    )
)
"""Hop-by-hop headers, not forwarded; ``Content-Length`` is set anew."""

_RESERVED_HEADERS = frozenset(
    name.lower()
    for name in (
        "Authorization",
        DEADLINE,
        CUSTOMER,
        EXPECTED_UPSTREAM,
        LAST_EVENT,
        HELPERS,
        URGENCY,
        "X-Expect-Version",
    )
)
"""Headers of callers that are not forwarded to upstreams."""


def read_caller_headers(headers: Mapping[str, str]) -> CallerHeaders:
    """Decode the headers of a request; malformed numbers count as absent."""
    wait = _read_number(headers.get(DEADLINE))
    scheme, _, key = headers.get("Authorization", "").partition(" ")
    return CallerHeaders(
        request=headers.get(REQUEST_ID, ""),
        wait=wait / 1000.0 if wait is not None else None,
        key=key.strip() if scheme.lower() == "bearer" and key.strip() else None,
        last_event=_read_integer(headers.get(LAST_EVENT)),
        prompt=_read_prompt(headers),
        model=headers.get(_MODEL, ""),
        shared_parts=_read_shared_parts(headers.get(_PARTS, "")),
        accepts_encoding=_names_encoding(headers.get("Accept-Encoding")),
    )


def _read_prompt(headers: Mapping[str, str]) -> PromptSize | None:
    prompt, _, max_output = headers.get(_TOKENS, "").partition(",")
    prompt_tokens = _read_integer(prompt)
    max_output_tokens = _read_integer(max_output)
    if prompt_tokens is None or max_output_tokens is None:
        return None
    hint = _read_integer(headers.get(_LENGTH_HINT))
    expected = max_output_tokens if hint is None else min(hint, max_output_tokens)
    return PromptSize(prompt_tokens, max_output_tokens, expected)


def _read_shared_parts(text: str) -> tuple[str, ...]:
    parts = text.split(",", MAX_PARTS + 1)
    names = (part.partition(":")[0].strip() for part in parts[:-1])
    return tuple(dict.fromkeys(name for name in names if name))[:MAX_PARTS]


def build_upstream_headers(
    received: CIMultiDictProxy[str],
    call: Call,
    upstream: UpstreamId,
    *,
    remaining: float,
    last_event: int | None,
    helpers: list[str],
    urgency: int | None,
) -> CIMultiDict[str]:
    """Return the headers for an upstream; ``remaining`` is the deadline in seconds.

    ``helpers`` are ``IP:port`` or ``IP:port/reservation`` of prefill helpers;
    ``urgency`` is 0 to 9, the lowest first.
    """
    headers: CIMultiDict[str] = CIMultiDict()
    connection = received.get("Connection", "").lower()
    dropped = {name.strip() for name in connection.split(",") if name.strip()}
    for name, value in received.items():
        lower = name.lower()
        if (
            lower in _CONNECTION_HEADERS
            or lower in _RESERVED_HEADERS
            or lower in dropped
        ):
            continue
        headers.add(name, value)
    headers[DEADLINE] = str(max(1, int(remaining * 1000.0)))
    headers[EXPECTED_UPSTREAM] = get_upstream_name(upstream)
    if call.customer is not None:
        headers[CUSTOMER] = call.customer
    if last_event is not None:
        headers[LAST_EVENT] = str(last_event)
    if helpers:
        headers[HELPERS] = ",".join(helpers)
    if urgency is not None:
        headers[URGENCY] = str(urgency)
    return headers


def build_caller_headers(
    call: CallerHeaders, host: str, resume_after: int | None = None
) -> CIMultiDict[str]:
    """Return the headers of a caller's request ``call``; for test stand-ins."""
    headers: CIMultiDict[str] = CIMultiDict({"Host": host, REQUEST_ID: call.request})
    if call.wait is not None:
        headers[DEADLINE] = str(int(call.wait * 1000.0))
    if call.key is not None:
        headers["Authorization"] = f"Bearer {call.key}"
    if call.prompt is not None:
        headers[_TOKENS] = f"{call.prompt.prompt},{call.prompt.max_output_tokens}"
    if call.model:
        headers[_MODEL] = call.model
    if call.shared_parts:
        parts = (*call.shared_parts, call.request)
        headers[_PARTS] = ",".join(f"{part}:1" for part in parts)
    if resume_after is not None:
        headers[LAST_EVENT] = str(resume_after)
    return headers


def build_response_headers(
    request: str,
    seal: str | None,
    *,
    has_not_run: bool = False,
    rate_limit: float | None = None,
    backoff: float | None = None,
    is_draining: bool = False,
) -> CIMultiDict[str]:
    """Return the headers of a replica's response to ``request``; for stand-ins."""
    headers: CIMultiDict[str] = CIMultiDict({REQUEST_ID: request})
    if seal is not None:
        headers[SEAL] = seal
    if has_not_run:
        headers[_NOT_EXECUTED] = "true"
    if rate_limit is not None:
        headers[_RATE_LIMIT] = f"{rate_limit:g}"
    if backoff is not None:
        headers[_RETRY_AFTER] = f"{backoff:g}"
    if is_draining:
        headers[_DRAINING] = "1"
    return headers


def read_response_headers(status: int, headers: Mapping[str, str]) -> ResponseHeaders:
    """Decode the headers of an upstream's response."""
    # 421 (Misdirected Request): the address now belongs to another upstream, which did
    # not run the request.
    is_misdirected = status == 421
    backoff = headers.get(_RETRY_AFTER) if status == 503 else None
    seconds = parse_decimal(backoff)
    return ResponseHeaders(
        request=headers.get(REQUEST_ID),
        has_seal=bool(headers.get(SEAL)),
        is_encoded=_names_encoding(headers.get("Content-Encoding")),
        has_not_run=is_misdirected or (status >= 400 and _NOT_EXECUTED in headers),
        load=_read_load(headers.get(_LOAD)),
        faulty_address=headers.get(_FAULTY_ADDRESS),
        rate_limit=None if is_misdirected else _read_rate_limit(headers),
        backoff=seconds,
        has_unreadable_backoff=backoff is not None and seconds is None,
        is_draining=not is_misdirected and headers.get(_DRAINING) == "1",
        unknown_headers=tuple(filter(_is_unknown_header, headers)),
    )


def copy_response_headers(received: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Return an upstream's response headers without the hop-by-hop ones."""
    copied: CIMultiDict[str] = CIMultiDict()
    for name, value in received.items():
        if name.lower() not in _CONNECTION_HEADERS:
            copied.add(name, value)
    return copied


def format_retry_after(seconds: float) -> str:
    """Return the value of ``Retry-After``; the platform's callers accept fractions."""
    return f"{seconds:.3f}"


def _names_encoding(value: str | None) -> bool:
    """Whether a header names another encoding than that of an unchanged body."""
    return value is not None and value.strip().lower() not in ("", "identity")


def _read_load(text: str | None) -> ReportedLoad | None:
    if text is None:
        return None
    parts = text.split(",")
    if len(parts) != 3 or not all(_is_count(part) for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ReportedLoad(running, waiting, slots) if slots else None


def _read_rate_limit(headers: Mapping[str, str]) -> float | None:
    text = headers.get(_RATE_LIMIT)
    return UNLIMITED if text is None else parse_decimal(text)


def _is_unknown_header(name: str) -> bool:
    lower = name.lower()
    return (
        lower.startswith(_UPSTREAM_HEADER_PREFIXES)
        and lower not in _KNOWN_UPSTREAM_HEADERS
    )


def _is_count(text: str) -> bool:
    return text.isascii() and text.isdecimal() and len(text) <= MAX_COUNT_DIGITS


def _read_number(text: str | None) -> float | None:
    try:
        return float(text) if text is not None else None
    except ValueError:
        return None


def _read_integer(text: str | None) -> int | None:
    try:
        return int(text) if text is not None else None
    except ValueError:
        return None
