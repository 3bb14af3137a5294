"""Figures of a run: times by band of prompt lengths, shares and broken promises."""

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

NETWORK_TIME_S = 0.004
"""Network time of a request on an idle fleet: hops to the owner and the engine."""

DEADLINE_SLACK_S = 0.1
"""Time after its deadline within which a request must end; covers one tick."""

SHARE_WINDOW_S = 60.0


class BandFigures(msgspec.Struct, frozen=True):
    """Figures of one band.

    Times are in seconds; ratios and slowdowns are relative to an idle fleet.
    """

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
    """Share of the work that a customer used in the window, and its entitled share."""

    customer: str
    entitled: float
    used: float


class Figures(msgspec.Struct, frozen=True):
    """All figures of one run.

    ``wrong_not_run`` counts requests that were reported as not run although they had
    started, ``wrong_answers`` complete responses of a wrong length.
    """

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
    late_starts_on_draining: int = msgspec.field(name="late_to_leaving")

    def count_broken_promises(self) -> int:
        """Return how often any promise was broken."""
        return (
            self.past_time_limit
            + self.memory_left
            + self.overfilled
            + self.wrong_not_run
            + self.run_twice
            + self.wrong_answers
            + self.late_starts_on_draining
        )


class IdleTimes(msgspec.Struct, frozen=True):
    """Times of a request on an idle fleet, in seconds."""

    first_token: float
    duration: float


@functools.lru_cache(maxsize=100_000)
def compute_idle_times(
    tokens: int, output: int, parameters: EngineParameters
) -> IdleTimes:
    """Run one request on the fewest idle engines whose memory holds it."""
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
        group_size=speed,
    )
    first_tokens = 0.0
    now = 0.0
    while (end := model.plan(now)) is not None:
        now = end
        for event in model.complete(now):
            match event:
                case FirstToken(_, at):
                    first_tokens = at
                case Finished(_, at):
                    return IdleTimes(first_tokens + NETWORK_TIME_S, at + NETWORK_TIME_S)
    return IdleTimes(first_tokens, now)


def build_figures(
    scenario: Scenario, policy: str, seed: int, result: RunResult
) -> Figures:
    """Compute the figures of a run; those by band leave out the warm-up."""
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
        sum(_has_wrong_output(outcome) for outcome in result.outcomes),
        result.late_starts_on_draining,
    )


def _is_in_window(scenario: Scenario, at: float) -> bool:
    return scenario.duration - SHARE_WINDOW_S <= at < scenario.duration


def _ended_in_load(scenario: Scenario, outcome: Outcome) -> bool:
    if outcome.error or outcome.order or outcome.ended is None:
        return False
    return outcome.ended < scenario.duration


def _is_past_limit(outcome: Outcome) -> bool:
    return outcome.ended is None or outcome.ended > outcome.deadline + DEADLINE_SLACK_S


def _has_wrong_output(outcome: Outcome) -> bool:
    if outcome.error or outcome.order:
        return False
    return outcome.output_tokens != outcome.planned.output_tokens


def _build_band(
    band: Band, outcomes: list[Outcome], parameters: EngineParameters
) -> BandFigures:
    in_band = [outcome for outcome in outcomes if outcome.planned.band is band]
    completed = [o for o in in_band if not o.error]
    first_tokens = []
    idle_first_tokens = []
    slowdowns = []
    for outcome in completed:
        planned = outcome.planned
        idle = compute_idle_times(
            planned.prompt_tokens, planned.output_tokens, parameters
        )
        assert outcome.first_token is not None and outcome.ended is not None
        first_tokens.append(outcome.first_token - planned.at + NETWORK_TIME_S / 2)
        idle_first_tokens.append(idle.first_token)
        slowdowns.append((outcome.ended - planned.at) / idle.duration)
    idle_p95 = compute_quantile(idle_first_tokens, 0.95)
    p95 = compute_quantile(first_tokens, 0.95)
    return BandFigures(
        band.label,
        len(in_band),
        len(in_band) - len(completed),
        compute_quantile(first_tokens, 0.5),
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
