"""Retry budget, retry delay, and ejection of failing replicas."""

from __future__ import annotations

import random

import msgspec

from scalebend.models.ids import UpstreamId

RETRIES_PER_ATTEMPT = 0.2
"""Retries that each first attempt adds to the budget."""

MAX_BUDGET_RETRIES = 50.0
"""Maximum budget, in retries."""

INITIAL_BUDGET_RETRIES = 10.0
"""Budget of an instance at its start."""

FIRST_DELAY_S = 0.05
"""Maximum delay before the first retry; doubles with each retry."""

MAX_DELAY_S = 2.0

FAILURES_TO_EJECT = 3
"""Consecutive failures after which a replica is ejected."""

FIRST_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
"""Length of an ejection, doubling from the first to the longest."""


class RetryBudget:
    """Token bucket that bounds retries to a share of first attempts."""

    def __init__(self) -> None:
        self._tokens = INITIAL_BUDGET_RETRIES

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(MAX_BUDGET_RETRIES, self._tokens + RETRIES_PER_ATTEMPT)

    def spend(self) -> bool:
        """Take one retry; return ``False`` if the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_delay(retry: int, chooser: random.Random) -> float:
    """Return the seconds before retry number ``retry``, from 1, with full jitter."""
    ceiling = min(MAX_DELAY_S, FIRST_DELAY_S * 2 ** max(0, retry - 1))
    return chooser.uniform(0.0, ceiling)


class _Health(msgspec.Struct):
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    is_probing: bool = False


class OutlierDetector:
    """Ejects a replica after consecutive failures and probes it later.

    After the ejection, one request at a time probes the replica; a success clears its
    record, a failure ejects it for twice as long.
    """

    def __init__(self) -> None:
        self._health: dict[UpstreamId, _Health] = {}

    def has_any(self) -> bool:
        """Whether any replica has a record of failures."""
        return bool(self._health)

    def record_success(self, upstream: UpstreamId) -> None:
        """Clear the record of a replica after a successful attempt."""
        self._health.pop(upstream, None)

    def record_failure(self, upstream: UpstreamId, now: float) -> bool:
        """Count a failure of the replica; return whether it is ejected now."""
        health = self._health.setdefault(upstream, _Health())
        health.failures += 1
        if health.failures < FAILURES_TO_EJECT and not health.is_probing:
            return False
        duration = min(MAX_EJECTION_S, FIRST_EJECTION_S * 2**health.ejections)
        health.ejections += 1
        health.ejected_until = now + duration
        health.is_probing = False
        health.failures = 0
        return True

    def is_usable(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the replica may be chosen now."""
        health = self._health.get(upstream)
        if health is None or not health.ejections:
            return True
        return now >= health.ejected_until and not health.is_probing

    def record_chosen(self, upstream: UpstreamId, now: float) -> None:
        """Record a request that goes to the replica: the probe after an ejection."""
        health = self._health.get(upstream)
        if health is not None and health.ejections and now >= health.ejected_until:
            health.is_probing = True

    def release_probe(self, upstream: UpstreamId) -> None:
        """Allow another probe after one that neither succeeded nor failed."""
        health = self._health.get(upstream)
        if health is not None:
            health.is_probing = False

    def forget(self, upstream: UpstreamId) -> None:
        """Delete the record of a replica that is gone."""
        self._health.pop(upstream, None)
