"""The stream that a front sends to one caller, whichever attempts it comes from."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

import aiohttp
from aiohttp import web

from scalebend.edges.gateway.front_runtime import FrontRuntime
from scalebend.models.calls import Call
from scalebend.platform.headers import copy_response_headers


class StreamBrokenError(Exception):
    """A stream broke after a part of it had been forwarded to the caller."""


class CallerLeftError(Exception):
    """The connection of the caller broke while a stream was forwarded."""


class CallerStream:
    """A stream to one caller; its head is that of the response it began with."""

    def __init__(
        self, runtime: FrontRuntime, call: Call, request: web.BaseRequest
    ) -> None:
        self._runtime = runtime
        self._call = call
        self._request = request
        self._stream: web.StreamResponse | None = None
        self._event_at = 0.0
        self.first_event: float | None = None
        """Seconds from the arrival of the request to the first forwarded event."""

        self.longest_gap = 0.0
        """Longest gap between forwarded events, in seconds."""

    @property
    def is_open(self) -> bool:
        """Whether the caller got the head."""
        return self._stream is not None

    async def forward(self, response: aiohttp.ClientResponse, data: bytes) -> None:
        """Forward events of a response; raise :class:`CallerLeftError` if it can't."""
        self._record_time(self._runtime.now())
        stream = self._stream or await self._open(response)
        with _write_to_caller():
            await stream.write(data)

    async def end(self, response: aiohttp.ClientResponse) -> web.StreamResponse:
        """End the stream as complete; raise :class:`CallerLeftError` if it can't."""
        stream = self._stream or await self._open(response)
        with _write_to_caller():
            await stream.write_eof()
        return stream

    def _record_time(self, now: float) -> None:
        if self.first_event is None:
            self.first_event = now - self._call.arrived
        else:
            self.longest_gap = max(self.longest_gap, now - self._event_at)
        self._event_at = now

    async def _open(self, response: aiohttp.ClientResponse) -> web.StreamResponse:
        call = self._call
        stream = web.StreamResponse(
            status=response.status,
            reason=response.reason,
            headers=copy_response_headers(response.headers),
        )
        if self._runtime.is_closing_connections():
            stream.force_close()
        self._stream = stream
        with _write_to_caller():
            await stream.prepare(self._request)
        if call.headers.prompt is not None:
            elapsed_s = self._runtime.now() - call.arrived
            self._runtime.metrics.observe_first_event(
                call.headers.prompt.prompt, elapsed_s
            )
        return stream


@contextlib.contextmanager
def _write_to_caller() -> Iterator[None]:
    """Keep errors of the caller's connection apart from those of the upstream's."""
    try:
        yield
    except (aiohttp.ClientError, OSError) as error:
        raise CallerLeftError from error
