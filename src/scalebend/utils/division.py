"""Integer division that rounds up."""

from __future__ import annotations


def divide_up(amount: int, parts: int) -> int:
    """Divide ``amount`` by ``parts``, rounded up."""
    return -(-amount // parts)
