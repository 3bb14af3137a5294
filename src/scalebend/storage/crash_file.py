"""Requests under which upstreams ended, so that they are known after a restart.

Where all processes start again at once, nobody else remembers them: each would end
three more upstreams before it is held back again.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from scalebend.models.crashes import CrashRecord
from scalebend.storage.hint_file import read_hints, write_hints

_NAME = "crashes"
_DECODER = msgspec.msgpack.Decoder(CrashRecord)


def write_crashes(folder: Path, records: list[CrashRecord]) -> None:
    """Store what is known; fronts and other control instances know it, too."""
    write_hints(folder / _NAME, records)


def read_crashes(folder: Path) -> list[CrashRecord]:
    """What was stored last; nothing if it is not there whole."""
    return read_hints(folder / _NAME, _DECODER)
