"""Finds free ports of the loopback address."""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT = 18_000
PORT_COUNT = 14_000
"""The range is below the ephemeral ports: an outgoing connection could take one of
those between its choice here and its use."""

# Each process starts at another offset and continues after its last choice, so that
# concurrent processes seldom choose the same port.
_port_offsets = itertools.count(os.getpid() * 97)


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that were free for both TCP and UDP when checked.

    Raises :class:`OSError` if there are not enough.
    """
    ports: list[int] = []
    for offset in itertools.islice(_port_offsets, PORT_COUNT):
        if len(ports) == count:
            return ports
        port = FIRST_PORT + offset % PORT_COUNT
        if _is_free(host, port):
            ports.append(port)
    raise OSError(f"{host}: no {count} free ports")


def _is_free(host: str, port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
