"""Errors of connections whose path failed, which say nothing about the upstream."""

from __future__ import annotations

import aiohttp


class PathLostError(aiohttp.ClientConnectionError):
    """The path failed before the response; the upstream may still run the request."""


class TunnelLostError(PathLostError):
    """A tunnel ended before the response."""
