"""Backoffs that upstreams requested from this process with ``Retry-After``.

A backoff applies to the sender of the rejected request only: other processes go on as
before, and the leader that places work for this one receives it with each request. It
belongs to one incarnation of an upstream, and ends by time only: a later, shorter one
does not replace an earlier one.

A new incarnation at the same address may reject requests before its registration
arrives here. Until then it passes for the one before, so that what was requested just
before the registration applies to both.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import structlog

from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)

MAX_BACKOFF_S = 3600.0
"""Maximum backoff that is respected: an erroneous value must not exclude an upstream
for good."""

REGISTRATION_DELAY_S = 1.0
"""Seconds before the registration of a new incarnation in which a rejection may be its
own. In most cases a restart takes longer, so that none is of the one before."""


class _Backoff(msgspec.Struct):
    """Backoff of one incarnation; all times are those of the event loop."""

    until: float
    requested_at: float
    requested_until: float
    """End of what was requested last, without gaps of :data:`REGISTRATION_DELAY_S`."""


class UpstreamBackoffs:
    """Times until which upstreams must not be sent requests."""

    def __init__(self) -> None:
        self._backoffs: dict[UpstreamId, _Backoff] = {}

    @property
    def has_any(self) -> bool:
        """Whether any upstream may be in backoff."""
        return bool(self._backoffs)

    def record(self, upstream: UpstreamId, seconds: float, now: float) -> None:
        """Put an upstream in backoff for ``seconds`` from now on."""
        until = now + min(seconds, MAX_BACKOFF_S)
        known = self._backoffs.get(upstream)
        if known is None:
            self._backoffs[upstream] = _Backoff(until, now, until)
            return
        if now - known.requested_at >= REGISTRATION_DELAY_S:
            known.requested_until = until
        known.requested_at = now
        known.requested_until = max(until, known.requested_until)
        known.until = max(until, known.until)

    def apply_to_successor(
        self, ended: UpstreamId, successor: UpstreamId, now: float
    ) -> None:
        """Apply what was just requested to the new incarnation at the address."""
        known = self._backoffs.get(ended)
        if known is None or now - known.requested_at >= REGISTRATION_DELAY_S:
            return
        seconds = known.requested_until - now
        if seconds <= 0.0:
            return
        self.record(successor, seconds, now)
        logger.info(
            "backoff applies to new incarnation",
            ended=ended,
            upstream=successor,
            seconds=round(seconds, 3),
            age=round(now - known.requested_at, 3),
        )

    def compute_wait(self, upstream: UpstreamId, now: float) -> float:
        """Seconds until the backoff of an upstream ends; 0 if it is in none."""
        known = self._backoffs.get(upstream)
        return max(0.0, known.until - now) if known is not None else 0.0

    def may_send(self, upstream: UpstreamId, now: float) -> bool:
        """Whether an upstream may be sent a request now."""
        return self.compute_wait(upstream, now) <= 0.0

    def list_in_backoff(self, now: float) -> list[UpstreamId]:
        """Upstreams that are in backoff."""
        return [one for one in self._backoffs if not self.may_send(one, now)]

    def compute_shortest_wait(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> float:
        """Seconds until the first of ``upstreams`` may be sent a request."""
        return min((self.compute_wait(one, now) for one in upstreams), default=0.0)

    def expire(self, now: float) -> None:
        """Forget backoffs that are over."""
        self._backoffs = {
            one: known for one, known in self._backoffs.items() if known.until > now
        }
