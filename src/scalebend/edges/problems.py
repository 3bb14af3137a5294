"""Answers to failed requests, as ``application/problem+json``."""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from scalebend.exceptions import ScalebendError

CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document; ``type`` is the kind, ``ran`` whether it was executed."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    retryable: bool
    request: str = ""


def build_problem(error: ScalebendError, request: str = "") -> Problem:
    """Return the problem document of an error."""
    answer = error.response
    return Problem(
        error.kind.value,
        answer.title,
        answer.status,
        error.detail,
        error.ran.value,
        answer.retryable,
        request,
    )


def build_problem_body(error: ScalebendError, request: str = "") -> web.Response:
    """Return the HTTP answer of an error, without ``Retry-After``."""
    return web.Response(
        status=error.response.status,
        body=msgspec.json.encode(build_problem(error, request)),
        content_type=CONTENT_TYPE,
    )


def build_response(error: ScalebendError, request: str = "") -> web.Response:
    """Return the HTTP answer of an error, with ``Retry-After`` where known."""
    response = build_problem_body(error, request)
    if error.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return response
