"""Reading of scenario files for the measuring commands."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TypeVar

from scalebend.exceptions import DocumentError, ErrorKind
from scalebend.utils.documents import decode_document

T = TypeVar("T")


def read_scenario(path: Path, type_: type[T]) -> T | None:
    """Return the scenario in ``path``; if invalid, print an error and return none."""
    try:
        return decode_document(path.read_bytes(), type_, ErrorKind.INVALID_SETTINGS)
    except OSError as error:
        print(f"{path}: {error.strerror}", file=sys.stderr)
    except DocumentError as error:
        print(f"{path}: {error}", file=sys.stderr)
    return None
