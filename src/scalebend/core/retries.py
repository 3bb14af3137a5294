"""Retry budget, delay between tries, and replicas set aside for failing."""

from __future__ import annotations

import random

import msgspec

from scalebend.models.ids import UpstreamId

BUDGET_RATIO = 0.2
"""Retries earned by each first attempt."""

BUDGET_MOST = 50.0
"""Retries that may be saved up."""

BUDGET_START = 10.0
"""Retries an instance may spend before it served anything."""

FIRST_DELAY = 0.05
"""Seconds before the second try, before jitter; doubles with each try."""

LONGEST_DELAY = 2.0
FAILURES_TO_SET_ASIDE = 3
FIRST_SET_ASIDE = 2.0
LONGEST_SET_ASIDE = 60.0


class RetryBudget:
    """Bounds retries to a share of first attempts, so that they cannot pile up."""

    def __init__(self) -> None:
        self._tokens = BUDGET_START

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(BUDGET_MOST, self._tokens + BUDGET_RATIO)

    def spend(self) -> bool:
        """Take one retry; ``False`` when the budget is used up."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def compute_delay(tries: int, chooser: random.Random) -> float:
    """Return seconds before try ``tries`` (the second is 1), with full jitter."""
    ceiling = min(LONGEST_DELAY, FIRST_DELAY * 2 ** max(0, tries - 1))
    return chooser.uniform(0.0, ceiling)


class _Health(msgspec.Struct):
    failures: int = 0
    set_aside: int = 0
    until: float = 0.0
    is_probing: bool = False


class OutlierDetector:
    """Sets a replica aside after failures in a row and tries it again later.

    After the time is over, one request at a time probes it; a success clears it,
    a failure sets it aside for twice as long.
    """

    def __init__(self) -> None:
        self._health: dict[UpstreamId, _Health] = {}

    def has_any(self) -> bool:
        """Whether any replica failed lately."""
        return bool(self._health)

    def record_success(self, upstream: UpstreamId) -> None:
        """An attempt on the replica went well."""
        self._health.pop(upstream, None)

    def record_failure(self, upstream: UpstreamId, now: float) -> bool:
        """An attempt failed through the replica's fault; return if now set aside."""
        health = self._health.setdefault(upstream, _Health())
        health.failures += 1
        if health.failures < FAILURES_TO_SET_ASIDE and not health.is_probing:
            return False
        duration = min(LONGEST_SET_ASIDE, FIRST_SET_ASIDE * 2**health.set_aside)
        health.set_aside += 1
        health.until = now + duration
        health.is_probing = False
        health.failures = 0
        return True

    def is_usable(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the replica may be chosen now."""
        health = self._health.get(upstream)
        if health is None or not health.set_aside:
            return True
        return now >= health.until and not health.is_probing

    def note_chosen(self, upstream: UpstreamId, now: float) -> None:
        """A request was routed there; of a replica set aside, it is the probe."""
        health = self._health.get(upstream)
        if health is not None and health.set_aside and now >= health.until:
            health.is_probing = True

    def release_probe(self, upstream: UpstreamId) -> None:
        """The probe ended without a verdict on the replica."""
        health = self._health.get(upstream)
        if health is not None:
            health.is_probing = False

    def forget(self, upstream: UpstreamId) -> None:
        """The replica is gone."""
        self._health.pop(upstream, None)
