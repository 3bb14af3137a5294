"""Log lines and metrics of the evacuations that a process has in force."""

from __future__ import annotations

import time

import structlog

from scalebend.edges.gateway.metrics import GatewayMetrics
from scalebend.models.evacuations import NO_EVACUATIONS, Evacuations

logger = structlog.get_logger(__name__)


class EvacuationWatch:
    """Reports each change of the evacuations in force once."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._reported = NO_EVACUATIONS

    def report(self, newest: Evacuations) -> None:
        """Log and count a change, with its age by the wall clock in seconds.

        The age is wrong by the difference to the clock of the leader that logged it.
        """
        before = self._reported
        if newest.revision == before.revision:
            return
        self._reported = newest
        last = max(newest.zones, key=lambda one: one.revision)
        logger.info(
            "evacuations applied",
            revision=newest.revision,
            before=before.revision,
            evacuated=sorted(newest.evacuated),
            age=round(time.time() - last.ordered_at, 3),
        )
        self._metrics.set_evacuations(len(newest.evacuated), newest.revision)
