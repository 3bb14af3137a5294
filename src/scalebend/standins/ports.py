"""Finds free ports of the loopback address."""

from __future__ import annotations

import fcntl
import itertools
import os
import socket
import tempfile
from functools import cache
from pathlib import Path

FIRST_PORT = 18_000
PORT_COUNT = 14_000
"""The range is below the ephemeral ports: an outgoing connection could take one of
those between its choice here and its use."""

CLAIMS_FILE = "scalebend-ports-{user}"
"""Name of the file, in the folder for temporary files, with a lock for each port."""

# Each process starts at another offset and continues after its last choice, so that
# concurrent processes seldom try the same ports.
_port_offsets = itertools.count(os.getpid() * 97)


def find_free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return ports that were free for both TCP and UDP when checked.

    No other process gets them from this function while this one runs. Raises
    :class:`OSError` if there are not enough.
    """
    ports: list[int] = []
    for offset in itertools.islice(_port_offsets, PORT_COUNT):
        if len(ports) == count:
            return ports
        port = FIRST_PORT + offset % PORT_COUNT
        if _claim(port) and _is_free(host, port):
            ports.append(port)
    raise OSError(f"{host}: no {count} free ports")


def find_port_range(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return consecutive ports that were free when checked, in ascending order."""
    while True:
        ports = find_free_ports(count, host)
        if ports[-1] - ports[0] == count - 1 and ports == sorted(ports):
            return ports


@cache
def _open_claims(process: int) -> int:
    """Open the file of claims, once in each process: locks are not inherited."""
    path = Path(tempfile.gettempdir()) / CLAIMS_FILE.format(user=os.getuid())
    flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
    return os.open(path, flags, 0o600)


def _claim(port: int) -> bool:
    """Claim a port until this process ends; return whether no other one has it.

    Between the check and the use of a port, another process could choose it, too.
    """
    claims = _open_claims(os.getpid())
    try:
        fcntl.lockf(claims, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
    except BlockingIOError:
        return False
    return True


def _is_free(host: str, port: int) -> bool:
    for socket_type in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, socket_type) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
