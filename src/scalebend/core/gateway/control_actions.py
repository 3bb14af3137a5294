"""Actions that a control instance returns for its runtime to execute."""

from __future__ import annotations

import msgspec

from scalebend.core.control_member import ToInstance
from scalebend.core.control_state import EvacuationResult, RoutingResult
from scalebend.core.gateway.messages import LinkMessage
from scalebend.models.ids import InstanceId


class ToFront(msgspec.Struct, frozen=True):
    """Action: send a message to a front, or to a relay."""

    front: InstanceId
    message: LinkMessage


class ProposalEnded(msgspec.Struct, frozen=True):
    """Action: the proposal of a routing document or an evacuation ended.

    ``result`` has the version or revision in force. It is ``None`` if this member lost
    the leadership before the result was known.
    """

    proposal: str
    result: RoutingResult | EvacuationResult | None


class ReadConfirmed(msgspec.Struct, frozen=True):
    """Action: the routing document is confirmed as the newest for these readers."""

    readers: list[int]


ControlAction = ToInstance | ToFront | ProposalEnded | ReadConfirmed
