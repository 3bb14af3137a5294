"""Tunnels: connections of one front to an upstream that another front opens for it."""

from __future__ import annotations

from enum import Enum
from typing import NewType

import msgspec

from scalebend.models.ids import AvailabilityZone, InstanceId

TunnelKey = NewType("TunnelKey", str)
"""Secret of one start of a front; without it, the front opens no tunnel."""


class FrontPeer(msgspec.Struct, frozen=True):
    """A front as other fronts see it."""

    instance: InstanceId
    availability_zone: AvailabilityZone
    tunnel_address: str
    """Address of its tunnel listener, ``IP:port``."""

    tunnel_key: TunnelKey


class OpenTunnel(msgspec.Struct, frozen=True):
    """First message of a tunnel: connect to the upstream at ``address``."""

    address: str
    key: TunnelKey


class TunnelReply(Enum):
    """Reply to :class:`OpenTunnel`."""

    OPENED = "opened"
    UNREACHABLE = "unreachable"
    """The front could not connect to the upstream, now or just before."""

    ISOLATED = "isolated"
    """The front itself reaches no upstream."""

    BUSY = "busy"
    """The front stops, or has as many tunnels as it may have."""

    UNKNOWN = "unknown"
    """No upstream that the front knows has this address."""

    DENIED = "denied"
    """The key is not that of the front."""
