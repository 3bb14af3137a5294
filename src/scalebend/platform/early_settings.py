"""Reads the one setting that is needed before a process loads its libraries."""

from __future__ import annotations

import json

SETTINGS_VARIABLE = "SCALEBEND_CONFIG"
"""Environment variable that holds the path of the settings file."""


def read_callers_address(path: str) -> str | None:
    """Return where callers connect, ``IP:port``; ``None`` if missing or invalid.

    Errors in the file are reported when all of it is read, later in the start.
    """
    try:
        with open(path, "rb") as file:
            address = json.load(file)["Listen"]["Front"]
    except (OSError, ValueError, LookupError, TypeError):
        return None
    return address if isinstance(address, str) else None
