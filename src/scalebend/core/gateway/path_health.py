"""Judges the paths between availability zones by the losses that fronts observe.

Links between two zones that lose a few packets in a hundred delay most quick streams
that cross them, since a retransmission takes longer than their events may be apart.
Other zones usually have room, so work moves there until the evidence is old.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping

import msgspec
import structlog

from scalebend.models.ids import AvailabilityZone, InstanceId, UpstreamId
from scalebend.models.paths import (
    PathEvidence,
    PathReport,
    PathState,
    PathSum,
    ZonePath,
    build_zone_path,
)
from scalebend.models.placement import JobId

logger = structlog.get_logger(__name__)

RETRANSMISSION_S = 0.3
"""Time by which one lost segment delays what follows: 200 ms and more at the kernel,
more with a varying round trip. Work whose events may be further apart isn't harmed."""

EVIDENCE_DECAY_S = 2.0
"""Time constant of the decaying counts: about the duration of a quick response, so that
streams that began before a fault don't hide it."""

MIN_LOST = 2.5
"""Minimum decayed number of losses, three recent ones: healthy links lose single
packets."""

MIN_LOST_AT_ONE_FRONT = 8.0
"""The same, if a single front observed them and others would be bound by it."""

LONE_FRONT_S = 1.0
"""Time for which a single front must observe that many: a front that stalls once would
count all its streams."""

SAME_INSTANT_S = 0.03
"""Time in which several losses at one front count as one: after a stall, it reads all
its connections one after the other."""

MIN_FRONT_LOST = 0.5
"""Decayed losses from which on a front counts as one that observed them."""

MAX_LATE_SHARE = 0.115
TYPICAL_EVENTS = 36
"""Share of the quick streams, each of so many pieces of data, that losses on a path may
make late."""

MIN_LOSS_RATE = 1 - (1 - MAX_LATE_SHARE) ** (1 / TYPICAL_EVENTS)
"""Minimum share of losses: from there on, more streams are late than may be."""

RELATIVE_LOSS_RATE = 3.0
"""Multiple of the loss rate on the best other path of either zone that a degraded one
must reach: what is lost on all paths is lost at the fronts, and no choice helps."""

MIN_COMPARED = 10.0
"""Minimum decayed number of observations of a path that is compared with."""

FIRST_DEGRADED_S = 3.0
MAX_DEGRADED_S = 12.0
"""Time for which a path stays degraded after the last evidence, doubling from the first
to the longest: each trial of a bad path costs a few streams."""

TRIAL_S = 2.0
"""Shortest length of a trial: about a quick response."""

MIN_TRIED = 75.0
"""Observations without which a trial goes on: those of two or three quick responses. At
a few losses in a hundred, it is unlikely that all of them came through."""

MAX_TRIAL_S = 10.0
"""Longest trial: nobody uses the path, so it does no harm either."""

TRIAL_SHARE = 8
"""One in this many jobs uses a path on trial."""

MIN_TRIAL_LOST = 0.9
"""Losses that end a trial: few pieces of data use a path meanwhile, and the path is
under suspicion. Slightly below one, since reports age on their way."""

RESET_AFTER_S = 20.0
"""Time for which a path must stay healthy before the doubling starts anew."""

CONNECTION_LOSS_INTERVAL_S = 5.0
"""Time for which a failed connection counts; further ones to the same upstream tell of
a dead host rather than of the path."""

MIN_FAILED_UPSTREAMS = 3
"""Different upstreams of a zone to which connections must fail until they count: single
hosts die together rarely."""

EVALUATION_INTERVAL_S = 0.1
"""Interval of evaluations, which bounds their cost with hundreds of fronts."""

TOLD_LIFETIME_S = 2.0
"""Time for which a front goes by the degraded paths that the leader named last: a few
of its heartbeats, as the link to a leader on a bad path loses packets, too."""

MIN_EVIDENCE = 0.05
"""Decayed counts below which evidence is removed."""


