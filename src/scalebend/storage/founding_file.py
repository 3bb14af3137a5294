"""Stores the intention to form the control group, for a restart before that.

Imports little: it is written before the process loads its libraries.
"""

from __future__ import annotations

import json
from pathlib import Path

from scalebend.models.founding import StoredFounding
from scalebend.storage.files import replace_file

_NAME = "founding"


def store_founding(folder: Path, founding: StoredFounding) -> None:
    """Store the intention durably unless one is there; raise :class:`OSError`."""
    path = folder / _NAME
    if path.exists():
        return
    folder.mkdir(parents=True, exist_ok=True)
    replace_file(path, json.dumps(founding._asdict()).encode())


def read_founding(folder: Path) -> StoredFounding | None:
    """Read the intention; ``None`` if there is none, or it is damaged."""
    try:
        read = json.loads((folder / _NAME).read_bytes())
        founders, stored_at = list(read["founders"]), float(read["stored_at"])
    except (FileNotFoundError, ValueError, LookupError, TypeError):
        return None
    return StoredFounding(founders, stored_at)
