"""Listening sockets, opened before the libraries that serve them are loaded.

Callers that connect while the libraries load wait in the socket's backlog; without it,
their connections would be refused.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

from scalebend.utils.addresses import parse_address

if TYPE_CHECKING:
    from scalebend.models.gateway_settings import GatewaySettings

BACKLOG = 1024
"""Connections that may wait to be accepted: some seconds of a busy front."""


class Listeners:
    """Listening sockets by address."""

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def open(self, address: str) -> None:
        """Listen at ``address`` unless a socket already does."""
        if address not in self._sockets:
            self._sockets[address] = _listen(address)

    def try_open(self, address: str) -> None:
        """Listen at ``address`` if possible; :meth:`open` raises the error later."""
        with contextlib.suppress(OSError, ValueError):
            self.open(address)

    def pop(self, address: str) -> socket.socket:
        """Return the socket of ``address``, opened if needed; the caller closes it."""
        self.open(address)
        return self._sockets.pop(address)


def _listen(address: str) -> socket.socket:
    parsed = parse_address(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((parsed.host, parsed.port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


def open_listeners(settings: GatewaySettings, listeners: Listeners) -> Listeners:
    """Listen at the address of callers; peers retry, so other sockets open later."""
    if settings.callers_address is not None:
        listeners.open(settings.callers_address)
    return listeners
