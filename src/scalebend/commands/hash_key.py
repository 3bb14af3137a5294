"""``scalebend hash-key``: prints the hash of a key."""

from __future__ import annotations

import sys

from scalebend.utils import keys


def run(*, key: str) -> int:
    """Print the hash of ``key``, or of the first line of standard input."""
    if key == "-":
        key = sys.stdin.readline().strip()
    if not key:
        print("expected a key", file=sys.stderr)
        return 2
    print(keys.hash_key(key))
    return 0
