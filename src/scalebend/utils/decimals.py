"""Parses plain decimal numbers in headers."""

from __future__ import annotations

import re

_DECIMAL = re.compile(r"[0-9]{1,9}(\.[0-9]{1,9})?")


def parse_decimal(text: str | None) -> float | None:
    """Parse an unsigned decimal without exponent; ``None`` for anything else."""
    if text is None or not _DECIMAL.fullmatch(text):
        return None
    return float(text)
