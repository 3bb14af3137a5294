"""Scenario of a placement measurement: engines, kinds of request, phases and faults.

A scenario is one JSON file. Times are in seconds and sizes in tokens, unless a name
says otherwise.
"""

from __future__ import annotations

import math
import random

import msgspec

from scalebend.models.routing import EngineProfile


class Engines(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet of equal engines, described by the fields of a routing document."""

    count: int
    slots: int
    memory_tokens: int
    steps_per_pass: int
    step_ms: float
    per_sequence_ms: float
    context_ms_per_thousand: float
    read_tokens_per_second: float
    pairs_ms_per_million: float
    chunk_tokens: int = 2048
    """Most prompt tokens that one step of a batch can prefill."""

    def build_profile(self) -> EngineProfile:
        """Return the profile of one engine for a scheduler."""
        return EngineProfile(
            slots=self.slots,
            memory_tokens=self.memory_tokens,
            decode_steps_per_batch_step=self.steps_per_pass,
            step_ms=self.step_ms,
            per_sequence_ms=self.per_sequence_ms,
            context_ms_per_thousand=self.context_ms_per_thousand,
            prefill_tokens_per_second=self.read_tokens_per_second,
            attention_ms_per_million_pairs=self.pairs_ms_per_million,
        )


class Sizes(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes drawn from a lognormal distribution, limited to ``maximum``."""

    mean: float
    spread: float
    """Standard deviation of the logarithm."""

    maximum: float = msgspec.field(name="most")

    def draw(self, rng: random.Random) -> float:
        """Draw one size."""
        centre = math.log(self.mean) - self.spread**2 / 2.0
        return min(self.maximum, rng.lognormvariate(centre, self.spread))


class RequestKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request.

    ``per_second`` is its arrival rate, ``target`` the time to the first event,
    ``worth`` what a request of mean size earns on time and ``late_worth`` later.
    """

    name: str
    per_second: float
    prompt: Sizes
    events: Sizes
    target: float
    event_gap: float
    deadline: float
    worth: float
    late_worth: float


class Phase(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An interval in which factors change the arrival rates of kinds."""

    start: float
    length: float
    factors: dict[str, float]


class EngineLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines that crash together and restart without work after ``back_after``."""

    at: float
    count: int
    back_after: float


class LeaderLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An interval without leaders, in which fronts place uncoordinated."""

    at: float
    length: float
    cells: int | None = None
    """Number of cells without a leader; all by default."""


class FrontPartition(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An interval in which the first ``count`` fronts reach engines but no leader."""

    at: float
    length: float
    count: int


class FullRestart(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A restart of all fronts and leaders.

    Open requests are lost, and so are those sent until the processes are back.
    """

    at: float
    length: float
    ready_within: float = 0.0
    """Time after the restart over which fronts become ready, at random."""

    waiting: float = 0.0
    """Requests that arrive in this time before the end wait and are not lost."""


class PlacementScenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All parameters of a run except for the seed and the decider."""

    name: str
    engines: Engines
    kinds: list[RequestKind]
    length: float
    fronts: int
    phases: list[Phase] = msgspec.field(default_factory=list)
    engine_losses: list[EngineLoss] = msgspec.field(default_factory=list)
    leader_losses: list[LeaderLoss] = msgspec.field(default_factory=list)
    front_partitions: list[FrontPartition] = msgspec.field(
        name="fronts_cut", default_factory=list
    )
    restarts: list[FullRestart] = msgspec.field(default_factory=list)
    cells: int = 1
    """Number of cells of the fleet, each with its own leader."""

    choice_time: float = 0.0
    """Time of the leader for each placement; it makes one at a time."""

    disconnect_share: float = msgspec.field(name="leaves_early", default=0.0)
    """Share of the callers that disconnect while they wait for the first event."""

    retries: int = 1
    """Number of retries of a rejected caller."""


class Arrival(msgspec.Struct, frozen=True):
    """One request of a caller."""

    number: int
    at: float
    kind: RequestKind
    prompt: int
    events: int
    front: int
    disconnects_after: float | None

    @property
    def size_factor(self) -> float:
        """Worth relative to that of a request of mean size."""
        return min(4.0, 0.3 + 0.7 * self.prompt / self.kind.prompt.mean)


def plan_arrivals(scenario: PlacementScenario, seed: int) -> list[Arrival]:
    """Draw all arrivals; they depend only on the scenario and the seed."""
    rng = random.Random(seed)
    drawn: list[tuple[float, RequestKind]] = []
    for kind in scenario.kinds:
        at = 0.0
        while True:
            rate = kind.per_second * _find_factor(scenario, kind, at)
            at += rng.expovariate(rate)
            if at >= scenario.length:
                break
            drawn.append((at, kind))
    drawn.sort(key=lambda one: one[0])
    return [
        Arrival(
            number=number,
            at=at,
            kind=kind,
            prompt=max(50, round(kind.prompt.draw(rng))),
            events=max(2, round(kind.events.draw(rng))),
            front=rng.randrange(scenario.fronts),
            disconnects_after=_draw_disconnect(scenario, kind, rng),
        )
        for number, (at, kind) in enumerate(drawn)
    ]


def _draw_disconnect(
    scenario: PlacementScenario, kind: RequestKind, rng: random.Random
) -> float | None:
    if rng.random() >= scenario.disconnect_share:
        return None
    return rng.uniform(0.2, 0.9) * kind.target


def _find_factor(scenario: PlacementScenario, kind: RequestKind, at: float) -> float:
    for phase in scenario.phases:
        if phase.start <= at < phase.start + phase.length:
            return phase.factors.get(kind.name, 1.0)
    return 1.0
