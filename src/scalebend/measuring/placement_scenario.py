"""What a measurement of placement plays: engines, kinds of request, phases, losses.

One JSON file. Times are in seconds, sizes in tokens, unless a name says otherwise.
"""

from __future__ import annotations

import math
import random

import msgspec

from scalebend.models.routing import EngineProfile


class Engines(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fleet of equal engines; the fields of one are those of a routing document."""

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
    """Prompt tokens that one step reads at most."""

    def build_profile(self) -> EngineProfile:
        """What a scheduler is told of such an engine."""
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
    """Sizes drawn from a lognormal distribution, cut at ``most``."""

    mean: float
    spread: float
    """Standard deviation of the logarithm."""

    most: float

    def draw(self, chance: random.Random) -> float:
        """One size."""
        centre = math.log(self.mean) - self.spread**2 / 2.0
        return min(self.most, chance.lognormvariate(centre, self.spread))


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of request."""

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
    """A time in which kinds come more or less often than usual."""

    start: float
    length: float
    factors: dict[str, float]


class EngineLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Engines that crash at once; they return empty."""

    at: float
    count: int
    back_after: float


class LeaderLoss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time in which leaders are lost, and fronts without one decide alone."""

    at: float
    length: float
    cells: int | None = None
    """How many cells lose theirs; all by default."""


class FrontsCut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A time in which the first ``count`` fronts reach engines, but not the leader."""

    at: float
    length: float
    count: int


class RestartOfAll(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All fronts and the leader end at once; callers lose what is open, and what they
    send until the processes are back."""

    at: float
    length: float
    ready_within: float = 0.0
    """Fronts are ready one after the other in this time after the restart."""

    waiting: float = 0.0
    """Callers that come in this time before the end wait, and are not lost."""


class PlacementScenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Everything but the seed and the decider."""

    name: str
    engines: Engines
    kinds: list[Kind]
    length: float
    fronts: int
    phases: list[Phase] = msgspec.field(default_factory=list)
    engine_losses: list[EngineLoss] = msgspec.field(default_factory=list)
    leader_losses: list[LeaderLoss] = msgspec.field(default_factory=list)
    fronts_cut: list[FrontsCut] = msgspec.field(default_factory=list)
    restarts: list[RestartOfAll] = msgspec.field(default_factory=list)
    cells: int = 1
    """Parts of the fleet, each with a leader of its own."""

    choice_time: float = 0.0
    """Seconds that the leader takes for each choice, one after the other."""

    leaves_early: float = 0.0
    """Part of the callers that leave while they wait for the first event."""

    retries: int = 1
    """Times that a refused caller returns."""


class Arrival(msgspec.Struct, frozen=True):
    """One request of a caller."""

    number: int
    at: float
    kind: Kind
    prompt: int
    events: int
    front: int
    leaves_after: float | None

    @property
    def size_factor(self) -> float:
        """How much more than a mean request of its kind it is worth."""
        return min(4.0, 0.3 + 0.7 * self.prompt / self.kind.prompt.mean)


def plan_arrivals(scenario: PlacementScenario, seed: int) -> list[Arrival]:
    """Draw all arrivals; the same for every decider."""
    chance = random.Random(seed)
    drawn: list[tuple[float, Kind]] = []
    for kind in scenario.kinds:
        at = 0.0
        while True:
            rate = kind.per_second * _find_factor(scenario, kind, at)
            at += chance.expovariate(rate)
            if at >= scenario.length:
                break
            drawn.append((at, kind))
    drawn.sort(key=lambda one: one[0])
    return [
        Arrival(
            number=number,
            at=at,
            kind=kind,
            prompt=max(50, round(kind.prompt.draw(chance))),
            events=max(2, round(kind.events.draw(chance))),
            front=chance.randrange(scenario.fronts),
            leaves_after=_draw_leaving(scenario, kind, chance),
        )
        for number, (at, kind) in enumerate(drawn)
    ]


def _draw_leaving(
    scenario: PlacementScenario, kind: Kind, chance: random.Random
) -> float | None:
    if chance.random() >= scenario.leaves_early:
        return None
    return chance.uniform(0.2, 0.9) * kind.target


def _find_factor(scenario: PlacementScenario, kind: Kind, at: float) -> float:
    for phase in scenario.phases:
        if phase.start <= at < phase.start + phase.length:
            return phase.factors.get(kind.name, 1.0)
    return 1.0
