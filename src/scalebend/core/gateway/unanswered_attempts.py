"""Attempts without a response, kept until it is known whether their replica crashed.

A process that exits closes its connections; a host that loses power does not. The
attempt then times out like one at a busy replica or over a broken link. Only seconds
later does the replica miss its heartbeats, or another one register with its address:
its unanswered requests are then suspects for the crash.
"""

from __future__ import annotations

import msgspec

from scalebend.core.part_ledger import SentParts
from scalebend.models.ids import Fingerprint, UpstreamId

RETENTION_S = 15.0
"""Time for which an attempt is kept: until a replica has missed eight heartbeats, or a
restarted host has registered with the same address."""

MAX_PER_REPLICA = 64
"""Attempts kept for one replica: several times its concurrent requests."""


class UnansweredAttempt(msgspec.Struct, frozen=True):
    """An attempt without a response, at ``at``."""

    fingerprint: Fingerprint
    parts: SentParts
    at: float


class UnansweredAttempts:
    """Recent attempts without a response, by replica."""

    def __init__(self) -> None:
        self._attempts: dict[UpstreamId, list[UnansweredAttempt]] = {}

    def add(
        self,
        upstream: UpstreamId,
        fingerprint: Fingerprint,
        parts: SentParts,
        now: float,
    ) -> None:
        """Store an attempt that ended without any response."""
        attempts = self._attempts.setdefault(upstream, [])
        attempts.append(UnansweredAttempt(fingerprint, parts, now))
        del attempts[:-MAX_PER_REPLICA]

    def list_upstreams(self) -> list[UpstreamId]:
        """Replicas with attempts that got no response."""
        return list(self._attempts)

    def pop(self, upstream: UpstreamId) -> list[UnansweredAttempt]:
        """Remove and return the unanswered attempts at a replica that crashed."""
        return self._attempts.pop(upstream, [])

    def record_alive(self, upstream: UpstreamId) -> None:
        """Forget the attempts at a replica that has responded since."""
        self._attempts.pop(upstream, None)

    def expire(self, now: float) -> None:
        """Forget attempts at replicas that did not crash soon after."""
        for upstream, attempts in list(self._attempts.items()):
            kept = [one for one in attempts if now - one.at < RETENTION_S]
            if kept:
                self._attempts[upstream] = kept
            else:
                del self._attempts[upstream]
