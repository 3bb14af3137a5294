"""Find free ports of the loopback address."""

from __future__ import annotations

import socket


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that were free for both TCP and UDP a moment ago."""
    sockets = []
    ports: list[int] = []
    try:
        while len(ports) < count:
            stream = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sockets.append(stream)
            stream.bind((host, 0))
            port = stream.getsockname()[1]
            datagram = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            sockets.append(datagram)
            try:
                datagram.bind((host, port))
            except OSError:
                continue
            ports.append(port)
    finally:
        for item in sockets:
            item.close()
    return ports
