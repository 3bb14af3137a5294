"""Parses HTTP requests of callers into :class:`Request` objects of the core."""

from __future__ import annotations

import math
from collections.abc import Mapping

import msgspec
import xxhash
from aiohttp import web

from scalebend.core.fingerprints import compute_fingerprint
from scalebend.core.instance import Instance
from scalebend.core.prefixes import compute_prefixes
from scalebend.core.prompt_parts import split_messages, split_text
from scalebend.edges.exchange import OutgoingCall
from scalebend.exceptions import ErrorKind, RequestError
from scalebend.models.configuration import Service
from scalebend.models.ids import (
    CustomerId,
    IdempotencyKey,
    ModelName,
    PartId,
    RequestId,
    ServiceName,
)
from scalebend.models.work import Request

TIME_LIMIT_HEADER = "X-Time-Limit"
PRIORITY_HEADER = "X-Priority"
NON_IDEMPOTENT_HEADER = "X-Not-Repeatable"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

MAX_PRIORITY = 3
DEFAULT_OUTPUT_TOKENS = 256
MAX_OUTPUT_TOKENS = 1_000_000
MAX_KEY_CHARACTERS = 200
SAFE_METHODS = ("GET", "HEAD", "OPTIONS")
FORWARDED_HEADERS = ("Content-Type", "Accept", "X-Order")

_RAW_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])


class ParsedCall(msgspec.Struct, frozen=True):
    """A caller's request, as the core and the upstream get it."""

    request: Request
    call: OutgoingCall
    prompt_bytes: int = 0


class _CompletionFields(msgspec.Struct):
    """The fields of a completion request that scalebend reads."""

    model: str
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False
    adapter: str | None = None
    version: str | None = None


def read_time_limit(headers: Mapping[str, str], instance: Instance) -> float:
    """Return the request's time limit in seconds."""
    limits = instance.settings.limits
    text = headers.get(TIME_LIMIT_HEADER)
    if text is None:
        return limits.default_time_limit
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not 0.0 < seconds <= limits.longest_time_limit:
        raise RequestError(
            f"{TIME_LIMIT_HEADER}: expected a number of seconds above 0 and up to "
            f"{limits.longest_time_limit:g}",
            kind=ErrorKind.INVALID_TIME_LIMIT,
        )
    return seconds


def read_priority(headers: Mapping[str, str]) -> int:
    """Return the request's priority among its customer's requests."""
    text = headers.get(PRIORITY_HEADER, "0")
    try:
        priority = int(text)
    except ValueError:
        priority = MAX_PRIORITY + 1
    if abs(priority) > MAX_PRIORITY:
        raise RequestError(
            f"{PRIORITY_HEADER}: expected -{MAX_PRIORITY} to {MAX_PRIORITY}"
        )
    return priority


def parse_completion(
    http_request: web.Request,
    body: bytes,
    instance: Instance,
    request_id: RequestId,
    customer: CustomerId,
    now: float,
) -> ParsedCall:
    """Parse a request to ``/v1/completions`` or ``/v1/chat/completions``."""
    raw, fields = _decode_fields(body)
    is_chat = "/chat/" in http_request.path
    prompt_field = "messages" if is_chat else "prompt"
    prompt = raw.get(prompt_field)
    if prompt is None or bytes(prompt) in (b'""', b"[]", b"null"):
        raise RequestError(f"$.{prompt_field}: expected a prompt that is not empty")
    model = instance.get_model(ModelName(fields.model))
    if model is None:
        raise RequestError(
            f"$.model: {fields.model!r} is not configured",
            kind=ErrorKind.UNKNOWN_MODEL,
        )
    output_tokens = fields.max_completion_tokens or fields.max_tokens
    output_tokens = output_tokens or DEFAULT_OUTPUT_TOKENS
    if not 1 <= output_tokens <= MAX_OUTPUT_TOKENS:
        raise RequestError(f"$.max_tokens: expected 1 to {MAX_OUTPUT_TOKENS}")
    data = bytes(prompt)
    tokens = instance.entry.placement.sizes.estimate_tokens(model.model, len(data))
    if tokens > model.longest_prompt * 1.25:
        raise RequestError(
            f"the prompt has about {tokens} tokens; "
            f"the limit of the model is {model.longest_prompt}",
            kind=ErrorKind.PROMPT_TOO_LONG,
        )
    headers = http_request.headers
    key, is_idempotent = _read_idempotency(headers, must_have_key=False)
    request = Request(
        request=request_id,
        customer=customer,
        arrived=now,
        deadline=now + read_time_limit(headers, instance),
        model=model.model,
        adapter=fields.adapter,
        version=fields.version,
        prompt_tokens=tokens,
        output_tokens=output_tokens,
        priority=read_priority(headers),
        is_idempotent=is_idempotent,
        is_streamed=fields.stream,
        idempotency_key=key,
        fingerprint=_compute_body_fingerprint(http_request.path, body) if key else "",
        content=compute_fingerprint(customer, "POST", "", http_request.path, body),
        prefixes=compute_prefixes(data),
        parts=_split_prompt(model.model, data, is_chat=is_chat),
    )
    if not fields.stream:
        raw["stream"] = msgspec.Raw(b"true")
        body = msgspec.json.encode(raw)
    call = OutgoingCall(
        "POST", http_request.path, body, {"Content-Type": "application/json"}
    )
    return ParsedCall(request, call, len(data))


