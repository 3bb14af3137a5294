"""The schedule of faults that a seed determines.

A schedule consists of series: several overlapping faults that start within a few
seconds, then a calm period in which the promises that hold only without faults can be
checked.
"""

from __future__ import annotations

import math
import random

import msgspec

from scalebend.soak.faults import (
    Change,
    Crash,
    DiskMode,
    Disorder,
    Drain,
    Evacuate,
    Fault,
    GuiltyPrompts,
    Impair,
    Kill,
    Misbehave,
    PartitionFronts,
    Pause,
    RateLimitFault,
    Reject,
    Reload,
    ReplicaMode,
    Reset,
    Silence,
    SilencePlace,
    SilentResponses,
    Stop,
)
from scalebend.soak.layout import Layout
from scalebend.soak.observations import RequestKind
from scalebend.standins.proxy import Direction

FIRST_SERIES_AT_S = 2.0
"""Seconds from the start of the load to the first series."""

CALM_S = 11.0
"""Seconds without new faults between two series: longer than the settling time of the
promises, so that each of them is checked in every calm period."""

PLANNED_WORK_DELAY_S = 6.5
"""Seconds into a calm period at which replicas drain and the routing document changes:
what is promised of planned work in calm cannot be checked within a series."""

SERIES_DURATION_S = 6.0
"""Seconds over which the starts of the faults in one series spread."""

MIN_SERIES_FAULTS = 2
MAX_SERIES_FAULTS = 10
"""Bounds of the number of randomly drawn faults in one series."""

MIN_FAULT_S = 0.3
MAX_FAULT_S = 4.0
"""Bounds in seconds of the duration of most faults."""

MAX_POUR_S = 2.0
"""Maximum seconds for which a replica sends bytes without end."""

_DRAWN_MODES = [
    mode
    for mode in ReplicaMode
    if mode not in (ReplicaMode.HEALTHY, ReplicaMode.POURING)
]
"""Modes of the randomly drawn faults; pours are drawn apart from them."""

RATE_LIMIT_DURATION_S = 4.0
"""Seconds for which all replicas of a service, so also those in use, announce a rate
limit. It ends before the next calm period is checked."""

MIN_RATE_LIMIT_PER_S = 0.3
MAX_RATE_LIMIT_PER_S = 1.0
"""Bounds of an announced rate limit in requests per second, below the usual load."""

REJECTION_DURATION_S = 3.0
"""Seconds for which replicas reject all requests and ask for a backoff."""

MIN_BACKOFF_S = 0.7
MAX_BACKOFF_S = 2.5
"""Bounds in seconds of the backoff that such a replica asks for."""

EVACUATION_START_S = 1.0
EVACUATION_DURATION_S = 7.0
"""Latest start of an evacuation in a series, and its duration, in seconds: longer than
the platform's bound, and over before the replicas of the next calm period drain."""

LONG_EVACUATION_DURATION_S = 14.0
"""Duration of the evacuation in the last series, in seconds: longer than any limit of
what is promised, so that late requests show also if control was disturbed."""

SILENT_SERIES_S = 9.0
"""Duration in seconds of the series of silences beside no unplanned fault."""

LONG_EVACUATION_SERIES_S = 28.0
"""Duration of that series with the calm after it, in seconds."""

GUILTY_START_S = 1.5
GUILTY_DURATION_S = 4.0
"""Latest start of prompts with a guilty part in a series, and how long they are sent,
in seconds: replicas are back before the next calm period is checked."""

GUILTY_KINDS = (
    RequestKind.IDEMPOTENT,
    RequestKind.NON_IDEMPOTENT,
    RequestKind.QUICK_STREAM,
)

MIN_SILENCE_S = 0.5
MAX_SILENCE_S = 1.9
"""Bounds in seconds of the silence of a sound replica: callers of most streams wait for
two seconds."""

SILENCE_START_S = 4.0
"""Latest start of a silence in a series in seconds: it is over before the next calm
period is checked."""

MIN_SILENCES = 3
MAX_SILENCES = 6
"""Bounds of the number of silences in one series."""

MAX_SILENT_RESPONSES = 3
"""Largest number of responses that fall silent by themselves because of one fault."""

MIN_LONG_EVACUATION_LENGTH_S = 60.0
"""Length in seconds from which a run has this series; those of the tests are short."""

LONG_FAULT_SHARE = 0.15
MAX_LONG_FAULT_S = 9.0
"""Share of the faults that last longer, and their longest duration in seconds: an
isolated process must stop admitting requests before a key's revocation time ends."""

