"""Whole-file writes that survive a crash."""

from __future__ import annotations

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Make new and renamed names in ``folder`` durable."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Write ``data`` to ``path`` so that it holds the old or the new, whole."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)
