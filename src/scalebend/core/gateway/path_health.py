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

from scalebend.models.ids import AvailabilityZone
from scalebend.models.paths import (
    PathState,
    PathSum,
    ZonePath,
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

MIN_LOST_TOGETHER = 1.5
"""The same on each of several paths that share a zone, two recent ones: single losses
on a healthy path must not count with those on a degraded one."""

MIN_LOST_AT_ONE_FRONT = 8.0
"""The same, if a single front observed them and others would be bound by it."""

LONE_FRONT_S = 1.0
"""Time for which a single front must observe that many: a front that stalls once would
count all its streams."""

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

MIN_FAILED_UPSTREAMS = 3
"""Different upstreams of a zone to which connections must fail until they count: single
hosts die together rarely."""


class _Judged(msgspec.Struct):
    """State of one path that is or was degraded; clock times in seconds."""

    state: PathState
    until: float
    duration: float
    """Time without evidence after which the path is tried, in seconds."""

    last: PathSum = msgspec.field(default_factory=PathSum)
    """Decayed evidence at the last update."""

    last_at: float = 0.0
    """When ``last`` was valid."""

    tried: PathSum = msgspec.field(default_factory=PathSum)
    """Evidence since the trial began, not decayed."""

    def count_tried(self, found: PathSum, now: float) -> None:
        """Count what is new since the last update."""
        factor = compute_decay(now - self.last_at)
        self.tried.observed += max(0.0, found.observed - factor * self.last.observed)
        self.tried.lost += max(0.0, found.lost - factor * self.last.lost)
        self.last, self.last_at = found, now

    def shift(self, observed: float, lost: float, at: float) -> None:
        """Add evidence of time ``at`` to the last, or remove it if negative."""
        now = max(at, self.last_at)
        kept = compute_decay(now - self.last_at)
        added = compute_decay(now - at)
        self.last = PathSum(
            max(0.0, kept * self.last.observed + added * observed),
            max(0.0, kept * self.last.lost + added * lost),
            self.last.fronts,
        )
        self.last_at = now

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
        for path in self._list_lossy_together(sums):
            self._degrade(path, sums[path], now)
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
            judged.shift(observed, lost, at)

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
        # The usual rate is that of the best path, which may just have had luck.
        limit = RELATIVE_LOSS_RATE * _find_usual_rate(path, sums)
        return found.lost >= limit * found.observed + MIN_LOST

    def _list_lossy_together(self, sums: Mapping[ZonePath, PathSum]) -> list[ZonePath]:
        """List paths that together show a fault at the zone that they share.

        If all links of a zone lose data, each path alone has enough evidence later.
        """
        if self._min_fronts == 1:
            # A front that stalls loses data on all its paths.
            return []
        lossy = [
            path
            for path, found in sums.items()
            if path.first != path.second
            and found.lost >= MIN_LOST_TOGETHER
            and found.loss_rate >= MIN_LOSS_RATE
        ]
        together: list[ZonePath] = []
        for zone in {zone for path in lossy for zone in (path.first, path.second)}:
            paths = [path for path in lossy if path.has(zone)]
            if len(paths) > 1 and self._are_worse_than_others(paths, sums):
                together += paths
        return together

    def _are_worse_than_others(
        self, paths: list[ZonePath], sums: Mapping[ZonePath, PathSum]
    ) -> bool:
        found = [sums[path] for path in paths]
        if sum(one.fronts for one in found) < self._min_fronts:
            return False
        others = {path: one for path, one in sums.items() if path not in paths}
        usual = max(_find_usual_rate(path, others) for path in paths)
        limit = RELATIVE_LOSS_RATE * usual * sum(one.observed for one in found)
        return sum(one.lost for one in found) >= limit + MIN_LOST

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
                PathState.HEALTHY, now, FIRST_DEGRADED_S / 2, last_at=now
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


def compute_decay(age: float) -> float:
    """Compute the share of evidence that is left after some seconds."""
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
