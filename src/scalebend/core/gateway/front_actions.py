"""Actions that a front returns for its runtime to execute."""

from __future__ import annotations

import msgspec

from scalebend.core.gateway.messages import LinkMessage
from scalebend.models.ids import InstanceId, UpstreamId


class ToControl(msgspec.Struct, frozen=True):
    """Action: send a message to a control instance."""

    instance: InstanceId
    message: LinkMessage


class EndAttempts(msgspec.Struct, frozen=True):
    """Action: fail the attempts on these upstreams, which will send nothing more."""

    upstreams: list[UpstreamId]


FrontAction = ToControl | EndAttempts