DISK_RECOVERY_S = 6.0
"""Seconds after the loss of a disk until another may be lost: the new member has to
catch up as a learner and to become a voter."""


class ScheduledFault(msgspec.Struct, frozen=True):
    """A fault and its start in seconds from the start of the load."""

    at: float
    fault: Fault


class Schedule(msgspec.Struct, frozen=True):
    """All faults of a run, and the end of the load in seconds from its start."""

    faults: list[ScheduledFault]
    ends: float


def build_schedule(seed: int, length: float, layout: Layout) -> Schedule:
    """Draw the faults of a run of about ``length`` seconds."""
    chooser = random.Random(seed)
    # Separate generators keep the other faults of each seed as they are.
    rate_limit_random = random.Random(f"{seed}/limits")
    response_fault_random = random.Random(f"{seed}/words")
    evacuation_random = random.Random(f"{seed}/evacuations")
    partition_random = random.Random(f"{seed}/partitions")
    guilty_random = random.Random(f"{seed}/guilty")
    silence_random = random.Random(f"{seed}/silences")
    pour_random = random.Random(f"{seed}/pours")
    drawer = _Drawer(chooser, layout)
    faults: list[ScheduledFault] = []
    at = FIRST_SERIES_AT_S
    while at < length:
        for _ in range(chooser.randint(MIN_SERIES_FAULTS, MAX_SERIES_FAULTS)):
            begins = at + chooser.uniform(0.0, SERIES_DURATION_S)
            faults.append(ScheduledFault(begins, drawer.draw(begins)))
        begins = at + rate_limit_random.uniform(0.0, SERIES_DURATION_S)
        faults.append(
            ScheduledFault(begins, _draw_rate_limit(rate_limit_random, layout))
        )
        for fault in (
            _draw_rejection(response_fault_random, layout),
            _draw_drain_notice(response_fault_random, layout),
        ):
            begins = at + response_fault_random.uniform(0.0, SERIES_DURATION_S)
            faults.append(ScheduledFault(begins, fault))
        begins = at + evacuation_random.uniform(0.0, EVACUATION_START_S)
        zone = evacuation_random.choice(layout.replica_zones)
        evacuation = Evacuate(zone, EVACUATION_DURATION_S)
        faults.append(ScheduledFault(begins, evacuation))
        begins = at + partition_random.uniform(0.0, SERIES_DURATION_S)
        faults.append(ScheduledFault(begins, draw_partition(partition_random, layout)))
        begins = at + guilty_random.uniform(0.0, GUILTY_START_S)
        prompts = draw_guilty_prompts(guilty_random, GUILTY_DURATION_S)
        faults.append(ScheduledFault(begins, prompts))
        faults += draw_silences(silence_random, at, layout)
        faults.append(_draw_pour(pour_random, at, layout))
        planned_at = at + SERIES_DURATION_S + PLANNED_WORK_DELAY_S
        # Both services: before a delayed send, a front checks only engines again.
        for numbers in (layout.engine_replicas, layout.plain_replicas):
            planned_drain = Drain(chooser.choice(numbers))
            faults.append(ScheduledFault(planned_at, planned_drain))
        faults.append(ScheduledFault(planned_at, Change(1, revokes=False)))
        at += SERIES_DURATION_S + CALM_S
    if length >= MIN_LONG_EVACUATION_LENGTH_S:
        # After the others, whose calm it would take, and with faults of its own.
        faults += _draw_long_evacuation(random.Random(f"{seed}/long"), at, layout)
        at += LONG_EVACUATION_SERIES_S
    faults.sort(key=lambda scheduled: scheduled.at)
    return Schedule(faults, at)


def _draw_pour(chooser: random.Random, at: float, layout: Layout) -> ScheduledFault:
    """Draw a replica that sends bytes without end in a series from ``at`` on."""
    begins = at + chooser.uniform(0.0, SERIES_DURATION_S)
    lasts = chooser.uniform(MIN_FAULT_S, MAX_POUR_S)
    replica = chooser.randrange(layout.replicas)
    return ScheduledFault(begins, Misbehave(replica, ReplicaMode.POURING, lasts))


