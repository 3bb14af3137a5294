"""Reads from the kernel what was lost on a TCP connection.

Retransmissions of the peer are not visible here. Segments that arrive out of order are:
what came after a lost one waits in the kernel until it was sent again.
"""

from __future__ import annotations

import socket
import struct
import sys

import msgspec

_INFO_BYTES = 232
_TOTAL_RETRANS = struct.Struct("=100xI")
_DATA_SEGMENTS = struct.Struct("=152xII")
_OUT_OF_ORDER = struct.Struct("=224xI")
"""Offsets in ``struct tcp_info`` of ``linux/tcp.h``, which only ever grows at the end;
the last field is in Linux 5.4 and later."""


class SocketCounts(msgspec.Struct, frozen=True):
    """Segments of one connection since its start."""

    segments: int = 0
    """Segments with data, in both directions."""

    retransmitted: int = 0
    """Segments that were sent from here again, also those of the handshake."""

    out_of_order: int = 0
    """Segments that arrived before an earlier one."""


def read_socket_counts(sock: object) -> SocketCounts | None:
    """Return the counts of a connected TCP socket; ``None`` where there are none."""
    option = getattr(socket, "TCP_INFO", None)
    get_option = getattr(sock, "getsockopt", None)
    if sys.platform != "linux" or option is None or get_option is None:
        return None
    try:
        data = get_option(socket.IPPROTO_TCP, option, _INFO_BYTES)
    except OSError:
        return None
    if len(data) < _DATA_SEGMENTS.size:
        return None
    (retransmitted,) = _TOTAL_RETRANS.unpack_from(data)
    received, sent = _DATA_SEGMENTS.unpack_from(data)
    out_of_order = 0
    if len(data) >= _OUT_OF_ORDER.size:
        (out_of_order,) = _OUT_OF_ORDER.unpack_from(data)
    if not received + sent + retransmitted:
        return None
    return SocketCounts(received + sent, retransmitted, out_of_order)
