"""Errors of connections through peers."""

from __future__ import annotations

import aiohttp


class TunnelLostError(aiohttp.ClientConnectionError):
    """A tunnel ended before the response; the upstream may still run the request."""