def _draw_long_evacuation(
    chooser: random.Random, at: float, layout: Layout
) -> list[ScheduledFault]:
    """Draw a series with a long evacuation, and without planned work after it."""
    begins = at + chooser.uniform(0.0, EVACUATION_START_S)
    zone = chooser.choice(layout.replica_zones)
    evacuation = Evacuate(zone, LONG_EVACUATION_DURATION_S)
    drawer = _Drawer(chooser, layout)
    starts = [
        at + chooser.uniform(0.0, SERIES_DURATION_S)
        for _ in range(chooser.randint(MIN_SERIES_FAULTS, MAX_SERIES_FAULTS))
    ]
    return [
        ScheduledFault(begins, evacuation),
        *(ScheduledFault(start, drawer.draw(start)) for start in starts),
    ]


def draw_silences(
    chooser: random.Random, at: float, layout: Layout
) -> list[ScheduledFault]:
    """Draw silences of a series that starts at ``at``, and a fault beside one."""
    begins = at + chooser.uniform(0.0, SILENCE_START_S / 2.0)
    lasts = chooser.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
    replicas = chooser.sample(
        range(layout.replicas), chooser.randint(1, layout.replicas)
    )
    beside = _draw_beside_silence(chooser, layout)
    drawn = [
        ScheduledFault(begins, Silence(tuple(replicas), lasts)),
        ScheduledFault(begins + chooser.uniform(0.0, lasts), beside),
    ]
    for _ in range(chooser.randint(MIN_SILENCES, MAX_SILENCES) - 1):
        begins = at + chooser.uniform(0.0, SILENCE_START_S)
        drawn.append(ScheduledFault(begins, _draw_silence(chooser, layout)))
    return drawn


def build_silent_series(seed: int, layout: Layout) -> Schedule:
    """Draw silences beside no other fault, then beside planned work alone."""
    chooser = random.Random(f"{seed}/calm silences")

    def silence_all() -> Silence:
        replicas = tuple(range(layout.replicas))
        return Silence(replicas, chooser.uniform(MIN_SILENCE_S, MAX_SILENCE_S))

    planned: list[Fault] = [
        Change(2, revokes=False),
        *(Reload(front) for front in layout.fronts),
        Stop(chooser.choice(layout.fronts)),
    ]
    drawn = [
        ScheduledFault(0.0, silence_all()),
        *(
            ScheduledFault(chooser.uniform(0.0, 4.0), _draw_silence(chooser, layout))
            for _ in range(2 * MAX_SILENCES)
        ),
        ScheduledFault(2.6, silence_all()),
        ScheduledFault(5.2, silence_all()),
        *(ScheduledFault(5.2 + chooser.uniform(0.0, 0.5), one) for one in planned),
        ScheduledFault(5.9, _draw_silence(chooser, layout)),
    ]
    drawn.sort(key=lambda scheduled: scheduled.at)
    return Schedule(drawn, SILENT_SERIES_S)


def _draw_silence(chooser: random.Random, layout: Layout) -> Silence | SilentResponses:
    replica = chooser.randrange(layout.replicas)
    lasts = chooser.uniform(MIN_SILENCE_S, MAX_SILENCE_S)
    if chooser.random() < 0.4:
        return Silence((replica,), lasts)
    is_plain = replica in layout.plain_replicas
    place = SilencePlace.HEAD if is_plain else chooser.choice(list(SilencePlace))
    count = chooser.randint(1, MAX_SILENT_RESPONSES)
    return SilentResponses(replica, place, count, lasts)


def _draw_beside_silence(chooser: random.Random, layout: Layout) -> Fault:
    """Draw planned work, or the loss of a control instance, beside a silence."""
    match chooser.randrange(4):
        case 0:
            return Change(chooser.randint(1, 3), chooser.random() < 0.5)
        case 1:
            return Reload(chooser.choice(layout.processes))
        case 2:
            return Stop(chooser.choice(layout.fronts))
    down = chooser.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return Kill((chooser.choice(layout.controls),), down)


def draw_partition(
    chooser: random.Random, layout: Layout, lasts: float | None = None
) -> PartitionFronts:
    """Draw a partition of some or all fronts; one if its duration is given."""
    count = 1 if lasts is not None else chooser.randint(1, len(layout.fronts))
    fronts = chooser.sample(layout.fronts, count)
    is_refused, is_reset = chooser.random() < 0.5, chooser.random() < 0.5
    drawn_lasts = chooser.uniform(MIN_FAULT_S, MAX_FAULT_S)
    return PartitionFronts(
        tuple(fronts), is_refused, is_reset, drawn_lasts if lasts is None else lasts
    )


def draw_guilty_prompts(chooser: random.Random, lasts: float) -> GuiltyPrompts:
    """Draw prompts with a part of their own that crashes replicas."""
    part = f"{chooser.getrandbits(32):08x}"
    return GuiltyPrompts(part, chooser.choice(GUILTY_KINDS), lasts)


