"""Lease on the routing document, which bounds how late a revoked key is admitted.

A key is revoked by a newer routing document, which a front that is cut off from the
control group doesn't receive. So a front admits keyed requests only for a limited time
after the leader, with a quorum, confirmed that the front's document was the newest.
That time starts when the front *sent* the request, on its own monotonic clock: neither
clock differences nor slow links lengthen it.

Some deployments don't bound revocation for fronts that are cut off. There, a front that
was confirmed once since its start goes on with its document: a slightly stale document
serves the callers who reach only this front. In both modes a front that has just
started waits for its first confirmation.
"""

from __future__ import annotations

import msgspec

from scalebend.models.ids import RoutingVersion

LEASE_MARGIN_S = 0.3
"""Subtracted from the bound on revocation, for the time from check to send."""


class _EarlyReply(msgspec.Struct, frozen=True):
    """A reply that arrived before the document that it names."""

    asked_at: float
    newest: RoutingVersion


class KeyLease:
    """How long this front may admit requests by key."""

    def __init__(self, revocation_bound: float, *, is_strict: bool = True) -> None:
        """``is_strict``: the bound (in seconds) also holds for fronts cut off."""
        self._duration_s = revocation_bound - LEASE_MARGIN_S
        self._is_strict = is_strict
        self._latest_request_at: float | None = None
        self._early_reply: _EarlyReply | None = None

    def confirm(
        self, asked_at: float, newest: RoutingVersion, held: RoutingVersion
    ) -> bool:
        """Apply the leader's reply to the request that was sent at ``asked_at``.

        Return whether ``held`` is the newest document. Otherwise the reply is kept, and
        :meth:`record_document` extends the lease once the newer document has arrived.
        """
        if held < newest:
            if self._early_reply is None or asked_at >= self._early_reply.asked_at:
                self._early_reply = _EarlyReply(asked_at, newest)
            return False
        if self._latest_request_at is None or asked_at > self._latest_request_at:
            self._latest_request_at = asked_at
        return True

    def record_document(self, held: RoutingVersion) -> None:
        """Extend the lease by a reply that arrived before the document ``held``."""
        early = self._early_reply
        if early is not None and held >= early.newest:
            self._early_reply = None
            self.confirm(early.asked_at, early.newest, held)

    def is_valid(self, now: float) -> bool:
        """Whether a keyed request may be admitted at ``now``."""
        if not self._is_strict:
            return self._latest_request_at is not None
        return self.compute_remaining(now) > 0.0

    def compute_remaining(self, now: float) -> float:
        """Return the seconds until the lease expires; 0 or less once it has."""
        if self._latest_request_at is None:
            return 0.0
        return self._latest_request_at + self._duration_s - now
