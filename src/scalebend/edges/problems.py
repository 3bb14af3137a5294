"""Responses to failed requests, as ``application/problem+json``."""

from __future__ import annotations

import math

import msgspec
from aiohttp import web

from scalebend.exceptions import ScalebendError

CONTENT_TYPE = "application/problem+json"


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document; ``type`` is the error kind, ``ran`` whether it was run."""

    type: str
    title: str
    status: int
    detail: str
    ran: str
    retryable: bool
    request: str = ""


def build_problem(error: ScalebendError, request: str = "") -> Problem:
    """Return the problem document of an error."""
    response = error.response
    return Problem(
        error.kind.value,
        response.title,
        response.status,
        error.detail,
        error.ran.value,
        response.retryable,
        request,
    )


def build_problem_response(error: ScalebendError, request: str = "") -> web.Response:
    """Return the HTTP response to an error, without ``Retry-After``."""
    return web.Response(
        status=error.response.status,
        body=msgspec.json.encode(build_problem(error, request)),
        content_type=CONTENT_TYPE,
    )


def build_response(error: ScalebendError, request: str = "") -> web.Response:
    """Return the HTTP response to an error, with ``Retry-After`` where known."""
    response = build_problem_response(error, request)
    if error.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return response
