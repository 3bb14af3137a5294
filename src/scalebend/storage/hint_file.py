"""Files of hints: lists that a process keeps over a restart, but may lose.

A missing file is ignored; read and write errors and damaged content are only logged.
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

_CHECKSUM_BYTES = 4
_ENCODER = msgspec.msgpack.Encoder()
_LIST_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])


def write_hints(path: Path, entries: Sequence[object]) -> bool:
    """Replace the stored list by ``entries``; return whether it is stored.

    An I/O error is logged.
    """
    data = _ENCODER.encode(entries)
    checksum = zlib.crc32(data).to_bytes(_CHECKSUM_BYTES, "big")
    try:
        replace_file(path, checksum + data)
    except OSError as error:
        logger.warning("hints not written", file=path.name, error=str(error))
        return False
    return True


def read_hints(path: Path, decoder: msgspec.msgpack.Decoder[Entry]) -> list[Entry]:
    """Read the stored list; empty if the file is missing or damaged."""
    try:
        stored = path.read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        logger.warning("hints not read", file=path.name, error=str(error))
        return []
    data = stored[_CHECKSUM_BYTES:]
    if stored[:_CHECKSUM_BYTES] != zlib.crc32(data).to_bytes(_CHECKSUM_BYTES, "big"):
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
    """Decode the valid entries, in their order, and log how many are invalid."""
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
