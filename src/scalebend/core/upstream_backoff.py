"""Backoffs that upstreams requested from this process with ``Retry-After``.

A backoff applies to the sender of the rejected request only: other processes go on as
before, and the leader that places work for this one receives it with each request. It
belongs to one incarnation of an upstream, and ends by time only: a later, shorter one
does not replace an earlier one.
"""

from __future__ import annotations

from collections.abc import Iterable

from scalebend.models.ids import UpstreamId

MAX_BACKOFF_S = 3600.0
"""Maximum backoff that is respected: an erroneous value must not exclude an upstream
for good."""


class UpstreamBackoffs:
    """Times until which upstreams must not be sent requests."""

    def __init__(self) -> None:
        self._until: dict[UpstreamId, float] = {}

    @property
    def has_any(self) -> bool:
        """Whether any upstream may be in backoff."""
        return bool(self._until)

    def record(self, upstream: UpstreamId, seconds: float, now: float) -> None:
        """Put an upstream in backoff for ``seconds`` from now on."""
        until = now + min(seconds, MAX_BACKOFF_S)
        self._until[upstream] = max(until, self._until.get(upstream, now))

    def compute_wait(self, upstream: UpstreamId, now: float) -> float:
        """Seconds until the backoff of an upstream ends; 0 if it is in none."""
        return max(0.0, self._until.get(upstream, now) - now)

    def may_send(self, upstream: UpstreamId, now: float) -> bool:
        """Whether an upstream may be sent a request now."""
        return self.compute_wait(upstream, now) <= 0.0

    def list_in_backoff(self, now: float) -> list[UpstreamId]:
        """Upstreams that are in backoff."""
        return [one for one in self._until if not self.may_send(one, now)]

    def compute_shortest_wait(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> float:
        """Seconds until the first of ``upstreams`` may be sent a request."""
        return min((self.compute_wait(one, now) for one in upstreams), default=0.0)

    def expire(self, now: float) -> None:
        """Forget backoffs that are over."""
        self._until = {one: at for one, at in self._until.items() if at > now}
