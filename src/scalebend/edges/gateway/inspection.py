"""Asks replicas for a report when a first token is late, to find the slow one.

Several replicas read a long prompt; when it is late, nothing in the answer says which
of them was slow. Reports are asked for only then, since each is priced like a probe.
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

REPORT_TIMEOUT = 0.4
"""Seconds to wait for a report, which takes no slot at a replica."""

REPEAT_AFTER = 0.9
"""Seconds before the same replica is asked again by this front."""


REPORT_LIFE = 2.0
"""Seconds for which a report says something about a request that still waits."""


class _NoReport(Enum):
    """Why there is no report of a replica."""

    UNANSWERED = "unanswered"
    UNREADABLE = "unreadable"
    """Something else answered there, which says nothing of the replica."""


_Report = ReplicaReport | _NoReport


class Inspection(msgspec.Struct, frozen=True):
    """What some replicas told; ``silent`` did not answer at all."""

    paces: list[ReplicaPace]
    silent: list[UpstreamId]


def _summarise(reports: dict[UpstreamId, _Report]) -> Inspection:
    paces = []
    silent = []
    for upstream, report in reports.items():
        match report:
            case ReplicaReport(pace=pace, born=born):
                if _is_of(upstream, born):
                    paces.append(ReplicaPace(upstream, pace))
                else:
                    silent.append(upstream)
            case _NoReport.UNANSWERED:
                silent.append(upstream)
    return Inspection(paces, silent)


def _is_of(upstream: UpstreamId, born: int | None) -> bool:
    """Whether a report may be this incarnation's; either may tell no start."""
    known = get_upstream_born(upstream)
    return known is None or born is None or known == born


class Inspector:
    """Asks for reports, each replica at most once in a while."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._asked: dict[UpstreamId, float] = {}
        self._reports: dict[UpstreamId, _Report] = {}

    def is_queueing(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the replica's last report explains why a request still waits."""
        asked_at = self._asked.get(upstream, -REPORT_LIFE)
        report = self._reports.get(upstream)
        if not isinstance(report, ReplicaReport) or now - asked_at > REPORT_LIFE:
            return False
        return report.waiting > 0 and report.pace < UNHEALTHY_PACE

    def list_silent(
        self, upstreams: Iterable[UpstreamId], now: float
    ) -> list[UpstreamId]:
        """Those that did not answer when they were asked last, a moment ago."""
        return [
            upstream
            for upstream in upstreams
            if self._reports.get(upstream) is _NoReport.UNANSWERED
            and now - self._asked[upstream] < REPEAT_AFTER
        ]

    async def inspect(self, addresses: dict[UpstreamId, str], now: float) -> Inspection:
        """Ask these replicas, but those asked a moment ago."""
        due = {
            upstream: address
            for upstream, address in addresses.items()
            if now - self._asked.get(upstream, -REPEAT_AFTER) >= REPEAT_AFTER
        }
        for upstream in due:
            self._asked[upstream] = now
        reports = await asyncio.gather(*(self._ask(a) for a in due.values()))
        self._reports.update(zip(due, reports, strict=True))
        inspection = _summarise(dict(zip(due, reports, strict=True)))
        if inspection.silent or any(pace.pace > 1.0 for pace in inspection.paces):
            logger.info(
                "replicas inspected",
                asked=len(due),
                silent=inspection.silent,
                slow=[pace.upstream for pace in inspection.paces if pace.pace > 1.0],
            )
        return inspection

    async def _ask(self, address: str) -> _Report:
        timeout = build_timeout(REPORT_TIMEOUT, REPORT_TIMEOUT)
        url = f"http://{address}{REPORT_PATH}"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                report = decode_report(await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.info("report unanswered", address=address, error=str(error))
            return _NoReport.UNANSWERED
        if report is None:
            logger.info("report not readable", address=address)
            return _NoReport.UNREADABLE
        return report
