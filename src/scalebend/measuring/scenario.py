"""Scenario of a measurement: fleet, customers, load and faults, in one JSON file."""

from __future__ import annotations

import random
from enum import Enum

import msgspec

from scalebend.models.ids import CustomerId
from scalebend.standins.engine_model import EngineParameters
from scalebend.standins.load import Band, PlannedRequest, draw_tokens

MIN_PROMPT_TOKENS = {
    Band.SHORT: 1_000,
    Band.MEDIUM: 4_000,
    Band.LARGE: 32_000,
    Band.LONG: 100_000,
}
MAX_PROMPT_TOKENS = {
    Band.SHORT: 3_900,
    Band.MEDIUM: 31_000,
    Band.LARGE: 99_000,
    Band.LONG: 950_000,
}


class FaultKind(Enum):
    """Kind of failure."""

    ENGINES_LOST = "engines-lost"
    INSTANCE_LOST = "instance-lost"
    CANCELLATIONS_LOST = "cancellations-lost"
    LINKS_LOST = "links-lost"
    MESSAGES_LOST = "messages-lost"
    ENGINE_DRAINS = "engine-leaves"


class Fault(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One failure; ``at`` and ``back_after`` in seconds, ``rate`` as a probability."""

    kind: FaultKind
    at: float
    count: int = 1
    rate: float = 0.0
    back_after: float | None = None


class LoadCustomer(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The load of one customer.

    ``demand`` is its weight in the offered work, ``mix`` the weights of the bands
    ``short``, ``medium``, ``large`` and ``long`` in its work, and ``active`` the
    intervals in which it sends, in seconds; all the time by default.
    """

    customer: CustomerId
    weight: float = 1.0
    demand: float = 1.0
    mix: dict[str, float] = msgspec.field(
        default_factory=lambda: {"short": 0.3, "medium": 0.4, "large": 0.2, "long": 0.1}
    )
    active: list[tuple[float, float]] = msgspec.field(default_factory=list)
    abandons: float = 0.0


class Scenario(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All parameters of a run except for the seed and the policy.

    ``load`` is the offered work relative to ``capacity``, the work that one saturated
    engine does per second, in seconds of nominal cost (see docs/measuring.md).
    ``report_delay`` is the delay of engine reports; times are in seconds.
    """

    name: str
    customers: list[LoadCustomer]
    region: str = "rs-litoral"
    zones: list[str] = msgspec.field(
        default_factory=lambda: ["pelotas", "rio-grande", "tramandai"]
    )
    zone_delay: float = 0.0015
    client_delay: float = 0.001
    instances: int = 9
    control: int = 3
    engines: int = 20
    services: int = 3
    duration: float = 90.0
    warm_up: float = 15.0
    load: float = 0.8
    capacity: float = 0.685
    time_limit: float = 120.0
    report_delay: float = 0.3
    shared_prefixes: float = 0.0
    order_rate: float = 0.0
    faults: list[Fault] = msgspec.field(default_factory=list)
    parameters: EngineParameters = EngineParameters()


def compute_cost(tokens: int, output: int, parameters: EngineParameters) -> float:
    """Return the nominal cost of a request in engine-seconds, as used for shares."""
    typical_batch = max(1.0, parameters.concurrency / 4)
    decode = output * parameters.step_time / typical_batch
    return tokens / parameters.prefill_rate + decode


def plan_load(scenario: Scenario, seed: int) -> list[PlannedRequest]:
    """Return the requests of a run by arrival time; a seed always gives the same."""
    rng = random.Random(f"{scenario.name}/{seed}")
    rate = scenario.load * scenario.capacity * scenario.engines
    total = sum(customer.demand for customer in scenario.customers)
    planned: list[PlannedRequest] = []
    for customer in scenario.customers:
        part = rate * customer.demand / total
        for name, share in customer.mix.items():
            work = part * share / sum(customer.mix.values())
            planned += _plan_band(scenario, customer, Band[name.upper()], work, rng)
    planned.sort(key=lambda request: request.at)
    return [
        msgspec.structs.replace(request, number=number)
        for number, request in enumerate(planned)
    ]


def _plan_band(
    scenario: Scenario,
    customer: LoadCustomer,
    band: Band,
    work: float,
    rng: random.Random,
) -> list[PlannedRequest]:
    if work <= 0.0:
        return []
    sample = [_draw_sizes(band, rng) for _ in range(400)]
    mean = sum(compute_cost(t, o, scenario.parameters) for t, o in sample) / 400
    requests = []
    for start, end in customer.active or [(0.0, scenario.duration)]:
        at = start
        while (at := at + rng.expovariate(work / mean)) < end:
            tokens, output = _draw_sizes(band, rng)
            requests.append(_build_request(scenario, customer, at, tokens, output, rng))
    return requests


def _draw_sizes(band: Band, rng: random.Random) -> tuple[int, int]:
    tokens = draw_tokens(rng, MIN_PROMPT_TOKENS[band], MAX_PROMPT_TOKENS[band])
    return tokens, draw_tokens(rng, 40, 300)


def _build_request(
    scenario: Scenario,
    customer: LoadCustomer,
    at: float,
    tokens: int,
    output: int,
    rng: random.Random,
) -> PlannedRequest:
    prefix = None
    prefix_tokens = 0
    if rng.random() < scenario.shared_prefixes:
        prefix = rng.randrange(4) + 10 * (hash_name(customer.customer) % 1000)
        prefix_tokens = min(tokens - 1, 2_000)
    return PlannedRequest(
        0, at, customer.customer, tokens, output, prefix, prefix_tokens
    )


def hash_name(name: str) -> int:
    """Return a hash that is the same in every process."""
    return sum((index + 1) * ord(letter) for index, letter in enumerate(name))
