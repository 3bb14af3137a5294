"""Indexed observations, and which faults were active when."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict

from scalebend.models.ids import RoutingVersion
from scalebend.soak.layout import ProcessName
from scalebend.soak.observations import (
    GUILTY_PROMPTS,
    Disturbance,
    Execution,
    Observations,
    SilentRequest,
)

SETTLE_S = 4.0
"""Seconds after the last fault until a calm period begins."""


class Evidence:
    """Observations with indexes for the checks."""

    def __init__(self, observations: Observations) -> None:
        self.observations = observations
        self.runs: dict[str, list[Execution]] = defaultdict(list)
        for run in observations.executions:
            self.runs[run.request_id].append(run)
        self.silences: dict[str, list[SilentRequest]] = defaultdict(list)
        for silent in sorted(observations.silent_requests, key=lambda one: one.since):
            self.silences[silent.request_id].append(silent)
        self.part_crashes: dict[str, list[float]] = defaultdict(list)
        for crash in sorted(observations.part_crashes, key=lambda one: one.at):
            self.part_crashes[crash.part].append(crash.at)
        self._accepted = sorted(observations.accepted, key=lambda accepted: accepted.at)
        self._newest: list[RoutingVersion] = []
        for accepted in self._accepted:
            newest = max([accepted.version, *self._newest[-1:]])
            self._newest.append(newest)

    def find_version(self, at: float) -> RoutingVersion:
        """Return the newest version that was acknowledged before ``at``, or 0."""
        place = bisect_left(self._accepted, at, key=lambda accepted: accepted.at)
        return self._newest[place - 1] if place else RoutingVersion(0)

    def is_calm(
        self, since: float, until: float, excluding: ProcessName | None = None
    ) -> bool:
        """Whether no fault was active from ``SETTLE_S`` before ``since`` to ``until``.

        Planned stops count as faults, except those of the process ``excluding``.
        """
        if not self.is_calm_but_for_partitions(since, until, excluding):
            return False
        return not self._list_active(self.observations.partitions, since, until)

    def is_calm_but_for_partitions(
        self, since: float, until: float, excluding: ProcessName | None = None
    ) -> bool:
        """The same, apart from partitions of fronts from replicas."""
        observations = self.observations
        if self._list_active(observations.disturbances, since, until):
            return False
        stops = self._list_active(observations.stops, since, until)
        return all(one.process == excluding for one in stops)

    def find_guilty_part(self, request_id: str) -> str:
        """Return the part of a request that crashes replicas; empty without one."""
        call = self.observations.caller_requests.get(request_id)
        return call.guilty_part if call is not None else ""

    def are_processes_calm(self, since: float, until: float) -> bool:
        """Whether no fault of a gateway process was active from ``SETTLE_S`` before."""
        observations = self.observations
        active = self._list_active(
            [
                *observations.disturbances,
                *observations.stops,
                *observations.partitions,
            ],
            since,
            until,
        )
        return all(
            one.process == GUILTY_PROMPTS or one.process.startswith("replica-")
            for one in active
        )

    def is_calm_but_for_parts(self, since: float, until: float) -> bool:
        """Whether no fault was active but prompts that crash replicas."""
        active = self._list_active(self.observations.disturbances, since, until)
        is_only_parts = all(one.process == GUILTY_PROMPTS for one in active)
        return is_only_parts and self.are_processes_calm(since, until)

    def compute_partitioned(self, since: float, until: float) -> float:
        """Return the seconds of a period in which any front was partitioned."""
        total, counted_until = 0.0, since
        for one in sorted(self.observations.partitions, key=lambda one: one.since):
            begin = max(one.since, counted_until)
            end = min(one.until, until)
            if end > begin:
                total += end - begin
                counted_until = end
        return total

    def _list_active(
        self, disturbances: list[Disturbance], since: float, until: float
    ) -> list[Disturbance]:
        return [
            one
            for one in disturbances
            if one.since <= until and one.until >= since - SETTLE_S
        ]

    def is_disturbed(self, process: ProcessName, since: float, until: float) -> bool:
        """Whether a fault affected the process itself in that time."""
        return any(
            one.process == process and one.since <= until and one.until >= since
            for one in self.observations.disturbances
        )
