"""Reads the API key of a request."""

from __future__ import annotations

from aiohttp import web

BEARER_PREFIX = "Bearer "


def read_key(request: web.Request) -> str:
    """Return the bearer key in the ``Authorization`` header, or an empty string."""
    header = request.headers.get("Authorization", "")
    return header[len(BEARER_PREFIX) :] if header.startswith(BEARER_PREFIX) else ""
