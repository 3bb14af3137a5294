"""Usage of the fleet by customer, as an exponentially decaying sum.

All instances use the same half-life, so that their sums can be added. Old usage
expires, and a customer that was idle is served at once. See
docs/design/fair-shares.md for the alternatives.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import CustomerId

HALF_LIFE_S = 20.0
"""Time after which usage counts half."""

MIN_USAGE_S = 1e-3
"""Usage in engine-seconds below which an entry has expired."""


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Decayed usage of one customer when it was read, in engine-seconds."""

    customer: CustomerId
    seconds: float


def decay(seconds: float, elapsed: float) -> float:
    """Return ``seconds`` of usage decayed by ``elapsed`` seconds."""
    if elapsed <= 0.0:
        return seconds
    return float(seconds * 0.5 ** (elapsed / HALF_LIFE_S))


class _Counter(msgspec.Struct):
    seconds: float
    updated_at: float


class ShareLedger:
    """Decaying usage at this instance and, as reported, at all others.

    ``weights`` maps customers to their relative shares, 1 by default.
    """

    def __init__(self, weights: dict[CustomerId, float] | None = None) -> None:
        self._weights = weights or {}
        self._local: dict[CustomerId, _Counter] = {}
        self._remote: dict[CustomerId, _Counter] = {}

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Replace the customers' weights."""
        self._weights = weights

    def charge(self, customer: CustomerId, seconds: float, now: float) -> None:
        """Add ``seconds`` of engine time to the customer's local usage."""
        self._add(self._local, customer, seconds, now)

    def set_remote(self, usages: list[Usage], now: float) -> None:
        """Replace the usage at other instances, as reported by a home instance."""
        for usage in usages:
            self._remote[usage.customer] = _Counter(usage.seconds, now)

    def read_local(self, now: float) -> list[Usage]:
        """Return the local usage of all customers; drops expired entries."""
        result = []
        for customer, counter in list(self._local.items()):
            seconds = decay(counter.seconds, now - counter.updated_at)
            if seconds < MIN_USAGE_S:
                del self._local[customer]
                continue
            result.append(Usage(customer, seconds))
        return result

    def compute_normalized(self, customer: CustomerId, now: float) -> float:
        """Return fleet-wide usage divided by weight; the lowest is served next."""
        total = 0.0
        for table in (self._local, self._remote):
            counter = table.get(customer)
            if counter is not None:
                total += decay(counter.seconds, now - counter.updated_at)
        return total / self._weights.get(customer, 1.0)

    @staticmethod
    def _add(
        table: dict[CustomerId, _Counter],
        customer: CustomerId,
        seconds: float,
        now: float,
    ) -> None:
        counter = table.get(customer)
        if counter is None:
            table[customer] = _Counter(max(0.0, seconds), now)
            return
        remaining = decay(counter.seconds, now - counter.updated_at)
        counter.seconds = max(0.0, remaining + seconds)
        counter.updated_at = max(now, counter.updated_at)


class UsageHome:
    """Usage totals of the customers whose home is this instance.

    Each instance reports its decayed local usage; the home replies with the sum of
    all *other* instances' usage, for the customers of the report.
    """

    def __init__(self) -> None:
        self._reports: dict[CustomerId, dict[str, _Counter]] = {}

    def report(self, instance: str, usages: list[Usage], now: float) -> list[Usage]:
        """Store the usage at one instance; return the usage at all others."""
        others_usage = []
        for usage in usages:
            reports = self._reports.setdefault(usage.customer, {})
            reports[instance] = _Counter(usage.seconds, now)
            others = sum(
                decay(counter.seconds, now - counter.updated_at)
                for name, counter in reports.items()
                if name != instance
            )
            others_usage.append(Usage(usage.customer, others))
        return others_usage

    def drop_expired(self, now: float) -> None:
        """Drop expired reports."""
        for customer, reports in list(self._reports.items()):
            for name, counter in list(reports.items()):
                if decay(counter.seconds, now - counter.updated_at) < MIN_USAGE_S:
                    del reports[name]
            if not reports:
                del self._reports[customer]
