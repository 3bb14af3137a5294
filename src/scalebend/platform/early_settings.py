"""The one setting that is needed before a process has loaded anything else."""

from __future__ import annotations

import json

SETTINGS_VARIABLE = "SCALEBEND_CONFIG"
"""Environment variable that holds the path of the settings file."""


def read_callers_address(path: str) -> str | None:
    """Where callers connect, ``IP:port``; ``None`` if the file does not tell.

    A file with a fault is reported by whoever reads all of it, a moment later.
    """
    try:
        with open(path, "rb") as file:
            address = json.load(file)["Listen"]["Front"]
    except (OSError, ValueError, LookupError, TypeError):
        return None
    return address if isinstance(address, str) else None
