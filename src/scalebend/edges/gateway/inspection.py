"""Asks replicas for a report when a first token is late, to find the slow one.

Several replicas read a long prompt; when it is late, nothing in the answer says which
of them was slow. Reports are asked for only then, since each is priced like a probe.
"""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
import structlog

from scalebend.core.gateway.replica_load import SLOW_PACE
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


class Inspection(msgspec.Struct, frozen=True):
    """What some replicas told; ``silent`` did not answer at all."""

    paces: list[ReplicaPace]
    silent: list[UpstreamId]


def _summarise(reports: dict[UpstreamId, ReplicaReport | None]) -> Inspection:
    paces = [ReplicaPace(u, report.pace) for u, report in reports.items() if report]
    return Inspection(paces, [u for u, report in reports.items() if report is None])


class Inspector:
    """Asks for reports, each replica at most once in a while."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session
        self._asked: dict[UpstreamId, float] = {}
        self._reports: dict[UpstreamId, ReplicaReport | None] = {}

    def is_queueing(self, upstream: UpstreamId, now: float) -> bool:
        """Whether the replica's last report explains why a request still waits."""
        asked_at = self._asked.get(upstream, -REPORT_LIFE)
        report = self._reports.get(upstream)
        if report is None or now - asked_at > REPORT_LIFE:
            return False
        return report.waiting > 0 and report.pace < SLOW_PACE

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

    async def _ask(self, address: str) -> ReplicaReport | None:
        timeout = aiohttp.ClientTimeout(total=REPORT_TIMEOUT)
        url = f"http://{address}{REPORT_PATH}"
        try:
            async with self._session.get(url, timeout=timeout) as answer:
                return decode_report(await answer.read())
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            logger.info("report unanswered", address=address, error=str(error))
            return None
