"""Integer division that rounds up."""

from __future__ import annotations


def divide_up(amount: int, parts: int) -> int:
    """Return the size of each of ``parts`` parts of ``amount``, rounded up."""
    return -(-amount // parts)
