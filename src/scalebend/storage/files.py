"""Atomic, durable replacement of files."""

from __future__ import annotations

import os
from pathlib import Path


def sync_folder(folder: Path) -> None:
    """Sync the directory entries of ``folder`` to disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def replace_file(path: Path, data: bytes) -> None:
    """Replace the content of ``path`` atomically and sync it to disk."""
    temporary = path.with_name(path.name + ".new")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    sync_folder(path.parent)
