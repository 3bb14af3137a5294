"""Observes losses on the path to one upstream while its response is read."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator
from typing import Any

import aiohttp
import msgspec
import structlog

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.edges.gateway.socket_statistics import SocketCounts, read_socket_counts
from scalebend.edges.gateway.upstream_client import StrictResponseHandler
from scalebend.models.calls import Call
from scalebend.models.ids import UpstreamId

logger = structlog.get_logger(__name__)

MIN_PAUSE_S = 0.15
"""Shortest time by which a retransmission prolongs the usual time between two reads:
the kernel waits 200 ms or more from the lost segment on, somewhat less by its clock."""

MAX_PAUSE_S = 0.9
"""Longest such time if the kernel does not tell: that of two retransmissions of one
segment. Processes pause for longer, and then send at once what they had to send."""

MIN_RELEASED_EVENTS = 2.0
"""Events that arrive together at the end of such a pause, as a multiple of those of a
usual read: those that waited behind the lost one. After a pause of the engine they
arrive as before it."""

MAX_RELEASE_S = 0.02
RELEASE_SHARE = 0.25
"""Time in which they arrive: this share of the usual time between two reads of the
stream, up to the maximum."""

EVENT_END = b"\n\n"


class _Pause(msgspec.Struct):
    """Last pause of a stream; times in seconds."""

    ended_at: float = -math.inf
    length: float = 0.0
    released: int = 0
    """Events that arrived together at its end."""

    is_decided: bool = False
    """Whether it is known if it came from a loss."""


class PathWatch:
    """Counts pieces of data on one connection, and those that were lost first."""

    def __init__(
        self,
        runtime: FrontRuntime,
        call: Call,
        upstream: UpstreamId,
        protocol: StrictResponseHandler | None,
        waited: float = 0.0,
    ) -> None:
        """``waited`` is the time from sending the request to the head, in seconds."""
        self._runtime = runtime
        self._call = call
        self._upstream = upstream
        self._protocol = protocol
        self._observed = 1
        self._read_at: float | None = None
        self._usual_sum = 0.0
        self._usual_events = 0
        self._usual_count = 0
        self._paused = _Pause()
        if waited >= MIN_PAUSE_S and self._has_lost():
            self._record(1, waited)

    def record_data(self, data: bytes, waited: float) -> None:
        """Record data of a stream that was read now, after a wait of some seconds.

        While the caller of the front takes nothing, nobody waits for the data.
        """
        now = self._runtime.now()
        self._observed += 1
        events = data.count(EVENT_END)
        if self._read_at is not None:
            self._evaluate(events, now - self._read_at, waited, now)
        self._read_at = now

    def _evaluate(self, events: int, gap: float, waited: float, now: float) -> None:
        """Look for a pause before some events, or for what was released after one."""
        paused = self._paused
        usual = self._usual_sum / max(1, self._usual_count)
        is_pause = waited >= MIN_PAUSE_S + usual
        if is_pause and (has_lost := self._has_lost()) is not None:
            self._paused = _Pause(now, waited, is_decided=True)
            self._record(int(has_lost), waited)
            return
        if is_pause and self._usual_count:
            is_too_long = waited > MAX_PAUSE_S + usual
            paused = self._paused = _Pause(now, waited, is_decided=is_too_long)
        elif now > paused.ended_at + min(MAX_RELEASE_S, RELEASE_SHARE * usual):
            paused.is_decided = True
            self._usual_sum += gap
            self._usual_events += events
            self._usual_count += 1
        if paused.is_decided:
            return
        paused.released += events
        usual_events = self._usual_events / max(1, self._usual_count)
        if paused.released >= MIN_RELEASED_EVENTS * max(1.0, usual_events):
            paused.is_decided = True
            self._record(1, paused.length)

    def close(self) -> None:
        """Record what was observed since the last pause.

        What was lost without a pause delayed nothing, but must not count later.
        """
        self._has_lost()
        self._record(0, 0.0)

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

    def _has_lost(self) -> bool | None:
        """Whether data was lost since the last call; ``None`` if that is not known.

        One or several losses make one piece of data late, as :meth:`_record` counts.
        """
        protocol = self._protocol
        if protocol is None or protocol.transport is None:
            return None
        counts = read_socket_counts(protocol.transport.get_extra_info("socket"))
        if counts is None:
            return None
        before, protocol.counts = protocol.counts, counts
        return count_lost(before, counts) > 0


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
    waited: float = 0.0,
) -> Iterator[PathWatch | None]:
    """Watch the connection of a response until the block ends.

    ``waited`` is the time from sending the request to the head, in seconds. A
    connection through a peer is not watched: it takes other paths.
    """
    # The connection itself may be in the pool again when the head of a short response
    # is read, but its protocol is still known.
    protocol = response._protocol
    is_strict = isinstance(protocol, StrictResponseHandler)
    known: Any = protocol if is_strict else None
    if known is not None and known.peer is not None:
        yield None
        return
    watch = PathWatch(runtime, call, upstream, known, waited)
    try:
        yield watch
    finally:
        watch.close()
