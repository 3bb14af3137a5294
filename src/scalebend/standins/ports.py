"""Find free ports of the loopback address."""

from __future__ import annotations

import itertools
import os
import socket

FIRST_PORT = 18_000
PORT_COUNT = 14_000
"""Below the ports that the system gives to outgoing connections: one of those could
take a port between its choice here and its use."""

# Each process begins elsewhere and goes on from its last choice, so that two that
# look at the same time seldom choose alike.
_turns = itertools.count(os.getpid() * 97)


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that were free for both TCP and UDP a moment ago."""
    ports: list[int] = []
    for turn in itertools.islice(_turns, PORT_COUNT):
        if len(ports) == count:
            return ports
        port = FIRST_PORT + turn % PORT_COUNT
        if _is_free(host, port):
            ports.append(port)
    raise OSError(f"{host}: no {count} free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as item:
            try:
                item.bind((host, port))
            except OSError:
                return False
    return True