class _Judged(msgspec.Struct):
    """State of one path that is or was degraded; clock times in seconds."""

    state: PathState
    until: float
    duration: float
    """Time without evidence after which the path is tried, in seconds."""

    last: PathSum = msgspec.field(default_factory=PathSum)
    """Decayed evidence at the last update."""

    last_at: float = 0.0
    tried: PathSum = msgspec.field(default_factory=PathSum)
    """Evidence since the trial began, not decayed."""

    def count_tried(self, found: PathSum, now: float) -> None:
        """Count what is new since the last update."""
        factor = _compute_decay(now - self.last_at)
        self.tried.observed += max(0.0, found.observed - factor * self.last.observed)
        self.tried.lost += max(0.0, found.lost - factor * self.last.lost)
        self.last, self.last_at = found, now

    def needs_use(self, now: float) -> bool:
        """Whether a trial goes on until the path has been used enough."""
        return (
            self.state is PathState.TRIAL
            and self.tried.observed < MIN_TRIED
            and now < self.until - TRIAL_S + MAX_TRIAL_S
        )

    def has_failed_trial(self, usual: float) -> bool:
        """Whether clearly more was lost during the trial than at the ``usual`` rate.

        Above a usual rate of 0, one loss early in the trial does not suffice.
        """
        used = max(self.tried.observed, MIN_TRIED)
        return (
            self.state is PathState.TRIAL
            and self.tried.lost >= MIN_TRIAL_LOST + RELATIVE_LOSS_RATE * usual * used
            and self.tried.loss_rate >= MIN_LOSS_RATE
        )


class PathHealth:
    """States of paths, by the evidence of all fronts or of one."""

    def __init__(self, min_fronts: int) -> None:
        """``min_fronts`` must have observed losses, or one a lot of them.

        With 1, a front judges for itself alone.
        """
        self._min_fronts = min_fronts
        self._judged: dict[ZonePath, _Judged] = {}
        self._lone_since: dict[ZonePath, float] = {}
        """Since when a single front observes many losses, clock time in seconds."""

        self._told: frozenset[ZonePath] = frozenset()
        """Paths that a better informed judge avoids."""

        self._avoided: dict[AvailabilityZone, frozenset[AvailabilityZone]] = {}
        self._on_trial: dict[AvailabilityZone, frozenset[AvailabilityZone]] = {}

    @property
    def has_judged(self) -> bool:
        """Whether any path is or was recently degraded."""
        return bool(self._judged)

    def get_state(self, path: ZonePath) -> PathState:
        """Return the state of a path; paths without evidence are healthy."""
        judged = self._judged.get(path)
        return judged.state if judged is not None else PathState.HEALTHY

    def list_degraded(self) -> list[ZonePath]:
        """List the paths that are avoided or on trial."""
        degraded = [
            path
            for path, judged in self._judged.items()
            if judged.state is not PathState.HEALTHY
        ]
        return sorted({*degraded, *self._told}, key=lambda path: str(path))

    def list_avoided_paths(self) -> list[ZonePath]:
        """List the paths that are avoided, without those on trial."""
        states = self._judged.items()
        degraded = {path for path, one in states if one.state is PathState.DEGRADED}
        return sorted(degraded, key=str)

    def set_told(self, paths: Iterable[ZonePath]) -> None:
        """Also avoid these paths; replaces those named before."""
        told = frozenset(paths)
        if told != self._told:
            logger.info(
                "degraded paths heard", zones=sorted([p.first, p.second] for p in told)
            )
            self._told = told
            self._collect_all()

    def list_avoided(
        self, front_zone: AvailabilityZone | None, job: JobId | None = None
    ) -> frozenset[AvailabilityZone]:
        """Zones whose upstreams the fronts of a zone should not use for this job."""
        if front_zone is None or not (self._judged or self._told):
            return frozenset()
        avoided = self._avoided.get(front_zone, frozenset())
        on_trial = self._on_trial.get(front_zone)
        if on_trial and (job is None or zlib.crc32(job.encode()) % TRIAL_SHARE):
            return avoided | on_trial
        return avoided

    def update(self, sums: Mapping[ZonePath, PathSum], now: float) -> None:
        """Judge all paths by the evidence at ``now``."""
        for path, judged in self._judged.items():
            judged.count_tried(sums.get(path, PathSum()), now)
        for path, found in sums.items():
            judged_before = self._judged.get(path)
            has_failed = judged_before is not None and judged_before.has_failed_trial(
                _find_usual_rate(path, sums)
            )
            if has_failed or self._is_lossy(path, sums, now):
                self._degrade(path, found, now)
        for path in self._lone_since.keys() - sums.keys():
            del self._lone_since[path]
        for path, judged in list(self._judged.items()):
            if now >= judged.until and not judged.needs_use(now):
                self._relax(path, judged, sums.get(path, PathSum()), now)
        self._collect_all()

    def shift_baseline(
        self, path: ZonePath, observed: float, lost: float, at: float
    ) -> None:
        """Leave evidence that appears, or disappears if negative, out of a trial."""
        judged = self._judged.get(path)
        if judged is not None:
            factor = math.exp((at - judged.last_at) / EVIDENCE_DECAY_S)
            last = judged.last
            judged.last = PathSum(
                max(0.0, last.observed + factor * observed),
                max(0.0, last.lost + factor * lost),
                last.fronts,
            )

    def _is_lossy(
        self, path: ZonePath, sums: Mapping[ZonePath, PathSum], now: float
    ) -> bool:
        found = sums[path]
        if (failed := found.failed_upstreams) >= MIN_FAILED_UPSTREAMS:
            found = PathSum(
                found.observed + failed, found.lost + failed, max(1, found.fronts)
            )
        if not self._is_evident(path, found, now) or found.loss_rate < MIN_LOSS_RATE:
            return False
        return found.loss_rate >= RELATIVE_LOSS_RATE * _find_usual_rate(path, sums)

    def _is_evident(self, path: ZonePath, found: PathSum, now: float) -> bool:
        """Whether there are enough losses, at several fronts or at one for a while."""
        if found.fronts >= self._min_fronts:
            return found.lost >= MIN_LOST
        if not found.fronts or found.lost < MIN_LOST_AT_ONE_FRONT:
            self._lone_since.pop(path, None)
            return False
        return now - self._lone_since.setdefault(path, now) >= LONE_FRONT_S

    def _degrade(self, path: ZonePath, found: PathSum, now: float) -> None:
        judged = self._judged.get(path)
        if judged is None:
            judged = self._judged[path] = _Judged(
                PathState.HEALTHY, now, FIRST_DEGRADED_S / 2
            )
        if judged.state is not PathState.DEGRADED:
            judged.duration = min(MAX_DEGRADED_S, 2.0 * judged.duration)
            self._change(path, judged, PathState.DEGRADED, found)
        judged.until = now + judged.duration

    def _relax(
        self, path: ZonePath, judged: _Judged, found: PathSum, now: float
    ) -> None:
        match judged.state:
            case PathState.DEGRADED:
                self._change(path, judged, PathState.TRIAL, found)
                judged.until = now + TRIAL_S
                judged.tried = PathSum()
            case PathState.TRIAL:
                self._change(path, judged, PathState.HEALTHY, found)
                judged.until = now + RESET_AFTER_S
            case PathState.HEALTHY:
                del self._judged[path]

    def _change(
        self, path: ZonePath, judged: _Judged, state: PathState, found: PathSum
    ) -> None:
        logger.info(
            "path state changed",
            judge="leader" if self._min_fronts > 1 else "front",
            zones=[path.first, path.second],
            state=state.value,
            before=judged.state.value,
            observed=round(found.observed, 1),
            lost=round(found.lost, 1),
            fronts=found.fronts,
            stays=round(judged.duration, 1),
        )
        judged.state = state

    def _collect_all(self) -> None:
        states = {path: judged.state for path, judged in self._judged.items()}
        states |= dict.fromkeys(self._told, PathState.DEGRADED)
        self._avoided = _collect_zones(states, PathState.DEGRADED)
        self._on_trial = _collect_zones(states, PathState.TRIAL)


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
        factor = _compute_decay(now - self._counted_at)
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
            factor = _compute_decay(now - received.at)
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


