"""Hash and compare secret keys without keeping or leaking them."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

HASH_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Return the stored form of ``key``; keys are random, so no salt is needed."""
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def is_known_key(key: str, hashes: Iterable[str]) -> bool:
    """Compare ``key`` with every hash in constant time per hash."""
    digest = hash_key(key)
    found = False
    for known in hashes:
        found |= hmac.compare_digest(digest, known)
    return found
