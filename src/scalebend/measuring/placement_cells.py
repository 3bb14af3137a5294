"""The engines of a modelled fleet in cells, each with a leader of its own."""

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
    """A part of the engines and its leader."""

    number: int
    endpoints: list[Endpoint]
    queue: LeaderQueue
    scheduler: EngineScheduler = msgspec.field(default_factory=EngineScheduler)
    reported_load: float = 0.0
    """Open jobs for each engine, as fronts last heard."""

    def publish_load(self) -> None:
        """Let fronts hear how full the cell is."""
        self.reported_load = self.scheduler.open_jobs / max(1, len(self.endpoints))


def build_endpoints(profile: EngineProfile, count: int) -> list[Endpoint]:
    """All engines, as upstreams of one service."""
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
    """Deal the engines out in turn."""
    return [
        Cell(
            number,
            endpoints[number :: scenario.cells],
            LeaderQueue(scenario.choice_time, scenario.fronts),
        )
        for number in range(scenario.cells)
    ]


def choose_cell(
    cells: list[Cell], is_lost: Callable[[Cell], bool], rng: random.Random
) -> Cell | None:
    """The less loaded of two drawn; ``None`` where all leaders are lost."""
    led = [cell for cell in cells if not is_lost(cell)]
    if len(led) <= 1:
        return led[0] if led else None
    return min(rng.sample(led, 2), key=lambda cell: cell.reported_load)
