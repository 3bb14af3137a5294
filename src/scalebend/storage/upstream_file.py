"""Stores the upstreams that a control instance knows, for its next start.

Upstreams register again within two heartbeats of a restart. Without this file, all
pending requests would meanwhile go to the few that registered first.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from scalebend.models.endpoints import EndpointUpdate
from scalebend.storage.hint_file import read_hints, write_hints

_NAME = "upstreams"
_DECODER = msgspec.msgpack.Decoder(EndpointUpdate)


def write_upstreams(folder: Path, updates: list[EndpointUpdate]) -> bool:
    """Replace the stored upstreams; return whether that succeeded."""
    return write_hints(folder / _NAME, updates)


def read_upstreams(folder: Path) -> list[EndpointUpdate]:
    """Read the stored upstreams; empty if the file is missing or damaged."""
    return read_hints(folder / _NAME, _DECODER)
