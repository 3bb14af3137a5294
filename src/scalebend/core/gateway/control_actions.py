"""Actions that a control instance returns for its runtime to execute."""

from __future__ import annotations

import msgspec

from scalebend.core.control_member import ToInstance
from scalebend.core.gateway.messages import LinkMessage
from scalebend.models.ids import EvacuationRevision, InstanceId, RoutingVersion


class ToFront(msgspec.Struct, frozen=True):
    """Action: send a message to a front, or to a relay."""

    front: InstanceId
    message: LinkMessage


class ProposalEnded(msgspec.Struct, frozen=True):
    """Action: the proposal of a routing document or an evacuation ended.

    ``held`` is the version or revision in force, or ``None`` if this member lost the
    leadership before the result was known.
    """

    proposal: str
    held: RoutingVersion | EvacuationRevision | None


class ReadConfirmed(msgspec.Struct, frozen=True):
    """Action: the routing document is confirmed as the newest for these readers."""

    readers: list[int]


ControlAction = ToInstance | ToFront | ProposalEnded | ReadConfirmed
