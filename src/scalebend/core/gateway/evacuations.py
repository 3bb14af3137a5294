"""The evacuations that a process holds, and which zones orders may name."""

from __future__ import annotations

from collections.abc import Container

from scalebend.core.gateway.endpoint_directory import EndpointDirectory
from scalebend.models.evacuations import NO_EVACUATIONS, Evacuations
from scalebend.models.ids import AvailabilityZone


class HeldEvacuations:
    """The newest evacuations that one process knows, as its directory obeys them."""

    def __init__(self, directory: EndpointDirectory) -> None:
        self.newest = NO_EVACUATIONS
        self._directory = directory

    def learn(self, heard: Evacuations | None) -> bool:
        """Apply evacuations that are newer than those held; return whether they are.

        Any process may send them, since only committed ones are sent. An older revision
        comes from a member that lags behind the log.
        """
        if heard is None or heard.revision <= self.newest.revision:
            return False
        self.newest = heard
        self._directory.set_evacuated(heard.evacuated)
        return True


def is_zone_known(
    zone: AvailabilityZone, known: Container[AvailabilityZone], held: Evacuations
) -> bool:
    """Whether an order may name the zone: one ordered before stays known."""
    return zone in known or held.find(zone) is not None
