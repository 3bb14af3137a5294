"""Fetches load reports of replicas when a first token is late, to find the slow one.

A prefill group runs a long prompt; when its first token is late, the response does not
say which replica was slow. Reports are fetched only then: each costs like a probe.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

import msgspec
import structlog

from scalebend.core.gateway.replica_load import UNHEALTHY_PACE
from scalebend.core.gateway.silences import MAX_PAUSE_S
from scalebend.edges.gateway.report_requests import (
    REPORT_TIMEOUT_S,
    WITHOUT_RESPONSE,
    NoReport,
    Report,
    fetch_report,
)
from scalebend.edges.gateway.upstream_client import UpstreamSessions
from scalebend.models.endpoints import get_upstream_born
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import ReplicaPace, ReplicaReport

logger = structlog.get_logger(__name__)

REPEAT_INTERVAL_S = 0.9
"""Minimum time between two reports of the same replica to this front."""

REPORT_LIFETIME_S = 2.0
"""Time after which a report is stale."""


MAX_SILENT_INTERVAL_S = 3.5
"""Time between two reports that did not come up to which the silence was one: somewhat
longer than the interval of the leader's inspections."""


class _Silence(msgspec.Struct):
    """Requests for reports in a row to which a replica sent nothing."""

    since: float
    last_at: float


class Inspection(msgspec.Struct, frozen=True):
    """Paces that replicas reported, and the replicas that can't be reached or are
    silent for longer than a pause."""

    paces: list[ReplicaPace]
    unresponsive: list[UpstreamId]


def _may_match_incarnation(upstream: UpstreamId, born: int | None) -> bool:
    """Whether a report may be of this incarnation; either start may be unknown."""
    known = get_upstream_born(upstream)
    return known is None or born is None or known == born


class Inspector:
    """Fetches reports, limited to one per replica and interval."""

    def __init__(self, sessions: UpstreamSessions) -> None:
        self._sessions = sessions
        self._fetched_at: dict[UpstreamId, float] = {}
        self._reports: dict[UpstreamId, Report] = {}
        self._reported_at: dict[UpstreamId, float] = {}
        """When the last reports that came, or didn't come, were requested."""

        self._silences: dict[UpstreamId, _Silence] = {}
        self._pending: dict[UpstreamId, asyncio.Event] = {}

    def is_queueing(self, upstream: UpstreamId, now: float) -> bool:
        """Whether a recent report explains a wait by queued requests, not slowness."""
        reported_at = self._reported_at.get(upstream, -REPORT_LIFETIME_S)
        report = self._reports.get(upstream)
        if (
            not isinstance(report, ReplicaReport)
            or now - reported_at > REPORT_LIFETIME_S
        ):
            return False
        return report.waiting > 0 and report.pace < UNHEALTHY_PACE

    def has_report(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the last fetch of a report, if recent, had one."""
        reported_at = self._reported_at.get(upstream, -REPEAT_INTERVAL_S)
        is_recent = now - reported_at < REPEAT_INTERVAL_S
        if not is_recent or upstream in self._pending:
            return False
        return isinstance(self._reports.get(upstream), ReplicaReport)

    async def wait_for_report(self, upstream: UpstreamId) -> None:
        """Wait until no report of the replica is being fetched."""
        while (pending := self._pending.get(upstream)) is not None:
            await pending.wait()

    def list_unanswered(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> list[UpstreamId]:
        """Return the replicas that did not respond to the last fetch, if recent.

        They may pause: nothing is concluded but that a prompt had better go elsewhere.
        """
        return [
            upstream
            for upstream in upstreams
            if self._reports.get(upstream) in WITHOUT_RESPONSE
            and now - self._reported_at[upstream] < REPEAT_INTERVAL_S
        ]

    async def inspect(self, addresses: dict[UpstreamId, str], now: float) -> Inspection:
        """Fetch reports of these replicas, except for those fetched just now."""
        due = {
            upstream: address
            for upstream, address in addresses.items()
            if now - self._fetched_at.get(upstream, -REPEAT_INTERVAL_S)
            >= REPEAT_INTERVAL_S
        }
        for upstream in due:
            self._fetched_at[upstream] = now
            self._pending[upstream] = asyncio.Event()
        try:
            fetched = await asyncio.gather(
                *(fetch_report(self._sessions, a) for a in due.values())
            )
            reports = dict(zip(due, fetched, strict=True))
            inspection = self._evaluate(reports, now)
        finally:
            for upstream in due:
                self._pending.pop(upstream).set()
        silent = [one for one in due if reports[one] is NoReport.SILENT]
        slow = [pace.upstream for pace in inspection.paces if pace.pace > 1.0]
        if inspection.unresponsive or silent or slow:
            logger.info(
                "replicas inspected",
                asked=len(due),
                unresponsive=inspection.unresponsive,
                silent=silent,
                slow=slow,
            )
        return inspection

    def _evaluate(self, reports: dict[UpstreamId, Report], now: float) -> Inspection:
        """Store reports that were requested at ``now``, and summarise them."""
        paces = []
        unresponsive = []
        for upstream, report in reports.items():
            if self._is_unresponsive(upstream, report, now):
                unresponsive.append(upstream)
            elif isinstance(report, ReplicaReport):
                paces.append(ReplicaPace(upstream, report.pace))
        self._reports.update(reports)
        self._reported_at.update(dict.fromkeys(reports, now))
        return Inspection(paces, unresponsive)

    def _is_unresponsive(
        self, upstream: UpstreamId, report: Report, now: float
    ) -> bool:
        """Whether a report, or its absence, shows more than a pause."""
        if report is not NoReport.SILENT:
            self._silences.pop(upstream, None)
        match report:
            case ReplicaReport(born=born):
                return not _may_match_incarnation(upstream, born)
            case NoReport.SILENT:
                silence = self._silences.get(upstream)
                if silence is None or now - silence.last_at > MAX_SILENT_INTERVAL_S:
                    silence = self._silences[upstream] = _Silence(now, now)
                silence.last_at = now
                return now + REPORT_TIMEOUT_S - silence.since >= MAX_PAUSE_S
            case NoReport.UNREADABLE:
                return False
        return True
