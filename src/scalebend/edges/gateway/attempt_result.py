"""How one attempt of a front ended, as its forwarder saw it."""

from __future__ import annotations

import aiohttp
import msgspec
from aiohttp import web

from scalebend.core.attempt_progress import AttemptProgress
from scalebend.edges.gateway.upstream_choice import Target
from scalebend.edges.tunnel_errors import PathLostError
from scalebend.models.calls import Outcome
from scalebend.models.ids import UpstreamId

_CONNECTION_ERRORS = (
    aiohttp.ServerDisconnectedError,
    aiohttp.ClientPayloadError,
    OSError,
)
"""The connection was lost, as in a crash. Other client errors are malformed responses,
which only a running upstream sends."""


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of one attempt; ``response`` is that of the upstream, if there was one."""

    outcome: Outcome
    response: web.StreamResponse | None = None
    detail: str = ""
    faulty: UpstreamId | None = None
    """The upstream at fault, if it is not the one that was sent the request."""

    is_connection_lost: bool = False
    """Whether the connection was lost before the response was complete."""

    is_connection_timeout: bool = False
    """Whether no connection came about in time."""

    target: Target | None = None
    """Where it ran, if not at the target first chosen."""

    progress: AttemptProgress = msgspec.field(default_factory=AttemptProgress)

    @property
    def has_unavailable_member(self) -> bool:
        """Whether an upstream of the placement is unavailable; others may be, too."""
        if self.outcome is Outcome.NOT_SENT:
            return True
        is_unused = self.outcome in (Outcome.REJECTED, Outcome.WITHDRAWN)
        return is_unused and self.faulty is not None


def build_interrupted(error: Exception) -> AttemptResult:
    """Return the result of an attempt that an error of its connection ended."""
    detail = f"{type(error).__name__}: {error}"
    if isinstance(error, PathLostError):
        return AttemptResult(Outcome.PATH_LOST, detail=detail)
    is_connection_lost = isinstance(error, _CONNECTION_ERRORS)
    return AttemptResult(
        Outcome.INTERRUPTED, detail=detail, is_connection_lost=is_connection_lost
    )
