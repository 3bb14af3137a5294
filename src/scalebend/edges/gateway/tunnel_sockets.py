"""Options of the sockets of tunnels."""

from __future__ import annotations

import asyncio
import socket
import struct

UNACKED_TIMEOUT_MS = 3000
"""Time after which the kernel closes a connection with unacknowledged data, as on
direct connections to upstreams."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value (enabled, zero seconds) that makes a close send a reset."""


def set_options(transport: asyncio.BaseTransport) -> None:
    """Send small writes at once, and bound the wait for acknowledgements."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS)


def reset(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, so that its end does not look regular."""
    sock = transport.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
