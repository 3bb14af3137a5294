"""Attempts that wait for upstreams, to be ended when one of these has restarted.

Work of an earlier incarnation is lost, but its connections may stay open without data
if the network failed before: a request would wait for its first-byte timeout, or until
its deadline if it is non-idempotent.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections.abc import Iterable, Iterator

import structlog

from scalebend.core.gateway.silences import MAX_PAUSE_S
from scalebend.models.ids import UpstreamId
from scalebend.utils.keyed_items import KeyedItems

logger = structlog.get_logger(__name__)

MIN_RESTART_S = 1.0
"""Shortest time in which a host that lost power is back. A process that crashes alone
is back sooner, but its connections are closed."""


class RunningAttempt:
    """One attempt, until its deadline or the restart of an upstream it needs."""

    def __init__(
        self, deadline: float, upstreams: Iterable[UpstreamId], address: str
    ) -> None:
        """``upstreams`` are those that the response from ``address`` depends on."""
        self.address = address
        self.timeout = asyncio.timeout_at(deadline)
        self.upstreams = set(upstreams)
        self.restarted_upstream: UpstreamId | None = None
        """The upstream whose restart ended the attempt."""

        self.has_connection = False
        """Whether the request had a connection: without one, it was not sent."""

        self._connected_at = -math.inf
        self._heard_at = -math.inf
        """When data arrived last, or the connection was made; clock time in seconds."""

        self._recheck: asyncio.TimerHandle | None = None

    def record_connection(self) -> None:
        """Record that the request gets a connection, before anything is written."""
        self.has_connection = True
        self._connected_at = asyncio.get_running_loop().time()
        self._heard_at = self._connected_at

    def keep_only(self, upstreams: Iterable[UpstreamId]) -> None:
        """Keep only the upstreams that the rest of the response depends on."""
        self.upstreams.intersection_update(upstreams)

    def record_data(self, now: float) -> None:
        """Record that data of the response arrived."""
        self._heard_at = now

    def end(self, upstream: UpstreamId, address: str | None, now: float) -> None:
        """End the attempt, unless it no longer needs the restarted ``upstream``.

        ``address`` is that of the new incarnation. An attempt that just got its
        connection there is one of the new incarnation, however long it takes to its
        first data. One that got it a little earlier, or data, may be: it goes on if
        more comes.
        """
        is_there = address == self.address
        if is_there and now - self._connected_at < MIN_RESTART_S:
            return
        if not is_there or now - self._heard_at >= MAX_PAUSE_S:
            self._end(upstream)
        elif self._recheck is None:
            self._recheck = asyncio.get_running_loop().call_later(
                MAX_PAUSE_S, self._end_if_silent, upstream, now
            )

    def close(self) -> None:
        """Forget what was planned, once the attempt has ended."""
        if self._recheck is not None:
            self._recheck.cancel()

    def _end_if_silent(self, upstream: UpstreamId, since: float) -> None:
        self._recheck = None
        if self._heard_at <= since:
            self._end(upstream)

    def _end(self, upstream: UpstreamId) -> None:
        if upstream not in self.upstreams or self.restarted_upstream is not None:
            return
        self.restarted_upstream = upstream
        if not self.timeout.expired():
            self.timeout.reschedule(asyncio.get_running_loop().time())


class RunningAttempts:
    """All running attempts of a front, by the upstreams that they depend on."""

    def __init__(self) -> None:
        self._attempts = KeyedItems[UpstreamId, RunningAttempt]()

    @contextlib.contextmanager
    def watch(
        self, deadline: float, upstreams: Iterable[UpstreamId], address: str
    ) -> Iterator[RunningAttempt]:
        """Track an attempt that depends on ``upstreams`` until the block ends.

        It was sent to ``address``.
        """
        members = tuple(upstreams)
        attempt = RunningAttempt(deadline, members, address)
        with self._attempts.hold(members, attempt):
            try:
                yield attempt
            finally:
                attempt.close()

    def end(self, upstream: UpstreamId, address: str | None, now: float) -> None:
        """End the attempts on an incarnation that has ended.

        ``address`` is that of the new incarnation, if there is one.
        """
        attempts = self._attempts.find(upstream)
        if attempts:
            logger.info("attempts ended", upstream=upstream, open=len(attempts))
        for attempt in attempts:
            attempt.end(upstream, address, now)
