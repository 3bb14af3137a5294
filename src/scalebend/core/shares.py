"""Use of the fleet by customer, as an exponentially decayed sum.

Usage decays with a fixed half-life, so that sums from several instances can be
added, an idle customer comes back at once, and nothing is remembered for ever. See
docs/design/fair-shares.md for the ways weighed.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import CustomerId

HALF_LIFE = 20.0
"""Seconds after which past use counts half."""

FORGET_BELOW = 1e-3
"""Decayed engine-seconds under which a customer's entry is dropped."""


class Usage(msgspec.Struct, frozen=True, array_like=True):
    """Decayed use of one customer at the time it was read, in engine-seconds."""

    customer: CustomerId
    seconds: float


def decay(seconds: float, elapsed: float) -> float:
    """Return what is left of ``seconds`` of use after ``elapsed`` seconds."""
    if elapsed <= 0.0:
        return seconds
    return float(seconds * 0.5 ** (elapsed / HALF_LIFE))


class _Counter(msgspec.Struct):
    seconds: float
    at: float


class ShareLedger:
    """Decayed local use, plus what other instances reported.

    ``weights`` maps customers to their share; an unknown one weighs 1.
    """

    def __init__(self, weights: dict[CustomerId, float] | None = None) -> None:
        self._weights = weights or {}
        self._local: dict[CustomerId, _Counter] = {}
        self._remote: dict[CustomerId, _Counter] = {}

    def set_weights(self, weights: dict[CustomerId, float]) -> None:
        """Replace the customers' weights."""
        self._weights = weights

    def charge(self, customer: CustomerId, seconds: float, now: float) -> None:
        """Add ``seconds`` of engine time to the customer's local use."""
        self._add(self._local, customer, seconds, now)

    def set_remote(self, usages: list[Usage], now: float) -> None:
        """Replace what other instances used, as just reported by a home instance."""
        for usage in usages:
            self._remote[usage.customer] = _Counter(usage.seconds, now)

    def read_local(self, now: float) -> list[Usage]:
        """Return local use of all active customers and drop faded ones."""
        result = []
        for customer, counter in list(self._local.items()):
            seconds = decay(counter.seconds, now - counter.at)
            if seconds < FORGET_BELOW:
                del self._local[customer]
                continue
            result.append(Usage(customer, seconds))
        return result

    def compute_normalized(self, customer: CustomerId, now: float) -> float:
        """Return fleet-wide use divided by weight: the lowest is served next."""
        total = 0.0
        for table in (self._local, self._remote):
            counter = table.get(customer)
            if counter is not None:
                total += decay(counter.seconds, now - counter.at)
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
        left = decay(counter.seconds, now - counter.at)
        counter.seconds = max(0.0, left + seconds)
        counter.at = max(now, counter.at)


class UsageHome:
    """Totals of the customers whose home this instance is.

    Each instance reports its decayed local use; the home answers an instance with
    the sum of all *other* instances' use, for the customers it asked about.
    """

    def __init__(self) -> None:
        self._reports: dict[CustomerId, dict[str, _Counter]] = {}

    def report(self, instance: str, usages: list[Usage], now: float) -> list[Usage]:
        """Take one instance's use; return what the others used."""
        answer = []
        for usage in usages:
            reports = self._reports.setdefault(usage.customer, {})
            reports[instance] = _Counter(usage.seconds, now)
            others = sum(
                decay(counter.seconds, now - counter.at)
                for name, counter in reports.items()
                if name != instance
            )
            answer.append(Usage(usage.customer, others))
        return answer

    def forget_faded(self, now: float) -> None:
        """Drop reports that no longer count."""
        for customer, reports in list(self._reports.items()):
            for name, counter in list(reports.items()):
                if decay(counter.seconds, now - counter.at) < FORGET_BELOW:
                    del reports[name]
            if not reports:
                del self._reports[customer]
