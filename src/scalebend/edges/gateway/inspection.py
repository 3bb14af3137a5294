"""Fetches load reports of replicas when a first token is late, to find the slow one.

A prefill group runs a long prompt; when its first token is late, the response does not
say which replica was slow. Reports are fetched only then: each costs like a probe.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from enum import Enum

import aiohttp
import msgspec
import structlog

from scalebend.core.gateway.replica_load import UNHEALTHY_PACE
from scalebend.edges.gateway.upstream_client import build_timeout
from scalebend.models.endpoints import get_upstream_born
from scalebend.models.ids import UpstreamId
from scalebend.models.placement import ReplicaPace, ReplicaReport
from scalebend.platform.reports import REPORT_PATH, decode_report

logger = structlog.get_logger(__name__)

REPORT_TIMEOUT_S = 0.4
"""Timeout of a report, which needs no slot at the replica."""

REPEAT_INTERVAL_S = 0.9
"""Minimum time between two reports of the same replica to this front."""

REPORT_LIFETIME_S = 2.0
"""Time after which a report is stale."""


class _NoReport(Enum):
    """Why there is no report of a replica."""

    UNANSWERED = "unanswered"
    UNREADABLE = "unreadable"
    """The response is not a report, which says nothing about the replica."""


_Report = ReplicaReport | _NoReport


class Inspection(msgspec.Struct, frozen=True):
    """Paces that replicas reported, and the replicas that did not respond."""

    paces: list[ReplicaPace]
    unresponsive: list[UpstreamId]


def _summarise(reports: dict[UpstreamId, _Report]) -> Inspection:
    paces = []
    unresponsive = []
    for upstream, report in reports.items():
        match report:
            case ReplicaReport(pace=pace, born=born):
                if _may_match_incarnation(upstream, born):
                    paces.append(ReplicaPace(upstream, pace))
                else:
                    unresponsive.append(upstream)
            case _NoReport.UNANSWERED:
                unresponsive.append(upstream)
    return Inspection(paces, unresponsive)


def _may_match_incarnation(upstream: UpstreamId, born: int | None) -> bool:
    """Whether a report may be of this incarnation; either start may be unknown."""
    known = get_upstream_born(upstream)
    return known is None or born is None or known == born


class Inspector:
    """Fetches reports, limited to one per replica and interval."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._fetched_at: dict[UpstreamId, float] = {}
        self._reports: dict[UpstreamId, _Report] = {}
        self._pending: dict[UpstreamId, asyncio.Event] = {}

    def is_queueing(self, upstream: UpstreamId, now: float) -> bool:
        """Whether a recent report explains a wait by queued requests, not slowness."""
        fetched_at = self._fetched_at.get(upstream, -REPORT_LIFETIME_S)
        report = self._reports.get(upstream)
        if (
            not isinstance(report, ReplicaReport)
            or now - fetched_at > REPORT_LIFETIME_S
        ):
            return False
        return report.waiting > 0 and report.pace < UNHEALTHY_PACE

    def has_report(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the last fetch of a report, if recent, had one."""
        fetched_at = self._fetched_at.get(upstream, -REPEAT_INTERVAL_S)
        is_recent = now - fetched_at < REPEAT_INTERVAL_S
        if not is_recent or upstream in self._pending:
            return False
        return isinstance(self._reports.get(upstream), ReplicaReport)

    async def wait_for_report(self, upstream: UpstreamId) -> None:
        """Wait until no report of the replica is being fetched."""
        while (pending := self._pending.get(upstream)) is not None:
            await pending.wait()

    def list_unresponsive(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> list[UpstreamId]:
        """Return the replicas that did not respond to the last fetch, if recent."""
        return [
            upstream
            for upstream in upstreams
            if self._reports.get(upstream) is _NoReport.UNANSWERED
            and now - self._fetched_at[upstream] < REPEAT_INTERVAL_S
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
            reports = await asyncio.gather(
                *(self._fetch_report(a) for a in due.values())
            )
            self._reports.update(zip(due, reports, strict=True))
        finally:
            for upstream in due:
                self._pending.pop(upstream).set()
        inspection = _summarise(dict(zip(due, reports, strict=True)))
        if inspection.unresponsive or any(pace.pace > 1.0 for pace in inspection.paces):
            logger.info(
                "replicas inspected",
                asked=len(due),
                silent=inspection.unresponsive,
                slow=[pace.upstream for pace in inspection.paces if pace.pace > 1.0],
            )
        return inspection

    async def _fetch_report(self, address: str) -> _Report:
        timeout = build_timeout(REPORT_TIMEOUT_S, REPORT_TIMEOUT_S)
        url = f"http://{address}{REPORT_PATH}"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                report = decode_report(await response.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.info("report request failed", address=address, error=str(error))
            return _NoReport.UNANSWERED
        if report is None:
            logger.info("report not readable", address=address)
            return _NoReport.UNREADABLE
        return report
