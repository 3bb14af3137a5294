"""Cells of a modelled fleet, each with its own leader."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from scalebend.core.gateway.engine_scheduler import EngineScheduler
from scalebend.measuring.leader_queue import LeaderQueue
from scalebend.measuring.placement_scenario import PlacementScenario
from scalebend.models.endpoints import Endpoint
from scalebend.models.ids import AvailabilityZone, ServiceName, UpstreamId
from scalebend.models.routing import EngineProfile

SERVICE = ServiceName("engines")


class Cell(msgspec.Struct):
    """A group of engines and its leader."""

    number: int
    endpoints: list[Endpoint]
    queue: LeaderQueue
    scheduler: EngineScheduler = msgspec.field(default_factory=EngineScheduler)
    reported_load: float = 0.0
    """Open jobs per engine, as last reported to fronts."""

    def publish_load(self) -> None:
        """Report the present load of the cell to fronts."""
        self.reported_load = self.scheduler.open_jobs / max(1, len(self.endpoints))


def build_endpoints(profile: EngineProfile, count: int) -> list[Endpoint]:
    """Build the endpoints of all engines, as upstreams of one service."""
    return [
        Endpoint(
            UpstreamId(f"engine-{number}"),
            SERVICE,
            f"10.0.0.{number}:1",
            AvailabilityZone("z"),
            profile.slots,
            False,
            1,
        )
        for number in range(count)
    ]


def build_cells(scenario: PlacementScenario, endpoints: list[Endpoint]) -> list[Cell]:
    """Distribute the engines over the cells, one after the other."""
    return [
        Cell(
            number,
            endpoints[number :: scenario.cells],
            LeaderQueue(scenario.choice_time, scenario.fronts),
        )
        for number in range(scenario.cells)
    ]


def choose_cell(
    cells: list[Cell], has_no_leader: Callable[[Cell], bool], rng: random.Random
) -> Cell | None:
    """Return the less loaded of two random cells; ``None`` if none has a leader."""
    led = [cell for cell in cells if not has_no_leader(cell)]
    if len(led) <= 1:
        return led[0] if led else None
    return min(rng.sample(led, 2), key=lambda cell: cell.reported_load)
