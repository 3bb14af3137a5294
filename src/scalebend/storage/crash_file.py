"""Stores crash records, so that what crashes upstreams is known after a restart.

If all processes restart at once, no peer can supply the records, and each quarantined
request could crash further upstreams.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from scalebend.models.crashes import CrashRecord, PartRecord
from scalebend.storage.hint_file import read_hints, write_hints

_NAME = "crashes"
_DECODER = msgspec.msgpack.Decoder(CrashRecord)
_PARTS_NAME = "crash-parts"
_PARTS_DECODER = msgspec.msgpack.Decoder(PartRecord)


def write_crashes(folder: Path, records: list[CrashRecord]) -> bool:
    """Replace the stored records; return whether that succeeded."""
    return write_hints(folder / _NAME, records)


def read_crashes(folder: Path) -> list[CrashRecord]:
    """Read the stored records; empty if the file is missing or damaged."""
    return read_hints(folder / _NAME, _DECODER)


def write_part_crashes(folder: Path, records: list[PartRecord]) -> bool:
    """Replace the stored records of parts; return whether that succeeded."""
    return write_hints(folder / _PARTS_NAME, records)


def read_part_crashes(folder: Path) -> list[PartRecord]:
    """Read the stored records of parts; empty if the file is missing or damaged."""
    return read_hints(folder / _PARTS_NAME, _PARTS_DECODER)
