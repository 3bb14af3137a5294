"""What a control instance asks its runtime to carry out."""

from __future__ import annotations

import msgspec

from scalebend.core.control_member import ToInstance
from scalebend.core.gateway.messages import LinkMessage
from scalebend.models.ids import InstanceId, RoutingVersion


class ToFront(msgspec.Struct, frozen=True):
    """Action: send a message to a front, or to a relay."""

    front: InstanceId
    message: LinkMessage


class ProposalEnded(msgspec.Struct, frozen=True):
    """Action: a routing document was decided on; ``held`` is the version in force.

    ``None`` when this member stopped leading before it was known.
    """

    proposal: str
    held: RoutingVersion | None


class ReadConfirmed(msgspec.Struct, frozen=True):
    """Action: the routing document held is the newest; answer these readers."""

    readers: list[int]


ControlAction = ToInstance | ToFront | ProposalEnded | ReadConfirmed
