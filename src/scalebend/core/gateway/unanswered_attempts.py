"""Attempts that got no answer, until it is known whether their replica has ended.

A process that ends closes its connections; a machine that loses power says nothing. The
attempt falls silent or runs into its deadline, like one at a busy replica or over a
lost link. Seconds later the replica is missed, or another one has its address: then it
ended under what it was sent.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import Fingerprint, UpstreamId

LIFE = 15.0
"""Seconds for which an attempt is remembered: a replica counts as gone when it missed
eight heartbeats, and a machine that starts again has its address back after some."""

MOST_NAMED = 64
"""Requests remembered for one replica: several times what one runs at once."""


class _Attempt(msgspec.Struct, frozen=True):
    fingerprint: Fingerprint
    at: float


class UnansweredAttempts:
    """Recent attempts without an answer, by replica."""

    def __init__(self) -> None:
        self._attempts: dict[UpstreamId, list[_Attempt]] = {}

    def add(self, upstream: UpstreamId, fingerprint: Fingerprint, now: float) -> None:
        """An attempt ended without a word of its replica."""
        attempts = self._attempts.setdefault(upstream, [])
        attempts.append(_Attempt(fingerprint, now))
        del attempts[:-MOST_NAMED]

    def list_upstreams(self) -> list[UpstreamId]:
        """Replicas that owe an answer."""
        return list(self._attempts)

    def take(self, upstream: UpstreamId) -> list[Fingerprint]:
        """Requests that a replica was sent shortly before it ended."""
        return [one.fingerprint for one in self._attempts.pop(upstream, ())]

    def expire(self, now: float) -> None:
        """Forget attempts at replicas that did not end soon after."""
        for upstream, attempts in list(self._attempts.items()):
            kept = [one for one in attempts if now - one.at < LIFE]
            if kept:
                self._attempts[upstream] = kept
            else:
                del self._attempts[upstream]
