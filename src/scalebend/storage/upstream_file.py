"""The upstreams that a control instance knew, so that it knows them after a restart.

They register again within two heartbeats. Until then, all callers that waited for the
restart would meet on the few that were first: with this file all are there at once.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from scalebend.models.endpoints import EndpointNews
from scalebend.storage.hint_file import read_hints, write_hints

_NAME = "upstreams"
_DECODER = msgspec.msgpack.Decoder(EndpointNews)


def write_upstreams(folder: Path, news: list[EndpointNews]) -> None:
    """Store what is known; upstreams register again in any case."""
    write_hints(folder / _NAME, news)


def read_upstreams(folder: Path) -> list[EndpointNews]:
    """What was stored last; nothing if it is not there whole."""
    return read_hints(folder / _NAME, _DECODER)
