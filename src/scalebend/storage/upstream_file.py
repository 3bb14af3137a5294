"""The upstreams that a control instance knew, so that it knows them after a restart.

They register again within two heartbeats. Until then, all callers that waited for the
restart would meet on the few that were first: with this file all are there at once. It
is a hint, not state that must last: one that is missing, torn or damaged is no fault.
"""

from __future__ import annotations

import zlib
from pathlib import Path

import msgspec
import structlog

from scalebend.models.endpoints import EndpointNews
from scalebend.storage.files import replace_file

logger = structlog.get_logger(__name__)

_NAME = "upstreams"
_CHECKSUM_SIZE = 4
_ENCODER = msgspec.msgpack.Encoder()
_LIST_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
_DECODER = msgspec.msgpack.Decoder(EndpointNews)


def write_upstreams(folder: Path, news: list[EndpointNews]) -> None:
    """Store what is known; a disk that refuses it is logged and otherwise ignored."""
    data = _ENCODER.encode(news)
    checksum = zlib.crc32(data).to_bytes(_CHECKSUM_SIZE, "big")
    try:
        replace_file(folder / _NAME, checksum + data)
    except OSError as error:
        # They register again in any case.
        logger.warning("upstreams not written", error=str(error))


def read_upstreams(folder: Path) -> list[EndpointNews]:
    """What was stored last; nothing if it is not there whole."""
    try:
        stored = (folder / _NAME).read_bytes()
    except FileNotFoundError:
        return []
    except OSError as error:
        logger.warning("upstreams not read", error=str(error))
        return []
    data = stored[_CHECKSUM_SIZE:]
    if stored[:_CHECKSUM_SIZE] != zlib.crc32(data).to_bytes(_CHECKSUM_SIZE, "big"):
        logger.warning("upstreams not read", error="damaged")
        return []
    try:
        entries = _LIST_DECODER.decode(data)
    except msgspec.MsgspecError as error:
        logger.warning("upstreams not read", error=str(error))
        return []
    return _decode_valid(entries)


def _decode_valid(entries: list[msgspec.Raw]) -> list[EndpointNews]:
    """The entries that another program did not spoil, in their order."""
    news = []
    error: msgspec.MsgspecError | None = None
    for entry in entries:
        try:
            news.append(_DECODER.decode(entry))
        except msgspec.MsgspecError as caught:
            error = caught
    if error is not None:
        logger.warning(
            "stored upstreams left out",
            count=len(entries) - len(news),
            last_error=str(error),
        )
    return news
