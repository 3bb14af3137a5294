"""Listening sockets, opened before the libraries that serve them are loaded.

Loading them takes a third of a second. Callers that connect meanwhile wait in the
socket's queue; without it, they would be told that nobody listens.
"""

from __future__ import annotations

import contextlib
import socket
from typing import TYPE_CHECKING

from scalebend.utils.addresses import parse_address

if TYPE_CHECKING:
    from scalebend.models.gateway_settings import GatewaySettings

BACKLOG = 1024
"""Connections that may wait to be accepted: those of some seconds of a busy front."""


class Listeners:
    """Sockets that listen already, by address."""

    def __init__(self) -> None:
        self._sockets: dict[str, socket.socket] = {}

    def open(self, address: str) -> None:
        """Listen at ``address``, once."""
        if address not in self._sockets:
            self._sockets[address] = _listen(address)

    def try_open(self, address: str) -> None:
        """Listen at ``address`` if that is possible; :meth:`open` tells why not."""
        with contextlib.suppress(OSError, ValueError):
            self.open(address)

    def take(self, address: str) -> socket.socket:
        """Return the socket of ``address`` to whoever serves and closes it."""
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
    """Listen at the addresses of callers; others find this process by asking again."""
    if settings.callers_address is not None:
        listeners.open(settings.callers_address)
    return listeners
