"""Decides what to do while an upstream sends nothing to a request that it was sent.

A sound upstream may fall silent for a second or two and go on. A connection may also be
silent for good, and a host may be dark. So a silence never ends an attempt; it only
starts another one beside it, as early as the evidence allows. Times in seconds.
"""

from __future__ import annotations

import math
from enum import Enum

import msgspec

from scalebend.core.gateway.timeouts import (
    compute_event_timeout,
    compute_first_byte_timeout,
)
from scalebend.models.calls import Call
from scalebend.models.routing import Route, RouteKind

CHECK_TIME_S = 0.4
"""Time before a silence is suspicious at which the upstream is checked: longer than a
connection may take."""

MIN_PAUSE_S = 1.4
"""Silence up to which an upstream that can be reached is waited for: a sound one pauses
for a second or so."""

MAX_PAUSE_S = 2.0
"""Silence after which another attempt starts at the latest, unless a longer pause is
known."""

SECOND_ATTEMPT_MARGIN_S = 0.2
"""Time for placing a second attempt, in addition to that for its first token."""

PAUSE_MARGIN_S = 0.3
"""Time by which a known pause may last longer than predicted."""

MIN_CALLER_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4.0
PATIENCE_GAPS = 8.0
"""Callers give a stream up after the longest of that time, so many target latencies and
so many event gaps without an event."""


class Reachability(Enum):
    """Whether a silent upstream accepts new connections."""

    UNKNOWN = "unknown"
    REACHED = "reached"
    UNREACHED = "unreached"


class SilenceLimits(msgspec.Struct, frozen=True):
    """When a silence of one wait calls for something."""

    suspect_after: float
    """Silence that is too long for an upstream that can't be reached."""

    second_after: float
    """Silence after which another attempt starts although it can be reached."""

    patience: float = math.inf
    """Silence after which the caller gives up: a longer pause explains nothing."""

    @property
    def check_after(self) -> float:
        """Silence after which the upstream is checked."""
        return max(0.0, self.suspect_after - CHECK_TIME_S)


class SilenceState(msgspec.Struct):
    """What is known of one silence."""

    lasted: float = 0.0
    reachability: Reachability = Reachability.UNKNOWN
    is_checked: bool = False
    """Whether a check has been started."""

    pause_left: float = 0.0
    """Further time for which a pause lasts that explains the silence, or 0."""

    is_acted_on: bool = False
    """Whether a second attempt was started, or is out of the question."""

    def record_pause(self, limits: SilenceLimits, left: float) -> None:
        """Record that a known pause lasts ``left`` more seconds; 0 if none is known.

        One that follows no other and is known only once the silence is suspicious began
        during it, and so does not explain it.
        """
        is_explained = self.pause_left > 0.0 or self.lasted < limits.suspect_after
        self.pause_left = left if is_explained else 0.0


class KeepWaiting(msgspec.Struct, frozen=True):
    """Decision: wait for data; ``seconds`` until the next decision, if any is due."""

    seconds: float | None


class CheckUpstream(msgspec.Struct, frozen=True):
    """Decision: find out whether the upstream accepts new connections."""


class StartSecond(msgspec.Struct, frozen=True):
    """Decision: start another attempt beside the silent one, if that is allowed."""


SilenceDecision = KeepWaiting | CheckUpstream | StartSecond


def decide(limits: SilenceLimits, state: SilenceState) -> SilenceDecision:
    """Decide what a silence calls for now."""
    if state.is_acted_on:
        return KeepWaiting(None)
    if state.lasted < limits.check_after:
        return KeepWaiting(limits.check_after - state.lasted)
    if not state.is_checked:
        return CheckUpstream()
    if state.lasted < limits.suspect_after:
        return KeepWaiting(limits.suspect_after - state.lasted)
    if state.reachability is Reachability.UNREACHED:
        return StartSecond()
    left = limits.second_after - state.lasted
    if 0.0 < state.pause_left <= limits.patience - state.lasted:
        left = max(left, state.pause_left + PAUSE_MARGIN_S)
    return KeepWaiting(left) if left > 0.0 else StartSecond()


def compute_caller_patience(route: Route) -> float:
    """Return the time without an event after which callers give a stream up."""
    gap = route.event_gap or 0.0
    return max(
        MIN_CALLER_PATIENCE_S,
        PATIENCE_TARGETS * route.target_latency,
        PATIENCE_GAPS * gap,
    )


def compute_first_byte_limits(
    call: Call, predicted: float | None, now: float
) -> SilenceLimits:
    """Return the limits of the wait for the first byte of an attempt sent at ``now``.

    ``predicted`` is the time to the first token in seconds, for engines only.
    """
    suspect_after = compute_first_byte_timeout(call.route, predicted)
    return _build_limits(call, suspect_after, predicted, now)


def compute_event_limits(
    call: Call, predicted: float | None, now: float
) -> SilenceLimits:
    """Return the limits of the wait for the next event of a stream, from ``now`` on."""
    return _build_limits(call, compute_event_timeout(call.route), predicted, now)


def _build_limits(
    call: Call, suspect_after: float, predicted: float | None, now: float
) -> SilenceLimits:
    needed = SECOND_ATTEMPT_MARGIN_S
    needed += call.route.target_latency if predicted is None else predicted
    patience = math.inf
    if call.route.kind is RouteKind.STREAMING:
        patience = compute_caller_patience(call.route)
    left = min(patience, call.deadline - now) - needed
    longest = max(suspect_after, MAX_PAUSE_S)
    # Where a second attempt would come too late anyway, the first gets its time.
    second_after = min(left, longest) if left >= MIN_PAUSE_S else longest
    return SilenceLimits(min(suspect_after, second_after), second_after, patience)