def parse_service_call(
    http_request: web.Request,
    body: bytes,
    instance: Instance,
    request_id: RequestId,
    customer: CustomerId,
    now: float,
) -> ParsedCall:
    """Parse a request to ``/services/{service}/...``."""
    service = instance.get_service(ServiceName(http_request.match_info["service"]))
    if service is None:
        raise RequestError(
            f"service {http_request.match_info['service']!r} is not configured",
            kind=ErrorKind.UNKNOWN_SERVICE,
        )
    path = "/" + http_request.match_info["path"]
    method = http_request.method
    headers = http_request.headers
    is_idempotent_by_rule = is_idempotent_call(service, method, path)
    key, is_idempotent = _read_idempotency(
        headers, must_have_key=not is_idempotent_by_rule
    )
    if http_request.query_string:
        path = f"{path}?{http_request.query_string}"
    request = Request(
        request=request_id,
        customer=customer,
        arrived=now,
        deadline=now + read_time_limit(headers, instance),
        service=service.service,
        priority=read_priority(headers),
        is_idempotent=is_idempotent,
        is_streamed=False,
        idempotency_key=key,
        fingerprint=_compute_body_fingerprint(f"{method} {path}", body) if key else "",
        content=compute_fingerprint(customer, method, service.service, path, body),
    )
    forwarded = {n: headers[n] for n in FORWARDED_HEADERS if n in headers}
    if key is not None:
        forwarded[IDEMPOTENCY_KEY_HEADER] = key
    return ParsedCall(request, OutgoingCall(method, path, body, forwarded))


def is_idempotent_call(service: Service, method: str, path: str) -> bool:
    """Whether the longest matching path, or else the method, marks it as idempotent."""
    matching = [
        call
        for call in service.calls
        if call.method == method and path.startswith(call.path)
    ]
    if matching:
        longest = max(matching, key=lambda call: len(call.path))
        return longest.is_idempotent
    return method in SAFE_METHODS


def _split_prompt(
    model: ModelName, prompt: bytes, *, is_chat: bool
) -> tuple[PartId, ...]:
    if not is_chat:
        return split_text(model, prompt)
    try:
        return split_messages(model, prompt)
    except msgspec.MsgspecError as error:
        raise RequestError(f"$.messages: {error}") from None


def _decode_fields(body: bytes) -> tuple[dict[str, msgspec.Raw], _CompletionFields]:
    try:
        raw = _RAW_FIELDS.decode(body)
        fields = msgspec.json.decode(body, type=_CompletionFields)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise RequestError(f"the body is invalid: {error}") from None
    return raw, fields


def _read_idempotency(
    headers: Mapping[str, str], *, must_have_key: bool
) -> tuple[IdempotencyKey | None, bool]:
    text = headers.get(IDEMPOTENCY_KEY_HEADER)
    is_marked_non_idempotent = (
        headers.get(NON_IDEMPOTENT_HEADER, "false").lower() == "true"
    )
    if text is None:
        if must_have_key or is_marked_non_idempotent:
            raise RequestError(
                f"{IDEMPOTENCY_KEY_HEADER}: required for a non-idempotent call",
                kind=ErrorKind.MISSING_IDEMPOTENCY_KEY,
            )
        return None, True
    if not 1 <= len(text) <= MAX_KEY_CHARACTERS:
        raise RequestError(
            f"{IDEMPOTENCY_KEY_HEADER}: expected 1 to {MAX_KEY_CHARACTERS} characters"
        )
    return IdempotencyKey(text), False


def _compute_body_fingerprint(path: str, body: bytes) -> str:
    return xxhash.xxh3_128_hexdigest(path.encode() + b"\0" + body)
