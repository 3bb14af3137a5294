"""Send permits of one process for rate-limited upstreams.

A limit is on the sum over all fronts, so the leader grants the permits and fronts
request them there. The leader reserves the shares of fronts that it has lost, since
these may send uncoordinated: each of them has an equal share, and their permits follow
one after the other from the last contact with the leader. A front reports its
uncoordinated sends, and the leader subtracts them from its next grants. So the sum
exceeds the limit by no more than the shares of fronts whose loss the leader has not
noticed yet.

Sends are spaced by the generic cell rate algorithm (a leaky bucket as a meter), which
keeps one time per upstream instead of a list of sends.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable

import msgspec

from scalebend.core.rate_limits import RateLimits
from scalebend.models.ids import UpstreamId

BURST_S = 0.25
"""Burst after an idle time: the requests allowed in this time, but at least one. Since
requests arrive at random, evenly spaced permits would often go unused."""

PERMIT_LIFETIME_S = 1.0
"""Minimum time for which an uncoordinated send permit is valid; at low rates it is the
interval of the limit. Permits that never expired could be used by many fronts at once.
"""

MIN_RATE_PER_S = 1.0 / 30.0
"""Minimum rate, even for an upstream that takes less or nothing: only a response shows
that its limit has ended."""


class LeaderShare(msgspec.Struct, frozen=True):
    """The share of each limit that a leader grants, above 0 and at most 1."""

    share: float


class UncoordinatedShare(msgspec.Struct, frozen=True):
    """The share of each limit that a front uses without a leader.

    The ``fronts`` get a permit each in the order of their ``number``, from 0, and start
    over after the last, from the time ``since`` on: together they send at the limit.
    The first front differs by upstream, so that none waits for all upstreams at once.
    """

    fronts: int
    number: int
    since: float


Share = LeaderShare | UncoordinatedShare


class Spacing(msgspec.Struct):
    """Permits at equal intervals, with a burst after an idle time."""

    interval: float
    burst: float
    due: float
    """When the next permit is due if all are used at equal intervals."""

    def compute_wait(self, now: float) -> float:
        return max(0.0, self.due - self.burst - now)

    def spend(self, at: float) -> None:
        self.due = max(self.due, at) + self.interval

    def refund(self) -> None:
        self.due -= self.interval


class _ExpiringPermits(msgspec.Struct):
    """Periodic permits for one send each, which expire when they are not used."""

    first: float
    """When the first permit becomes valid."""

    period: float
    life: float
    """Seconds for which a permit is valid."""

    next: int = 0
    """Number of the first permit that may still be used."""

    def compute_wait(self, now: float) -> float:
        current = self._count(now)
        valid_from = self.first + current * self.period
        if self.next <= current and now < valid_from + self.life:
            return 0.0
        following = max(self.next, current + 1)
        return self.first + following * self.period - now

    def spend(self, at: float) -> None:
        self.next = max(self.next, self._count(at)) + 1

    def refund(self) -> None:
        self.next -= 1

    def _count(self, now: float) -> int:
        """Number of the permit that became valid last; negative before the first."""
        return math.floor((now - self.first) / self.period)


class _Pacer(msgspec.Struct):
    rate: float
    share: Share
    permits: Spacing | _ExpiringPermits


class SendBudget:
    """Send permits for rate-limited upstreams, within one share of their limits."""

    def __init__(self, limits: RateLimits, share: Share) -> None:
        self._limits = limits
        self._share = share
        self._pacers: dict[UpstreamId, _Pacer] = {}

    def set_share(self, share: Share, now: float) -> None:
        """Change the share of all limits."""
        if share == self._share:
            return
        if isinstance(share, UncoordinatedShare):
            self._pacers.clear()
        self._share = share
        self.refresh(now)

    def restart(self, now: float) -> None:
        """Forget all grants, and begin with every limit used up."""
        self._pacers.clear()
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Adopt new and changed limits, and drop those that ended."""
        for upstream in self._limits.limited:
            self._get(upstream, now)
        for upstream in [u for u in self._pacers if not self._limits.is_limited(u)]:
            del self._pacers[upstream]

    def compute_wait(self, upstream: UpstreamId, now: float) -> float:
        """Seconds until a request may be sent to an upstream."""
        if not self._limits.is_limited(upstream):
            return 0.0
        return self._get(upstream, now).permits.compute_wait(now)

    def spend(self, upstream: UpstreamId, at: float) -> None:
        """Count a request that is sent at ``at``, whether or not a permit is free."""
        if self._limits.is_limited(upstream):
            self._get(upstream, at).permits.spend(at)

    def refund(self, upstream: UpstreamId) -> None:
        """Return the permit of a counted request that is not sent."""
        pacer = self._pacers.get(upstream)
        if pacer is not None:
            pacer.permits.refund()

    def list_limited(self) -> tuple[UpstreamId, ...]:
        """Upstreams with a limit, with or without a free permit."""
        return tuple(self._limits.limited)

    def list_exhausted(self, now: float) -> tuple[UpstreamId, ...]:
        """Upstreams without a free permit."""
        return tuple(
            upstream
            for upstream in self._limits.limited
            if self._get(upstream, now).permits.compute_wait(now) > 0.0
        )

    def grant(
        self, upstreams: Iterable[UpstreamId], max_wait: float, now: float
    ) -> tuple[UpstreamId | None, float]:
        """Take the first permit of any upstream within ``max_wait`` seconds.

        Returns the upstream and the wait, or no upstream and the least wait if that is
        longer.
        """
        soonest, wait = self.find_soonest(upstreams, now)
        if soonest is None or wait > max_wait:
            return None, wait
        self.spend(soonest, now + wait)
        return soonest, wait

    def find_soonest(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> tuple[UpstreamId | None, float]:
        """Return the upstream with the first free permit, and the wait in seconds."""
        soonest: UpstreamId | None = None
        least = math.inf
        for upstream in upstreams:
            wait = self.compute_wait(upstream, now)
            if wait < least:
                soonest, least = upstream, wait
        return soonest, least

    def _get(self, upstream: UpstreamId, now: float) -> _Pacer:
        rate = max(MIN_RATE_PER_S, self._limits.get(upstream).rate)
        pacer = self._pacers.get(upstream)
        if pacer is not None and pacer.rate == rate and pacer.share == self._share:
            return pacer
        permits = _build_permits(upstream, rate, self._share, now)
        if pacer is not None:
            _carry_over(pacer.permits, permits, now)
        pacer = self._pacers[upstream] = _Pacer(rate, self._share, permits)
        return pacer


def _build_permits(
    upstream: UpstreamId, rate: float, share: Share, now: float
) -> Spacing | _ExpiringPermits:
    """Build permits of which none is free at once."""
    match share:
        case LeaderShare(granted):
            interval = 1.0 / (rate * granted)
            burst = max(BURST_S, interval)
            return Spacing(interval, burst, now + burst + interval)
        case UncoordinatedShare(fronts, number, since):
            life = max(PERMIT_LIFETIME_S, 1.0 / rate)
            position = (number + zlib.crc32(upstream.encode())) % fronts
            return _ExpiringPermits(since + (position + 1) / rate, fronts / rate, life)


def _carry_over(
    before: Spacing | _ExpiringPermits, after: Spacing | _ExpiringPermits, now: float
) -> None:
    """Count recent sends in the new permits, at most until these are used up."""
    match before, after:
        case Spacing(), Spacing():
            used = max(0.0, before.due - now) / before.interval
            after.due = min(after.due, now + used * after.interval)
