"""How long a front may admit requests by the keys that it knows.

A key is revoked by a newer routing document. A front that is cut off from the control
group does not hear of it; so it admits keyed requests only for a limited time after
the moment at which the control leader, with a quorum behind it, confirmed that the
front's document was the newest. The front measures that time from when it *asked*,
on its own steady clock: neither clock differences nor slow links lengthen it.

Some deployments do not bound revocation for fronts that are cut off. There, a front
that was confirmed once since it started goes on with the document it holds: callers who
reach only it are served by rules that may be a little old, instead of by none. A front
that has just started is never sure of its document: it waits for an answer in both.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import RoutingVersion

LEASE_MARGIN = 0.3
"""Seconds taken off the bound on revocation, for the time from check to send."""


class _EarlyAnswer(msgspec.Struct, frozen=True):
    """An answer that overtook the document it speaks of."""

    asked_at: float
    newest: RoutingVersion


class KeyLease:
    """Until when this front may admit requests by key."""

    def __init__(self, revocation_bound: float, *, is_strict: bool = True) -> None:
        """``is_strict``: the bound, in seconds, holds also for fronts cut off."""
        self._duration = revocation_bound - LEASE_MARGIN
        self._is_strict = is_strict
        self._asked_at: float | None = None
        self._early: _EarlyAnswer | None = None

    def confirm(
        self, asked_at: float, newest: RoutingVersion, held: RoutingVersion
    ) -> bool:
        """Take the leader's answer to the question asked at ``asked_at``.

        Return whether it lengthens the lease; it does not while a newer document
        than the one ``held`` here is still on its way; once that one has come,
        :meth:`note_held` makes up for it.
        """
        if held < newest:
            if self._early is None or asked_at >= self._early.asked_at:
                self._early = _EarlyAnswer(asked_at, newest)
            return False
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at
        return True

    def note_held(self, held: RoutingVersion) -> None:
        """A newer document is held: an answer that came before it may count now."""
        early = self._early
        if early is not None and held >= early.newest:
            self._early = None
            self.confirm(early.asked_at, early.newest, held)

    def is_valid(self, now: float) -> bool:
        """Whether a keyed request may be admitted at ``now``."""
        if not self._is_strict:
            return self._asked_at is not None
        return self.compute_remaining(now) > 0.0

    def compute_remaining(self, now: float) -> float:
        """Seconds until the lease ends; 0 or less when it has ended."""
        if self._asked_at is None:
            return 0.0
        return self._asked_at + self._duration - now