def _compute_decay(age: float) -> float:
    return math.exp(-max(0.0, age) / EVIDENCE_DECAY_S)


def _collect_zones(
    states: Mapping[ZonePath, PathState], state: PathState
) -> dict[AvailabilityZone, frozenset[AvailabilityZone]]:
    """Collect, for each zone, the other ends of its paths in a state."""
    collected: dict[AvailabilityZone, frozenset[AvailabilityZone]] = {}
    for path, one_state in states.items():
        if one_state is state:
            for one, other in ((path.first, path.second), (path.second, path.first)):
                collected[one] = collected.get(one, frozenset()) | {other}
    return collected


def _find_usual_rate(path: ZonePath, sums: Mapping[ZonePath, PathSum]) -> float:
    """Find the loss rate that a path would have without a fault of its own."""
    return max(
        _find_best_rate(path, path.first, sums),
        _find_best_rate(path, path.second, sums),
    )


def _find_best_rate(
    path: ZonePath, zone: AvailabilityZone, sums: Mapping[ZonePath, PathSum]
) -> float:
    """Find the loss rate of the best other path of a zone; 0 if none is known.

    A zone's own path counts as healthy until it is used: work that moves there shows.
    """
    own = ZonePath(zone, zone)
    if own != path and sums.get(own, PathSum()).observed < MIN_COMPARED:
        return 0.0
    rates = (
        other.loss_rate
        for one, other in sums.items()
        if one != path and one.has(zone) and other.observed >= MIN_COMPARED
    )
    return min(rates, default=0.0)
