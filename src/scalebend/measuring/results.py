"""Figures of a run: times by band, slowdown, shares, broken promises."""

from __future__ import annotations

import functools
from collections import Counter

import msgspec

from scalebend.measuring.outcomes import Outcome, RunResult
from scalebend.measuring.scenario import Scenario
from scalebend.models.ids import AttemptId
from scalebend.standins.engine_model import (
    EngineModel,
    EngineParameters,
    Finished,
    FirstToken,
)
from scalebend.standins.load import Band
from scalebend.utils.division import divide_up
from scalebend.utils.quantiles import compute_quantile

NETWORK_TIME = 0.004
"""Seconds that an idle fleet adds to a request: hops to the owner and the engine."""

DEADLINE_SLACK = 0.1
"""Seconds after its time limit within which a request must have ended (one tick)."""

SHARE_WINDOW = 60.0


class BandFigures(msgspec.Struct, frozen=True):
    """One band; times in seconds; ratios against an idle fleet."""

    band: str
    requests: int
    failed: int
    first_token_p50: float
    first_token_p95: float
    first_token_idle_p95: float
    first_token_ratio: float
    slowdown_p50: float
    slowdown_p95: float


class ShareFigures(msgspec.Struct, frozen=True):
    """A customer's part of the work done in the window, and what it may expect."""

    customer: str
    entitled: float
    used: float


class Figures(msgspec.Struct, frozen=True):
    """All figures of one run."""

    scenario: str
    policy: str
    seed: int
    requests: int
    failed: dict[str, int]
    bands: list[BandFigures]
    long_tokens_per_second: float
    work_per_second: float
    shares: list[ShareFigures]
    past_time_limit: int
    memory_left: int
    overfilled: int
    wrong_not_run: int
    run_twice: int
    wrong_answers: int
    late_to_leaving: int

    def count_broken(self) -> int:
        """How often a promise was broken."""
        return (
            self.past_time_limit
            + self.memory_left
            + self.overfilled
            + self.wrong_not_run
            + self.run_twice
            + self.wrong_answers
            + self.late_to_leaving
        )


class IdleTimes(msgspec.Struct, frozen=True):
    """What a request would see on an idle fleet, in seconds."""

    first_token: float
    duration: float


@functools.lru_cache(maxsize=100_000)
def compute_idle(tokens: int, output: int, parameters: EngineParameters) -> IdleTimes:
    """Run one request alone on as few engines as hold it."""
    speed = 1
    while divide_up(tokens + output, speed) > parameters.memory_tokens:
        speed += 1
    model = EngineModel(parameters)
    attempt = AttemptId("idle")
    model.submit(
        attempt,
        prompt_tokens=tokens,
        output_tokens=output,
        priority=0,
        now=0.0,
        speed=speed,
    )
    first = 0.0
    now = 0.0
    while (end := model.plan(now)) is not None:
        now = end
        for event in model.complete(now):
            match event:
                case FirstToken(_, at):
                    first = at
                case Finished(_, at):
                    return IdleTimes(first + NETWORK_TIME, at + NETWORK_TIME)
    return IdleTimes(first, now)


def build_figures(
    scenario: Scenario, policy: str, seed: int, result: RunResult
) -> Figures:
    """Compute the figures of a run, without its warm-up."""
    measured = [
        outcome
        for outcome in result.outcomes
        if not outcome.order and outcome.planned.at >= scenario.warm_up
    ]
    failed = Counter(o.error for o in result.outcomes if o.error)
    span = scenario.duration - scenario.warm_up
    in_window = [u for u in result.used_by_customer if _is_in_window(scenario, u[0])]
    long_tokens = sum(
        outcome.planned.prompt_tokens
        for outcome in result.outcomes
        if _ended_in_load(scenario, outcome) and outcome.planned.band is Band.LONG
    )
    return Figures(
        scenario.name,
        policy,
        seed,
        len(result.outcomes),
        dict(failed),
        [_build_band(band, measured, scenario.parameters) for band in Band],
        long_tokens / scenario.duration,
        sum(cost for at, _, cost in result.used_by_customer if at < scenario.duration)
        / scenario.duration
        if span > 0
        else 0.0,
        _build_shares(scenario, in_window),
        sum(_is_past_limit(outcome) for outcome in result.outcomes),
        result.memory_left,
        result.overfilled,
        sum(o.ran == "no" and o.starts > 0 for o in result.outcomes),
        result.run_twice,
        sum(_is_wrong(outcome) for outcome in result.outcomes),
        result.late_to_leaving,
    )


def _is_in_window(scenario: Scenario, at: float) -> bool:
    return scenario.duration - SHARE_WINDOW <= at < scenario.duration


def _ended_in_load(scenario: Scenario, outcome: Outcome) -> bool:
    if outcome.error or outcome.order or outcome.ended is None:
        return False
    return outcome.ended < scenario.duration


def _is_past_limit(outcome: Outcome) -> bool:
    return outcome.ended is None or outcome.ended > outcome.deadline + DEADLINE_SLACK


def _is_wrong(outcome: Outcome) -> bool:
    if outcome.error or outcome.order:
        return False
    return outcome.output_tokens != outcome.planned.output_tokens


def _build_band(
    band: Band, outcomes: list[Outcome], parameters: EngineParameters
) -> BandFigures:
    mine = [outcome for outcome in outcomes if outcome.planned.band is band]
    whole = [o for o in mine if not o.error]
    first = []
    idle_first = []
    slowdowns = []
    for outcome in whole:
        planned = outcome.planned
        idle = compute_idle(planned.prompt_tokens, planned.output_tokens, parameters)
        assert outcome.first_token is not None and outcome.ended is not None
        first.append(outcome.first_token - planned.at + NETWORK_TIME / 2)
        idle_first.append(idle.first_token)
        slowdowns.append((outcome.ended - planned.at) / idle.duration)
    idle_p95 = compute_quantile(idle_first, 0.95)
    p95 = compute_quantile(first, 0.95)
    return BandFigures(
        band.label,
        len(mine),
        len(mine) - len(whole),
        compute_quantile(first, 0.5),
        p95,
        idle_p95,
        p95 / idle_p95 if idle_p95 else 0.0,
        compute_quantile(slowdowns, 0.5),
        compute_quantile(slowdowns, 0.95),
    )


def _build_shares(
    scenario: Scenario, used: list[tuple[float, str, float]]
) -> list[ShareFigures]:
    total = sum(cost for _, _, cost in used) or 1.0
    weights = sum(customer.weight for customer in scenario.customers)
    return [
        ShareFigures(
            customer.customer,
            customer.weight / weights,
            sum(cost for _, name, cost in used if name == customer.customer) / total,
        )
        for customer in scenario.customers
    ]
