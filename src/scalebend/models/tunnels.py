"""Tunnels: connections of one process to an upstream that another one opens for it."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

from scalebend.models.ids import AvailabilityZone, InstanceId

TunnelKey = NewType("TunnelKey", str)
"""Secret of one start of a process; without it, the process opens no tunnel."""


class TunnelPeer(msgspec.Struct, frozen=True):
    """A process that opens tunnels, as others see it."""

    instance: InstanceId
    availability_zone: AvailabilityZone
    tunnel_address: str
    """Address of its tunnel listener, ``IP:port``."""

    tunnel_key: TunnelKey = TunnelKey("")
    """Empty where the connection to the peer itself is authenticated."""


class OpenTunnel(msgspec.Struct, frozen=True):
    """First message of a tunnel: connect to the upstream at ``address``."""

    address: str
    key: TunnelKey = TunnelKey("")


class TunnelReply(Enum):
    """Reply to :class:`OpenTunnel`."""

    OPENED = "opened"
    UNREACHABLE = "unreachable"
    """The peer could not connect to the upstream, now or just before."""

    ISOLATED = "isolated"
    """The peer itself reaches no upstream."""

    BUSY = "busy"
    """The peer stops, stood still, or has as many tunnels as it may have."""

    UNKNOWN = "unknown"
    """No upstream that the peer knows has this address."""

    DENIED = "denied"
    """The key is not that of the peer."""
