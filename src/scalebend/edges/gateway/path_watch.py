"""Observes losses on the path to one upstream while its response is read."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import aiohttp
import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.socket_statistics import SocketCounts, read_socket_counts
from scalebend.edges.gateway.upstream_client import StrictResponseHandler
from scalebend.models.calls import Call
from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)

MIN_PAUSE_S = 0.15
"""Shortest pause that may come from a retransmission: the kernel waits at least 200 ms
from the lost segment on, less the time since the event before it."""

MIN_RELEASED_EVENTS = 2
"""Events that arrive together at the end of such a pause: those that waited behind the
lost one. After a pause of the engine they arrive one by one."""

EVENT_END = b"\n\n"


class PathWatch:
    """Counts pieces of data on one connection, and those that were lost first."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        upstream: UpstreamId,
        protocol: StrictResponseHandler | None,
    ) -> None:
        self._runtime = runtime
        self._call = call
        self._upstream = upstream
        self._protocol = protocol
        self._observed = 1
        self._read_at: float | None = None

    def record_data(self, data: bytes) -> None:
        """Record data of a stream that was read now."""
        now = self._runtime.now()
        pause = now - self._read_at if self._read_at is not None else 0.0
        self._read_at = now
        self._observed += 1
        if pause < MIN_PAUSE_S:
            return
        lost = self._count_lost()
        if lost is None:
            lost = int(data.count(EVENT_END) >= MIN_RELEASED_EVENTS)
        self._record(lost, pause)

    def close(self) -> None:
        """Record what was observed since the last pause."""
        self._record(self._count_lost() or 0, 0.0)

    def _record(self, lost: int, pause: float) -> None:
        self._runtime.record_path(self._upstream, self._observed, lost)
        self._observed = 0
        if lost:
            logger.info(
                "data lost on a path",
                request=self._call.headers.request,
                upstream=self._upstream,
                lost=lost,
                pause=round(pause, 3),
            )

    def _count_lost(self) -> int | None:
        """Count losses since the last call; ``None`` if the system does not tell."""
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            return None
        counts = read_socket_counts(protocol.transport.get_extra_info("socket"))
        if counts is None:
            return None
        before, protocol.counts = protocol.counts, counts
        return count_lost(before, counts)


def count_lost(before: SocketCounts, counts: SocketCounts) -> int:
    """Count the losses between two readings of one connection.

    All segments that arrive out of order between them waited for one that was lost.
    """
    retransmitted = max(0, counts.retransmitted - before.retransmitted)
    return retransmitted + (counts.out_of_order > before.out_of_order)


@contextlib.contextmanager
def watch_path(
    runtime: FrontRuntime,
    call: Call,
    upstream: UpstreamId,
    response: aiohttp.ClientResponse,
) -> Iterator[PathWatch]:
    """Watch the connection of a response until the block ends."""
    # The connection itself may be in the pool again when the head of a short response
    # is read, but its protocol is still known.
    protocol = response._protocol
    is_strict = isinstance(protocol, StrictResponseHandler)
    watch = PathWatch(runtime, call, upstream, protocol if is_strict else None)  # type: ignore[arg-type]
    try:
        yield watch
    finally:
        watch.close()
