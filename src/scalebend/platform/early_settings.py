"""Reads the settings that are needed before a process loads its libraries."""

from __future__ import annotations

import json
from pathlib import Path

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


def read_founders(path: str) -> tuple[Path, list[str]] | None:
    """Return the data folder and the founders' link addresses on the first start.

    ``None`` on later starts, without a data folder, or if the file is invalid.
    """
    try:
        with open(path, "rb") as file:
            settings = json.load(file)
        if settings["Bootstrap"] is not True or "control" not in settings["Serves"]:
            return None
        port = int(settings["PortRange"][0])
        founders = [f"{seed.rpartition(':')[0]}:{port}" for seed in settings["Seeds"]]
        return Path(settings["DataDir"]), founders
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None
