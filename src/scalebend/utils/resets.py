"""Closes connections with a reset."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""``SO_LINGER`` value (enabled, zero seconds) that makes a close send a reset."""


def reset_connection(transport: asyncio.WriteTransport) -> None:
    """Close a connection with a reset, so that its end does not look regular."""
    sock = transport.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    transport.abort()
