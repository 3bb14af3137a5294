"""Frames that a tunnel sends towards the front that opened it.

Bytes towards the upstream are sent as they are. Those from the upstream are framed,
since the end of a response without a length has to be told from the end of the peer:
the kernel closes the sockets of a killed process like those of a regular end.

A frame is a kind of one byte, a length of four, and the payload.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from enum import Enum

import msgspec

from scalebend.models.tunnels import OpenTunnel

MAX_OPEN_BYTES = 1024
"""Maximum size of the message that opens a tunnel."""

_HEAD = struct.Struct(">BI")
_LENGTH = struct.Struct(">H")
_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(OpenTunnel)


class FrameKind(Enum):
    """What a frame says."""

    REPLY = 1
    """The payload is a :class:`~scalebend.models.tunnels.TunnelReply`."""

    DATA = 2
    """The payload are bytes of the upstream."""

    END = 3
    """The upstream ended its data."""

    RESET = 4
    """The connection to the upstream was reset."""

    LEAVING = 5
    """The peer stops; the tunnel ends after the current response."""


class FrameError(Exception):
    """Bytes are no frame or no opening message."""


class Frame(msgspec.Struct, frozen=True):
    """A frame, or a part of one with data, which is not kept until it is complete."""

    kind: FrameKind
    payload: bytes = b""


def build_frame(kind: FrameKind, payload: bytes = b"") -> bytes:
    """Encode a frame."""
    return _HEAD.pack(kind.value, len(payload)) + payload


class FrameReader:
    """Splits received bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._missing_data = 0
        """Bytes of the current data frame that have not been received."""

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that ``data`` completes; raise :class:`FrameError`."""
        self._buffer += data
        while self._buffer:
            if self._missing_data:
                payload = bytes(self._buffer[: self._missing_data])
                del self._buffer[: self._missing_data]
                self._missing_data -= len(payload)
                yield Frame(FrameKind.DATA, payload)
                continue
            if len(self._buffer) < _HEAD.size:
                return
            number, length = _HEAD.unpack_from(self._buffer)
            try:
                kind = FrameKind(number)
            except ValueError as error:
                raise FrameError(f"unknown kind {number}") from error
            if kind is FrameKind.DATA:
                del self._buffer[: _HEAD.size]
                self._missing_data = length
                continue
            end = _HEAD.size + length
            if length > MAX_OPEN_BYTES:
                raise FrameError(f"frame of {length} bytes")
            if len(self._buffer) < end:
                return
            payload = bytes(self._buffer[_HEAD.size : end])
            del self._buffer[:end]
            yield Frame(kind, payload)


def build_opening(opening: OpenTunnel) -> bytes:
    """Encode the message that opens a tunnel."""
    data = _ENCODER.encode(opening)
    return _LENGTH.pack(len(data)) + data


def read_opening(buffer: bytearray) -> OpenTunnel | None:
    """Remove the opening message from ``buffer``; ``None`` if it is incomplete.

    Raises :class:`FrameError` if it is malformed.
    """
    if len(buffer) < _LENGTH.size:
        return None
    (length,) = _LENGTH.unpack_from(buffer)
    if length > MAX_OPEN_BYTES:
        raise FrameError(f"opening message of {length} bytes")
    end = _LENGTH.size + length
    if len(buffer) < end:
        return None
    try:
        opening = _DECODER.decode(bytes(buffer[_LENGTH.size : end]))
    except msgspec.MsgspecError as error:
        raise FrameError(str(error)) from error
    del buffer[:end]
    return opening
