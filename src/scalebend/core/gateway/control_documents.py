"""Routing documents at one control instance: in force, confirmed and sent to fronts."""

from __future__ import annotations

from collections.abc import Callable

import structlog

from scalebend.core.consensus.replica import Replica
from scalebend.core.gateway.control_actions import (
    ControlAction,
    ReadConfirmed,
    ToFront,
)
from scalebend.core.gateway.freshness import FreshnessRequest, PendingFreshnessRequests
from scalebend.core.gateway.messages import LeaseReply, LeaseRequest
from scalebend.core.gateway.route_table import RouteTable
from scalebend.core.gateway.routing_push import RoutingPush
from scalebend.core.gateway.routing_store import unpack_document, unpack_routing
from scalebend.exceptions import DocumentError
from scalebend.models.ids import InstanceId
from scalebend.models.routing import EMPTY_ROUTING, Routing, StoredRouting

DecodeRouting = Callable[[bytes], Routing]
"""Decodes an operator's document; raises :class:`DocumentError` if it is invalid."""

logger = structlog.get_logger(__name__)


class ControlDocuments:
    """The committed routing document, its fronts, and who waits for confirmation."""

    def __init__(self, replica: Replica, decode: DecodeRouting | None = None) -> None:
        self.routing = EMPTY_ROUTING
        self.table = RouteTable(EMPTY_ROUTING)
        self.push = RoutingPush()
        self._replica = replica
        self._decode = decode
        self._requests = PendingFreshnessRequests()
        self._readers = 0

    def load(self, stored: StoredRouting | None) -> bool:
        """Adopt the committed document; return whether it is another one."""
        if stored is None or stored.version == self.routing.version:
            return False
        self.routing = self._read(stored)
        self.table = RouteTable(self.routing)
        self.push.record_document(self.routing)
        logger.info("routing applied", version=self.routing.version)
        return True

    def _read(self, stored: StoredRouting) -> Routing:
        """Decode the document anew, which an earlier version read in part."""
        if self._decode is None:
            return unpack_routing(stored)
        try:
            return self._decode(unpack_document(stored))
        except DocumentError as error:
            logger.warning(
                "stored document not decoded", version=stored.version, error=str(error)
            )
            return unpack_routing(stored)

    def request_lease(
        self, front: InstanceId, request: LeaseRequest, now: float
    ) -> None:
        """Add a front's request, answered once this instance's lead is confirmed."""
        self._requests.add(
            FreshnessRequest(now, front, request.asked_at, is_urgent=request.is_urgent)
        )

    def request_fresh_read(self, now: float) -> int:
        """Request a confirmed read; :class:`ReadConfirmed` names the returned id."""
        self._readers += 1
        self._requests.add(FreshnessRequest(now, None, now, self._readers))
        return self._readers

    def reply(self, now: float, *, is_leader: bool) -> list[ControlAction]:
        """Answer the requests that a quorum has confirmed since they were received."""
        confirmed = self._requests.pop_confirmed(
            self._replica.compute_confirmed_at(now), now, is_leader=is_leader
        )
        urgent_at = self._requests.find_urgent()
        if urgent_at is not None:
            self._replica.request_confirmation(urgent_at, now)
        actions: list[ControlAction] = [
            ToFront(request.front, LeaseReply(request.asked_at, self.routing.version))
            for request in confirmed
            if request.front is not None
        ]
        readers = [request.reader for request in confirmed if request.front is None]
        if readers:
            actions.append(ReadConfirmed(readers))
        return actions
