"""Evidence on paths between zones, at a front and at the leader.

See :mod:`scalebend.core.gateway.path_health` for what is concluded from it.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

import msgspec

from scalebend.core.gateway.path_health import (
    MIN_COMPARED,
    RELATIVE_LOSS_RATE,
    PathHealth,
    compute_decay,
)
from scalebend.models.ids import AvailabilityZone, InstanceId, UpstreamId
from scalebend.models.paths import (
    PathEvidence,
    PathReport,
    PathSum,
    ZonePath,
    build_zone_path,
)
from scalebend.models.placement import JobId

SAME_INSTANT_S = 0.03
"""Time in which several losses at one front count as one: after a stall, it reads all
its connections one after the other."""

CONNECTION_LOSS_INTERVAL_S = 5.0
"""Time for which a failed connection counts; further ones to the same upstream tell of
a dead host rather than of the path."""

EVALUATION_INTERVAL_S = 0.1
"""Interval of evaluations, which bounds their cost with hundreds of fronts."""

TOLD_LIFETIME_S = 2.0
"""Time for which a front goes by the degraded paths that the leader named last: a few
of its heartbeats, as the link to a leader on a bad path loses packets, too."""

MIN_EVIDENCE = 0.05
"""Decayed counts below which evidence is removed."""

MIN_FRONT_LOST = 0.5
"""Decayed losses from which on a front counts as one that observed them."""


class _FailedConnection(msgspec.Struct, frozen=True):
    zone: AvailabilityZone
    at: float
    """Clock time in seconds."""


class FrontPaths:
    """Evidence of one front, and what it concludes from it alone."""

    def __init__(self, front_zone: AvailabilityZone, now: float) -> None:
        self.health = PathHealth(min_fronts=1)
        self.has_news = False
        """Whether losses were observed since the last report."""

        self._front_zone = front_zone
        self._counts: dict[AvailabilityZone, PathSum] = {}
        self._counted_at = now
        self._evaluate_at = now
        self._connection_losses: dict[UpstreamId, _FailedConnection] = {}
        self._lost_at: dict[AvailabilityZone, float] = {}
        """Clock time in seconds of the last loss that counted."""

        self._told_until = now

    def adopt(self, paths: Iterable[ZonePath], now: float) -> None:
        """Avoid the paths that the leader names, for a while."""
        self.health.set_told(paths)
        self._told_until = now + TOLD_LIFETIME_S

    def record(
        self, zone: AvailabilityZone, observed: int, lost: int, now: float
    ) -> None:
        """Count pieces of data on the path to a zone, and those of them lost first.

        Losses of several streams at the same instant are one.
        """
        self._decay(now)
        count = self._counts.setdefault(zone, PathSum())
        if lost and now - self._lost_at.get(zone, -math.inf) < SAME_INSTANT_S:
            lost = 0
        elif lost:
            self._lost_at[zone] = now
        count.observed += observed
        count.lost += lost
        if lost:
            self.has_news = True
            self._evaluate(now)

    def record_failed_connection(
        self, zone: AvailabilityZone, upstream: UpstreamId, now: float
    ) -> None:
        """Count a connection to an upstream that timed out.

        It is not reported: all fronts notice a dead host, which says nothing of paths.
        """
        before = self._connection_losses.get(upstream)
        if before is not None and now - before.at < CONNECTION_LOSS_INTERVAL_S:
            return
        self._connection_losses[upstream] = _FailedConnection(zone, now)
        self._decay(now)
        self._evaluate(now)

    def build_report(self, now: float) -> PathReport | None:
        """Build a report of the current evidence, if there is any to compare."""
        self.has_news = False
        self._decay(now)
        has_losses = any(count.lost >= MIN_EVIDENCE for count in self._counts.values())
        if not has_losses and not self._counts.keys() - {self._front_zone}:
            return None
        evidence = [
            PathEvidence(zone, round(count.observed, 2), round(count.lost, 2))
            for zone, count in self._counts.items()
        ]
        return PathReport(self._front_zone, evidence)

    def list_avoided(self, request: str | None = None) -> frozenset[AvailabilityZone]:
        """Zones whose plain services should not get a request if others have room.

        A few requests use a path on trial.
        """
        job = JobId(request) if request is not None else None
        return self.health.list_avoided(self._front_zone, job)

    def advance(self, now: float) -> None:
        """Judge the paths anew if that is due, and remove old evidence."""
        if self.health.has_judged and now >= self._evaluate_at:
            self._decay(now)
            self._evaluate(now)
        if now >= self._told_until:
            self.health.set_told(())
        for upstream, failed in list(self._connection_losses.items()):
            if now - failed.at >= CONNECTION_LOSS_INTERVAL_S:
                del self._connection_losses[upstream]

    def _evaluate(self, now: float) -> None:
        self._evaluate_at = now + EVALUATION_INTERVAL_S
        sums = {
            build_zone_path(self._front_zone, zone): PathSum(
                count.observed, count.lost, int(count.lost >= MIN_FRONT_LOST)
            )
            for zone, count in self._counts.items()
        }
        for failed in self._connection_losses.values():
            if now - failed.at < CONNECTION_LOSS_INTERVAL_S:
                path = build_zone_path(self._front_zone, failed.zone)
                sums.setdefault(path, PathSum()).failed_upstreams += 1
        self.health.update(sums, now)

    def _decay(self, now: float) -> None:
        factor = compute_decay(now - self._counted_at)
        self._counted_at = now
        for zone, count in list(self._counts.items()):
            count.observed *= factor
            count.lost *= factor
            if count.observed < MIN_EVIDENCE:
                del self._counts[zone]


class _Received(msgspec.Struct, frozen=True):
    report: PathReport
    at: float
    """Clock time in seconds."""


class LeaderPaths:
    """Evidence of all fronts at the leader, and what it concludes from it."""

    def __init__(self) -> None:
        self.health = PathHealth(min_fronts=2)
        self._reports: dict[InstanceId, _Received] = {}
        self._has_losses = False
        self._evaluate_at = 0.0

    def record(self, front: InstanceId, report: PathReport | None, now: float) -> None:
        """Replace the evidence of a front; older versions report none."""
        if report is None:
            return
        received = _Received(report, now)
        if front not in self._reports:
            self._shift_baselines(received, 1.0)
        self._reports[front] = received
        if any(one.lost >= MIN_FRONT_LOST for one in report.evidence):
            self._has_losses = True

    def remove_front(self, front: InstanceId) -> None:
        """Remove the evidence of a front whose link was lost."""
        received = self._reports.pop(front, None)
        if received is not None:
            self._shift_baselines(received, -1.0)

    def _shift_baselines(self, received: _Received, sign: float) -> None:
        """Tell trials of all evidence that a front brings or takes away at once."""
        for one in received.report.evidence:
            path = build_zone_path(received.report.front_zone, one.upstream_zone)
            observed, lost = sign * one.observed, sign * one.lost
            self.health.shift_baseline(path, observed, lost, received.at)

    def advance(self, now: float) -> None:
        """Judge the paths anew if that is due."""
        if now < self._evaluate_at or not (self._has_losses or self.health.has_judged):
            return
        self._evaluate_at = now + EVALUATION_INTERVAL_S
        sums = self._sum(now)
        self._has_losses = any(one.fronts for one in sums.values())
        self.health.update(sums, now)

    def _sum(self, now: float) -> dict[ZonePath, PathSum]:
        """Sum up the evidence of all fronts, decayed since their reports."""
        sums: dict[ZonePath, PathSum] = {}
        for received in self._reports.values():
            report = received.report
            factor = compute_decay(now - received.at)
            for one in report.evidence:
                path = build_zone_path(report.front_zone, one.upstream_zone)
                total = sums.setdefault(path, PathSum())
                total.observed += factor * one.observed
                total.lost += factor * one.lost
                has_lost = factor * one.lost >= MIN_FRONT_LOST
                total.fronts += has_lost and _is_worse_than_others(one, report)
        return sums


def _is_worse_than_others(one: PathEvidence, report: PathReport) -> bool:
    """Whether a front loses clearly more on a path than on its best other one."""
    rates = [
        other.lost / max(other.observed, 1.0)
        for other in report.evidence
        if other is not one and other.observed >= MIN_COMPARED
    ]
    rate = one.lost / max(one.observed, one.lost, 1.0)
    return rate >= RELATIVE_LOSS_RATE * min(rates, default=0.0)
