"""Lists that a process stores to know them after a restart, each entry checked.

They are hints, not state that must last: a file that is missing, torn or damaged is no
fault, and a disk that refuses it is logged and otherwise ignored.
"""

from __future__ import annotations

import zlib
from collections.abc import Sequence
from pathlib import Path
from typing import TypeVar

import msgspec
import structlog

from scalebend.storage.files import replace_file

logger = structlog.get_logger(__name__)

Entry = TypeVar("Entry")

_CHECKSUM_SIZE = 4
_ENCODER = msgspec.msgpack.Encoder()
_LIST_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])


def write_hints(path: Path, entries: Sequence[object]) -> None:
    """Store ``entries`` whole, in place of what was stored before."""
    data = _ENCODER.encode(entries)
    checksum = zlib.crc32(data).to_bytes(_CHECKSUM_SIZE, "big")
    try:
        replace_file(path, checksum + data)
    except OSError as error:
        logger.warning("hints not written", file=path.name, error=str(error))


def read_hints(path: Path, decoder: msgspec.msgpack.Decoder[Entry]) -> list[Entry]:
    """What was stored last; nothing if it is not there whole."""
    try:
        stored = path.read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        logger.warning("hints not read", file=path.name, error=str(error))
        return []
    data = stored[_CHECKSUM_SIZE:]
    if stored[:_CHECKSUM_SIZE] != zlib.crc32(data).to_bytes(_CHECKSUM_SIZE, "big"):
        logger.warning("hints not read", file=path.name, error="damaged")
        return []
    try:
        entries = _LIST_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        logger.warning("hints not read", file=path.name, error=str(error))
        return []
    return _decode_valid(path, entries, decoder)


def _decode_valid(
    path: Path, entries: list[msgspec.Raw], decoder: msgspec.msgpack.Decoder[Entry]
) -> list[Entry]:
    """The entries that another program did not spoil, in their order."""
    valid = []
    error: msgspec.MsgspecError | None = None
    for entry in entries:
        try:
            valid.append(decoder.decode(entry))
        except msgspec.MsgspecError as caught:
            error = caught
    if error is not None:
        logger.warning(
            "stored hints left out",
            file=path.name,
            count=len(entries) - len(valid),
            last_error=str(error),
        )
    return valid
