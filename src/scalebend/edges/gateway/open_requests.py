"""The requests that a front has received and not answered yet."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator

from scalebend.core.gateway.drain import Drain, estimate_duration
from scalebend.edges.gateway.forwarder import Forwarder
from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call, CallerHeaders
from scalebend.models.crashes import RequestIdentity
from scalebend.models.routing import Route


class OpenRequest:
    """What is known so far of a received request."""

    def __init__(self, headers: CallerHeaders, at: float) -> None:
        """``at`` is the time of its arrival, in monotonic seconds."""
        self.headers = headers
        self.at = at
        self.route: Route | None = None
        self.call: Call | None = None
        """Set once it is admitted."""

        self.identity: RequestIdentity | None = None
        self.forwarder: Forwarder | None = None
        self.duration: float | None = None
        """Estimated seconds to its end once it is sent; known while draining."""

        self.timeout = asyncio.timeout(None)
        """Expires if this front ends the request because it stops."""

        self.is_ended = False

    @property
    def may_have_run(self) -> bool:
        """Whether a replica may have run it, or may still do so."""
        return self.forwarder is not None and self.forwarder.may_have_run

    def end(self) -> None:
        """End the request; its handler responds with what is true of it."""
        if not self.is_ended:
            self.is_ended = True
            self.timeout.reschedule(asyncio.get_running_loop().time())


class OpenRequests:
    """All open requests of a front."""

    def __init__(self, runtime: FrontRuntime) -> None:
        self._runtime = runtime
        self._requests: set[OpenRequest] = set()
        self.is_closed = False
        """Whether handlers that still run are about to be cancelled."""

    @contextlib.contextmanager
    def hold(self, request: OpenRequest) -> Iterator[None]:
        """Count a request as open until the block ends."""
        self._requests.add(request)
        self._record_count()
        try:
            yield
        finally:
            self._requests.discard(request)
            self._record_count()

    def _record_count(self) -> None:
        self._runtime.open_requests = len(self._requests)
        self._runtime.metrics.set_open_requests(len(self._requests))

    def estimate(self, call: Call, now: float) -> float:
        """Estimate how long a request takes once it is sent, in seconds."""
        instance = self._runtime.instance
        profile = instance.table.find_engine(call.service)
        fleet = None
        if profile is not None:
            usable = list(instance.directory.list_usable(call.service))
            fleet = instance.scheduler.describe_fleet(usable, profile)
        return estimate_duration(call, fleet, now)

    def end_waiting(self, drain: Drain, now: float) -> None:
        """End the requests that no replica runs and that can't be completed in time."""
        for request in self._requests:
            if request.may_have_run or request.call is None:
                continue
            if request.duration is None:
                request.duration = self.estimate(request.call, now)
            if not drain.has_time(request.duration, now):
                request.end()

    def close(self) -> None:
        """End all requests: the process is about to end."""
        self.is_closed = True
        for request in self._requests:
            request.end()
