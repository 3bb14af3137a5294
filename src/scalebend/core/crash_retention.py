"""How long, and of how many requests or parts, crashes and successes are remembered.

The ledgers of requests and of parts of prompts grow with what callers send, so both
are bounded in the same way.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Generic, Protocol, TypeVar

Key = TypeVar("Key")

RECORD_RETENTION_S = 1800.0
"""How long a record is kept after its last crash or the end of its quarantine."""

MAX_RECORDS = 4096
"""Maximum number of records in a ledger, of some 400 bytes for a request and up to 2 KB
for a part, so that callers cannot exhaust the memory of a process. Records of a single
crash are evicted first, so that they do not displace the cause."""

SUCCESS_RETENTION_S = 60.0
MAX_SUCCESSES = 4096
"""How long a response speaks for its request or part, and how many such are kept. What
is sent all the time recurs within seconds."""


class CrashHistory(Protocol):
    """What a ledger keeps of the crashes under one key; times in seconds."""

    updated_at: float
    quarantined_until: float


def list_expired(records: Mapping[Key, CrashHistory], now: float) -> list[Key]:
    """List the keys of records without recent crashes."""
    return [
        key
        for key, record in records.items()
        if now - max(record.updated_at, record.quarantined_until) >= RECORD_RETENTION_S
    ]


class RecentSuccesses(Generic[Key]):
    """The requests or parts with the latest responses."""

    def __init__(self) -> None:
        self._succeeded_at: dict[Key, float] = {}

    def __len__(self) -> int:
        return len(self._succeeded_at)

    def record(self, key: Key, now: float) -> None:
        """Record a response."""
        self._succeeded_at.pop(key, None)
        self._succeeded_at[key] = now
        if len(self._succeeded_at) > MAX_SUCCESSES:
            del self._succeeded_at[next(iter(self._succeeded_at))]

    def has_recent(self, key: Key, now: float) -> bool:
        """Whether there was a response within the retention time."""
        succeeded_at = self._succeeded_at.get(key, -math.inf)
        return now - succeeded_at < SUCCESS_RETENTION_S
