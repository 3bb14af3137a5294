"""Attempts that wait for bytes of upstreams, to be ended when one started again.

What an earlier incarnation ran is lost. Its connections may stay silent instead of
breaking, if it was cut off before: a request would wait out its patience, of more than
a second, or the whole of its deadline where it must not be sent twice.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Iterator

import structlog

from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)


class RunningAttempt:
    """One attempt, until its deadline or until it is known that nothing more comes."""

    def __init__(self, deadline: float, upstreams: Iterable[UpstreamId]) -> None:
        """``upstreams`` are all that the answer depends on."""
        self.limit = asyncio.timeout_at(deadline)
        self.upstreams = set(upstreams)
        self.ended_with: UpstreamId | None = None
        """The upstream that started again meanwhile."""

    def keep_only(self, upstreams: Iterable[UpstreamId]) -> None:
        """What is still to come depends on these alone; nothing, if all is here."""
        self.upstreams.intersection_update(upstreams)

    def end(self, upstream: UpstreamId) -> None:
        """``upstream`` started again; the attempt ends unless it needs it no more."""
        if upstream not in self.upstreams or self.ended_with is not None:
            return
        self.ended_with = upstream
        if not self.limit.expired():
            self.limit.reschedule(asyncio.get_running_loop().time())


class RunningAttempts:
    """All attempts of one front, by the upstreams that they depend on."""

    def __init__(self) -> None:
        self._attempts: dict[UpstreamId, list[RunningAttempt]] = {}

    @contextlib.contextmanager
    def watch(
        self, deadline: float, upstreams: Iterable[UpstreamId]
    ) -> Iterator[RunningAttempt]:
        """Keep an attempt that depends on ``upstreams`` until the block ends."""
        named = tuple(upstreams)
        attempt = RunningAttempt(deadline, named)
        for upstream in named:
            self._attempts.setdefault(upstream, []).append(attempt)
        try:
            yield attempt
        finally:
            for upstream in named:
                self._drop(upstream, attempt)

    def end(self, upstreams: Iterable[UpstreamId]) -> None:
        """End the attempts that depend on incarnations that are over."""
        for upstream in upstreams:
            attempts = self._attempts.get(upstream, ())
            if attempts:
                logger.info("attempts ended", upstream=upstream, open=len(attempts))
            for attempt in tuple(attempts):
                attempt.end(upstream)

    def _drop(self, upstream: UpstreamId, attempt: RunningAttempt) -> None:
        attempts = self._attempts[upstream]
        attempts.remove(attempt)
        if not attempts:
            del self._attempts[upstream]
