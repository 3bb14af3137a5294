"""The key that a request carries."""

from __future__ import annotations

from aiohttp import web

BEARER = "Bearer "


def read_key(request: web.Request) -> str:
    """Return the key of the ``Authorization`` header, or an empty text."""
    header = request.headers.get("Authorization", "")
    return header[len(BEARER) :] if header.startswith(BEARER) else ""
