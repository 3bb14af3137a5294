"""Hash secret keys and compare them in constant time."""

from __future__ import annotations

import hashlib
import hmac
from collections.abc import Iterable

HASH_PREFIX = "sha256:"


def hash_key(key: str) -> str:
    """Hash ``key`` for storage; keys are random, so no salt is needed."""
    return HASH_PREFIX + hashlib.sha256(key.encode()).hexdigest()


def is_known_key(key: str, hashes: Iterable[str]) -> bool:
    """Whether the hash of ``key`` is listed; takes constant time per hash."""
    digest = hash_key(key)
    found = False
    for known in hashes:
        found |= hmac.compare_digest(digest, known)
    return found
