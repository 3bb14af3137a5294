"""Ends requests in progress when a part of their prompts is quarantined.

A request that waits for an upstream can't be served any more, and one that was sent
crashes the upstream once its prompt has been read. A response that has begun goes on.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterable, Iterator

import structlog

from scalebend.models.ids import PartId
from scalebend.utils.keyed_items import KeyedItems

logger = structlog.get_logger(__name__)


class HeldRequest:
    """One request until its response begins."""

    def __init__(self) -> None:
        self.timeout = asyncio.timeout(None)
        """Ends the block of the request when one of its parts is quarantined."""

        self.is_ended = False
        self._is_released = False

    def release(self) -> None:
        """Let the request go on whatever is known of its parts."""
        self._is_released = True

    def end(self) -> None:
        """End the request, unless it was released."""
        if self._is_released or self.is_ended:
            return
        self.is_ended = True
        self.timeout.reschedule(asyncio.get_running_loop().time())


class HeldRequests:
    """All requests of a front without a response, by the parts of their prompts."""

    def __init__(self) -> None:
        self._requests = KeyedItems[PartId, HeldRequest]()

    @contextlib.contextmanager
    def watch(self, parts: Iterable[PartId]) -> Iterator[HeldRequest]:
        """Track a request until the block ends."""
        request = HeldRequest()
        with self._requests.hold(parts, request):
            yield request

    def end(self, parts: Iterable[PartId]) -> None:
        """End the requests with one of these parts."""
        for part in parts:
            requests = self._requests.find(part)
            if requests:
                logger.info("requests ended", part=part, open=len(requests))
            for request in requests:
                request.end()