def _draw_rate_limit(chooser: random.Random, layout: Layout) -> RateLimitFault:
    rate = round(chooser.uniform(MIN_RATE_LIMIT_PER_S, MAX_RATE_LIMIT_PER_S), 2)
    replicas = chooser.choice((layout.engine_replicas, layout.plain_replicas))
    return RateLimitFault(tuple(replicas), rate, RATE_LIMIT_DURATION_S)


def _draw_rejection(chooser: random.Random, layout: Layout) -> Reject:
    """Draw a rejection by some or all replicas of one service."""
    service_replicas = chooser.choice((layout.engine_replicas, layout.plain_replicas))
    replicas = chooser.sample(
        service_replicas, chooser.randint(1, len(service_replicas))
    )
    backoff = round(chooser.uniform(MIN_BACKOFF_S, MAX_BACKOFF_S), 2)
    return Reject(tuple(replicas), backoff, REJECTION_DURATION_S)


def _draw_drain_notice(chooser: random.Random, layout: Layout) -> Drain:
    return Drain(chooser.randrange(layout.replicas), by_responses=True)


class _Drawer:
    """Draws faults within what the system must tolerate."""

    def __init__(self, chooser: random.Random, layout: Layout) -> None:
        self._chooser = chooser
        self._layout = layout
        self._disk_lost_at = -math.inf

    def draw(self, at: float) -> Fault:
        """Draw a fault that starts at ``at``."""
        chooser = self._chooser
        process = chooser.choice(self._layout.processes)
        match chooser.randrange(16):
            case 0 | 1 | 2:
                return self._draw_kill(at)
            case 3:
                return Stop(process)
            case 4:
                return Pause(process, self._draw_length())
            case 5 | 6 | 7:
                return self._draw_impairment()
            case 8:
                return Reset(process)
            case 9 | 10:
                return self._draw_disorder()
            case 11 | 12:
                return self._draw_replica_fault()
        return Change(chooser.choice((1, 1, 2, 5)), chooser.random() < 0.5)

    def _draw_length(self) -> float:
        if self._chooser.random() < LONG_FAULT_SHARE:
            return self._chooser.uniform(MAX_FAULT_S, MAX_LONG_FAULT_S)
        return self._chooser.uniform(MIN_FAULT_S, MAX_FAULT_S)

    def _draw_kill(self, at: float) -> Kill:
        chooser = self._chooser
        layout = self._layout
        down = self._draw_length()
        is_power = chooser.random() < 0.5
        match chooser.randrange(5):
            case 0 if at - self._disk_lost_at > DISK_RECOVERY_S + MAX_FAULT_S:
                self._disk_lost_at = at
                down = min(down, MAX_FAULT_S)
                return Kill((chooser.choice(layout.controls),), down, True, True)
            case 1:
                return Kill(layout.controls, min(1.0, down), is_power)
            case 2:
                many = chooser.sample(layout.processes, len(layout.processes) // 2)
                return Kill(tuple(many), down, is_power)
        return Kill((chooser.choice(layout.processes),), down, is_power)

    def _draw_impairment(self) -> Impair:
        chooser = self._chooser
        layout = self._layout
        lasts = self._draw_length()
        if chooser.random() < 0.3:
            delay = chooser.uniform(0.02, 0.3)
            return Impair(chooser.choice(layout.processes), None, None, delay, lasts)
        holds = chooser.choice(list(Direction))
        dialler = chooser.choice((None, *layout.processes))
        return Impair(chooser.choice(layout.controls), dialler, holds, 0.0, lasts)

    def _draw_disorder(self) -> Disorder:
        chooser = self._chooser
        lasts = self._draw_length()
        if chooser.random() < 0.4:
            process = chooser.choice(self._layout.processes)
            step = chooser.choice((-5.0, -2.0, 2.0, 5.0))
            return Disorder(process, DiskMode.HEALTHY, step, lasts)
        mode = chooser.choice((DiskMode.STALLED, DiskMode.FULL))
        return Disorder(chooser.choice(self._layout.controls), mode, 0.0, lasts)

    def _draw_replica_fault(self) -> Misbehave | Drain | Crash:
        chooser = self._chooser
        replica = chooser.randrange(self._layout.replicas)
        match chooser.randrange(4):
            case 0:
                return Drain(replica)
            case 1:
                return Crash(replica, self._draw_length())
        mode = chooser.choice(_DRAWN_MODES)
        return Misbehave(replica, mode, self._draw_length())
