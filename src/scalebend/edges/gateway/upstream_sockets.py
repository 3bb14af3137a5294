"""Timeouts and options of connections to upstreams, direct or through tunnels."""

from __future__ import annotations

import asyncio
import socket

CONNECT_TIMEOUT_S = 0.1
"""Many round trips between the availability zones of a region, but short enough for
another replica to respond within a short latency target. The kernel resends a lost SYN
only after a second."""

UNACKED_TIMEOUT_MS = 3000
"""Time after which the kernel closes a connection with unacknowledged data."""


def set_options(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once, and bound the wait for acknowledgements."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)
